//! Tests of the validation of subtrees and keys, of applying changes, and of route and key lookups.

use std::collections::BTreeMap;

use ivytrail::{
    error::Findings,
    id::KeyName,
    settings::{
        KeyRecord, Revision, SettingsChange, SettingsTree, TreeEdit,
        check::{check_key, check_subtree, parse_subtree},
        credential::secret_digest,
        edit::diff_subtrees,
        lookup::{KeyIndex, RouteTable},
    },
    time::WallClock,
};
use serde_json::{Value, json};

fn booking_subtree() -> Value {
    json!({
        "accounts": {"meteo": {"rate_per_s": 10, "burst": 20}},
        "services": {"booking": {}},
        "routes": {
            "book": {"method": "POST", "path": "/book", "service": "booking", "priority": "critical"},
            "book-fast": {"method": "POST", "path": "/book/fast", "service": "booking"},
            "all": {"method": "GET", "path": "/", "service": "booking", "open": true},
        },
    })
}

fn key_for(account: &str) -> KeyRecord {
    let digest = secret_digest("s3cret");
    KeyRecord { account: account.into(), digest, issued_at: WallClock::from_millis(7) }
}

fn booking_tree() -> SettingsTree {
    let subtree = parse_subtree(&booking_subtree().to_string()).expect("fixture is valid");
    let teams = BTreeMap::from([("launch-desk".into(), subtree)]);
    let keys = BTreeMap::from([("meteo-1".into(), key_for("meteo"))]);
    SettingsTree { revision: Revision(4), teams, keys, ..SettingsTree::default() }
}

fn withdrawal(revision: u64) -> SettingsChange {
    SettingsChange {
        revision: Revision(revision),
        change_id: format!("id-{revision}"),
        operator: "asha".to_string(),
        accepted_at: WallClock::from_millis(9),
        edit: TreeEdit::WithdrawKey { name: "meteo-1".into() },
        before: Value::Null,
    }
}

fn check_places(findings: &Findings, expected: &[&str]) {
    let places = findings.iter().map(|it| it.place.as_str()).collect::<Vec<_>>();
    assert_eq!(places, expected, "{findings}");
}

fn check_route(method: &str, path: &str, expected: Option<&str>) {
    let table = RouteTable::new(&booking_tree());
    let found = table.find(method, path).map(|(_, name, _)| name.as_str());
    assert_eq!(found, expected, "{method} {path}");
}

#[test]
fn all_findings_of_a_subtree_are_reported_together() {
    let mut subtree = booking_subtree();
    subtree["accounts"]["meteo"]["rate_per_s"] = json!(-1);
    subtree["accounts"]["Bad name"] = json!({});
    subtree["services"]["booking"]["max_concurrency"] = json!(0);
    subtree["routes"]["book"]["service"] = json!("bookings");
    subtree["routes"]["book"]["color"] = json!(1);
    subtree["routes"]["book-fast"]["path"] = json!("/book");
    subtree["routes"]["all"]["path"] = json!("/a/../b");
    let findings = parse_subtree(&subtree.to_string()).unwrap_err();
    check_places(
        &findings,
        &[
            "$.accounts.Bad name",
            "$.accounts.meteo.rate_per_s",
            "$.services.booking.max_concurrency",
            "$.routes.all.path",
            "$.routes.book.color",
            "$.routes.book.service",
            "$.routes.book-fast.path",
        ],
    );
}

#[test]
fn duplicate_object_member_is_a_finding() {
    let text = r#"{"accounts": {"a": {"rate_per_s": 1, "burst": 1}, "a": {}}}"#;
    check_places(&parse_subtree(text).unwrap_err(), &["$.accounts.a"]);
}

#[test]
fn names_and_paths_are_unique_across_teams() {
    let tree = booking_tree();
    let subtree = parse_subtree(&booking_subtree().to_string()).unwrap();
    let findings = check_subtree(&tree, &"charter".into(), &subtree).unwrap_err();
    check_places(
        &findings,
        &[
            "$.accounts.meteo",
            "$.services.booking",
            "$.routes.all.path",
            "$.routes.book.path",
            "$.routes.book-fast.path",
        ],
    );
    assert_eq!(check_subtree(&tree, &"launch-desk".into(), &subtree), Ok(()));
}

#[test]
fn account_with_keys_can_not_be_removed() {
    let findings = check_subtree(&booking_tree(), &"launch-desk".into(), &Default::default());
    check_places(&findings.unwrap_err(), &["$.accounts.meteo"]);
}

#[test]
fn key_needs_a_new_name_a_known_account_and_a_unique_secret() {
    let findings = check_key(&booking_tree(), &"meteo-1".into(), &key_for("nobody"));
    check_places(&findings.unwrap_err(), &["$.name", "$.account", "$.digest"]);
}

#[test]
fn only_the_next_revision_applies() {
    let mut tree = booking_tree();
    let before = tree.clone();
    for revision in [0, 3, 4, 6] {
        assert!(tree.apply(&withdrawal(revision)).is_err());
    }
    assert_eq!(tree, before);
    tree.apply(&withdrawal(5)).unwrap();
    assert_eq!(tree.revision, Revision(5));
    assert!(!tree.keys.contains_key(&KeyName::from("meteo-1")));
}

#[test]
fn longest_prefix_wins_at_segment_boundaries() {
    check_route("POST", "/book", Some("book"));
    check_route("POST", "/book/7?x=/book/fast", Some("book"));
    check_route("POST", "/book/fast/7", Some("book-fast"));
    check_route("POST", "/book/faster", Some("book"));
    check_route("POST", "/booking", None);
    check_route("GET", "/anything/at/all", Some("all"));
    check_route("GET", "/", Some("all"));
    check_route("PUT", "/book", None);
    check_route("POST", "", None);
}

#[test]
fn path_with_dot_segments_matches_no_route() {
    for path in ["/x/../book", "/x/%2e%2E/book", "/x/..%2fbook", "/x/..\\book", "/./book"] {
        check_route("GET", path, None);
    }
    check_route("GET", "/a%2Fb/.hidden", Some("all"));
}

#[test]
fn key_is_found_only_by_its_exact_secret() {
    let index = KeyIndex::new(&booking_tree());
    assert_eq!(index.find("s3cret").map(|it| it.account.as_str()), Some("meteo"));
    assert_eq!(index.find("s3cret "), None);
    assert_eq!(index.find(""), None);
}

#[test]
fn diff_shows_the_changed_line() {
    let before = parse_subtree(&booking_subtree().to_string()).unwrap();
    let mut after = before.clone();
    after.accounts.get_mut(&"meteo".into()).unwrap().burst = 40.0;
    let diff = diff_subtrees(&before, &after);
    assert!(diff.contains("-      \"burst\": 20.0") && diff.contains("+      \"burst\": 40.0"));
    assert_eq!(diff_subtrees(&before, &before), "");
}
