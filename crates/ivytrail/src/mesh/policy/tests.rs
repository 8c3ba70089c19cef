use super::*;

fn route(name: &str, host: &str, prefix: &str) -> RoutePolicy {
    RoutePolicy {
        name: name.into(),
        host: host.to_string(),
        prefix: prefix.to_string(),
        is_idempotent: true,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_secs(1),
        priority: 0,
        targets: vec![RouteTarget { service: "s".into(), weight: 1 }],
        max_attempts: 1,
        is_public: false,
    }
}

fn settings() -> FleetSettings {
    let digest = ContentDigest::of_parts(&[b"key"]);
    let account = AccountPolicy {
        name: "meteo".into(),
        keys: vec![digest],
        priority: None,
        rate_per_s: 1.0,
        burst: 1.0,
    };
    FleetSettings::new(FleetDeclaration {
        version: 7,
        routes: vec![
            route("short", "a.example", "/x/"),
            route("long", "a.example", "/x/y/"),
            route("other", "b.example", "/x/"),
        ],
        accounts: vec![account],
        ..FleetDeclaration::default()
    })
}

#[test]
fn the_longest_prefix_of_the_host_matches() {
    let settings = settings();
    let name = |host: &str, path: &str| {
        settings.route_of(host, path).map(|it| it.name.as_str().to_string())
    };

    assert_eq!(name("a.example", "/x/y/z").as_deref(), Some("long"));
    assert_eq!(name("a.example:80", "/x/yy").as_deref(), Some("short"));
    assert_eq!(name("B.example", "/x/?q=1").as_deref(), Some("other"));
    assert_eq!(name("a.example", "/x"), None);
    assert_eq!(name("c.example", "/x/"), None);
}

#[test]
fn an_account_is_found_only_by_the_digest_of_its_key() {
    let settings = settings();

    let found = settings.account_by_key(&ContentDigest::of_parts(&[b"key"]));

    assert_eq!(found.map(|it| it.name.as_str()), Some("meteo"));
    assert!(settings.account_by_key(&ContentDigest::of_parts(&[b"other"])).is_none());
}
