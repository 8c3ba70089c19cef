use super::*;
use crate::{
    id::InstanceName,
    message::CallOutcome,
    time::{TimePoint, WallClock},
};

const START_MS: u64 = 1_800_000_000_000;

fn member(name: &str) -> MemberId {
    MemberId { instance: InstanceName::from(name), incarnation: 1 }
}

fn attempt(serial: u64) -> AttemptId {
    AttemptId { entry: member("entry"), serial }
}

fn key(name: &str) -> ContentDigest {
    ContentDigest::of_parts(&[name.as_bytes()])
}

fn offer(serial: u64, made_ms: Option<u64>, priors: &[PriorOwner]) -> ClaimOffer {
    ClaimOffer {
        claim: key("key"),
        fingerprint: key("body"),
        made_ms,
        attempt: attempt(serial),
        priors: priors.to_vec(),
    }
}

fn response(size: usize) -> StoredResponse {
    StoredResponse { status: 201, headers: Vec::new(), body: Bytes::from(vec![7; size]) }
}

fn at(seconds: u64) -> TimePoint {
    TimePoint::from_millis(seconds * 1_000)
}

fn wall(seconds: u64) -> WallClock {
    WallClock::from_millis(START_MS + seconds * 1_000)
}

fn table() -> ClaimTable {
    ClaimTable::new(ClaimOptions::default())
}

fn prior(seconds: u64, living: bool) -> PriorOwner {
    PriorOwner { member: Some(member("prior")), owned_until: at(seconds), is_live: living }
}

#[test]
fn a_resend_joins_the_run_and_receives_its_response() {
    let mut table = table();

    let first = table.offer(at(1), wall(1), &offer(1, None, &[]));
    let second = table.offer(at(2), wall(2), &offer(2, None, &[]));
    let joined = table.settle(at(3), &key("key"), ClaimOutcome::Answered(response(10)));
    let third = table.offer(at(4), wall(4), &offer(3, None, &[]));

    assert_eq!(first, ClaimVerdict::Run);
    assert_eq!(second, ClaimVerdict::Join);
    assert_eq!(joined, [attempt(2)]);
    assert_eq!(third, ClaimVerdict::Replay(response(10)));
}

#[test]
fn a_key_used_with_another_request_is_refused() {
    let mut table = table();
    table.offer(at(1), wall(1), &offer(1, None, &[]));
    let other = ClaimOffer { fingerprint: key("other body"), ..offer(2, None, &[]) };

    let verdict = table.offer(at(2), wall(2), &other);

    assert_eq!(verdict, ClaimVerdict::KeyReused);
}

#[test]
fn an_oversized_response_is_not_stored() {
    let mut table = table();
    table.offer(at(1), wall(1), &offer(1, None, &[]));
    table.settle(at(2), &key("key"), ClaimOutcome::Answered(response(100_000)));

    let verdict = table.offer(at(3), wall(3), &offer(2, None, &[]));

    assert_eq!(verdict, ClaimVerdict::AnswerGone);
    assert_eq!(table.stored_bytes(), 0);
}

#[test]
fn after_a_takeover_only_keys_made_later_run() {
    let fenced = [prior(100, false)];
    let check = |seconds, created: Option<u64>, expected: ClaimVerdict| {
        let made_ms = created.map(|it| START_MS + it * 1_000);
        let verdict = table().offer(at(seconds), wall(seconds), &offer(1, made_ms, &fenced));
        assert_eq!(verdict, expected, "at {seconds} s, created {created:?}");
    };

    check(101, Some(90), ClaimVerdict::InDoubt);
    check(108, Some(107), ClaimVerdict::InDoubt);
    check(109, Some(108), ClaimVerdict::Run);
    check(650, Some(99), ClaimVerdict::InDoubt);
    check(699, None, ClaimVerdict::InDoubt);
    check(701, None, ClaimVerdict::Run);
    check(10_000, Some(5_000), ClaimVerdict::TooOld);
    check(200, Some(210), ClaimVerdict::TooNew);
}

#[test]
fn a_living_earlier_owner_is_asked_and_never_runs_the_key_later() {
    let (mut old, mut new) = (table(), table());
    let living = [prior(100, true)];
    let question = ClaimQuestion { claim: key("key"), fingerprint: key("body"), made_ms: None };

    let verdict = new.offer(at(101), wall(101), &offer(1, None, &living));
    let reply = old.answer_question(at(101), wall(101), &member("new"), &question, &[]);
    let verdicts = new.apply_answer(at(102), &member("prior"), reply.clone());

    assert_eq!(verdict, ClaimVerdict::Ask(member("prior")));
    assert_eq!(reply.status, ClaimStatus::NotRun);
    assert_eq!(verdicts, [(attempt(1), ClaimVerdict::Run)]);
    assert_eq!(old.offer(at(103), wall(103), &offer(9, None, &[])), ClaimVerdict::InDoubt);
    let third = old.answer_question(at(104), wall(104), &member("third"), &question, &[]);
    assert_eq!(
        third.status,
        ClaimStatus::InDoubt,
        "the member that asked first may have run the request"
    );
}

