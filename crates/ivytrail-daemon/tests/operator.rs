//! Tests of the operator API against a fake platform with injected faults.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use ivytrail::{
    id::InstanceName,
    settings::{
        Revision, SettingsChange, SettingsTree,
        credential::{digest_to_hex, secret_digest},
        file::OperatorCredential,
        index::SettingsInForce,
        operator_api::{DrainReply, ReadinessView, SettingsStatus, UpstreamList},
    },
    time::WallClock,
};
use ivytrail_daemon::{
    operator::{OperatorBackend, OperatorState, operator_router},
    platform_client::PlatformClient,
};
use ivytrail_fakes::platform::{PlatformFake, PlatformFaults, PlatformRates};
use parking_lot::Mutex;
use reqwest::{Method, StatusCode};
use salvo::{Listener, Server, conn::TcpListener};
use serde_json::{Value, json};

const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Backend that only stores a settings tree.
#[derive(Debug, Default)]
struct BackendFake {
    tree: Mutex<SettingsTree>,
}

impl OperatorBackend for BackendFake {
    fn now(&self) -> WallClock {
        WallClock::from_millis(1_700_000_000_000)
    }

    fn settings(&self) -> SettingsInForce {
        SettingsInForce::new(self.tree.lock().clone())
    }

    fn apply_changes(&self, changes: Vec<SettingsChange>) {
        let mut tree = self.tree.lock();
        for change in changes {
            if tree.revision < change.revision {
                tree.apply(&change).expect("changes have consecutive revisions");
            }
        }
    }

    fn is_confirmed(&self, revision: Revision) -> bool {
        revision <= self.tree.lock().revision
    }

    fn settings_status(&self) -> SettingsStatus {
        let revision = self.tree.lock().revision;
        SettingsStatus { instance: "booking-1".into(), revision, fresh: true, daemons: Vec::new() }
    }

    fn upstreams(&self) -> UpstreamList {
        UpstreamList { upstreams: Vec::new() }
    }

    fn drain(&self, instance: &InstanceName) -> DrainReply {
        match instance.as_str() {
            "booking-1" => DrainReply::Requested,
            _ => DrainReply::UnknownInstance,
        }
    }

    fn render_metrics(&self) -> String {
        "# EOF\n".to_string()
    }

    fn readiness(&self) -> ReadinessView {
        ReadinessView { ready: true, reason: String::new() }
    }
}

/// Operator APIs of two daemons that share a fake platform.
struct OperatorFixture {
    platform: PlatformFake,
    urls: Vec<String>,
    client: reqwest::Client,
}

impl OperatorFixture {
    async fn start() -> OperatorFixture {
        let platform =
            PlatformFake::start(LOOPBACK, PlatformRates::default()).await.expect("a free port");
        let base_url = format!("http://{}", platform.address());
        let urls = vec![start_daemon(&base_url).await, start_daemon(&base_url).await];
        OperatorFixture { platform, urls, client: reqwest::Client::new() }
    }

    async fn send_as(
        &self,
        token: &str,
        method: Method,
        path: &str,
        body: &Value,
    ) -> (StatusCode, Value) {
        self.send_to(0, token, method, path, body).await
    }

    async fn send_to(
        &self,
        daemon: usize,
        token: &str,
        method: Method,
        path: &str,
        body: &Value,
    ) -> (StatusCode, Value) {
        let request = self.client.request(method, format!("{}{path}", self.urls[daemon]));
        let request = request.bearer_auth(token).body(body.to_string());
        let response = request.send().await.expect("the daemon responds");
        let status = response.status();
        let text = response.text().await.expect("the response body is complete");
        (status, serde_json::from_str(&text).unwrap_or(Value::String(text)))
    }

    async fn put(&self, path: &str, burst: u32) -> (StatusCode, Value) {
        self.send_as("asha-token", Method::PUT, path, &subtree(burst)).await
    }

