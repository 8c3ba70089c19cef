//! Tests of storing changes under races, lost responses and delayed requests, and of reading the tree while it changes.

mod support;

use std::collections::BTreeSet;

use ivytrail::{
    id::MemberId,
    platform::TableTransaction,
    settings::{
        KeyRecord, Revision, SettingsChange, SettingsTree, TreeEdit,
        credential::secret_digest,
        feed::{FeedEffect, FeedMessage, FeedOptions, FeedPeer, SettingsFeed},
        rows::{CHANGES_PER_READ, changes_read_with_base, decode_changes},
        snapshot::{SnapshotReader, SnapshotStep},
        store::{ChangeDraft, EditMode, EditOutcome, EditSession, EditStep},
    },
    time::{TimePoint, WallClock},
};
use proptest::prelude::*;
use support::{MemoryTable, draft, replacement};

fn run(table: &mut MemoryTable, draft: ChangeDraft) -> EditOutcome {
    run_in(table, draft, EditMode::Commit, &SettingsTree::default())
}

fn run_in(
    table: &mut MemoryTable,
    draft: ChangeDraft,
    mode: EditMode,
    tree: &SettingsTree,
) -> EditOutcome {
    let (mut session, mut step) = EditSession::start(draft, mode, tree.clone());
    loop {
        step = match step {
            EditStep::Read(read) => session.on_rows(&table.read(&read)),
            EditStep::Transact(transaction) => {
                let result = table.transact(&transaction);
                session.on_result(&result)
            }
            EditStep::Done(outcome) => return outcome,
        };
    }
}

fn read_tree(table: &MemoryTable) -> SettingsTree {
    let (mut reading, mut read) = SnapshotReader::start();
    loop {
        match reading.on_rows(&table.read(&read)).expect("rows are well formed") {
            SnapshotStep::Read(next) => read = next,
            SnapshotStep::Done(tree) => return *tree,
        }
    }
}

fn issue(name: &str, account: &str) -> TreeEdit {
    let digest = secret_digest(name);
    let record =
        KeyRecord { account: account.into(), digest, issued_at: WallClock::from_millis(1) };
    TreeEdit::IssueKey { name: name.into(), record }
}

fn stored(revision: u64) -> EditOutcome {
    EditOutcome::Stored { revision: Revision(revision) }
}

#[test]
fn change_is_stored_with_its_audit_entry() {
    let mut table = MemoryTable::default();
    assert_eq!(run(&mut table, draft("a", 0, replacement("launch", "meteo", 1))), stored(1));
    assert_eq!(run(&mut table, draft("b", 1, replacement("launch", "meteo", 2))), stored(2));
    let changes = table.changes();
    assert_eq!(changes[1].before["accounts"]["meteo"]["burst"], 1.0);
    assert_eq!(changes[1].operator, "operator-of-b");
}

#[test]
fn conflicting_edit_reports_the_earlier_change() {
    let mut table = MemoryTable::default();
    run(&mut table, draft("a", 0, replacement("launch", "meteo", 1)));
    let outcome = run(&mut table, draft("b", 0, replacement("launch", "meteo", 2)));
    let EditOutcome::Overtaken { changes } = outcome else { panic!("{outcome:?}") };
    assert_eq!(changes[0].operator, "operator-of-a");
    assert_eq!((changes[0].revision, changes[0].subject.as_str()), (Revision(1), "team/launch"));
}

#[test]
fn changes_of_other_teams_do_not_conflict_but_are_validated() {
    let mut table = MemoryTable::default();
    run(&mut table, draft("a", 0, replacement("launch", "meteo", 1)));
    assert_eq!(run(&mut table, draft("b", 0, replacement("charter", "travel", 1))), stored(2));
    let outcome = run(&mut table, draft("c", 0, replacement("quotes", "meteo", 1)));
    assert!(matches!(outcome, EditOutcome::Refused { .. }), "{outcome:?}");
}

#[test]
fn applying_twice_changes_nothing() {
    let mut table = MemoryTable::default();
    run(&mut table, draft("a", 0, replacement("launch", "meteo", 1)));
    let outcome = run(&mut table, draft("b", 1, replacement("launch", "meteo", 1)));
    assert_eq!(outcome, EditOutcome::Unchanged { revision: Revision(1) });
}

