use super::*;
use crate::{id::MemberId, mesh::frame::ServerAdvertisement};

const NOW: TimePoint = TimePoint::from_millis(1_000);

fn card(instance: &str, domain: &str) -> PeerAdvertisement {
    PeerAdvertisement {
        member: MemberId { instance: instance.into(), incarnation: 1 },
        domain: domain.into(),
        address: "10.0.0.1:7000".to_string(),
        server: Some(ServerAdvertisement {
            id: format!("server-{instance}").into(),
            started_at_ms: 1,
            service: "booking".into(),
            slots: 10,
            phase: ServerPhase::Ready,
            warm_up: Duration::ZERO,
        }),
        settings_version: 1,
        is_leaving: false,
        load: ServerLoad { limit: 10, mean_run_us: 100_000, ..ServerLoad::default() },
    }
}

fn picker_of(cards: &[PeerAdvertisement]) -> ServerPicker {
    let mut picker = ServerPicker::new("kolkata".into());
    for card in cards {
        picker.note_card(NOW, card);
    }
    picker
}

fn pick(picker: &ServerPicker, now: TimePoint, tried: &[InstanceName]) -> Option<String> {
    let picked = picker.pick(now, &"booking".into(), &"book".into(), tried);
    picked.map(|it| it.as_str().to_string())
}

#[test]
fn the_own_failure_domain_is_used_while_it_has_room() {
    let mut picker = picker_of(&[card("near", "kolkata"), card("far", "durgapur")]);

    assert_eq!(pick(&picker, NOW, &[]).as_deref(), Some("near"));

    let load = ServerLoad { running: 10, queued: 5, limit: 10, mean_run_us: 100_000, pressure: 0 };
    picker.set_load(&"near".into(), load);
    assert_eq!(pick(&picker, NOW, &[]).as_deref(), Some("far"));
}

/// Short calls are most of what a fleet sends, and most of what crosses failure domains.
#[test]
fn short_calls_stay_in_the_own_failure_domain_until_it_is_nearly_full() {
    let mut picker = picker_of(&[card("near", "kolkata"), card("far", "durgapur")]);
    for _ in 0..200 {
        for (instance, millis) in [("near", 30), ("far", 15)] {
            let news = AttemptNews::Answered { run: Duration::from_millis(millis) };
            picker.note_end(NOW, &instance.into(), &"book".into(), news, None);
        }
    }

    assert_eq!(pick(&picker, NOW, &[]).as_deref(), Some("near"));

    let load = ServerLoad { running: 10, queued: 0, limit: 10, mean_run_us: 20_000, pressure: 0 };
    picker.set_load(&"near".into(), load);
    assert_eq!(pick(&picker, NOW, &[]).as_deref(), Some("far"));
}

/// Pattern: a leaf is overloaded in all domains alike. Crossing between them only costs bytes and time.
#[test]
fn calls_stay_in_their_domain_where_all_are_full() {
    let mut picker = picker_of(&[card("near", "kolkata"), card("far", "durgapur")]);
    let full = ServerLoad { running: 10, queued: 2, limit: 10, mean_run_us: 30_000, pressure: 100 };
    picker.set_load(&"near".into(), full);
    picker.set_load(&"far".into(), ServerLoad { queued: 1, ..full });

    assert_eq!(pick(&picker, NOW, &[]).as_deref(), Some("near"));

    let has_room = ServerLoad { running: 5, queued: 0, ..full };
    picker.set_load(&"far".into(), has_room);
    assert_eq!(pick(&picker, NOW, &[]).as_deref(), Some("far"));
}

#[test]
fn leaving_draining_unreachable_and_tried_servers_are_left_out() {
    let mut draining = card("a", "kolkata");
    draining.server.as_mut().expect("it has a server").phase = ServerPhase::Draining;
    let mut leaving = card("b", "kolkata");
    leaving.is_leaving = true;
    let mut picker = picker_of(&[draining, leaving, card("c", "kolkata"), card("d", "kolkata")]);
    picker.set_reachable(&"c".into(), false);

    assert_eq!(pick(&picker, NOW, &[]).as_deref(), Some("d"));
    assert_eq!(pick(&picker, NOW, &["d".into()]), None);
}

