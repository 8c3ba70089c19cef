//! Backend servers that shut down and restart, and entries that no longer exist.

use std::time::Duration;

use super::fleet::{TestFleet, VERSION, answered, call_of, server_advertisement};
use crate::mesh::{
    event::MeshEvent,
    frame::{PeerFrame, RequestLimit, ServerAdvertisement, ServerNotice, ServerPhase},
};

/// The daemon that acknowledged the shutdown of its server restarts and discovers the server by its health check, which
/// still passes. The new incarnation must be notified of the shutdown by its peers.
#[test]
fn a_leaving_server_gets_no_requests_from_a_restarted_daemon() {
    let mut fleet = TestFleet::start();
    fleet.apply(1, MeshEvent::ServerLeaving { id: "server-1".into(), started_at_ms: None });
    fleet.restart(1);
    fleet.link_all(1);

    let mut discovered = server_advertisement(1, "booking");
    discovered.started_at_ms = 0;
    fleet.apply(1, MeshEvent::ServerAnnounced { advertisement: discovered, sequence: 0 });
    fleet.apply(
        1,
        MeshEvent::ServerAnnounced {
            advertisement: server_advertisement(1, "booking"),
            sequence: 7,
        },
    );
    for id in 1..20 {
        fleet.call(0, call_of(id, "book"));
    }

    assert!(fleet.runs().iter().all(|it| it.daemon != 1));
    let phase = fleet.daemon(1).server().map(|it| it.phase);
    assert_eq!(phase, Some(ServerPhase::Draining));
}

/// The shutdown is reported to a daemon that has just started and has no announcement of the server yet.
#[test]
fn a_shutdown_before_the_first_announcement_is_applied() {
    let mut fleet = TestFleet::start();
    fleet.restart(1);
    fleet.apply(1, MeshEvent::ServerLeaving { id: "server-1".into(), started_at_ms: None });

    fleet.apply(
        1,
        MeshEvent::ServerAnnounced {
            advertisement: server_advertisement(1, "booking"),
            sequence: 7,
        },
    );

    assert_ne!(fleet.daemon(1).server().map(|it| it.phase), Some(ServerPhase::Ready));
}

#[test]
fn a_new_run_of_a_server_that_has_left_is_ready() {
    let mut fleet = TestFleet::start();
    fleet.apply(1, MeshEvent::ServerLeaving { id: "server-1".into(), started_at_ms: None });
    fleet.restart(1);
    fleet.link_all(1);
    let mut restarted = server_advertisement(1, "booking");
    restarted.started_at_ms += 5_000;

    fleet.apply(1, MeshEvent::ServerAnnounced { advertisement: restarted, sequence: 1 });

    assert_eq!(fleet.daemon(1).server().map(|it| it.phase), Some(ServerPhase::Ready));
}

/// Another daemon reports the shutdown of a run after the server has already restarted under the same name.
#[test]
fn a_shutdown_of_an_earlier_run_does_not_affect_the_new_run() {
    let mut fleet = TestFleet::start();
    let left = server_advertisement(1, "booking");
    let mut restarted = left.clone();
    restarted.started_at_ms += 5_000;
    fleet.apply(1, MeshEvent::ServerAnnounced { advertisement: restarted, sequence: 1 });

    fleet.send_frame(
        0,
        1,
        PeerFrame::ServerLeft { id: left.id, started_at_ms: left.started_at_ms },
    );

    assert_eq!(fleet.daemon(1).server().map(|it| it.phase), Some(ServerPhase::Ready));
}

/// An entry that was replaced at its address never reconnects for its attempts.
#[test]
fn a_run_is_cancelled_when_its_entry_was_replaced() {
    let mut fleet = TestFleet::start();
    fleet.call(1, call_of(1, "track"));
    let run = fleet.only_run();

    fleet.replace_daemon(1, run.daemon);

    assert!(fleet.is_cancelled(&run));
}

#[test]
fn a_late_announcement_of_an_earlier_run_is_ignored() {
    let mut fleet = TestFleet::start();
    let mut restarted = server_advertisement(1, "booking");
    restarted.id = "restarted".into();
    restarted.started_at_ms += 5_000;
    fleet.apply(1, MeshEvent::ServerAnnounced { advertisement: restarted, sequence: 1 });

    fleet.apply(
        1,
        MeshEvent::ServerAnnounced {
            advertisement: server_advertisement(1, "booking"),
            sequence: 40,
        },
    );

    assert_eq!(fleet.daemon(1).server().map(|it| it.id.as_str()), Some("restarted"));
}

