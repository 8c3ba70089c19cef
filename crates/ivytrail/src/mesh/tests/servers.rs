//! Backend servers that shut down and restart, and entries that no longer exist.

use super::fleet::{TestFleet, call_of, server_advertisement};
use crate::mesh::{
    event::MeshEvent,
    frame::{PeerFrame, ServerPhase},
};

/// The daemon that acknowledged the shutdown of its server restarts and discovers the server by its health check, which
/// still passes. The new incarnation must be notified of the shutdown by its peers.
#[test]
fn a_leaving_server_gets_no_requests_from_a_restarted_daemon() {
    let mut fleet = TestFleet::start();
    fleet.apply(1, MeshEvent::ServerLeaving { id: "server-1".into() });
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
    fleet.apply(1, MeshEvent::ServerLeaving { id: "server-1".into() });

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
    fleet.apply(1, MeshEvent::ServerLeaving { id: "server-1".into() });
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
