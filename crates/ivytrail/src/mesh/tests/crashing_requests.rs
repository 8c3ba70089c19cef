//! Requests that crash backend servers: what becomes evidence, and where it applies.

use std::time::Duration;

use super::fleet::{CLIENT, TestFleet, answered, call_of, refused, server_advertisement};
use crate::{
    id::{CallId, ContentDigest, MemberId},
    mesh::{
        event::{CallAnswer, CallRequest, MeshEvent, RunEnd},
        frame::PeerFrame,
    },
    message::{CallOutcome, RefusalReason},
    quarantine::{CrashEvidence, EvidenceRecord},
};

/// The trackers' daemons are 0, 1 and 2.
const SERVICES: [&str; 4] = ["tracker", "tracker", "tracker", "booking"];
/// Daemon that clients send requests to.
const ENTRY: usize = 3;
const CULPRIT: &str = "/track/culprit";

fn culprit_of(id: u64) -> CallRequest {
    CallRequest { target: CULPRIT.into(), ..call_of(id, "track") }
}

fn culprit_fingerprint() -> ContentDigest {
    ContentDigest::of_parts(&[CLIENT.as_bytes(), b"a.example", CULPRIT.as_bytes(), b"body"])
}

/// Delivers evidence of crashes under the culprit to all daemons.
fn report_crashes(fleet: &mut TestFleet, n_crashes: u64, proven: bool) {
    for serial in 0..n_crashes {
        let record = EvidenceRecord {
            origin: MemberId { instance: "i-9".into(), incarnation: 1 },
            serial,
            fingerprint: culprit_fingerprint(),
            evidence: CrashEvidence::Crashed { proven },
        };
        for daemon in 0..SERVICES.len() {
            let from = (daemon + 1) % SERVICES.len();
            fleet.send_frame(from, daemon, PeerFrame::Evidence(record.clone()));
        }
    }
}

/// Returns the number of crashes that each daemon counts against the culprit.
fn n_crashes_known(fleet: &TestFleet) -> Vec<usize> {
    (0..SERVICES.len())
        .map(|daemon| {
            let quarantine = fleet.daemon(daemon).quarantine();
            quarantine.status(fleet.now(), &culprit_fingerprint()).map_or(0, |it| it.n_crashes)
        })
        .collect()
}

/// Sends other requests, some of which meet the crashed backend server.
fn notice_crash(fleet: &mut TestFleet) {
    let first_id = 100 + fleet.n_runs_started() as u64;
    for id in first_id..first_id + 40 {
        fleet.call(ENTRY, call_of(id, "track"));
    }
    let others = fleet.runs().into_iter().filter(|it| it.request.target != CULPRIT);
    others.for_each(|run| fleet.end_run(&run, answered(200)));
}

/// Guards against an error response that clears a suspect, although the server has not run the request to its end.
#[test]
fn an_error_response_does_not_clear_a_suspect() {
    let mut fleet = TestFleet::start_with(&SERVICES);
    report_crashes(&mut fleet, 1, false);

    fleet.call(ENTRY, culprit_of(1));
    while let Some(run) = fleet.runs().pop() {
        fleet.end_run(&run, answered(500));
    }

    assert_eq!(fleet.status_of(1), Some(500));
    assert_eq!(n_crashes_known(&fleet), [1; SERVICES.len()]);
}

/// Guards against attempts that wait for a slot while their request is quarantined, and then start.
#[test]
fn a_waiting_attempt_is_refused_when_its_request_is_quarantined() {
    let mut fleet = TestFleet::start_with(&SERVICES);
    fleet.fill("track");
    fleet.call(ENTRY, culprit_of(1));
    report_crashes(&mut fleet, 2, true);

    fleet.runs().iter().for_each(|run| fleet.end_run(run, answered(200)));

    assert!(fleet.started().iter().all(|it| it.request.target != CULPRIT));
    let (outcome, reason, retry_after) = refused(fleet.answer_of(1));
    assert_eq!((outcome, reason), (CallOutcome::NotRun, RefusalReason::Quarantined));
    assert!(retry_after.is_some());
}

/// Guards against a crash under a request whose client has left, which would then not count against it.
#[test]
fn a_cancelled_run_is_suspected_of_a_crash_that_follows() {
    let mut fleet = TestFleet::start_with(&SERVICES);
    fleet.call(ENTRY, culprit_of(1));
    let run = fleet.only_run();
    fleet.apply(ENTRY, MeshEvent::CallerDisconnected { call: CallId(1) });
    fleet.advance(Duration::from_millis(30));
    fleet.crash_server(run.daemon);

    notice_crash(&mut fleet);

    assert_eq!(n_crashes_known(&fleet), [1; SERVICES.len()]);
}

/// Guards against a crashed server that only stops responding: the runs in progress time out before the first connection
/// fails.
#[test]
fn a_run_that_timed_out_is_suspected_of_the_crash() {
    let mut fleet = TestFleet::start_with(&SERVICES);
    fleet.call(ENTRY, culprit_of(1));
    let run = fleet.only_run();
    fleet.end_run(&run, RunEnd::TimedOut);
    fleet.advance(Duration::from_millis(1_500));
    fleet.crash_server(run.daemon);

    notice_crash(&mut fleet);

    assert_eq!(n_crashes_known(&fleet), [1; SERVICES.len()]);
}

