//! Stand-ins for the platform, the upstreams and the clients of a small deployment, and the start of its daemons.

#![allow(dead_code)]

pub mod http;
pub mod json;
pub mod server;
pub mod table;

use std::{
    env,
    fs::{self, File},
    io::Write,
    net::{IpAddr, SocketAddr, TcpListener, TcpStream},
    os::{fd::FromRawFd, unix::process::CommandExt},
    path::PathBuf,
    process::{Child, Command, ExitCode, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU16, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use self::{http::Connection, table::Table};

pub const KEY: &str = "6wsjnbanfqasnmgkcuyj";
pub const HOST: &str = "hire.example";
const SIGTERM: i32 = 15;
const SIGKILL: usize = 9;
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const SocketAddress, length: u32) -> i32;
    fn prctl(option: i32, argument: usize) -> i32;
}

/// `struct sockaddr_in`.
#[repr(C)]
struct SocketAddress {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    padding: [u8; 8],
}

/// Connects as a client with a small receive buffer, on a link with segments of `segment_bytes`.
pub fn connect_with_small_buffer(
    address: SocketAddr,
    buffer_bytes: i32,
    segment_bytes: i32,
) -> std::io::Result<TcpStream> {
    const AF_INET: u16 = 2;
    const SOCK_STREAM: i32 = 1;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    let IpAddr::V4(ip) = address.ip() else { return Err(std::io::ErrorKind::Unsupported.into()) };
    let target = SocketAddress {
        family: AF_INET,
        port: address.port().to_be_bytes(),
        ip: ip.octets(),
        padding: [0; 8],
    };
    // SAFETY: the socket is new, and all pointers are to values that live during the calls.
    unsafe {
        let socket = socket(i32::from(AF_INET), SOCK_STREAM, 0);
        if socket < 0 {
            return Err(std::io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(socket);
        setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, 4);
        setsockopt(socket, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes, 4);
        match connect(socket, &target, size_of::<SocketAddress>() as u32) {
            0 => Ok(stream),
            _ => Err(std::io::Error::last_os_error()),
        }
    }
}

/// Returns whether the script plays its disruption.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").map_or(true, |it| it != "0")
}

/// What was sent, answered and run, with the time since the start of the script.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    /// Creates the file `record.txt` in the folder of the case, the first argument.
    pub fn create() -> Record {
        let folder = env::args().nth(1).unwrap_or_else(|| ".".to_string());
        let file = File::create(PathBuf::from(folder).join("record.txt")).expect("record.txt");
        Record { file: Arc::new(Mutex::new(file)), started_at: Instant::now() }
    }

    pub fn elapsed_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    pub fn write(&self, line: &str) {
        let line = format!("{:>7} ms {line}\n", self.elapsed_ms());
        let _ = self.file.lock().expect("record").write_all(line.as_bytes());
        print!("{line}");
    }
}

/// First port that is given out, and the number of ports. They lie below the range of outgoing connections.
const FIRST_PORT: u16 = 12_000;
const N_PORTS: u16 = 18_000;