#[test]
fn dry_run_shows_the_difference_and_stores_nothing() {
    let mut table = MemoryTable::default();
    let edit = replacement("launch", "meteo", 1);
    let outcome =
        run_in(&mut table, draft("a", 0, edit), EditMode::DryRun, &SettingsTree::default());
    let EditOutcome::WouldChange { diff, .. } = outcome else { panic!("{outcome:?}") };
    assert!(diff.contains("+    \"meteo\""));
    assert_eq!(table.changes().len(), 0);
}

#[test]
fn resent_issue_does_not_restore_a_withdrawn_key() {
    let mut table = MemoryTable::default();
    run(&mut table, draft("a", 0, replacement("launch", "meteo", 1)));
    assert_eq!(run(&mut table, draft("b", 1, issue("k", "meteo"))), stored(2));
    let withdrawal = TreeEdit::WithdrawKey { name: "k".into() };
    assert_eq!(run(&mut table, draft("c", 2, withdrawal.clone())), stored(3));
    assert_eq!(run(&mut table, draft("b", 1, issue("k", "meteo"))), stored(2));
    assert_eq!(run(&mut table, draft("c", 2, withdrawal)), stored(3));
    assert!(read_tree(&table).keys.is_empty());
}

#[test]
fn reused_change_id_is_refused() {
    let mut table = MemoryTable::default();
    run(&mut table, draft("a", 0, replacement("launch", "meteo", 1)));
    let outcome = run(&mut table, draft("a", 0, replacement("charter", "travel", 1)));
    assert!(matches!(outcome, EditOutcome::Refused { .. }), "{outcome:?}");
}

#[test]
fn platform_that_lost_revisions_is_not_modified() {
    let tree = SettingsTree { revision: Revision(9), ..SettingsTree::default() };
    let change = draft("a", 9, replacement("launch", "meteo", 1));
    let outcome = run_in(&mut MemoryTable::default(), change, EditMode::Commit, &tree);
    assert!(matches!(outcome, EditOutcome::NotStored { .. }), "{outcome:?}");
}

/// Returns a feed that holds the tree in `table`.
fn feed_of(name: &str, table: &MemoryTable) -> SettingsFeed {
    let member = MemberId { instance: name.into(), incarnation: 1 };
    let local_peer = FeedPeer { member, domain: "kolkata".into() };
    let mut feed = SettingsFeed::new(local_peer, FeedOptions::default(), 1);
    feed.on_snapshot(read_tree(table));
    feed
}

/// Executes the reads of the platform that are due at `seconds`.
fn poll(feed: &mut SettingsFeed, table: &MemoryTable, seconds: u64) {
    for effect in feed.tick(TimePoint::from_millis(seconds * 1_000), &[], true) {
        match effect {
            FeedEffect::ReadChanges { after } => {
                let rows = table.read(&changes_read_with_base(after, CHANGES_PER_READ));
                feed.on_changes(&decode_changes(&rows).expect("rows are well formed"));
            }
            FeedEffect::ReadTree => feed.on_snapshot(read_tree(table)),
            FeedEffect::Send { .. } => {}
        }
    }
}

/// The platform comes back from an older copy, and an operator stores changes through a daemon that has just started. They
/// are given revisions that a running daemon already holds with other contents.
#[test]
fn a_running_daemon_follows_changes_that_are_stored_after_a_restore() {
    let mut table = MemoryTable::default();
    run(&mut table, draft("a", 0, replacement("launch", "meteo", 1)));
    let copy = table.clone();
    run(&mut table, draft("b", 1, replacement("launch", "meteo", 2)));
    let mut feed = feed_of("running", &table);

    table = copy;
    run(&mut table, draft("c", 1, replacement("launch", "meteo", 3)));
    run(&mut table, draft("d", 2, replacement("charter", "travel", 1)));
    poll(&mut feed, &table, 1);
    poll(&mut feed, &table, 2);

    assert_eq!(feed.tree(), &read_tree(&table));
}

/// The change that was lost in the restore concerned a team that no later change touches.
#[test]
fn a_change_that_was_lost_in_a_restore_does_not_stay_in_force() {
    let mut table = MemoryTable::default();
    run(&mut table, draft("a", 0, replacement("launch", "meteo", 1)));
    let copy = table.clone();
    run(&mut table, draft("b", 1, replacement("launch", "meteo", 2)));
    let mut feed = feed_of("running", &table);

    table = copy;
    run(&mut table, draft("c", 1, replacement("charter", "travel", 1)));
    poll(&mut feed, &table, 1);
    poll(&mut feed, &table, 2);

    assert_eq!(feed.tree(), &read_tree(&table));
}