    async fn get(&self, path: &str) -> Value {
        self.send_as("asha-token", Method::GET, path, &Value::Null).await.1
    }
}

async fn start_daemon(platform_url: &str) -> String {
    let credential = |name: &str| OperatorCredential {
        name: name.to_string(),
        token_digest: secret_digest(&format!("{name}-token")),
    };
    let state = OperatorState {
        backend: Arc::new(BackendFake::default()),
        platform: PlatformClient::new(platform_url, Duration::from_millis(300)).expect("a client"),
        operators: vec![credential("asha"), credential("reto")],
        max_body_bytes: 1 << 16,
    };
    let acceptor = TcpListener::new(LOOPBACK).try_bind().await.expect("a free port");
    let address = acceptor.local_addr().expect("a bound address");
    tokio::spawn(async move { Server::new(acceptor).serve(operator_router(state)).await });
    format!("http://{address}")
}

fn subtree(burst: u32) -> Value {
    json!({"accounts": {"meteo": {"rate_per_s": 1.0, "burst": burst}}})
}

fn assert_outcome(answer: &(StatusCode, Value), status: u16, outcome: &str) {
    let found = (answer.0.as_u16(), answer.1["outcome"].as_str());
    assert_eq!(found, (status, Some(outcome)), "{answer:?}");
}

#[tokio::test]
async fn requests_without_operator_token_are_unauthorized() {
    let fixture = OperatorFixture::start().await;
    for path in ["/settings", "/settings/keys", "/metrics", "/upstreams", "/nothing"] {
        let (status, _) = fixture.send_as("wrong", Method::GET, path, &Value::Null).await;
        assert_eq!(status, StatusCode::UNAUTHORIZED, "{path}");
    }
    for path in ["/health", "/ready"] {
        let (status, _) = fixture.send_as("wrong", Method::GET, path, &Value::Null).await;
        assert_eq!(status, StatusCode::OK, "{path}");
    }
    let (status, _) = fixture.send_as("reto-token", Method::GET, "/nothing", &Value::Null).await;
    assert_eq!(status, StatusCode::NOT_FOUND);
}

#[tokio::test]
async fn subtree_is_stored_once_and_audited() {
    let fixture = OperatorFixture::start().await;
    let dry = fixture.put("/settings/teams/launch?base=0&dry_run", 5).await;
    assert_outcome(&dry, 200, "would-change");
    let stored = fixture.put("/settings/teams/launch?base=0&change_id=a", 5).await;
    assert_outcome(&stored, 200, "stored");
    assert_eq!(stored.1["confirmed"], true);
    assert_outcome(
        &fixture.put("/settings/teams/launch?base=1&change_id=b", 5).await,
        200,
        "unchanged",
    );
    let shown = fixture.get("/settings/teams/launch").await;
    assert_eq!(shown["subtree"]["accounts"]["meteo"]["burst"], 5.0);
    let audit = fixture.get("/settings/audit?after=0").await;
    assert_eq!(audit["head"], 1);
    assert_eq!(audit["changes"][0]["operator"], "asha");
}

#[tokio::test]
async fn bad_requests_change_nothing() {
    let fixture = OperatorFixture::start().await;
    for path in [
        "/settings/teams/launch?base=0&change_id=a&dryrun",
        "/settings/teams/launch?change_id=a",
        "/settings/teams/launch?base=x&change_id=a",
        "/settings/teams/launch?base=0",
    ] {
        let (status, body) = fixture.put(path, 5).await;
        assert_eq!(status, StatusCode::BAD_REQUEST, "{path} {body}");
    }
    assert_outcome(
        &fixture.put("/settings/teams/launch?base=0&change_id=a", 0).await,
        422,
        "refused",
    );
    assert_eq!(fixture.get("/settings/audit").await["head"], 0);
}

