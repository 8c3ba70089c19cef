//! Golden sessions, one per guarantee and firm.
//!
//! `IVYTRAIL_BLESS=1 cargo test -p ivytrail-tests --test golden` updates the files and prints the differences.

use std::{fs, path::PathBuf};

use ivytrail_tests::{
    daemon_fleet::{
        BackendMode, CallerRequest, DaemonFleet, FleetFault, KeyKind, MS, MessageFaultRates,
    },
    firms::{FirmConfig, RouteRole, secret_of, stratolift, teigwerk},
    invariants::check_invariants,
    session::SessionTrace,
};
use similar::TextDiff;

/// Length of the warm-up in microseconds, after which the rings are formed and quota is available.
const WARMUP_US: u64 = 12_000 * MS;
/// Seed of all sessions.
const SEED: u64 = 7;

/// Returns a fleet after its warm-up, which traces its session from then on.
fn warmed_up_fleet(firm: FirmConfig, roles: &[RouteRole]) -> DaemonFleet {
    let services: Vec<&str> = roles.iter().map(|it| firm.service(*it)).collect();
    let mut fleet = DaemonFleet::new(firm, &services, SEED);
    fleet.run_until(WARMUP_US);
    fleet.trace = Some(SessionTrace::default());
    fleet
}

fn call(fleet: &mut DaemonFleet, after_ms: u64, request: u64, role: RouteRole, entry: usize) {
    send(fleet, after_ms, request, role, entry, |caller_request| caller_request);
}

fn send<F>(
    fleet: &mut DaemonFleet,
    after_ms: u64,
    request: u64,
    role: RouteRole,
    entry: usize,
    change: F,
) where
    F: Fn(CallerRequest) -> CallerRequest,
{
    let at = fleet.now + after_ms * MS;
    let caller_request = CallerRequest::new(at, request, fleet.firm.route(role), entry);
    fleet.schedule_call(change(caller_request));
}

fn timed(caller_request: CallerRequest) -> CallerRequest {
    CallerRequest { key: KeyKind::Timed, n_resends: 2, ..caller_request }
}

fn fault(fleet: &mut DaemonFleet, after_ms: u64, fault: FleetFault) {
    let at = fleet.now + after_ms * MS;
    fleet.schedule_fault(at, fault);
}

/// Runs a session with each firm, checks the invariants, and compares the trace with its golden file.
fn check<F>(name: &str, roles: &[RouteRole], duration_ms: u64, setup: F)
where
    F: Fn(&mut DaemonFleet),
{
    for firm in [stratolift(), teigwerk()] {
        let file = format!("{name}-{}.txt", firm.team);
        let mut fleet = warmed_up_fleet(firm, roles);
        setup(&mut fleet);
        fleet.run_until(fleet.now + duration_ms * MS);
        let text = fleet.trace.as_ref().map_or("", |it| it.text());
        assert_eq!(check_invariants(&fleet), Vec::<String>::new(), "{file}");
        assert!(!text.contains("secret of"), "{file} contains a secret");
        compare(&file, text);
    }
}

fn compare(file: &str, text: &str) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("golden").join(file);
    let golden = fs::read_to_string(&path).unwrap_or_default();
    if golden == text {
        return;
    }
    let diff = TextDiff::from_lines(&golden, text);
    let diff = diff.unified_diff().header("golden", "actual").to_string();
    if std::env::var_os("IVYTRAIL_BLESS").is_some() {
        println!("{file}:\n{diff}");
        fs::write(&path, text).expect("the golden file can't be written");
        return;
    }
    panic!("{file} differs:\n{diff}");
}

use RouteRole::{InnerWrite, KeyedRead, OpenRead, OuterRead, OuterWrite};

#[test]
fn retries_are_bounded() {
    check("01-retries", &[KeyedRead, KeyedRead, KeyedRead], 3_000, |fleet| {
        for idx in 0..3 {
            fault(fleet, 0, FleetFault::Backend(idx, BackendMode::Truncating));
        }
        call(fleet, 10, 1, KeyedRead, 0);
    });
}

#[test]
fn urgent_work_is_shed_last() {
    check("02-priorities", &[OuterRead, InnerWrite], 3_000, |fleet| {
        fault(fleet, 0, FleetFault::Backend(0, BackendMode::Slow));
        for request in 1..=14 {
            call(fleet, 10, request, OuterRead, 0);
        }
        for request in 15..=18 {
            send(fleet, 20, request, OuterWrite, 0, timed);
        }
    });
}

#[test]
fn requests_run_only_for_the_account_of_their_key() {
    check("03-accounts", &[OpenRead, KeyedRead], 1_000, |fleet| {
        send(fleet, 0, 1, KeyedRead, 0, |it| CallerRequest { account: None, ..it });
        call(fleet, 10, 2, KeyedRead, 0);
        send(fleet, 20, 3, KeyedRead, 0, |it| CallerRequest { account: Some(1), ..it });
        send(fleet, 30, 4, OpenRead, 1, |it| CallerRequest { account: None, ..it });
        call(fleet, 40, 5, OpenRead, 1);
    });
}

#[test]
fn backend_servers_see_no_key() {
    check("04-no-key", &[OuterWrite, InnerWrite], 1_000, |fleet| {
        send(fleet, 0, 1, OuterWrite, 1, timed);
    });
    let mut fleet = warmed_up_fleet(stratolift(), &[OuterWrite, InnerWrite]);
    call(&mut fleet, 0, 1, OuterWrite, 1);
    fleet.run_until(fleet.now + 1_000 * MS);
    let secret = secret_of(fleet.firm.accounts[0].name);
    let digest = ivytrail::settings::credential::secret_digest(&secret);
    let digest = format!("{:?}", digest.0);
    assert_eq!(fleet.backend_requests.len(), 2);
    assert!(fleet.backend_requests.iter().all(|it| !it.contains(&secret) && !it.contains(&digest)));
}

