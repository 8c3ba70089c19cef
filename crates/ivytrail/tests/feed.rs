//! Tests of the messages that propagate settings between daemons.

mod support;

use ivytrail::{
    id::MemberId,
    settings::{
        KeyRecord, Revision, SettingsChange, TreeEdit,
        check::parse_subtree,
        credential::secret_digest,
        feed::{FeedEffect, FeedMessage, FeedOptions, FeedPeer, SettingsFeed},
    },
    time::{TimePoint, WallClock},
};
use serde_json::json;
use support::{change, replacement};

fn peer(name: &str) -> FeedPeer {
    let member = MemberId { instance: name.into(), incarnation: 1 };
    FeedPeer { member, domain: "kolkata".into() }
}

fn feed(name: &str) -> SettingsFeed {
    SettingsFeed::new(peer(name), FeedOptions::default(), 1)
}

/// Returns a notice of a revision that was made by the fixtures' change.
fn notice(revision: Revision) -> FeedMessage {
    FeedMessage::RevisionNotice { revision, change_id: format!("change-{}", revision.0) }
}

fn issue(revision: u64) -> SettingsChange {
    let name = format!("key-{revision}");
    let digest = secret_digest(&name);
    let record =
        KeyRecord { account: "meteo".into(), digest, issued_at: WallClock::from_millis(1) };
    change(revision, TreeEdit::IssueKey { name: name.as_str().into(), record })
}

/// Returns a feed whose first change adds an account and each further change issues a key.
fn feed_with(n_changes: u64) -> SettingsFeed {
    let mut feed = feed("holder");
    feed.on_changes(&[change(1, replacement("launch", "meteo", 1))]);
    for revision in 2..=n_changes {
        feed.on_changes(&[issue(revision)]);
    }
    feed
}

/// Delivers messages between two daemons until none is left, and returns their number.
fn exchange(holder: &mut SettingsFeed, requester: &mut SettingsFeed, first: FeedMessage) -> usize {
    let now = TimePoint::ORIGIN;
    let (holder_id, requester_id) = (peer("holder").member, peer("requester").member);
    let mut to_requester = vec![first];
    let mut n_messages = 0;
    while let Some(message) = to_requester.pop() {
        n_messages += 1;
        for effect in requester.on_message(now, &holder_id, message) {
            let FeedEffect::Send { message, .. } = effect else { continue };
            n_messages += 1;
            // The holder's tree changes during the exchange.
            let next = holder.revision().next().0;
            holder.on_changes(&[issue(next)]);
            for reply in holder.on_message(now, &requester_id, message) {
                let FeedEffect::Send { message, .. } = reply else { continue };
                let encoded = rmp_serde::to_vec(&message).expect("messages can be encoded");
                to_requester
                    .push(rmp_serde::from_slice(&encoded).expect("messages can be decoded"));
            }
        }
        assert!(n_messages < 1_000, "the exchange does not terminate");
    }
    n_messages
}

#[test]
fn changes_survive_their_encoding_between_daemons() {
    let text = json!({
        "accounts": {"meteo": {"rate_per_s": 1, "burst": 2}, "big": {"rate_per_s": 1, "burst": 2, "weight": 3}},
        "services": {"booking": {"max_queue_ms": 7}, "quotes": {"max_concurrency": 5}},
        "routes": {"book": {"method": "POST", "path": "/book", "service": "booking", "open": true}},
    });
    let subtree = parse_subtree(&text.to_string()).unwrap();
    let withdrawal = TreeEdit::WithdrawKey { name: "key-2".into() };
    let replacing = TreeEdit::ReplaceSubtree { team: "launch".into(), subtree };
    let changes = vec![change(1, replacing), issue(2), change(3, withdrawal)];
    let message = FeedMessage::DeltaReply { changes, revision: Revision(3) };
    let encoded = rmp_serde::to_vec(&message).unwrap();
    assert_eq!(rmp_serde::from_slice::<FeedMessage>(&encoded).unwrap(), message);
}

#[test]
fn daemon_slightly_behind_gets_the_missing_changes() {
    let mut holder = feed_with(300);
    let mut requester = feed_with(250);
    exchange(&mut holder, &mut requester, notice(Revision(300)));
    assert!(Revision(300) <= requester.revision());
}

#[test]
fn empty_daemon_gets_the_tree_in_pages_while_it_changes() {
    let mut holder = feed_with(2_000);
    let mut requester = feed("requester");
    exchange(&mut holder, &mut requester, notice(Revision(2_000)));
    assert_eq!(requester.tree(), holder.tree());
}

#[test]
fn lower_revision_is_never_applied() {
    let mut holder = feed_with(20);
    let before = holder.tree().clone();
    holder.on_changes(&[issue(5), issue(22)]);
    holder.on_snapshot(feed_with(19).tree().clone());
    exchange(&mut feed_with(3), &mut holder, notice(Revision(3)));
    assert_eq!(holder.tree(), &before);
}

#[test]
fn message_size_is_bounded() {
    let mut holder = feed_with(2_000);
    for after in [0, 1_490, 1_700, 2_000] {
        let request =
            FeedMessage::DeltaRequest { after: Revision(after), change_id: String::new() };
        let effects = holder.on_message(TimePoint::ORIGIN, &peer("requester").member, request);
        let FeedEffect::Send { message, .. } = &effects[0] else { panic!("{effects:?}") };
        assert!(rmp_serde::to_vec(message).unwrap().len() < 100_000);
    }
}
