//! Backend servers that leave, start again and are found anew, and entries that are gone.

use super::fleet::{TestFleet, call_of, server_advertisement};
use crate::mesh::{
    event::MeshEvent,
    frame::{PeerFrame, ServerPhase},
};

/// The daemon that has acknowledged the leave is replaced by a new run of itself, which asks the server's health page: a
/// server that has only said that it goes still answers there.
#[test]
fn a_server_that_has_left_gets_no_work_from_a_daemon_that_starts_anew() {
    let mut fleet = TestFleet::start();
    fleet.apply(1, MeshEvent::ServerLeaving { id: "server-1".into() });
    fleet.restart(1);
    fleet.link_all(1);

    let mut found = server_advertisement(1, "booking");
    found.started_at_ms = 0;
    fleet.apply(1, MeshEvent::ServerAnnounced { advertisement: found, sequence: 0 });
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

/// The leave reaches a daemon that has just started and knows no server yet.
#[test]
fn a_leave_of_a_server_that_is_not_known_yet_counts() {
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
fn a_new_run_of_a_server_that_has_left_takes_work() {
    let mut fleet = TestFleet::start();
    fleet.apply(1, MeshEvent::ServerLeaving { id: "server-1".into() });
    fleet.restart(1);
    fleet.link_all(1);
    let mut restarted = server_advertisement(1, "booking");
    restarted.started_at_ms += 5_000;

    fleet.apply(1, MeshEvent::ServerAnnounced { advertisement: restarted, sequence: 1 });

    assert_eq!(fleet.daemon(1).server().map(|it| it.phase), Some(ServerPhase::Ready));
}

/// Another daemon tells late of a run that has left, when the server has already started again under its name.
#[test]
fn a_leave_of_an_earlier_run_leaves_the_new_one_at_work() {
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

/// An entry that was replaced at its address never comes back for what it had under way.
#[test]
fn a_run_is_given_up_when_its_entry_is_gone() {
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
fn a_server_that_starts_again_under_its_name_counts_anew() {
    let mut fleet = TestFleet::start();
    let mut restarted = server_advertisement(1, "booking");
    restarted.started_at_ms += 5_000;
    restarted.slots = 3;

    fleet.apply(1, MeshEvent::ServerAnnounced { advertisement: restarted, sequence: 1 });

    assert_eq!(fleet.daemon(1).server().map(|it| it.slots), Some(3));
}
