//! A small deployment: daemons as separate processes, with the stand-ins around them.

use std::{
    fs::{self, File},
    io::{self, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    ops::Range,
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{Connection, Message},
    store::Store,
    upstream::{Run, SLOTS, Upstream},
};

/// Program of the deploy file, below the repository's root.
const DAEMON: &str = "target/release/ivytraild";
/// Key of the only tenant.
pub const KEY: &str = "6wsjnbanfqasnmgkcuyj";
/// Host of all routes.
pub const HOST: &str = "site.example";
/// Time that a daemon has after SIGTERM, in seconds, unless a case says otherwise.
const GRACE_S: u64 = 6;
/// Memory of a machine, in bytes.
pub const MAX_MEMORY: u64 = 260 << 20;
/// Ports from which those of the daemons are taken.
const PORTS: Range<u32> = 18_000..32_000;
/// Time after which a process that has ended is started again.
pub const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Option of `prctl` that sets the signal sent at the end of the parent.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;
/// Time in which a daemon has to serve after its start.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// The file that tells what was sent, answered and run.
#[derive(Clone, Debug)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Record { file, started_at: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let at = self.started_at.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {text}");
    }
}

/// Addresses of one daemon.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    pub caller: SocketAddr,
    pub local: SocketAddr,
    pub health: SocketAddr,
    pub peer: SocketAddr,
    pub metrics: SocketAddr,
}

/// Ports of a daemon, which are the same on all machines.
#[derive(Clone, Copy, Debug)]
struct Ports([u16; 5]);

impl Ports {
    /// Returns free ports below those that the system hands out for connections, so that none is taken meanwhile.
    fn free() -> io::Result<Ports> {
        let first = PORTS.start + (std::process::id() * 16 % (PORTS.end - PORTS.start));
        let candidates = (first..PORTS.end).chain(PORTS.start..first);
        let free: Vec<u16> = candidates
            .map(|it| it as u16)
            .filter(|it| TcpListener::bind(("0.0.0.0", *it)).is_ok())
            .take(5)
            .collect();
        free.try_into().map(Ports).map_err(|_| io::Error::other("there are no free ports"))
    }

    /// Returns the addresses of the daemon on the machine with a number.
    fn on_machine(self, number: u8) -> Addresses {
        let ip = machine_ip(number);
        let [caller, local, health, peer, metrics] = self.0.map(|it| SocketAddr::new(ip, it));
        Addresses { caller, local, health, peer, metrics }
    }
}

/// Returns the loopback address of the machine with a number.
pub fn machine_ip(number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 0, 10 + number))
}

/// A machine: a daemon and the upstream beside it.
#[derive(Debug)]
pub struct Machine {
    pub name: String,
    pub addresses: Addresses,
    pub upstream: Upstream,
    pub daemon: Option<Child>,
}

/// A running deployment. Dropping it ends its daemons.
#[derive(Debug)]
pub struct Site {
    pub store: Store,
    pub machines: Vec<Machine>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub record: Record,
    grace_s: u64,
    ports: Ports,
    slots: u32,
    dir: PathBuf,
}

impl Site {
    /// Starts one machine for each service of `services`, and waits until all serve.
    pub fn start(services: &[&str], config: &str, record: &Record) -> io::Result<Site> {
        Site::start_with(services, config, SLOTS, record)
    }

    /// Starts a deployment whose upstreams have a number of slots.
    pub fn start_with(
        services: &[&str],
        config: &str,
        slots: u32,
        record: &Record,
    ) -> io::Result<Site> {
        Site::start_all(services, config, slots, GRACE_S, record)
    }

    /// Starts a deployment whose upstreams have a number of slots, and its daemons a time after SIGTERM, in seconds.
    pub fn start_with_grace(
        services: &[&str],
        config: &str,
        slots: u32,
        grace_s: u64,
        record: &Record,
    ) -> io::Result<Site> {
        Site::start_all(services, config, slots, grace_s, record)
    }

