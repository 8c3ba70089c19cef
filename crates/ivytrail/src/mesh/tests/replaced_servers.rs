//! Backend servers in whose place another one announces itself, of the same service or of another one.

use std::time::Duration;

use super::fleet::{TestFleet, TestRun, answered, call_of, refused, server_advertisement};
use crate::{
    mesh::{event::MeshEvent, frame::ServerAdvertisement},
    message::CallOutcome,
};

/// Daemon whose backend server is replaced.
const REPLACED: usize = 1;
/// Identifier of the first call that finds no free slot.
const FIRST_WAITING: u64 = 40_000;
/// Number of calls that find no free slot.
const N_WAITING: u64 = 6;

/// Returns the server of a service that takes the place of the one beside [`REPLACED`].
fn next_server(service: &str) -> ServerAdvertisement {
    let former = server_advertisement(REPLACED, service);
    ServerAdvertisement {
        id: "next".into(),
        started_at_ms: former.started_at_ms + 5_000,
        slots: 40,
        ..former
    }
}

fn replace_server(fleet: &mut TestFleet, service: &str) {
    let advertisement = next_server(service);
    fleet.apply(REPLACED, MeshEvent::ServerAnnounced { advertisement, sequence: 1 });
}

/// Fills the servers of `booking` and makes further calls, some of which wait at each of them.
fn fill_and_wait(fleet: &mut TestFleet) {
    fleet.fill("book");
    for id in FIRST_WAITING..FIRST_WAITING + N_WAITING {
        fleet.call(0, call_of(id, "book"));
    }
    assert_ne!(fleet.daemon(REPLACED).load().queued, 0, "no attempt waits");
}

fn started_at(fleet: &TestFleet, daemon: usize, from: usize) -> Vec<TestRun> {
    fleet.started()[from..].iter().filter(|it| it.daemon == daemon).cloned().collect()
}

/// Regression test for review/11: attempts that waited were started at the server of another service that took the place
/// of theirs.
#[test]
fn waiting_attempts_do_not_run_at_a_server_of_another_service() {
    let mut fleet = TestFleet::start();
    fill_and_wait(&mut fleet);
    let n_before = fleet.n_runs_started();

    replace_server(&mut fleet, "tracker");
    fleet.advance(Duration::from_millis(100));

    let foreign = started_at(&fleet, REPLACED, n_before);
    assert!(foreign.is_empty(), "{foreign:?}");
    assert_eq!(fleet.daemon(REPLACED).load().queued, 0);
}

/// Attempts that waited have not run, so that another server of their service may run them.
#[test]
fn waiting_attempts_of_a_replaced_server_run_elsewhere_or_have_not_run() {
    let mut fleet = TestFleet::start();
    fill_and_wait(&mut fleet);

    replace_server(&mut fleet, "tracker");
    while let Some(run) = fleet.runs().into_iter().find(|it| it.daemon != REPLACED) {
        fleet.end_run(&run, answered(200));
    }

    let ids = FIRST_WAITING..FIRST_WAITING + N_WAITING;
    let (served, others): (Vec<u64>, Vec<u64>) =
        ids.partition(|id| fleet.status_of(*id) == Some(200));
    assert!(!served.is_empty());
    for id in others {
        assert_eq!(refused(fleet.answer_of(id)).0, CallOutcome::NotRun, "r{id}");
    }
}

#[test]
fn waiting_attempts_run_at_the_next_server_of_their_service() {
    let mut fleet = TestFleet::start();
    fill_and_wait(&mut fleet);
    let n_waiting = fleet.daemon(REPLACED).load().queued as usize;
    let n_before = fleet.n_runs_started();

    replace_server(&mut fleet, "booking");

    assert_eq!(started_at(&fleet, REPLACED, n_before).len(), n_waiting);
}

/// The run times of the former server's routes say nothing about those of the present one.
#[test]
fn a_server_of_another_service_starts_without_history() {
    let mut fleet = TestFleet::start();
    let before = fleet.daemon(REPLACED).load().mean_run_us;
    fill_and_wait(&mut fleet);
    fleet.advance(Duration::from_millis(900));
    while let Some(run) = fleet.runs().pop() {
        fleet.end_run(&run, answered(200));
    }
    assert_ne!(fleet.daemon(REPLACED).load().mean_run_us, before);

    replace_server(&mut fleet, "tracker");

    assert_eq!(fleet.daemon(REPLACED).load().mean_run_us, before);
}

/// The settings file may assign another service to an instance while its daemon runs.
#[test]
fn requests_name_the_service_that_their_instance_was_assigned() {
    let mut fleet = TestFleet::start();

    fleet.apply(0, MeshEvent::ServiceAssigned { service: "booking".into() });
    fleet.call(0, call_of(1, "track"));

    assert_eq!(fleet.only_run().request.caller_service.as_str(), "booking");
}