/// Guards against a crashed server that is replaced before any connection to it has failed.
#[test]
fn a_broken_run_is_suspected_when_its_server_starts_anew() {
    let mut fleet = TestFleet::start_with(&SERVICES);
    fleet.call(ENTRY, culprit_of(1));
    let run = fleet.only_run();
    fleet.end_run(&run, RunEnd::Broken);
    fleet
        .runs()
        .iter()
        .for_each(|run| fleet.end_run(run, RunEnd::Rejected { is_misdirected: false }));
    fleet.advance(Duration::from_millis(2_000));

    let mut restarted = server_advertisement(run.daemon, "tracker");
    restarted.started_at_ms += 2_000;
    fleet.apply(run.daemon, MeshEvent::ServerAnnounced { advertisement: restarted, sequence: 1 });

    assert_eq!(n_crashes_known(&fleet), [1; SERVICES.len()]);
}

/// Guards against a crash that counts twice, so that requests which ran beside the culprit are quarantined with it: a
/// refused connection may be noticed before the runs that broke.
#[test]
fn a_crash_counts_once_in_whichever_order_it_is_noticed() {
    let mut fleet = TestFleet::start_with(&SERVICES);
    fleet.call(ENTRY, culprit_of(1));
    let run = fleet.only_run();
    let server = run.daemon;
    fleet.crash_server_silently(server);
    notice_crash(&mut fleet);

    fleet.end_run(&run, RunEnd::Broken);
    fleet.advance(Duration::from_millis(400));
    notice_crash(&mut fleet);

    assert_eq!(n_crashes_known(&fleet), [1; SERVICES.len()]);
}

/// Guards against daemons that start after the crashes: when all have been restarted one after the other, none knows of the
/// request.
#[test]
fn a_rolling_restart_releases_no_quarantined_request() {
    let mut fleet = TestFleet::start_with(&SERVICES);
    report_crashes(&mut fleet, 2, true);

    for daemon in 0..SERVICES.len() {
        fleet.crash(daemon);
        fleet.rejoin(daemon);
    }
    fleet.call(ENTRY, culprit_of(1));

    let (outcome, reason, _) = refused(fleet.answer_of(1));
    assert_eq!((outcome, reason), (CallOutcome::NotRun, RefusalReason::Quarantined));
}

/// Guards against evidence that is sent once, on a link that has gone silent.
#[test]
fn evidence_that_a_silent_link_lost_is_sent_on_the_next() {
    let mut fleet = TestFleet::start_with(&SERVICES);
    fleet.call(ENTRY, culprit_of(1));
    let server = fleet.only_run().daemon;
    let other = (server + 1) % ENTRY;
    fleet.silence_link(server, other);
    fleet.crash_server(server);
    notice_crash(&mut fleet);

    fleet.redial_silent_link(server, other);

    assert_eq!(n_crashes_known(&fleet), [1; SERVICES.len()]);
}

/// Guards against evidence that outlasts the suspicion: of two requests that were in flight at the same two crashes, each
/// is cleared by its own trial.
#[test]
fn a_trial_that_completes_clears_the_request_in_the_table_and_at_all_daemons() {
    let mut fleet = TestFleet::start_with(&SERVICES);
    let companion_of =
        |id| CallRequest { target: "/track/companion".into(), ..call_of(id, "track") };
    fleet.call(ENTRY, culprit_of(1));
    fleet.call(ENTRY, companion_of(2));
    while let Some(run) = fleet.runs().pop() {
        fleet.crash_server(run.daemon);
    }
    (0..ENTRY).for_each(|server| fleet.restart_server(server));
    fleet.advance(Duration::from_secs(6));
    assert_eq!(n_crashes_known(&fleet), [2; SERVICES.len()]);
    assert_eq!(fleet.stored_suspects().len(), 2);

    let answer = fleet.call_and_answer(ENTRY, culprit_of(3));
    fleet.advance(Duration::from_millis(20));

    assert!(matches!(answer, CallAnswer::Complete { status: 200, .. }), "{answer:?}");
    assert_eq!(n_crashes_known(&fleet), [0; SERVICES.len()]);
    assert_eq!(fleet.stored_suspects().len(), 1);
    fleet.call_and_answer(ENTRY, companion_of(4));
    fleet.advance(Duration::from_millis(20));
    assert_eq!(fleet.stored_suspects(), []);
}

/// Guards against several trials of a request at once, also where entries choose different servers for them.
#[test]
fn copies_of_a_request_on_trial_run_one_at_a_time_at_one_server() {
    let mut fleet = TestFleet::start_with(&SERVICES);
    report_crashes(&mut fleet, 2, false);
    fleet.advance(Duration::from_secs(6));

    for id in 1..=8 {
        fleet.call(id as usize % SERVICES.len(), culprit_of(id));
    }

    let run = fleet.only_run();
    assert_eq!(fleet.n_runs_started(), 1);
    fleet.end_run(&run, answered(200));
    let refusals = (1..=8).filter(|id| fleet.status_of(*id).is_none());
    assert!(refusals.clone().count() == 7);
    for id in refusals {
        let (outcome, reason, retry_after) = refused(fleet.answer_of(id));
        assert_eq!((outcome, reason), (CallOutcome::NotRun, RefusalReason::Quarantined));
        assert!(retry_after.is_some());
    }
}
