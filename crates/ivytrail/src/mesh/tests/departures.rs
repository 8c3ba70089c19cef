//! Backend servers that have reported their shutdown, after the daemons that were told of it have ended.

use std::time::Duration;

use super::fleet::{TestFleet, VERSION, answered, call_of, server_advertisement};
use crate::mesh::{
    event::MeshEvent,
    frame::{ServerAdvertisement, ServerPhase},
};

/// Daemon whose backend server shuts down.
const LEAVING: usize = 1;
/// Sequence number of an announcement that follows all others.
const LAST_SEQUENCE: u64 = 40;

fn deregister(fleet: &mut TestFleet) {
    let server = server_advertisement(LEAVING, "booking");
    let started_at_ms = Some(server.started_at_ms);
    fleet.apply(LEAVING, MeshEvent::ServerLeaving { id: server.id, started_at_ms });
}

fn announce(fleet: &mut TestFleet, advertisement: ServerAdvertisement) {
    fleet.apply(LEAVING, MeshEvent::ServerAnnounced { advertisement, sequence: LAST_SEQUENCE });
}

/// Ends all daemons at once and starts them again; the announcements of their servers follow.
fn restart_all(fleet: &mut TestFleet) {
    (0..fleet.n_daemons()).for_each(|it| fleet.crash(it));
    fleet.advance(Duration::from_secs(1));
    (0..fleet.n_daemons()).for_each(|it| fleet.rejoin(it));
}

fn phase(fleet: &TestFleet) -> Option<ServerPhase> {
    fleet.daemon(LEAVING).server().map(|it| it.phase)
}

/// Makes requests for the leaving server's service from all daemons, and returns the number that it runs.
fn n_runs_at_leaving(fleet: &mut TestFleet) -> usize {
    let n_before = fleet.n_runs_started();
    for id in 50_000..50_040 {
        fleet.call(id as usize % 4, call_of(id, "book"));
        while let Some(run) = fleet.runs().pop() {
            fleet.end_run(&run, answered(200));
        }
    }
    fleet.started()[n_before..].iter().filter(|it| it.daemon == LEAVING).count()
}

/// Regression test for review/13: only the memory of the daemons held an acknowledged shutdown, and an announcement from
/// before it made the server ready again.
#[test]
fn a_deregistered_server_gets_no_requests_after_all_daemons_have_restarted() {
    let mut fleet = TestFleet::start();
    deregister(&mut fleet);

    restart_all(&mut fleet);
    announce(&mut fleet, server_advertisement(LEAVING, "booking"));

    assert_eq!(phase(&fleet), Some(ServerPhase::Draining));
    assert_eq!(n_runs_at_leaving(&mut fleet), 0);
}

#[test]
fn a_draining_server_gets_no_requests_after_all_daemons_have_restarted() {
    let mut fleet = TestFleet::start();
    let server = server_advertisement(LEAVING, "booking");
    for sequence in 2..5 {
        let advertisement = ServerAdvertisement { phase: ServerPhase::Draining, ..server.clone() };
        fleet.apply(LEAVING, MeshEvent::ServerAnnounced { advertisement, sequence });
    }

    restart_all(&mut fleet);
    announce(&mut fleet, server);

    assert_eq!(n_runs_at_leaving(&mut fleet), 0);
    assert_eq!(fleet.n_stored_departures(), 1, "each departure is stored once");
}

/// The next run of the server may have the same name; it is used at once.
#[test]
fn a_new_run_of_a_departed_server_is_used_after_all_daemons_have_restarted() {
    let mut fleet = TestFleet::start();
    deregister(&mut fleet);

    restart_all(&mut fleet);
    let former = server_advertisement(LEAVING, "booking");
    let started_at_ms = former.started_at_ms + 1;
    announce(&mut fleet, ServerAdvertisement { started_at_ms, ..former });

    assert_eq!(phase(&fleet), Some(ServerPhase::Ready));
    assert_ne!(n_runs_at_leaving(&mut fleet), 0);
}

/// A daemon that can't reach the table gets the settings from a peer, and the departures with them.
#[test]
fn a_daemon_without_the_table_learns_of_a_departure_with_the_settings() {
    let mut fleet = TestFleet::start();
    deregister(&mut fleet);
    (0..fleet.n_daemons()).for_each(|it| fleet.crash(it));
    fleet.rejoin(0);
    fleet.restart(LEAVING);
    announce(&mut fleet, server_advertisement(LEAVING, "booking"));
    assert_eq!(phase(&fleet), Some(ServerPhase::Ready));

    fleet.restore_links(0, LEAVING);
    fleet.advance(Duration::from_millis(100));

    assert!(fleet.daemon(LEAVING).is_ready(), "the daemon has settings");
    assert_eq!(phase(&fleet), Some(ServerPhase::Draining));
}

/// The health probe names no start of the run that it finds; the deregistration does.
#[test]
fn a_late_announcement_does_not_outlast_a_deregistration_that_names_its_run() {
    let mut fleet = TestFleet::start();
    fleet.crash(LEAVING);
    fleet.restart(LEAVING);
    let event = fleet.settings_event(VERSION);
    fleet.apply(LEAVING, event);
    let server = server_advertisement(LEAVING, "booking");
    let found = ServerAdvertisement { started_at_ms: 0, ..server.clone() };
    fleet.apply(LEAVING, MeshEvent::ServerAnnounced { advertisement: found, sequence: 0 });

    deregister(&mut fleet);
    fleet.advance(Duration::from_secs(8));
    announce(&mut fleet, server);

    assert_eq!(phase(&fleet), Some(ServerPhase::Draining));
}

#[test]
fn a_late_deregistration_of_an_earlier_run_does_not_affect_the_present_one() {
    let mut fleet = TestFleet::start();
    let former = server_advertisement(LEAVING, "booking");
    let started_at_ms = former.started_at_ms + 5_000;
    announce(&mut fleet, ServerAdvertisement { started_at_ms, ..former });

    deregister(&mut fleet);

    assert_eq!(phase(&fleet), Some(ServerPhase::Ready));
    assert_ne!(n_runs_at_leaving(&mut fleet), 0);
}
