//! Tests of the quarantine.

use proptest::{prelude::*, test_runner::TestRunner};

use super::*;

const NOW: TimePoint = TimePoint::from_millis(1_000);

#[test]
fn a_fingerprint_is_quarantined_after_two_crashes_until_it_expires() {
    let mut quarantine = quarantine(1);

    quarantine.record_crash(NOW, &[digest(1), digest(2)]);
    quarantine.record_crash(NOW, &[digest(1)]);

    assert_eq!(quarantine.remaining_quarantine(NOW, &digest(1)), Some(PROVEN_QUARANTINE));
    assert_eq!(quarantine.remaining_quarantine(NOW.plus(PROVEN_QUARANTINE), &digest(1)), None);
    assert_eq!(quarantine.remaining_quarantine(NOW, &digest(2)), None);
}

/// The only suspect in flight may be another call than the culprit, when two servers crash within the time that evidence
/// takes. The culprit must not be left out.
#[test]
fn a_crash_counts_against_all_in_flight_and_is_proven_against_the_only_suspect() {
    let mut quarantine = quarantine(1);
    quarantine.record_crash(NOW, &[digest(1)]);

    let records = quarantine.record_crash(NOW, &[digest(1), digest(2), digest(3)]);

    let mut proven: Vec<(ContentDigest, bool)> = records
        .iter()
        .map(|it| (it.fingerprint, it.evidence == CrashEvidence::Crashed { proven: true }))
        .collect();
    proven.sort_unstable();
    let mut expected = [(digest(1), true), (digest(2), false), (digest(3), false)];
    expected.sort_unstable();
    assert_eq!(proven, expected);
    assert_eq!(quarantine.remaining_quarantine(NOW, &digest(1)), Some(PROVEN_QUARANTINE));
    assert_eq!(quarantine.remaining_quarantine(NOW, &digest(2)), None);
}

#[test]
fn suspects_run_one_at_a_time_and_are_cleared_everywhere_on_completion() {
    let (mut local, mut remote) = (quarantine(1), quarantine(2));
    let records = local.record_crash(NOW, &[digest(1), digest(2)]);
    records.iter().for_each(|it| remote.merge(NOW, it));

    assert!(remote.try_isolate(&digest(1)));
    assert!(!remote.try_isolate(&digest(2)));
    assert!(remote.try_isolate(&digest(3)));
    remote.record_completion(&digest(1));
    assert!(remote.try_isolate(&digest(2)));
    remote.take_clearances().iter().for_each(|it| local.merge(NOW, it));

    assert!(!local.is_suspect(&digest(1)) && local.is_suspect(&digest(2)));
}

#[test]
fn a_fingerprint_that_completed_before_is_quarantined_after_the_third_crash() {
    let mut quarantine = quarantine(1);
    quarantine.record_completion(&digest(1));

    let blocked: Vec<bool> = (0..3)
        .map(|_| {
            quarantine.record_crash(NOW, &[digest(1)]);
            quarantine.remaining_quarantine(NOW, &digest(1)).is_some()
        })
        .collect();

    assert_eq!(blocked, [false, false, true]);
}

#[test]
fn a_duplicate_evidence_record_is_ignored() {
    let mut quarantine = quarantine(1);
    let record = quarantine_of_other().record_crash(NOW, &[digest(1)]).remove(0);

    (0..5).for_each(|_| quarantine.merge(NOW, &record));

    assert!(quarantine.is_suspect(&digest(1)));
    assert_eq!(quarantine.remaining_quarantine(NOW, &digest(1)), None);
}

#[test]
fn a_quarantined_fingerprint_runs_as_a_trial_that_clears_it() {
    let mut quarantine = CrashQuarantine::with_trials(quarantine_of_other().origin);
    let in_flight = [digest(1), digest(2)];
    quarantine.record_crash(NOW, &in_flight);
    assert_eq!(quarantine.permission(NOW, &digest(1)), RunPermission::Unrestricted);
    quarantine.record_crash(NOW, &in_flight);
    let remaining = UNPROVEN_QUARANTINE;
    assert_eq!(quarantine.permission(NOW, &digest(1)), RunPermission::Quarantined { remaining });

    let later = NOW.plus(UNPROVEN_QUARANTINE);
    assert_eq!(quarantine.permission(later, &digest(1)), RunPermission::TrialOnly);
    assert!(quarantine.try_start_trial(&digest(1)));
    assert!(!quarantine.try_start_trial(&digest(2)));
    quarantine.record_completion(&digest(1));

    assert_eq!(quarantine.permission(later, &digest(1)), RunPermission::Unrestricted);
    assert_eq!(quarantine.permission(later, &digest(2)), RunPermission::TrialOnly);
    assert!(quarantine.try_start_trial(&digest(2)));
}