    fn start_all(
        services: &[&str],
        config: &str,
        slots: u32,
        grace_s: u64,
        record: &Record,
    ) -> io::Result<Site> {
        let dir = std::env::temp_dir().join(format!("ivytrail-review-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let store = Store::start()?;
        store.put("op", "config", config);
        let mut site = Site {
            store,
            machines: Vec::new(),
            runs: Arc::default(),
            record: record.clone(),
            grace_s,
            ports: Ports::free()?,
            slots,
            dir,
        };
        for (idx, service) in services.iter().enumerate() {
            let number = idx as u8 + 1;
            site.add_machine(number, &format!("sidecar-kolkata-{number}"), service)?;
        }
        for idx in 0..services.len() {
            site.wait_until_serving(idx)?;
        }
        record.line("all machines serve");
        Ok(site)
    }

    /// Adds the machine with a number under a name, and starts its upstream and its daemon.
    pub fn add_machine(&mut self, number: u8, name: &str, service: &str) -> io::Result<()> {
        let addresses = self.ports.on_machine(number);
        let id = format!("i-{number}");
        let address = SocketAddr::new(addresses.caller.ip(), 0);
        let upstream = Upstream::start(
            &id,
            service,
            self.slots,
            address,
            Some(addresses.caller),
            &self.runs,
            &self.record,
        )?;
        self.machines.push(Machine { name: name.to_string(), addresses, upstream, daemon: None });
        let idx = self.machines.len() - 1;
        self.start_daemon(idx)?;
        self.machines[idx].upstream.announce(addresses.local);
        Ok(())
    }

    /// Writes the settings of a machine's daemon and returns the file's path.
    pub fn write_settings(&self, idx: usize) -> io::Result<PathBuf> {
        let machine = &self.machines[idx];
        let Addresses { caller, local, health, peer, metrics } = machine.addresses;
        let settings = format!(
            "{{\"name\":\"{}\",\"failure_domain\":\"kolkata\",\"service\":\"{}\",\"caller_address\":\"{caller}\",\"local_address\":\"{local}\",\"health_address\":\"{health}\",\"peer_address\":\"{peer}\",\"metrics_address\":\"{metrics}\",\"server_address\":\"{}\",\"table_address\":\"{}\",\"shutdown_grace_s\":{},\"table_recovery_ms\":3000,\"max_descriptors\":4100,\"repeats\":{{\"ratio\":0.2,\"window_s\":10,\"slack\":48}}}}",
            machine.name,
            machine.upstream.service,
            machine.upstream.address,
            self.store.address,
            self.grace_s
        );
        let path = self.dir.join(format!("{}.json", machine.name));
        fs::write(&path, settings)?;
        Ok(path)
    }

    /// Starts the daemon of a machine with its settings.
    pub fn start_daemon(&mut self, idx: usize) -> io::Result<()> {
        let path = self.write_settings(idx)?;
        let machine = &mut self.machines[idx];
        let peer = machine.addresses.peer;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{}.log", machine.name)))?;
        let mut command = Command::new(DAEMON);
        command
            .arg("--mesh")
            .arg(&path)
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log));
        // SAFETY: the function only makes a system call.
        unsafe { command.pre_exec(end_with_parent) };
        let daemon = command.spawn()?;
        self.record.line(&format!("{} starts, peers at {peer}", machine.name));
        machine.daemon = Some(daemon);
        Ok(())
    }

    /// Sends SIGKILL to a daemon and waits until it has ended.
    pub fn kill_daemon(&mut self, idx: usize) -> io::Result<()> {
        let machine = &mut self.machines[idx];
        if let Some(mut daemon) = machine.daemon.take() {
            daemon.kill()?;
            daemon.wait()?;
            self.record.line(&format!("{} was killed", machine.name));
        }
        Ok(())
    }

    /// Sends a signal, such as `STOP`, to a daemon.
    pub fn signal(&self, idx: usize, name: &str) -> io::Result<()> {
        let machine = &self.machines[idx];
        if let Some(daemon) = &machine.daemon {
            let id = daemon.id().to_string();
            Command::new("kill").arg(format!("-{name}")).arg(id).status()?;
            self.record.line(&format!("{} gets SIG{name}", machine.name));
        }
        Ok(())
    }

    /// Returns whether a daemon has ended by itself.
    pub fn has_ended(&mut self, idx: usize) -> io::Result<bool> {
        match &mut self.machines[idx].daemon {
            Some(daemon) => Ok(daemon.try_wait()?.is_some()),
            None => Ok(true),
        }
    }

