//! Runs the tool as a process against a daemon and a fake platform.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Command, Output},
    sync::{Arc, LazyLock, Mutex},
    time::Duration,
};

use ivytrail::settings::{
    credential::{digest_to_hex, secret_digest},
    file::DaemonSettings,
};
use ivytrail_fakes::{
    platform::{PlatformFake, PlatformFaults, PlatformRates},
    process::free_addresses,
};
use serde_json::{Value, json};
use tokio::task::JoinHandle;

const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// Number of addresses for the daemons of all tests.
const N_ADDRESSES: usize = 40;

/// A daemon with its platform, and a temporary directory for files.
struct ToolFixture {
    platform: PlatformFake,
    daemon_url: String,
    directory: PathBuf,
    daemon: JoinHandle<()>,
}

impl ToolFixture {
    async fn start(name: &str) -> ToolFixture {
        let platform = PlatformFake::start(SocketAddr::new(LOOPBACK, 0), PlatformRates::default())
            .await
            .expect("a free port");
        let file = daemon_file(platform.address());
        let daemon_url =
            format!("http://{}", file["operator_address"].as_str().unwrap_or_default());
        let settings = DaemonSettings::parse(&file.to_string()).expect("fixture is valid");
        let daemon = tokio::spawn(async move {
            ivytrail_daemon::server::run(Arc::new(settings)).await.expect("the daemon starts");
        });
        let directory =
            std::env::temp_dir().join(format!("ivytrail-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("a writable directory");
        let fixture = ToolFixture { platform, daemon_url, directory, daemon };
        fixture.wait_ready().await;
        fixture
    }

    async fn wait_ready(&self) {
        for _ in 0..200 {
            if self.run(&["status"]).status.success() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(25)).await;
        }
        panic!("the daemon does not respond");
    }

    fn run(&self, arguments: &[&str]) -> Output {
        self.run_with_token("asha-token", arguments)
    }

    fn run_with_token(&self, token: &str, arguments: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_ivytrail"))
            .args(["--daemon", "http://127.0.0.1:9", "--daemon", &self.daemon_url])
            .args(arguments)
            .env("IVYTRAIL_TOKEN", token)
            .current_dir(&self.directory)
            .output()
            .expect("the tool starts")
    }

    fn write(&self, name: &str, content: &Value) {
        std::fs::write(self.directory.join(name), content.to_string()).expect("a writable file");
    }
}

impl Drop for ToolFixture {
    fn drop(&mut self) {
        self.daemon.abort();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Returns an address that no other fixture of this process uses. Its port is outside the range from which the system
/// takes the ports of outgoing connections, which could otherwise occupy it before the daemon binds it.
fn take_address() -> String {
    static ADDRESSES: LazyLock<Mutex<Vec<SocketAddr>>> =
        LazyLock::new(|| Mutex::new(free_addresses(N_ADDRESSES).expect("free ports")));
    let mut addresses = ADDRESSES.lock().expect("no test panics while it takes an address");
    addresses.pop().expect("each fixture takes four addresses").to_string()
}

fn daemon_file(platform: SocketAddr) -> Value {
    let [caller, local, peer, operator] = [(); 4].map(|()| take_address());
    json!({
        "name": "booking-1",
        "failure_domain": "kolkata",
        "caller_address": caller,
        "local_address": local,
        "peer_address": peer,
        "operator_address": operator,
        "platform": format!("http://{platform}"),
        "peer_secret": "sixteen bytes or more",
        "operators": [
            {"name": "asha", "token_digest": digest_to_hex(&secret_digest("asha-token"))},
            {"name": "reto", "token_digest": digest_to_hex(&secret_digest("reto-token"))},
        ],
    })
}

fn subtree(burst: u32) -> Value {
    json!({
        "accounts": {"meteo": {"rate_per_s": 1, "burst": burst}},
        "services": {"booking": {}},
        "routes": {"book": {"method": "POST", "path": "/book", "service": "booking"}},
    })
}

fn check(output: &Output, status: i32, expected: &str) {
    let text = String::from_utf8_lossy(&output.stdout) + String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(status), "{text}");
    assert!(text.contains(expected), "\"{expected}\" is not in: {text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn declarations_are_checked_shown_and_applied_once() {
    let fixture = ToolFixture::start("apply").await;
    std::fs::create_dir(fixture.directory.join("teams")).unwrap();
    fixture.write("teams/launch.json", &subtree(5));
    check(&fixture.run(&["check", "teams"]), 0, "launch: subtree is valid");
    check(&fixture.run(&["apply", "teams", "--dry-run"]), 0, "+      \"burst\": 5.0");
    check(&fixture.run(&["show", "launch"]), 1, "no subtree at revision 0");
    check(&fixture.run(&["apply", "teams"]), 0, "launch: revision 1");
    check(&fixture.run(&["apply", "teams"]), 0, "launch: unchanged at revision 1");
    check(&fixture.run(&["show", "launch"]), 0, "\"path\": \"/book\"");
    check(&fixture.run(&["status", "--wait", "--revision", "1"]), 0, "booking-1");
    check(&fixture.run(&["audit", "--diff"]), 0, "asha replaced team/launch");
    check(&fixture.run(&["upstreams", "--json"]), 0, "\"upstreams\"");
}

#[tokio::test(flavor = "multi_thread")]
async fn conflicting_apply_names_the_other_operator() {
    let fixture = ToolFixture::start("race").await;
    fixture.write("launch.json", &subtree(5));
    check(&fixture.run(&["apply", "launch.json"]), 0, "revision 1");
    fixture.write("launch.json", &subtree(6));
    let output = fixture.run_with_token("reto-token", &["apply", "launch.json", "--base", "0"]);
    check(&output, 1, "asha changed team/launch at revision 1");
}

#[tokio::test(flavor = "multi_thread")]
async fn key_is_issued_with_its_secret_shown_once() {
    let fixture = ToolFixture::start("key").await;
    fixture.write("launch.json", &subtree(5));
    check(&fixture.run(&["apply", "launch.json"]), 0, "revision 1");
    check(&fixture.run(&["key", "issue", "meteo-1", "--account", "nobody"]), 1, "no team has");
    check(
        &fixture.run(&["key", "issue", "meteo-1", "--account", "meteo"]),
        0,
        "it can't be shown again): ivk_",
    );
    let list = fixture.run(&["key", "list"]);
    check(&list, 0, "meteo-1");
    assert!(!String::from_utf8_lossy(&list.stdout).contains("ivk_"));
    check(&fixture.run(&["key", "withdraw", "meteo-1"]), 0, "revision 3");
    check(&fixture.run(&["key", "withdraw", "meteo-1"]), 1, "no key \"meteo-1\" is in force");
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_response_of_the_platform_is_resolved() {
    let fixture = ToolFixture::start("lost").await;
    fixture.write("launch.json", &subtree(5));
    fixture.platform.set_faults(PlatformFaults { lose_next: 1, ..Default::default() });
    check(&fixture.run(&["apply", "launch.json"]), 0, "launch: revision 1");
    check(&fixture.run(&["apply", "launch.json"]), 0, "unchanged at revision 1");
}

#[tokio::test(flavor = "multi_thread")]
async fn exit_status_reports_the_kind_of_failure() {
    let fixture = ToolFixture::start("status").await;
    fixture.write("launch.json", &json!({"accounts": {"meteo": {"rate_per_s": 0}}, "rutes": {}}));
    fixture.write("daemon.json", &json!({"name": "x", "platform": "ftp://x"}));
    check(&fixture.run(&["check", "launch.json"]), 2, "$.accounts.meteo.burst: is missing");
    check(&fixture.run(&["apply", "launch.json"]), 2, "$.rutes: unknown field");
    check(&fixture.run(&["check", "daemon.json"]), 2, "$.peer_secret: is missing");
    check(&fixture.run(&["frobnicate"]), 2, "frobnicate");
    check(&fixture.run(&[]), 2, "a command is missing");
    check(&fixture.run_with_token("wrong", &["status"]), 1, "401");
    check(&fixture.run_with_token("", &["status"]), 2, "no token given");
    check(&fixture.run(&["drain", "nowhere"]), 1, "404");
    check(&fixture.run(&["key", "issue", "--help"]), 0, "--account ACCOUNT");
    let unreachable = Command::new(env!("CARGO_BIN_EXE_ivytrail"))
        .args(["status", "--daemon", "http://127.0.0.1:9", "--json"])
        .env("IVYTRAIL_TOKEN", "t")
        .output()
        .unwrap();
    check(&unreachable, 3, "\"error\":\"no daemon could answer");
}
