use super::*;

/// Returns the share after `millis` milliseconds with a request every 20 ms, of which each second one is rejected.
fn share_after_rejections(millis: u64) -> (RejectionShare, TimePoint) {
    let mut share = RejectionShare::default();
    let mut now = TimePoint::from_millis(10_000);
    share.record(now, false);
    for n in 0..millis / 20 {
        now = now.plus(Duration::from_millis(20));
        share.record(now, n % 2 == 0);
    }
    (share, now)
}

#[test]
fn the_share_follows_rejections_within_a_second_and_falls_within_a_second() {
    let (mut share, mut now) = share_after_rejections(1_000);
    let at_fault = share.get();

    for _ in 0..50 {
        now = now.plus(Duration::from_millis(20));
        share.record(now, false);
    }

    assert!((0.3..=0.55).contains(&at_fault), "{at_fault}");
    assert!(share.get() < 0.15, "{}", share.get());
}

/// All requests that call the server are refused at the entries, so that nothing shows whether it still rejects.
#[test]
fn the_share_falls_while_there_are_no_requests() {
    let (mut share, now) = share_after_rejections(1_000);

    for n in 1..=10 {
        share.decay(now.plus(Duration::from_millis(200 * n)));
    }

    assert!(share.get() < 0.1, "{}", share.get());
}

#[test]
fn a_change_is_reported_once_and_not_too_often() {
    let (mut share, now) = share_after_rejections(1_000);

    let reports =
        [0, 100, 400].map(|millis| share.take_change(now.plus(Duration::from_millis(millis))));
    for n in 1..=10 {
        share.decay(now.plus(Duration::from_millis(200 * n)));
    }
    let is_end_reported = share.take_change(now.plus(Duration::from_secs(2)));

    assert_eq!(reports, [true, false, false]);
    assert!(is_end_reported);
}
