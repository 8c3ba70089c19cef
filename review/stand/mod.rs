//! Stand-ins for the review's cases: the platform's table, backend servers, clients and a proxy, all on loopback.
//!
//! Only the standard library is used, so that `review/build.sh` needs nothing but `rustc`.
#![allow(dead_code)]

pub mod http;
pub mod json;
pub mod proxy;
pub mod table;

use std::{
    fs::File,
    io::Write,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use self::http::{HttpRequest, HttpResponse};

/// Host of all routes.
pub const HOST: &str = "review.example";
/// Interval between two heartbeats of a backend server.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);

/// What a case is started with.
pub struct CaseContext {
    /// Root of the repository.
    pub root: PathBuf,
    /// Folder of the case.
    pub folder: PathBuf,
    /// Temporary folder.
    pub temp: PathBuf,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
    /// The record of the run.
    pub record: Arc<RunRecord>,
}

impl CaseContext {
    /// Reads the arguments (root, case folder, temporary folder) and the variable `TROUBLE`.
    pub fn from_arguments() -> CaseContext {
        let paths: Vec<PathBuf> = std::env::args().skip(1).map(PathBuf::from).collect();
        let [root, folder, temp] = paths.as_slice() else {
            eprintln!("usage: case ROOT CASE_FOLDER TEMP_FOLDER");
            std::process::exit(2);
        };
        let has_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
        let record = Arc::new(RunRecord::create(&folder.join("record.txt")));
        record.line(format!("start trouble={has_trouble}"));
        CaseContext {
            root: root.clone(),
            folder: folder.clone(),
            temp: temp.clone(),
            has_trouble,
            record,
        }
    }
}

/// Lines of `record.txt`, each with the time since the start of the run.
pub struct RunRecord {
    file: Mutex<File>,
    started: Instant,
}

impl RunRecord {
    fn create(path: &Path) -> RunRecord {
        let file = File::create(path).unwrap_or_else(|cause| give_up(&format!("{cause}")));
        RunRecord { file: Mutex::new(file), started: Instant::now() }
    }

    /// Time since the start of the run.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {}", text.as_ref());
    }

    /// Writes a line and prints it.
    pub fn tell(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// Ids of the processes that were started and have not been waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that the run has started.
fn kill_started() {
    for id in STARTED.lock().unwrap().drain(..) {
        let _ = Command::new("kill").arg("-KILL").arg(id.to_string()).status();
    }
}

/// Ends a run that could not take place.
pub fn give_up(cause: &str) -> ! {
    eprintln!("the case could not run: {cause}");
    kill_started();
    std::process::exit(2);
}

/// Ends a run with its result: 1 if the rule was broken, 0 if it held.
pub fn finish(record: &RunRecord, rule: &str, is_broken: bool) -> ! {
    record.tell(if is_broken { format!("BROKEN: {rule}") } else { format!("held: {rule}") });
    kill_started();
    std::process::exit(i32::from(is_broken));
}

/// First port of the range from which free ones are taken. It lies below those that outgoing connections use.
const FIRST_PORT: u32 = 18_000;
const N_PORTS: u32 = 12_000;

/// Returns a free loopback address.
pub fn free_address() -> SocketAddr {
    static N_TAKEN: AtomicU64 = AtomicU64::new(0);
    for _ in 0..N_PORTS {
        let number = N_TAKEN.fetch_add(1, Ordering::Relaxed) as u32;
        let port = FIRST_PORT + (std::process::id() * 31 + number) % N_PORTS;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    give_up("no port is free")
}

/// Milliseconds since the Unix epoch.
pub fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Listening addresses of one instance.
#[derive(Clone, Debug)]
pub struct InstanceAddresses {
    pub outbound: SocketAddr,
    pub control: SocketAddr,
    pub ready: SocketAddr,
    pub peer: SocketAddr,
    pub metrics: SocketAddr,
    pub app: SocketAddr,
}

impl InstanceAddresses {
    /// Picks free addresses.
    pub fn pick() -> InstanceAddresses {
        InstanceAddresses {
            outbound: free_address(),
            control: free_address(),
            ready: free_address(),
            peer: free_address(),
            metrics: free_address(),
            app: free_address(),
        }
    }
}

/// Settings of one daemon, as the deploy file's template gives them.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    pub name: String,
    pub zone: String,
    pub service: String,
    pub addresses: InstanceAddresses,
    /// Address of the table, which may be that of a proxy.
    pub table: SocketAddr,
    /// Address at which the others dial this daemon, if a proxy stands there.
    pub advertised: Option<SocketAddr>,
}

impl DaemonSettings {
    fn render(&self) -> String {
        let it = &self.addresses;
        let advertised = self
            .advertised
            .map_or(String::new(), |address| format!("\"advertised_address\": \"{address}\",\n  "));
        format!(
            r#"{{
  "name": "{}",
  "failure_domain": "{}",
  "service": "{}",
  "caller_address": "{}",
  "local_address": "{}",
  "health_address": "{}",
  "peer_address": "{}",
  {advertised}"metrics_address": "{}",
  "server_address": "{}",
  "table_address": "{}",
  "shutdown_grace_s": 6,
  "table_recovery_ms": 3000,
  "max_descriptors": 4100,
  "repeats": {{
    "ratio": 0.2,
    "window_s": 10,
    "slack": 48
  }}
}}
"#,
            self.name,
            self.zone,
            self.service,
            it.outbound,
            it.control,
            it.ready,
            it.peer,
            it.metrics,
            it.app,
            self.table
        )
    }
}

