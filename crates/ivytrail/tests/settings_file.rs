//! Tests of the settings file: defaults, and the report of all findings with their places.

use ivytrail::settings::file::DaemonSettings;
use serde_json::{Value, json};

fn minimal_file() -> Value {
    json!({
        "name": "booking-1",
        "failure_domain": "kolkata",
        "caller_address": "127.0.0.1:7100",
        "local_address": "127.0.0.1:7101",
        "peer_address": "127.0.0.1:7102",
        "operator_address": "127.0.0.1:7103",
        "platform": "http://127.0.0.1:7000/",
        "peer_secret": "sixteen bytes or more",
        "operators": [{"name": "asha", "token_digest": "ab".repeat(32)}],
    })
}

fn check(file: &Value, expected: &[&str]) {
    let findings = DaemonSettings::parse(&file.to_string()).err().unwrap_or_default();
    let places = findings.iter().map(|it| it.place.as_str()).collect::<Vec<_>>();
    assert_eq!(places, expected, "{findings}");
}

#[test]
fn minimal_file_gets_defaults() {
    let settings = DaemonSettings::parse(&minimal_file().to_string()).unwrap();
    assert_eq!(settings.region, "default");
    assert_eq!(settings.platform, "http://127.0.0.1:7000");
    assert_eq!(settings.limits.max_body_bytes, 1 << 20);
    assert_eq!(settings.operators[0].token_digest.0, [0xab; 32]);
}

#[test]
fn all_findings_are_reported_together() {
    let mut file = minimal_file();
    file["name"] = json!("Booking 1");
    file["caller_address"] = json!("localhost:80");
    file["peer_address"] = json!("0.0.0.0:7102");
    file["local_address"] = json!("127.0.0.1:7103");
    file["colour"] = json!("green");
    file["limits"] = json!({"max_body_bytes": 1, "max_boddy": 3});
    file["operators"][0]["token_digest"] = json!("abc");
    check(
        &file,
        &[
            "$.name",
            "$.caller_address",
            "$.operators[0].token_digest",
            "$.limits.max_body_bytes",
            "$.limits.max_boddy",
            "$.peer_address",
            "$.operator_address",
            "$.colour",
        ],
    );
}

#[test]
fn findings_never_contain_the_secret() {
    let mut file = minimal_file();
    file["peer_secret"] = json!("tooshort");
    let findings = DaemonSettings::parse(&file.to_string()).unwrap_err();
    assert!(!findings.to_string().contains("tooshort"));
    check(&file, &["$.peer_secret"]);
}

#[test]
fn invalid_json_or_a_non_object_is_a_finding() {
    check(&json!([1]), &["$"]);
    assert!(DaemonSettings::parse("{").unwrap_err().to_string().contains("line 1"));
}