    /// Returns the resident memory of a daemon, in bytes, if it runs.
    pub fn memory(&self, idx: usize) -> Option<u64> {
        let daemon = self.machines[idx].daemon.as_ref()?;
        let status = fs::read_to_string(format!("/proc/{}/status", daemon.id())).ok()?;
        let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"))?;
        let kib: u64 = line.trim().trim_end_matches("kB").trim().parse().ok()?;
        Some(kib * 1_024)
    }

    /// Ends each daemon that uses more memory than its machine has and starts it again, as the platform does. Returns the
    /// greatest use, in bytes, and the number of daemons that were ended.
    pub fn enforce_memory(&mut self) -> io::Result<(u64, usize)> {
        let mut greatest = 0;
        let mut n_ends = 0;
        for idx in 0..self.machines.len() {
            let memory = self.memory(idx).unwrap_or(0);
            greatest = greatest.max(memory);
            if MAX_MEMORY < memory {
                let name = self.machines[idx].name.clone();
                self.record.line(&format!("{name} uses {memory} bytes of {MAX_MEMORY}"));
                n_ends += 1;
                self.kill_daemon(idx)?;
                thread::sleep(RESTART_DELAY);
                self.start_daemon(idx)?;
            }
        }
        Ok((greatest, n_ends))
    }

    /// Waits until a machine answers a request for each service with 200.
    pub fn wait_until_serving(&self, idx: usize) -> io::Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        let mut services: Vec<&str> =
            self.machines.iter().map(|it| it.upstream.service.as_str()).collect();
        services.sort_unstable();
        services.dedup();
        let mut serial = 0;
        while Instant::now() < deadline {
            let is_served = |service: &&str| {
                let id = format!("start-{idx}-{serial}-{service}");
                let path = format!("/{service}-read/1/x");
                self.request(idx, "GET", &path, &id, 3_000, b"").is_some_and(|it| it.status == 200)
            };
            if services.iter().all(is_served) {
                return Ok(());
            }
            serial += 1;
            thread::sleep(Duration::from_millis(50));
        }
        let name = &self.machines[idx].name;
        let log = fs::read_to_string(self.dir.join(format!("{name}.log"))).unwrap_or_default();
        log.lines().for_each(|it| self.record.line(&format!("log of {name}: {it}")));
        Err(io::Error::other(format!("{name} doesn't serve")))
    }

    /// Sends a request of a client on a connection of its own, and returns the answer.
    pub fn request(
        &self,
        idx: usize,
        method: &str,
        path: &str,
        id: &str,
        deadline_ms: u64,
        body: &[u8],
    ) -> Option<Message> {
        request(self.machines[idx].addresses.caller, method, path, id, deadline_ms, body)
    }
}

unsafe extern "C" {
    fn prctl(option: i32, value: u64) -> i32;
}

/// Makes this process end when the one that has started it ends.
fn end_with_parent() -> io::Result<()> {
    // SAFETY: the call takes numbers only.
    match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) } {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    }
}

/// Sends a request of a client to a daemon, and returns the answer.
pub fn request(
    caller: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    body: &[u8],
) -> Option<Message> {
    let mut connection = Connection::open(caller).ok()?;
    send(&mut connection, method, path, id, deadline_ms, body).ok()?;
    connection.receive()
}

/// Sends a request with the headers of a client.
pub fn send(
    connection: &mut Connection,
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    body: &[u8],
) -> io::Result<()> {
    let deadline = deadline_ms.to_string();
    let headers = [
        ("Host", HOST),
        ("X-Ivytrail-Request-Id", id),
        ("X-Ivytrail-Deadline-Ms", deadline.as_str()),
        ("X-Ivytrail-Credential", KEY),
    ];
    connection.send(method, path, &headers, body)
}

impl Drop for Site {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            if let Some(daemon) = &mut machine.daemon {
                let _ = daemon.kill();
                let _ = daemon.wait();
            }
        }
        match std::env::var("KEEP_LOGS") {
            Ok(_) => eprintln!("logs in {}", self.dir.display()),
            Err(_) => drop(fs::remove_dir_all(&self.dir)),
        }
    }
}