#[test]
fn a_withdrawn_key_stops_working() {
    check("05-withdrawn-key", &[KeyedRead, KeyedRead], 8_000, |fleet| {
        call(fleet, 0, 1, KeyedRead, 0);
        fault(fleet, 100, FleetFault::Withdraw(0));
        call(fleet, 1_000, 2, KeyedRead, 0);
        call(fleet, 1_000, 3, KeyedRead, 1);
        // During an outage of the platform, no daemon knows whether another key was withdrawn.
        fault(fleet, 2_000, FleetFault::PlatformDown(10_000));
        send(fleet, 3_000, 4, KeyedRead, 0, |it| CallerRequest { account: Some(1), ..it });
        send(fleet, 7_000, 5, KeyedRead, 0, |it| CallerRequest { account: Some(1), ..it });
    });
}

#[test]
fn no_account_gets_more_than_its_rate_and_burst() {
    check("06-quota", &[KeyedRead, KeyedRead], 2_000, |fleet| {
        for request in 1..=12 {
            let entry = request as usize % 2;
            send(fleet, request, request, KeyedRead, entry, |it| CallerRequest {
                account: Some(1),
                ..it
            });
        }
    });
}

#[test]
fn each_caller_gets_its_own_complete_response() {
    check("07-own-answer", &[OuterWrite, InnerWrite, OuterWrite], 4_000, |fleet| {
        // Messages are delivered, but their senders see connection errors.
        let half =
            MessageFaultRates { delivered_with_error: 1_000, ..MessageFaultRates::default() };
        fault(fleet, 0, FleetFault::Queue(half, 20));
        send(fleet, 5, 1, OuterWrite, 1, timed);
        // Messages are delivered twice and out of order.
        let double = MessageFaultRates { duplicated: 1_000, ..MessageFaultRates::default() };
        fault(fleet, 1_000, FleetFault::Queue(double, 500));
        send(fleet, 1_005, 2, OuterWrite, 1, timed);
        send(fleet, 1_005, 3, OuterWrite, 1, timed);
    });
}

#[test]
fn a_refusal_that_says_not_run_is_true() {
    check("08-not-run", &[InnerWrite, OpenRead], 6_000, |fleet| {
        fault(fleet, 0, FleetFault::Backend(0, BackendMode::Shedding));
        call(fleet, 10, 1, InnerWrite, 1);
        // The attempt is delayed, its entry queries the status, and then the delayed copy must not run.
        let late = MessageFaultRates { delayed: 1_000, ..MessageFaultRates::default() };
        fault(fleet, 1_000, FleetFault::Queue(late, 1));
        send(fleet, 1_000, 2, OpenRead, 0, |it| CallerRequest { account: None, ..it });
    });
}

#[test]
fn a_non_idempotent_request_runs_at_most_once() {
    check("09-at-most-once", &[InnerWrite, OpenRead, InnerWrite], 9_000, |fleet| {
        let silent = MessageFaultRates { lost_silently: 1_000, ..MessageFaultRates::default() };
        fault(fleet, 0, FleetFault::Backend(0, BackendMode::Slow));
        fault(fleet, 0, FleetFault::Backend(2, BackendMode::Slow));
        send(fleet, 10, 1, InnerWrite, 1, timed);
        fault(fleet, 50, FleetFault::Queue(silent, 100));
        fault(fleet, 3_000, FleetFault::Backend(0, BackendMode::Truncating));
        fault(fleet, 3_000, FleetFault::Backend(2, BackendMode::Truncating));
        send(fleet, 3_010, 2, InnerWrite, 1, timed);
    });
}

#[test]
fn a_leaving_backend_server_gets_no_new_work() {
    check("10-leaving", &[KeyedRead, KeyedRead, InnerWrite], 5_000, |fleet| {
        call(fleet, 0, 1, KeyedRead, 2);
        fault(fleet, 100, FleetFault::Backend(0, BackendMode::Draining));
        for request in 2..=5 {
            call(fleet, 1_000 + request, request, KeyedRead, 2);
        }
    });
}

#[test]
fn a_graceful_shutdown_interrupts_no_request() {
    check("11-shutdown", &[InnerWrite, OpenRead, InnerWrite], 8_000, |fleet| {
        send(fleet, 0, 1, InnerWrite, 0, timed);
        send(fleet, 0, 2, InnerWrite, 1, timed);
        fault(fleet, 8, FleetFault::Leave(0));
        // The responses to the first two are stored; the next owner holds them after the handover.
        send(fleet, 100, 3, InnerWrite, 1, timed);
        send(fleet, 3_000, 4, InnerWrite, 1, timed);
    });
}

#[test]
fn accepted_settings_are_in_force_and_never_revert() {
    check("12-settings", &[KeyedRead, KeyedRead], 11_000, |fleet| {
        fault(fleet, 0, FleetFault::Resubmit);
        fault(fleet, 1_000, FleetFault::PlatformLossy(1_500));
        fault(fleet, 1_100, FleetFault::Resubmit);
        fault(fleet, 4_000, FleetFault::Restart(1));
        call(fleet, 10_000, 1, KeyedRead, 1);
    });
}