/// Of two daemons with the same revision, one holds a change that was lost in the restore. Neither is a poller.
#[test]
fn daemons_with_different_histories_of_a_revision_read_the_platform() {
    let mut table = MemoryTable::default();
    run(&mut table, draft("a", 0, replacement("launch", "meteo", 1)));
    let copy = table.clone();
    run(&mut table, draft("b", 1, replacement("launch", "meteo", 2)));
    let mut outdated = feed_of("running", &table);
    table = copy;
    run(&mut table, draft("c", 1, replacement("charter", "travel", 1)));
    let current = feed_of("started", &table);

    let SettingsTree { revision, change_id, .. } = current.tree().clone();
    let from = MemberId { instance: "started".into(), incarnation: 1 };
    let notice = FeedMessage::RevisionNotice { revision, change_id };
    outdated.on_message(TimePoint::from_millis(1_000), &from, notice);
    poll(&mut outdated, &table, 1);

    assert_eq!(outdated.tree(), &read_tree(&table));
}

/// A daemon that holds a lost change requests the changes after it from a daemon that follows the restored table.
#[test]
fn changes_of_another_history_are_not_sent_as_a_delta() {
    let mut table = MemoryTable::default();
    run(&mut table, draft("a", 0, replacement("launch", "meteo", 1)));
    run(&mut table, draft("c", 1, replacement("charter", "travel", 1)));
    let mut current = feed_of("started", &table);
    run(&mut table, draft("d", 2, replacement("charter", "travel", 2)));
    poll(&mut current, &table, 1);

    let from = MemberId { instance: "running".into(), incarnation: 1 };
    let request = FeedMessage::DeltaRequest { after: Revision(2), change_id: "b".to_string() };
    let effects = current.on_message(TimePoint::from_millis(2_000), &from, request);

    let is_page = |effect: &FeedEffect| {
        matches!(effect, FeedEffect::Send { message: FeedMessage::SnapshotReply(_), .. })
    };
    assert!(effects.iter().any(is_page), "{effects:?}");
}

#[test]
fn snapshot_is_consistent_while_changes_are_stored() {
    let mut table = MemoryTable::default();
    run(&mut table, draft("first", 0, replacement("team-0", "account-0", 1)));
    let mut tree = read_tree(&table);
    for idx in 0..1_100 {
        let name = format!("key-{idx}");
        let change = draft(&name, idx + 1, issue(&name, "account-0"));
        run_in(&mut table, change, EditMode::Commit, &tree);
        let stored = support::change(idx + 2, issue(&name, "account-0"));
        tree.apply(&SettingsChange { change_id: name, ..stored }).unwrap();
    }
    let (mut reading, mut read) = SnapshotReader::start();
    let mut n_pages = 0;
    let tree = loop {
        let rows = table.read(&read);
        let removed = TreeEdit::WithdrawKey { name: format!("key-{n_pages}").into() };
        run(&mut table, draft(&format!("w-{n_pages}"), 1_101, removed));
        n_pages += 1;
        match reading.on_rows(&rows).unwrap() {
            SnapshotStep::Read(next) => read = next,
            SnapshotStep::Done(tree) => break *tree,
        }
    };
    let mut expected = SettingsTree::default();
    for change in table.changes().iter().take_while(|it| it.revision <= tree.revision) {
        expected.apply(change).unwrap();
    }
    assert!(4 < n_pages && Revision(1_101) < tree.revision);
    assert_eq!(tree, expected);
}

/// Network fault that affects one request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum NetworkFault {
    None,
    RequestLost,
    ResponseLost,
    RequestDelayed,
}

fn faults() -> impl Strategy<Value = Vec<NetworkFault>> {
    let fault = prop_oneof![
        6 => Just(NetworkFault::None),
        1 => Just(NetworkFault::RequestLost),
        2 => Just(NetworkFault::ResponseLost),
        2 => Just(NetworkFault::RequestDelayed),
    ];
    proptest::collection::vec(fault, 1..60)
}

/// An operator's edit. Consecutive sessions resend it until its outcome is known.
struct OperatorRun {
    draft: ChangeDraft,
    session: EditSession,
    step: EditStep,
}

