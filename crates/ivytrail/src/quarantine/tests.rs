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

#[test]
fn a_crash_is_attributed_to_the_only_suspect_in_flight() {
    let mut quarantine = quarantine(1);
    quarantine.record_crash(NOW, &[digest(1)]);

    let records = quarantine.record_crash(NOW, &[digest(1), digest(2), digest(3)]);

    assert_eq!(records.iter().map(|it| it.fingerprint).collect::<Vec<_>>(), [digest(1)]);
    assert!(!quarantine.is_suspect(&digest(2)));
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