#[test]
fn the_announcement_of_a_server_restarted_under_its_name_is_applied() {
    let mut fleet = TestFleet::start();
    let mut restarted = server_advertisement(1, "booking");
    restarted.started_at_ms += 5_000;
    restarted.slots = 3;

    fleet.apply(1, MeshEvent::ServerAnnounced { advertisement: restarted, sequence: 1 });

    assert_eq!(fleet.daemon(1).server().map(|it| it.slots), Some(3));
}

/// Applies a response of daemon `daemon`'s backend server that names a limit, in requests per second.
fn name_limit(fleet: &mut TestFleet, daemon: usize, per_s: f64) {
    let notice =
        ServerNotice { request_limit: RequestLimit::PerSecond(per_s), ..ServerNotice::default() };
    let id = format!("server-{daemon}").into();
    fleet.apply(daemon, MeshEvent::ServerNoticed { id, notice });
}

/// Sends `n_calls` requests from all entries within `span`, with `n_running` runs in progress at all times, and returns
/// the number of runs at each daemon's backend server.
fn n_runs_by_daemon(
    fleet: &mut TestFleet,
    n_calls: u64,
    span: Duration,
    n_running: usize,
) -> [usize; 4] {
    let n_before = fleet.n_runs_started();
    for n in 0..n_calls {
        fleet.call((n % 4) as usize, call_of(50_000 + n_before as u64 + n, "book"));
        fleet.advance(span / n_calls as u32);
        let runs = fleet.runs();
        for run in &runs[..runs.len().saturating_sub(n_running)] {
            fleet.end_run(run, answered(200));
        }
    }
    let mut n_runs = [0; 4];
    fleet.started()[n_before..].iter().for_each(|it| n_runs[it.daemon] += 1);
    n_runs
}

/// A server that names a limit gets no more than that from all entries together, and the rest goes to the other server.
#[test]
fn a_server_gets_no_more_requests_than_its_limit_from_all_entries() {
    let mut fleet = TestFleet::start();
    name_limit(&mut fleet, 1, 10.0);

    let n_runs = n_runs_by_daemon(&mut fleet, 400, Duration::from_secs(4), 6);

    assert!((20..=45).contains(&n_runs[1]), "{n_runs:?}");
    assert!(300 < n_runs[3], "{n_runs:?}");
}

#[test]
fn a_server_gets_all_requests_again_when_it_names_no_limit() {
    let mut fleet = TestFleet::start();
    name_limit(&mut fleet, 1, 1.0);
    fleet.advance(Duration::from_secs(1));
    let notice = ServerNotice { request_limit: RequestLimit::Unlimited, ..ServerNotice::default() };

    fleet.apply(1, MeshEvent::ServerNoticed { id: "server-1".into(), notice });

    let n_runs = n_runs_by_daemon(&mut fleet, 100, Duration::from_secs(1), 10);
    assert!(30 < n_runs[1], "{n_runs:?}");
}

/// A response that was cut short or written by another part of the server may lack the limit.
#[test]
fn a_single_response_without_a_limit_does_not_lift_it() {
    let mut fleet = TestFleet::start();
    name_limit(&mut fleet, 1, 1.0);
    fleet.advance(Duration::from_millis(500));
    for request_limit in [RequestLimit::Unlimited, RequestLimit::Unknown] {
        let notice = ServerNotice { request_limit, ..ServerNotice::default() };
        fleet.apply(1, MeshEvent::ServerNoticed { id: "server-1".into(), notice });
    }

    let n_runs = n_runs_by_daemon(&mut fleet, 100, Duration::from_secs(1), 10);

    assert!(n_runs[1] <= 3, "{n_runs:?}");
}

/// A daemon that restarts beside a server learns its limit from the other daemons before their first attempt.
#[test]
fn a_restarted_daemon_keeps_the_limit_that_its_server_named() {
    let mut fleet = TestFleet::start();
    name_limit(&mut fleet, 1, 2.0);
    fleet.restart(1);
    fleet.link_all(1);

    let advertisement = server_advertisement(1, "booking");
    fleet.apply(1, MeshEvent::ServerAnnounced { advertisement, sequence: 7 });

    let n_runs = n_runs_by_daemon(&mut fleet, 100, Duration::from_secs(1), 10);
    assert!(n_runs[1] <= 3, "{n_runs:?}");
}