impl OperatorRun {
    fn start(idx: usize, tree: &SettingsTree) -> OperatorRun {
        let team = format!("team-{}", idx % 2);
        let account = format!("account-{}", idx % 3);
        let edit = replacement(&team, &account, 1 + idx as u32);
        let draft = draft(&format!("id-{idx}"), 0, edit);
        let (session, step) = EditSession::start(draft.clone(), EditMode::Commit, tree.clone());
        OperatorRun { draft, session, step }
    }

    /// Abandons the session as the daemon does when the operator's request times out, after the last request was sent.
    fn abandon(&mut self, delayed: &mut Vec<TableTransaction>) {
        if let EditStep::Transact(transaction) = &self.step {
            delayed.push(transaction.clone());
            self.session.on_transaction_lost();
        }
        if !matches!(self.step, EditStep::Done(_)) {
            self.step = EditStep::Done(self.session.abandon());
        }
    }

    fn advance(
        &mut self,
        table: &mut MemoryTable,
        fault: NetworkFault,
        delayed: &mut Vec<TableTransaction>,
    ) {
        self.step = match (&self.step, fault) {
            (EditStep::Read(read), NetworkFault::None) => self.session.on_rows(&table.read(read)),
            (EditStep::Read(_), _) => self.session.on_read_lost(),
            (EditStep::Transact(transaction), NetworkFault::None) => {
                self.session.on_result(&table.transact(transaction))
            }
            (EditStep::Transact(transaction), fault) => {
                match fault {
                    NetworkFault::ResponseLost => drop(table.transact(transaction)),
                    NetworkFault::RequestDelayed => delayed.push(transaction.clone()),
                    NetworkFault::RequestLost | NetworkFault::None => {}
                }
                self.session.on_transaction_lost()
            }
            (EditStep::Done(EditOutcome::Unknown { .. }), _) => {
                let draft = ChangeDraft { resent: true, ..self.draft.clone() };
                let tree = SettingsTree::default();
                let (session, step) = EditSession::start(draft, EditMode::Commit, tree);
                self.session = session;
                step
            }
            (EditStep::Done(outcome), _) => EditStep::Done(outcome.clone()),
        };
    }
}

/// Asserts that each reported outcome agrees with the table, and that no change was applied twice.
fn check_outcomes(runs: &[OperatorRun], table: &MemoryTable) {
    let changes = table.changes();
    let ids = changes.iter().map(|it| it.change_id.as_str()).collect::<Vec<_>>();
    assert_eq!(ids.iter().collect::<BTreeSet<_>>().len(), ids.len(), "a change was applied twice");
    for run in runs {
        let is_stored = ids.contains(&run.draft.change_id.as_str());
        match &run.step {
            EditStep::Done(EditOutcome::Stored { .. }) => assert!(is_stored, "{:?}", run.draft),
            EditStep::Done(EditOutcome::Unknown { .. }) => {}
            EditStep::Done(outcome) => assert!(!is_stored, "{outcome:?} {:?}", run.draft),
            EditStep::Read(_) | EditStep::Transact(_) => {}
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]

    #[test]
    fn outcomes_are_correct_under_lost_responses_and_delayed_requests(
        faults in faults(),
        order in proptest::collection::vec((0_usize..4, any::<bool>(), 0_u8..20), 40..120),
    ) {
        let mut table = MemoryTable::default();
        let mut delayed = Vec::new();
        let mut runs = (0..4).map(|idx| OperatorRun::start(idx, &SettingsTree::default())).collect::<Vec<_>>();
        for (idx, (run_idx, delivers_delayed, abandon_roll)) in order.iter().enumerate() {
            match abandon_roll {
                0 => runs[*run_idx].abandon(&mut delayed),
                _ => runs[*run_idx].advance(&mut table, faults[idx % faults.len()], &mut delayed),
            }
            if *delivers_delayed && !delayed.is_empty() {
                table.transact(&delayed.remove(0));
            }
            check_outcomes(&runs, &table);
        }
        for transaction in &delayed {
            table.transact(transaction);
        }
        check_outcomes(&runs, &table);
        let mut replayed = SettingsTree::default();
        for change in table.changes() {
            replayed.apply(&change).expect("revisions have no gap");
        }
        prop_assert_eq!(replayed, read_tree(&table));
    }
}