#[test]
fn a_trial_that_ends_in_a_crash_is_proof_beside_other_calls() {
    let mut quarantine = CrashQuarantine::with_trials(quarantine_of_other().origin);
    let in_flight = [digest(1), digest(2)];
    quarantine.record_crash(NOW, &in_flight);
    quarantine.record_crash(NOW, &in_flight);

    let later = NOW.plus(UNPROVEN_QUARANTINE);
    quarantine.record_crash(later, &[digest(3), digest(1), digest(4)]);

    let remaining = PROVEN_QUARANTINE;
    assert_eq!(quarantine.permission(later, &digest(1)), RunPermission::Quarantined { remaining });
    assert_eq!(quarantine.permission(later, &digest(2)), RunPermission::TrialOnly);
    assert_eq!(quarantine.permission(later, &digest(3)), RunPermission::Unrestricted);
}

#[test]
fn a_trial_without_a_response_is_followed_by_a_longer_quarantine() {
    let mut quarantine = CrashQuarantine::with_trials(quarantine_of_other().origin);
    (0..2).for_each(|_| drop(quarantine.record_crash(NOW, &[digest(1), digest(2)])));
    let mut now = NOW;

    let spans: Vec<Duration> = (0..4)
        .map(|_| {
            let remaining = quarantine.remaining_quarantine(now, &digest(1)).unwrap_or_default();
            now = now.plus(remaining);
            assert!(quarantine.try_start_trial(&digest(1)));
            assert!(quarantine.release(&digest(1)));
            quarantine.record_failed_trial(now, digest(1));
            remaining
        })
        .collect();

    assert_eq!(spans.iter().map(Duration::as_secs).collect::<Vec<_>>(), [5, 20, 80, 320]);
    assert_eq!(quarantine.remaining_quarantine(now, &digest(1)), Some(PROVEN_QUARANTINE));
}

/// A daemon that has just started takes over what the others know, and duplicates do not count.
#[test]
fn known_evidence_gives_another_daemon_the_same_suspects() {
    let mut quarantine = quarantine(1);
    (0..2).for_each(|_| drop(quarantine.record_crash(NOW, &[digest(1), digest(2)])));
    let mut restarted = quarantine_of_other();

    let known = quarantine.known_evidence(NOW);
    known.iter().chain(&known).for_each(|it| restarted.merge(NOW, it));

    for fingerprint in [digest(1), digest(2)] {
        assert_eq!(restarted.status(NOW, &fingerprint), quarantine.status(NOW, &fingerprint));
    }
}

/// A crashing request is resent to random daemons while random other requests are in flight. It crashes at most
/// [`MAX_CRASHES`] servers before it is quarantined, and no other request is quarantined for longer than
/// [`UNPROVEN_QUARANTINE`].
#[test]
fn randomised_resends_quarantine_the_crashing_request_only() {
    let config = ProptestConfig { cases: 200, failure_persistence: None, ..Default::default() };
    let mut runner = TestRunner::new_with_rng(
        config,
        proptest::test_runner::TestRng::deterministic_rng(Default::default()),
    );
    let crashes = prop::collection::vec((0..3_usize, prop::collection::vec(1..40_u64, 0..20)), 12);

    let checked = runner.run(&crashes, |crashes| {
        let mut daemons = [quarantine(1), quarantine(2), quarantine(3)];
        let mut n_crashes = 0;
        let mut now = NOW;
        for (idx, others) in crashes {
            now = now.plus(Duration::from_secs(1));
            if daemons[idx].remaining_quarantine(now, &digest(0)).is_some()
                || !daemons[idx].try_isolate(&digest(0))
            {
                continue;
            }
            let in_flight: Vec<ContentDigest> = std::iter::once(0)
                .chain(others)
                .map(digest)
                .filter(|it| daemons[idx].try_isolate(it) || *it == digest(0))
                .collect();
            let records = daemons[idx].record_crash(now, &in_flight);
            n_crashes += 1;
            daemons
                .iter_mut()
                .for_each(|it| records.iter().for_each(|record| it.merge(now, record)));
        }
        prop_assert!(n_crashes <= MAX_CRASHES);
        let longest =
            (1..40).filter_map(|it| daemons[0].remaining_quarantine(now, &digest(it))).max();
        prop_assert!(longest.unwrap_or_default() <= UNPROVEN_QUARANTINE);
        Ok(())
    });

    assert_eq!(checked, Ok(()));
}

fn quarantine(incarnation: u64) -> CrashQuarantine {
    CrashQuarantine::new(MemberId { instance: "booking-1".into(), incarnation })
}

fn quarantine_of_other() -> CrashQuarantine {
    quarantine(9)
}

fn digest(number: u64) -> ContentDigest {
    ContentDigest::of_parts(&[&number.to_be_bytes()])
}