#[test]
fn a_graceful_leave_transfers_responses_and_leaves_no_doubt() {
    let (mut old, mut new) = (table(), table());
    old.offer(at(1), wall(1), &offer(1, None, &[]));
    old.settle(at(2), &key("key"), ClaimOutcome::Answered(response(10)));
    let unseen = ClaimOffer { claim: key("unseen"), ..offer(3, None, &[prior(3, false)]) };

    for (_, handover) in old.handover_batches(at(3), &[member("new")], 100) {
        assert!(new.import_handover(at(3), &member("prior"), handover));
    }

    let living =
        new.offer(at(4), wall(4), &ClaimOffer { priors: vec![prior(3, true)], ..unseen.clone() });
    assert_eq!(living, ClaimVerdict::Ask(member("prior")));
    new.apply_answer(
        at(4),
        &member("prior"),
        ClaimAnswer { claim: key("unseen"), status: ClaimStatus::NotRun },
    );
    new.release_not_run(at(4), &key("unseen"));
    let verdict = new.offer(at(4), wall(4), &offer(2, None, &[prior(3, false)]));
    assert_eq!(verdict, ClaimVerdict::Replay(response(10)));
    assert_eq!(new.offer(at(4), wall(4), &unseen), ClaimVerdict::Run);
}

#[test]
fn an_attempt_reported_as_not_run_cannot_run() {
    let mut ledger = AttemptLedger::new(LedgerOptions::default());
    ledger.begin(at(1), &attempt(1));

    assert_eq!(ledger.query(at(2), &attempt(1)), AttemptStatus::Pending);
    assert_eq!(ledger.query(at(2), &attempt(2)), AttemptStatus::NotRun);
    assert_eq!(ledger.begin(at(3), &attempt(2)), AttemptVerdict::Tombstone);
    assert_eq!(ledger.begin(at(3), &attempt(1)), AttemptVerdict::Duplicate);
    ledger.end(at(4), &attempt(1), CallOutcome::Ran);
    assert_eq!(ledger.query(at(5), &attempt(1)), AttemptStatus::Ended(CallOutcome::Ran));
}

#[test]
fn an_evicted_attempt_is_neither_run_nor_reported_as_not_run() {
    let mut ledger = AttemptLedger::new(LedgerOptions { max_attempts: 1, ..Default::default() });
    ledger.begin(at(1), &attempt(1));
    ledger.end(at(1), &attempt(1), CallOutcome::Ran);
    ledger.begin(at(2), &attempt(2));

    assert_eq!(ledger.query(at(3), &attempt(1)), AttemptStatus::Forgotten);
    assert_eq!(ledger.begin(at(3), &attempt(1)), AttemptVerdict::Stale);
    assert_eq!(ledger.begin(at(3), &attempt(3)), AttemptVerdict::Full);
}

#[test]
fn only_version_7_keys_contain_a_creation_time() {
    let check = |key: &str, expected: Option<u64>| assert_eq!(made_ms_of(key), expected, "{key}");

    check("017f22e2-79b0-7cc3-98c4-dc0c0c07398f", Some(1_645_557_742_000));
    check("5df41881-3aed-4515-88a7-2f4a814cf09e", None);
    check("booking-17", None);
}

#[test]
fn a_transferred_response_replaces_a_tombstone() {
    let (mut leaver, mut successor) = (table(), table());
    let question = ClaimQuestion { claim: key("key"), fingerprint: key("body"), made_ms: None };
    successor.answer_question(at(1), wall(1), &member("leaver"), &question, &[]);
    leaver.offer(at(1), wall(1), &offer(1, None, &[]));
    leaver.settle(at(2), &key("key"), ClaimOutcome::Answered(response(10)));

    for (_, handover) in leaver.handover_batches(at(3), &[member("successor")], 100) {
        successor.import_handover(at(3), &member("leaver"), handover);
    }

    let verdict = successor.offer(at(4), wall(4), &offer(2, None, &[]));
    assert_eq!(verdict, ClaimVerdict::Replay(response(10)));
}

#[test]
fn oldest_responses_are_evicted_and_their_claims_stay() {
    let mut table = ClaimTable::new(ClaimOptions { max_stored_bytes: 25, ..Default::default() });
    let claims: Vec<ClaimOffer> =
        ["a", "b", "c"].map(|name| ClaimOffer { claim: key(name), ..offer(1, None, &[]) }).to_vec();
    for claim in &claims {
        table.offer(at(1), wall(1), claim);
        table.settle(at(2), &claim.claim, ClaimOutcome::Answered(response(10)));
    }

    let verdicts: Vec<ClaimVerdict> =
        claims.iter().map(|claim| table.offer(at(3), wall(3), claim)).collect();

    let replay = ClaimVerdict::Replay(response(10));
    assert_eq!(verdicts, [ClaimVerdict::AnswerGone, replay.clone(), replay]);
    assert_eq!(table.stored_bytes(), 20);
    table.sweep(at(10_000));
    assert_eq!((table.len(), table.stored_bytes()), (0, 0));
}

/// The table has no room for the claim, and a live earlier owner may have run the request.
#[test]
fn a_full_table_leaves_a_key_that_an_earlier_owner_may_have_run_in_doubt() {
    let mut table = ClaimTable::new(ClaimOptions { max_claims: 1, ..ClaimOptions::default() });
    let other = ClaimOffer { claim: key("other key"), ..offer(1, None, &[]) };
    table.offer(at(1), wall(1), &other);

    let verdict = table.offer(at(2), wall(2), &offer(2, None, &[prior(1, true)]));

    assert_eq!(verdict, ClaimVerdict::InDoubt);
}