/// Returns a free address on a loopback address. No port is given out twice.
pub fn free_address(ip: IpAddr) -> SocketAddr {
    static N_GIVEN: AtomicU16 = AtomicU16::new(0);
    let start = (std::process::id() % u32::from(N_PORTS)) as u16;
    loop {
        let offset = start.wrapping_add(N_GIVEN.fetch_add(1, Ordering::SeqCst)) % N_PORTS;
        let address = SocketAddr::new(ip, FIRST_PORT + offset);
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Addresses of one machine.
#[derive(Clone, Debug)]
pub struct Machine {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub callers: SocketAddr,
    pub control: SocketAddr,
    pub ready: SocketAddr,
    pub peers: SocketAddr,
    pub metrics: SocketAddr,
    pub server: SocketAddr,
    /// The bound `grace`, in seconds.
    pub grace_s: u32,
}

impl Machine {
    /// Returns the machine with another bound `grace`.
    pub fn with_grace(self, grace_s: u32) -> Machine {
        Machine { grace_s, ..self }
    }

    pub fn new(name: &str, service: &str, ip: &str) -> Machine {
        let ip: IpAddr = ip.parse().expect("a loopback address");
        assert!(ip.is_loopback(), "all addresses are loopback addresses");
        Machine {
            name: name.to_string(),
            service: service.to_string(),
            zone: "kolkata".to_string(),
            callers: free_address(ip),
            control: free_address(ip),
            ready: free_address(ip),
            peers: free_address(ip),
            metrics: free_address(ip),
            server: free_address(ip),
            grace_s: 6,
        }
    }

    /// Returns the options of the upstream on this machine.
    pub fn server_options(&self, id: &str) -> server::Options {
        server::Options {
            id: id.to_string(),
            service: self.service.clone(),
            zone: self.zone.clone(),
            slots: 188,
            address: self.server,
            control: self.control,
        }
    }

    /// Returns the settings file that the platform renders from `platform/settings.json.template`.
    fn settings(&self, table: SocketAddr) -> String {
        let Machine { name, service, zone, callers, control, ready, peers, metrics, server, grace_s } =
            self;
        format!(
            "{{\"name\":\"{name}\",\"failure_domain\":\"{zone}\",\"service\":\"{service}\",\
             \"caller_address\":\"{callers}\",\"local_address\":\"{control}\",\
             \"health_address\":\"{ready}\",\"peer_address\":\"{peers}\",\
             \"metrics_address\":\"{metrics}\",\"server_address\":\"{server}\",\
             \"table_address\":\"{table}\",\"shutdown_grace_s\":{grace_s},\"table_recovery_ms\":3000,\
             \"max_descriptors\":4100,\"repeats\":{{\"ratio\":0.2,\"window_s\":10,\"slack\":48}}}}"
        )
    }
}

/// A daemon process. It is killed when dropped.
pub struct Daemon {
    child: Child,
    pub machine: Machine,
    log: PathBuf,
    record: Record,
}

impl Daemon {
    /// Starts a daemon with the command of the deploy file. Its log goes to the temporary folder of the script.
    pub fn start(machine: &Machine, table: &Table, folder: &Folder, record: &Record) -> Daemon {
        let settings = folder.path.join(format!("{}.json", machine.name));
        fs::write(&settings, machine.settings(table.address)).expect("settings file");
        let log_path = folder.path.join(format!("{}.log", machine.name));
        let log = File::options().create(true).append(true).open(&log_path).expect("log file");
        let mut command = Command::new("target/release/ivytraild");
        command
            .arg("--mesh")
            .arg(&settings)
            .env("IVYTRAIL_NODE_FILE", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log file"))
            .stderr(log);
        // The daemon ends with the script, also where the script itself is killed.
        // SAFETY: the closure makes one system call and allocates nothing.
        unsafe {
            command.pre_exec(|| match prctl(PR_SET_PDEATHSIG, SIGKILL) {
                0 => Ok(()),
                _ => Err(std::io::Error::last_os_error()),
            });
        }
        let child = match command.spawn() {
            Ok(child) => child,
            Err(cause) => {
                println!("target/release/ivytraild does not start: {cause}");
                std::process::exit(2);
            }
        };
        record.write(&format!("daemon started machine={} pid={}", machine.name, child.id()));
        Daemon { child, machine: machine.clone(), log: log_path, record: record.clone() }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn terminate(&self) {
        self.record.write(&format!("SIGTERM machine={}", self.machine.name));
        // SAFETY: plain system call on the process that this script started and has not waited for.
        unsafe { kill(self.child.id() as i32, SIGTERM) };
    }

    pub fn kill(&mut self) {
        self.record.write(&format!("SIGKILL machine={}", self.machine.name));
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the exit status if the process has ended.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|it| it.to_string())
    }

    /// Waits until the process has ended, for up to `limit`.
    pub fn wait(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Some(status) = self.ended() {
                self.record.write(&format!("daemon ended machine={} status={status}", self.machine.name));
                return true;
            }
            thread::sleep(Duration::from_millis(5));
        }
        false
    }

    /// Returns whether the daemon's readiness probe succeeds.
    pub fn is_ready(&self) -> bool {
        let Ok(mut connection) = Connection::open(self.machine.ready) else { return false };
        let _ = connection.stream.set_read_timeout(Some(Duration::from_secs(1)));
        let sent = connection.write("GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n", &[]);
        sent.is_ok() && connection.read_message().is_ok_and(|it| it.status() == 200)
    }

    /// Waits until the daemon is ready, for up to 10 s.
    pub fn wait_ready(&self) -> bool {
        let is_ready = (0..200).any(|_| {
            thread::sleep(Duration::from_millis(50));
            self.is_ready()
        });
        self.record.write(&format!("daemon ready={is_ready} machine={}", self.machine.name));
        if !is_ready {
            let log = fs::read_to_string(&self.log).unwrap_or_default();
            log.lines().rev().take(5).for_each(|line| self.record.write(&format!("log {line}")));
        }
        is_ready
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A temporary folder, removed when dropped unless `KEEP` is set.
pub struct Folder {
    pub path: PathBuf,
}

impl Folder {
    pub fn create(name: &str) -> Folder {
        let path = env::temp_dir().join(format!("ivytrail-review-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("temporary folder");
        Folder { path }
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.path);
        }
    }
}

/// Returns a configuration. `routes` holds, for each route, its name, kind and service; the route `NAME` has the prefix
/// `/NAME/`. A kind that ends with `public` is that of a route without a key.
pub fn configuration(version: u64, routes: &[(&str, &str, &str)], timeout_ms: u64) -> String {
    let mut services: Vec<&str> = routes.iter().map(|(_, _, service)| *service).collect();
    services.sort_unstable();
    services.dedup();
    let routes: Vec<String> = routes
        .iter()
        .map(|(name, kind, service)| {
            let (kind, is_public) = match kind.strip_suffix(" public") {
                Some(kind) => (kind, true),
                None => (*kind, false),
            };
            format!(
                "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
                 \"timeout\":{timeout_ms},\"target_latency\":1500,\"priority\":0,\"service\":\"{service}\",\
                 \"max_attempts\":2,\"public\":{is_public}}}"
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_connections\":1228,\
                 \"protocol\":\"h1\",\"tls\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout\":3000,\
         \"idle_timeout\":15000}},\"tenants\":[{{\"name\":\"pulo780\",\"api_keys\":[\"{KEY}\"],\
         \"priority\":1,\"rate_per_s\":0,\"burst\":0}}]}}",
        routes.join(","),
        services.join(",")
    )
}

/// Returns the head of a client's request.
pub fn request_head(method: &str, path: &str, id: &str, deadline_ms: u64, n_bytes: usize) -> String {
    let length = match n_bytes {
        0 => String::new(),
        _ => format!("Content-Length: {n_bytes}\r\n"),
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Ivytrail-Request-Id: {id}\r\n\
         X-Ivytrail-Deadline-Ms: {deadline_ms}\r\nX-Ivytrail-Credential: {KEY}\r\n{length}\r\n"
    )
}

/// Sends a request without a body on a new connection. Returns the status, or 0 if the connection ended without a whole
/// answer.
pub fn ask(record: &Record, address: SocketAddr, method: &str, path: &str, id: &str, deadline_ms: u64) -> u16 {
    record.write(&format!("sent request={id} {method} {path}"));
    let answered = Connection::open(address).and_then(|mut connection| {
        connection.stream.set_read_timeout(Some(Duration::from_millis(deadline_ms + 1_000)))?;
        connection.write(&request_head(method, path, id, deadline_ms, 0), &[])?;
        connection.read_message()
    });
    let status = match &answered {
        Ok(answer) => answer.status(),
        Err(_) => 0,
    };
    let detail = match &answered {
        Ok(answer) if answer.status() != 200 => String::from_utf8_lossy(&answer.body).into_owned(),
        Ok(_) => String::new(),
        Err(cause) => cause.to_string(),
    };
    record.write(&format!("answered request={id} status={status} {detail}"));
    status
}

/// Returns the exit status of the script: 1 if the rule was broken.
pub fn verdict(record: &Record, is_broken: bool, what: &str) -> ExitCode {
    record.write(&format!("verdict {} {what}", if is_broken { "BROKEN" } else { "held" }));
    ExitCode::from(u8::from(is_broken))
}

/// Encodes bytes as base64.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for chunk in bytes.chunks(3) {
        let bits = chunk.iter().fold(0_u32, |bits, it| bits << 8 | u32::from(*it)) << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            match digit <= chunk.len() {
                true => text.push(DIGITS[(bits >> (18 - 6 * digit)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}
