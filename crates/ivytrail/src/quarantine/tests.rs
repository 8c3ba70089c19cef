//! Tests of the quarantine.

use proptest::{prelude::*, test_runner::TestRunner};

use super::*;

const NOW: TimePoint = TimePoint::from_millis(1_000);

#[test]
fn two_crashes_quarantine_and_time_ends_it() {
    let mut quarantine = quarantine(1);

    quarantine.record_crash(NOW, &[digest(1), digest(2)]);
    quarantine.record_crash(NOW, &[digest(1)]);

    assert_eq!(quarantine.remaining_quarantine(NOW, &digest(1)), Some(PROVEN_QUARANTINE));
    assert_eq!(quarantine.remaining_quarantine(NOW.plus(PROVEN_QUARANTINE), &digest(1)), None);
    assert_eq!(quarantine.remaining_quarantine(NOW, &digest(2)), None);
}

#[test]
fn neighbours_of_the_only_suspect_are_not_blamed() {
    let mut quarantine = quarantine(1);
    quarantine.record_crash(NOW, &[digest(1)]);

    let spread = quarantine.record_crash(NOW, &[digest(1), digest(2), digest(3)]);

    assert_eq!(spread.iter().map(|it| it.fingerprint).collect::<Vec<_>>(), [digest(1)]);
    assert!(!quarantine.is_suspect(&digest(2)));
}

#[test]
fn suspects_run_one_at_a_time_and_are_cleared_everywhere_when_whole() {
    let (mut here, mut there) = (quarantine(1), quarantine(2));
    let spread = here.record_crash(NOW, &[digest(1), digest(2)]);
    spread.iter().for_each(|it| there.merge_evidence(NOW, it));

    assert!(there.try_isolate(&digest(1)));
    assert!(!there.try_isolate(&digest(2)));
    assert!(there.try_isolate(&digest(3)));
    there.record_completion(&digest(1));
    assert!(there.try_isolate(&digest(2)));
    there.take_clearances().iter().for_each(|it| here.merge_evidence(NOW, it));

    assert!(!here.is_suspect(&digest(1)) && here.is_suspect(&digest(2)));
}

#[test]
fn a_popular_innocent_is_excused_and_a_late_poison_is_caught_by_the_third_crash() {
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
fn a_repeated_suspicion_counts_once() {
    let mut quarantine = quarantine(1);
    let suspicion = quarantine_of_other().record_crash(NOW, &[digest(1)]).remove(0);

    (0..5).for_each(|_| quarantine.merge_evidence(NOW, &suspicion));

    assert!(quarantine.is_suspect(&digest(1)));
    assert_eq!(quarantine.remaining_quarantine(NOW, &digest(1)), None);
}

/// A poison resent to random daemons with random neighbours, suspicions spread late: it crashes at most a few servers
/// before it is blocked, and no innocent is blocked for longer than a doubtful quarantine.
#[test]
fn randomised_resends_find_the_poison_and_spare_the_innocents() {
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
        for (idx, neighbours) in crashes {
            now = now.plus(Duration::from_secs(1));
            if daemons[idx].remaining_quarantine(now, &digest(0)).is_some()
                || !daemons[idx].try_isolate(&digest(0))
            {
                continue;
            }
            let in_flight: Vec<ContentDigest> = std::iter::once(0)
                .chain(neighbours)
                .map(digest)
                .filter(|it| daemons[idx].try_isolate(it) || *it == digest(0))
                .collect();
            let spread = daemons[idx].record_crash(now, &in_flight);
            n_crashes += 1;
            daemons
                .iter_mut()
                .for_each(|it| spread.iter().for_each(|found| it.merge_evidence(now, found)));
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
