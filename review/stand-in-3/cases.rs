//! The cases of the scripts.

mod late_calls;
mod late_heartbeat;
mod other_service;
mod slow_readers;
mod small_clients;

use std::io;

use crate::site::Record;

/// Whether the rule of a case was broken, and what was seen.
#[derive(Debug)]
pub struct Verdict {
    pub is_broken: bool,
    pub text: String,
}

impl Verdict {
    pub fn new(is_broken: bool, text: String) -> Verdict {
        let word = if is_broken { "broken" } else { "held" };
        Verdict { is_broken, text: format!("{word}: {text}") }
    }
}

/// Plays a case.
pub fn play(case: &str, has_trouble: bool, record: &Record) -> io::Result<Verdict> {
    match case {
        "late-calls" => late_calls::play(has_trouble, record),
        "late-heartbeat" => late_heartbeat::play(has_trouble, record),
        "slow-readers" => slow_readers::play(has_trouble, record),
        "other-service" => other_service::play(has_trouble, record),
        _ => Err(io::Error::other(format!("there is no case {case}"))),
    }
}

/// Returns a configuration with three routes for each service, `/SERVICE-read/` (safe), `/SERVICE-write/` (unsafe) and
/// `/SERVICE-call/` (safe, for the calls of upstreams), and one tenant without a limit.
pub fn config(version: u64, services: &[&str], timeout_ms: u64) -> String {
    let route = |service: &str, way: &str, kind: &str| {
        let is_public = way == "call";
        format!(
            "{{\"name\":\"r-{service}-{way}\",\"host\":\"site.example\",\"prefix\":\"/{service}-{way}/\",\"kind\":\"{kind}\",\"timeout\":{timeout_ms},\"target_latency\":1500,\"priority\":1,\"service\":\"{service}\",\"max_attempts\":2,\"public\":{is_public}}}"
        )
    };
    let routes: Vec<String> = services
        .iter()
        .flat_map(|it| ["read", "write", "call"].map(|way| (it, way)))
        .map(|(it, way)| route(it, way, if way == "write" { "unsafe" } else { "safe" }))
        .collect();
    let declared: Vec<String> = services
        .iter()
        .map(|it| {
            format!(
                "{{\"name\":\"{it}\",\"health_path\":\"/healthz\",\"max_connections\":1228,\"protocol\":\"h1\",\"tls\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,\"header_timeout\":3000,\"idle_timeout\":15000}},\"tenants\":[{{\"name\":\"pulo780\",\"api_keys\":[\"{}\"],\"priority\":1,\"rate_per_s\":0,\"burst\":0}}]}}",
        routes.join(","),
        declared.join(","),
        crate::site::KEY
    )
}