/// A daemon process.
pub struct DaemonProcess {
    pub settings: DaemonSettings,
    pub child: Child,
    has_ended: bool,
}

impl DaemonProcess {
    /// Starts a daemon with the command of the deploy file.
    pub fn start(context: &CaseContext, settings: DaemonSettings) -> DaemonProcess {
        let path = context.temp.join(format!("{}.json", settings.name));
        std::fs::write(&path, settings.render()).unwrap_or_else(|it| give_up(&it.to_string()));
        let log_path = context.temp.join(format!("{}.log", settings.name));
        let log = File::options()
            .create(true)
            .append(true)
            .open(log_path)
            .unwrap_or_else(|it| give_up(&it.to_string()));
        let child = Command::new(context.root.join("target/release/ivytraild"))
            .arg("--mesh")
            .arg(&path)
            .current_dir(&context.root)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .unwrap_or_else(|it| give_up(&format!("the daemon can't be started: {it}")));
        context.record.line(format!("daemon {} started pid={}", settings.name, child.id()));
        STARTED.lock().unwrap().push(child.id());
        DaemonProcess { settings, child, has_ended: false }
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status();
    }

    /// Returns whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        if !self.has_ended && !matches!(self.child.try_wait(), Ok(None)) {
            self.mark_ended();
        }
        !self.has_ended
    }

    fn mark_ended(&mut self) {
        STARTED.lock().unwrap().retain(|it| *it != self.child.id());
        self.has_ended = true;
    }

    /// Returns the resident memory of the process in bytes.
    pub fn resident_bytes(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find_map(|it| it.strip_prefix("VmRSS:"));
        let kib = line.and_then(|it| it.trim().strip_suffix("kB")).map(|it| it.trim().to_string());
        kib.and_then(|it| it.parse::<u64>().ok()).unwrap_or(0) << 10
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if !self.has_ended {
            let _ = self.child.kill();
            let _ = self.child.wait();
            self.mark_ended();
        }
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// What a backend server does with a request: returns status and body.
pub type RunHandler = Arc<dyn Fn(&HttpRequest, &UpstreamServer) -> (u16, Vec<u8>) + Send + Sync>;

/// What a faulty backend server does, while it lasts.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerFaults {
    /// Share of the requests that it rejects unexecuted.
    pub shed_share: f64,
    /// Share of its answers of which it sends a second copy late.
    pub late_copy_share: f64,
}

/// A backend server that follows the platform's pages.
pub struct UpstreamServer {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub addresses: InstanceAddresses,
    pub born: u64,
    pub record: Arc<RunRecord>,
    pub is_stopped: Arc<AtomicBool>,
    pub n_running: AtomicU64,
    pub n_runs: AtomicU64,
    /// Time and account of each run, and its request id.
    pub runs: Mutex<Vec<(Instant, String, String)>>,
    /// Whether each run is written to the record.
    pub is_recorded: bool,
    pub faults: Mutex<ServerFaults>,
    /// State of a generator of random numbers.
    random: AtomicU64,
}

impl UpstreamServer {
    /// Starts a backend server at the instance's address, with heartbeats to the daemon beside it.
    pub fn start(
        context: &CaseContext,
        id: &str,
        settings: &DaemonSettings,
        slots: u32,
        is_recorded: bool,
        handler: RunHandler,
    ) -> Arc<UpstreamServer> {
        let server = Arc::new(UpstreamServer {
            id: id.to_string(),
            service: settings.service.clone(),
            zone: settings.zone.clone(),
            slots,
            addresses: settings.addresses.clone(),
            born: unix_millis(),
            record: Arc::clone(&context.record),
            is_stopped: Arc::default(),
            n_running: AtomicU64::new(0),
            n_runs: AtomicU64::new(0),
            runs: Mutex::default(),
            is_recorded,
            faults: Mutex::default(),
            random: AtomicU64::new(unix_millis()),
        });
        let listener = TcpListener::bind(server.addresses.app)
            .unwrap_or_else(|it| give_up(&it.to_string()));
        let shared = Arc::clone(&server);
        let is_stopped = Arc::clone(&server.is_stopped);
        http::serve(
            listener,
            is_stopped,
            Arc::new(move |request| shared.answer(request, &handler)),
        );
        let beating = Arc::clone(&server);
        thread::spawn(move || beating.send_heartbeats());
        server
    }