#[test]
fn a_new_run_of_a_server_has_no_limit() {
    let mut fleet = TestFleet::start();
    name_limit(&mut fleet, 1, 1.0);
    let mut advertisement = server_advertisement(1, "booking");
    advertisement.started_at_ms += 5_000;

    fleet.apply(1, MeshEvent::ServerAnnounced { advertisement, sequence: 1 });

    let n_runs = n_runs_by_daemon(&mut fleet, 100, Duration::from_secs(1), 10);
    assert!(30 < n_runs[1], "{n_runs:?}");
}

/// Applies a response of daemon `daemon`'s backend server that states that the server is leaving.
fn state_leaving(fleet: &mut TestFleet, daemon: usize) {
    let notice = ServerNotice { is_leaving: true, ..ServerNotice::default() };
    fleet.apply(daemon, MeshEvent::ServerNoticed { id: format!("server-{daemon}").into(), notice });
}

/// A server may state only in its responses that it is leaving.
#[test]
fn a_server_whose_response_states_that_it_leaves_gets_no_requests() {
    let mut fleet = TestFleet::start();

    state_leaving(&mut fleet, 1);

    let n_runs = n_runs_by_daemon(&mut fleet, 100, Duration::from_secs(1), 6);
    assert_eq!(n_runs, [0, 0, 0, 100]);
}

/// A daemon that restarts beside a server that has stated in a response that it leaves must be notified by its peers,
/// even if its own links broke before it could notify them.
#[test]
fn a_reply_is_preceded_by_the_notice_that_the_server_leaves() {
    let mut fleet = TestFleet::start();
    for id in 1..=8 {
        fleet.call(0, call_of(id, "book"));
    }
    let run = fleet.runs().into_iter().find(|it| it.daemon == 1).expect("server-1 runs a request");
    fleet.mute_outbound(1);

    state_leaving(&mut fleet, 1);
    fleet.end_run(&run, answered(200));
    fleet.restart(1);
    fleet.link_all(1);
    let advertisement = server_advertisement(1, "booking");
    fleet.apply(1, MeshEvent::ServerAnnounced { advertisement, sequence: 7 });

    let phase = fleet.daemon(1).server().map(|it| it.phase);
    assert_eq!(phase, Some(ServerPhase::Draining));
}

/// A daemon that restarts finds its server by a health probe, which doesn't name the run's start. A late announcement of
/// the run must not make the server ready again after it has reported its shutdown.
#[test]
fn a_late_announcement_does_not_bring_a_leaving_server_back_at_a_restarted_daemon() {
    let mut fleet = TestFleet::start();
    fleet.crash(0);
    fleet.restart(0);
    let event = fleet.settings_event(VERSION);
    fleet.apply(0, event);
    let announced = server_advertisement(0, "tracker");
    let found = ServerAdvertisement { started_at_ms: 0, ..announced.clone() };
    let id = found.id.clone();
    fleet.apply(0, MeshEvent::ServerAnnounced { advertisement: found, sequence: 0 });

    fleet.apply(0, MeshEvent::ServerLeaving { id, started_at_ms: None });
    fleet.advance(Duration::from_secs(2));
    fleet.apply(0, MeshEvent::ServerAnnounced { advertisement: announced, sequence: 21 });

    assert_eq!(fleet.daemon(0).server().map(|it| it.phase), Some(ServerPhase::Draining));
}

/// An announcement of a service that nobody has declared was not written by a server, whatever its start and sequence.
#[test]
fn an_announcement_of_an_unknown_service_does_not_replace_the_server() {
    let mut fleet = TestFleet::start();
    let mut foreign = server_advertisement(1, "unheard-of");
    foreign.id = "foreign".into();
    foreign.started_at_ms += 1_000;

    fleet.apply(1, MeshEvent::ServerAnnounced { advertisement: foreign, sequence: 1 });

    let server = fleet.daemon(1).server().expect("the server is known");
    assert_eq!((server.id.as_str(), server.phase), ("server-1", ServerPhase::Ready));
}