#[test]
fn a_slow_server_gets_less_than_a_fast_one() {
    let mut picker = picker_of(&[card("slow", "kolkata"), card("fast", "kolkata")]);
    for _ in 0..200 {
        for (instance, millis) in [("slow", 300), ("fast", 100)] {
            let news = AttemptNews::Answered { run: Duration::from_millis(millis) };
            picker.note_end(NOW, &instance.into(), &"book".into(), news, None);
        }
    }

    assert_eq!(pick(&picker, NOW, &[]).as_deref(), Some("fast"));
}

/// Pattern: a server is slow for some seconds, gets no work, and recovers unseen while the others are overloaded.
#[test]
fn a_server_that_was_slow_is_tried_again_and_judged_by_the_first_answer() {
    let mut picker = picker_of(&[card("slow", "kolkata"), card("fast", "kolkata")]);
    let answered = |millis| AttemptNews::Answered { run: Duration::from_millis(millis) };
    for _ in 0..200 {
        picker.note_end(NOW, &"slow".into(), &"book".into(), answered(2_000), None);
        picker.note_end(NOW, &"fast".into(), &"book".into(), answered(100), None);
    }
    let later = NOW.plus(JUDGEMENT_LIFE * 3);
    let expected_s = |picker: &ServerPicker, now| {
        picker.records[&InstanceName::from("slow")].expected_s(now, 0.1)
    };
    let slow_s = expected_s(&picker, NOW);

    let tried_again_s = expected_s(&picker, later);
    picker.note_end(later, &"slow".into(), &"book".into(), answered(20_000), None);
    let still_slow_s = expected_s(&picker, later);

    assert!(tried_again_s < 0.12, "{slow_s} before, {tried_again_s} later");
    assert!(slow_s < still_slow_s, "{slow_s} before, {still_slow_s} after one more slow answer");
}

/// Failures that lie back must not keep a server out for ever.
#[test]
fn a_server_that_failed_is_trusted_again_with_time() {
    let mut picker = picker_of(&[card("bad", "kolkata")]);
    for _ in 0..50 {
        picker.note_end(NOW, &"bad".into(), &"book".into(), AttemptNews::Failed, None);
    }
    let expected_s = |now| picker.records[&InstanceName::from("bad")].expected_s(now, 0.1);

    assert!(0.3 < expected_s(NOW));
    assert!(expected_s(NOW.plus(JUDGEMENT_LIFE * 4)) < 0.12);
}

#[test]
fn a_failing_server_is_left_alone_and_tried_again_later() {
    let mut picker = picker_of(&[card("bad", "kolkata"), card("good", "durgapur")]);
    for _ in 0..MAX_FAILURES_IN_A_ROW {
        picker.note_end(NOW, &"bad".into(), &"book".into(), AttemptNews::Failed, None);
    }

    assert_eq!(pick(&picker, NOW, &[]).as_deref(), Some("good"));
    // With no other server left, a failing one is better than none.
    assert_eq!(pick(&picker, NOW, &["good".into()]).as_deref(), Some("bad"));
}

#[test]
fn a_new_run_of_a_server_starts_without_history() {
    let mut picker = picker_of(&[card("a", "kolkata"), card("b", "durgapur")]);
    for _ in 0..50 {
        picker.note_end(NOW, &"a".into(), &"book".into(), AttemptNews::Failed, None);
    }
    let mut reborn = card("a", "kolkata");
    reborn.server.as_mut().expect("it has a server").id = "another".into();

    picker.note_card(NOW, &reborn);

    assert_eq!(pick(&picker, NOW, &[]).as_deref(), Some("a"));
}