    /// Ends the server with its machine: it accepts, answers and reports nothing any more.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        // Wakes the thread that accepts connections, which then closes the listener.
        let _ = std::net::TcpStream::connect(self.addresses.app);
    }

    fn load(&self) -> String {
        format!("{},0,{}", self.n_running.load(Ordering::Relaxed), self.slots)
    }

    /// Returns whether something that happens to a share of all cases happens now.
    fn happens(&self, share: f64) -> bool {
        let step = |it: u64| it.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let state = self.random.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |it| Some(step(it)));
        let number = step(state.unwrap_or(0)) >> 33;
        (number as f64) < share * (1_u64 << 31) as f64
    }

    /// Returns the answer of a server that has not run the request, as `fleetbench wire` shows it.
    fn rejection(&self, request_id: &str) -> HttpResponse {
        let mut response = HttpResponse::new(503);
        response.header("X-Ivytrail-Not-Executed", "1");
        if self.is_recorded {
            self.record.line(format!("server {} rejects {request_id}", self.id));
        }
        response
    }

    fn answer(&self, request: &HttpRequest, handler: &RunHandler) -> HttpResponse {
        let mut response = HttpResponse::new(200);
        response.header("X-Ivytrail-Instance-Id", &self.id);
        response.header("X-Ivytrail-Server-Load", &self.load());
        if request.path == "/healthz" {
            return response;
        }
        let faults = *self.faults.lock().unwrap();
        let request_id = request.header("x-ivytrail-request-id").to_string();
        let expected = request.header("x-ivytrail-expected-instance");
        if !expected.is_empty() && expected != self.id {
            response.status = 421;
            return response;
        }
        let is_full = u64::from(self.slots) <= self.n_running.load(Ordering::Relaxed);
        if is_full || self.happens(faults.shed_share) {
            let mut rejection = self.rejection(&request_id);
            rejection.has_late_copy = self.happens(faults.late_copy_share);
            if rejection.has_late_copy {
                self.record.line(format!("server {} will send that again, late", self.id));
            }
            return rejection;
        }
        response.header("X-Ivytrail-Request-Id", &request_id);
        self.n_running.fetch_add(1, Ordering::Relaxed);
        self.n_runs.fetch_add(1, Ordering::Relaxed);
        let account = request.header("x-ivytrail-tenant").to_string();
        if self.is_recorded {
            self.record.line(format!(
                "server {} runs {request_id} {} {} account={account}",
                self.id, request.method, request.path
            ));
        }
        self.runs.lock().unwrap().push((Instant::now(), account, request_id));
        let (status, body) = handler(request, self);
        self.n_running.fetch_sub(1, Ordering::Relaxed);
        response.status = status;
        response.header("X-Ivytrail-Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1");
        response.body = body;
        response.has_late_copy = self.happens(faults.late_copy_share);
        response
    }

    fn send_heartbeats(&self) {
        for sequence in 1_u64.. {
            if self.is_stopped.load(Ordering::Relaxed) {
                return;
            }
            let body = format!(
                r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{},"phase":"ready","warmup_left":0,"sequence":{sequence},"born":{}}}"#,
                self.service, self.addresses.app, self.zone, self.slots, self.born
            );
            let path = format!("/Instances.Heartbeat/{}", self.id);
            let request = http::ClientRequest {
                method: "POST",
                path: &path,
                headers: vec![("Content-Type".into(), "application/json".into())],
                body: body.into_bytes(),
            };
            let sent = http::send(self.addresses.control, &request, Duration::from_secs(1));
            // A server that has just started beside a daemon that isn't there yet tries again soon.
            let wait = if sent.is_ok() { HEARTBEAT_INTERVAL } else { Duration::from_millis(200) };
            thread::sleep(wait);
        }
    }
}

/// Returns a client's request with the platform's headers.
pub fn client_headers(id: &str, key: Option<&str>, deadline_ms: u64) -> Vec<(String, String)> {
    let mut headers = vec![
        ("X-Ivytrail-Request-Id".to_string(), id.to_string()),
        ("X-Ivytrail-Deadline-Ms".to_string(), deadline_ms.to_string()),
    ];
    if let Some(key) = key {
        headers.push(("X-Ivytrail-Credential".to_string(), key.to_string()));
    }
    headers
}

/// Returns whether the platform's readiness check succeeds.
pub fn is_ready(settings: &DaemonSettings) -> bool {
    let request =
        http::ClientRequest { method: "GET", path: "/readyz", headers: vec![], body: vec![] };
    let sent = http::send(settings.addresses.ready, &request, Duration::from_secs(1));
    sent.is_ok_and(|it| it.status == 200)
}

/// Sends requests until each gets 200, and gives up after 15 s.
pub fn wait_until_served(context: &CaseContext, probes: &[(SocketAddr, String, Option<String>)]) {
    let started = Instant::now();
    for (idx, (address, path, key)) in probes.iter().enumerate() {
        for n_tries in 0_u32.. {
            let id = format!("warm{idx}x{n_tries}");
            let request = http::ClientRequest {
                method: "GET",
                path,
                headers: client_headers(&id, key.as_deref(), 2_000),
                body: vec![],
            };
            let sent = http::send(*address, &request, Duration::from_secs(3));
            if sent.is_ok_and(|it| it.status == 200) {
                break;
            }
            if Duration::from_secs(15) < started.elapsed() {
                give_up(&format!("{path} is not served at {address}"));
            }
            thread::sleep(Duration::from_millis(100));
        }
    }
    context.record.line("all instances serve");
}