#[tokio::test]
async fn resent_change_after_lost_response_is_applied_once() {
    let fixture = OperatorFixture::start().await;
    fixture.platform.set_faults(PlatformFaults { lose_next: 1, ..Default::default() });
    let path = "/settings/teams/launch?base=0&change_id=a";
    assert_outcome(&fixture.put(path, 5).await, 200, "stored");
    let resent = fixture.put(&format!("{path}&resent"), 5).await;
    assert_outcome(&resent, 200, "stored");
    assert_eq!(resent.1["revision"], 1);
    assert_eq!(fixture.get("/settings/audit").await["changes"].as_array().map(Vec::len), Some(1));
    assert_eq!(fixture.platform.counts().lost_answers, 1);
}

#[tokio::test]
async fn conflicting_edit_reports_the_earlier_change() {
    let fixture = OperatorFixture::start().await;
    assert_outcome(
        &fixture.put("/settings/teams/launch?base=0&change_id=a", 5).await,
        200,
        "stored",
    );
    let path = "/settings/teams/launch?base=0&change_id=b";
    let late = fixture.send_to(1, "reto-token", Method::PUT, path, &subtree(6)).await;
    assert_outcome(&late, 409, "overtaken");
    assert_eq!(late.1["changes"][0]["operator"], "asha");
    assert_eq!(late.1["changes"][0]["revision"], 1);
}

#[tokio::test]
async fn one_of_two_racing_operators_wins() {
    let fixture = OperatorFixture::start().await;
    let path_a = "/settings/teams/launch?base=0&change_id=a";
    let path_b = "/settings/teams/launch?base=0&change_id=b";
    let (first, second) = (subtree(5), subtree(6));
    let (left, right) = tokio::join!(
        fixture.send_to(0, "asha-token", Method::PUT, path_a, &first),
        fixture.send_to(1, "reto-token", Method::PUT, path_b, &second),
    );
    let mut statuses = [left.0.as_u16(), right.0.as_u16()];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409], "{left:?} {right:?}");
    assert_eq!(fixture.get("/settings/audit").await["head"], 1);
}

#[tokio::test]
async fn key_is_issued_listed_without_its_digest_and_withdrawn() {
    let fixture = OperatorFixture::start().await;
    fixture.put("/settings/teams/launch?base=0&change_id=a", 5).await;
    let digest = digest_to_hex(&secret_digest("secret"));
    let request = json!({"name": "meteo-1", "account": "meteo", "digest": digest});
    let path = "/settings/keys?base=1&change_id=b";
    assert_outcome(
        &fixture.send_as("asha-token", Method::POST, path, &request).await,
        200,
        "stored",
    );
    let list = fixture.get("/settings/keys").await;
    assert_eq!(list["keys"][0]["name"], "meteo-1");
    assert!(!list.to_string().contains("digest"));
    let path = "/settings/keys/meteo-1?base=2&change_id=c";
    assert_outcome(
        &fixture.send_as("asha-token", Method::DELETE, path, &Value::Null).await,
        200,
        "stored",
    );
    assert_eq!(fixture.get("/settings/keys").await["keys"], json!([]));
}

#[tokio::test]
async fn edit_during_outage_is_not_stored_later() {
    let fixture = OperatorFixture::start().await;
    fixture.platform.set_faults(PlatformFaults { down: true, ..Default::default() });
    let answer = fixture.put("/settings/teams/launch?base=0&change_id=a", 5).await;
    assert_outcome(&answer, 503, "not-stored");
    fixture.platform.set_faults(PlatformFaults::default());
    assert_eq!(fixture.get("/settings/audit").await["head"], 0);
}

#[tokio::test]
async fn drain_accepts_only_known_instances() {
    let fixture = OperatorFixture::start().await;
    let known = "/upstreams/booking-1/drain";
    let answer = fixture.send_as("asha-token", Method::POST, known, &Value::Null).await;
    assert_eq!(answer.1["drain"], "requested");
    let other = "/upstreams/other/drain";
    let answer = fixture.send_as("asha-token", Method::POST, other, &Value::Null).await;
    assert_eq!(answer.0, StatusCode::NOT_FOUND);
}
