//! Tests of the messages by which settings spread.

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

fn issue(revision: u64) -> SettingsChange {
    let name = format!("key-{revision}");
    let digest = secret_digest(&name);
    let record =
        KeyRecord { account: "meteo".into(), digest, issued_at: WallClock::from_millis(1) };
    change(revision, TreeEdit::IssueKey { name: name.as_str().into(), record })
}

/// A feed with an account and a key for each further revision.
fn feed_with(n_changes: u64) -> SettingsFeed {
    let mut feed = feed("holder");
    feed.on_changes(&[change(1, replacement("launch", "meteo", 1))]);
    for revision in 2..=n_changes {
        feed.on_changes(&[issue(revision)]);
    }
    feed
}

/// Carries messages between two daemons until none is left, and returns how many there were.
fn exchange(holder: &mut SettingsFeed, asker: &mut SettingsFeed, first: FeedMessage) -> usize {
    let now = TimePoint::ORIGIN;
    let (holder_id, asker_id) = (peer("holder").member, peer("asker").member);
    let mut to_asker = vec![first];
    let mut n_messages = 0;
    while let Some(message) = to_asker.pop() {
        n_messages += 1;
        for effect in asker.on_message(now, &holder_id, message) {
            let FeedEffect::Send { message, .. } = effect else { continue };
            n_messages += 1;
            // The holder's tree goes on changing.
            let next = holder.revision().next().0;
            holder.on_changes(&[issue(next)]);
            for reply in holder.on_message(now, &asker_id, message) {
                let FeedEffect::Send { message, .. } = reply else { continue };
                let encoded = rmp_serde::to_vec(&message).expect("messages are plain data");
                to_asker.push(rmp_serde::from_slice(&encoded).expect("messages can be read back"));
            }
        }
        assert!(n_messages < 1_000, "the exchange does not end");
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
fn daemon_a_little_behind_gets_the_missing_changes() {
    let mut holder = feed_with(300);
    let mut asker = feed_with(250);
    exchange(&mut holder, &mut asker, FeedMessage::RevisionNotice { revision: Revision(300) });
    assert!(Revision(300) <= asker.revision());
}

#[test]
fn empty_handed_daemon_gets_the_tree_page_by_page_while_it_changes() {
    let mut holder = feed_with(2_000);
    let mut asker = feed("asker");
    exchange(&mut holder, &mut asker, FeedMessage::RevisionNotice { revision: Revision(2_000) });
    assert_eq!(asker.tree(), holder.tree());
}

#[test]
fn lower_revision_is_never_taken() {
    let mut holder = feed_with(20);
    let before = holder.tree().clone();
    holder.on_changes(&[issue(5), issue(22)]);
    holder.on_snapshot(feed_with(19).tree().clone());
    exchange(&mut feed_with(3), &mut holder, FeedMessage::RevisionNotice { revision: Revision(3) });
    assert_eq!(holder.tree(), &before);
}

#[test]
fn messages_are_bounded() {
    let mut holder = feed_with(2_000);
    for after in [0, 1_490, 1_700, 2_000] {
        let request = FeedMessage::DeltaRequest { after: Revision(after) };
        let effects = holder.on_message(TimePoint::ORIGIN, &peer("asker").member, request);
        let FeedEffect::Send { message, .. } = &effects[0] else { panic!("{effects:?}") };
        assert!(rmp_serde::to_vec(message).unwrap().len() < 100_000);
    }
}
