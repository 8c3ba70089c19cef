//! A sound upstream: it runs requests, answers health checks and reports to the daemon beside it.
//!
//! The path of a request says what it does: `/PREFIX/work-MS/bytes-N` works for MS milliseconds and answers with N bytes.

use std::{
    collections::HashMap,
    io,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use super::{
    Record,
    http::{Connection, Message},
};

/// A request that began to run: its id, the server, and the time since the start of the script.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub server: String,
    pub began_ms: u64,
    pub body_bytes: usize,
}

/// All runs at all servers.
pub type Runs = Arc<Mutex<Vec<Run>>>;

pub struct Options {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: usize,
    pub address: SocketAddr,
    /// Address of the daemon beside the server that takes its heartbeats.
    pub control: SocketAddr,
}

struct State {
    options: Options,
    born_ms: u128,
    sequence: AtomicU64,
    is_leaving: AtomicBool,
    is_silent: AtomicBool,
    is_stopped: AtomicBool,
    n_running: AtomicUsize,
    connections: Mutex<HashMap<u64, TcpStream>>,
    runs: Runs,
    record: Record,
}

#[derive(Clone)]
pub struct Server {
    state: Arc<State>,
}

impl Server {
    /// Starts a server with regular heartbeats.
    pub fn start(options: Options, runs: &Runs, record: &Record) -> Server {
        let listener = TcpListener::bind(options.address).expect("the server's address");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970");
        let state = Arc::new(State {
            options,
            born_ms: born.as_millis(),
            sequence: AtomicU64::new(0),
            is_leaving: AtomicBool::new(false),
            is_silent: AtomicBool::new(false),
            is_stopped: AtomicBool::new(false),
            n_running: AtomicUsize::new(0),
            connections: Mutex::default(),
            runs: Arc::clone(runs),
            record: record.clone(),
        });
        let server = Server { state };
        let accepting = server.clone();
        thread::spawn(move || accepting.accept(&listener));
        let beating = server.clone();
        thread::spawn(move || {
            while !beating.is(&beating.state.is_stopped) {
                if !beating.is(&beating.state.is_silent) {
                    let beat = beating.next_heartbeat("ready");
                    let _ = beating.post(&beat);
                }
                thread::sleep(Duration::from_millis(1_500));
            }
        });
        server
    }

    fn is(&self, flag: &AtomicBool) -> bool {
        flag.load(Ordering::SeqCst)
    }

    pub fn id(&self) -> &str {
        &self.state.options.id
    }

    /// Sends no more heartbeats.
    pub fn stop_heartbeats(&self) {
        self.state.is_silent.store(true, Ordering::SeqCst);
    }

    /// Reports itself unhealthy from now on, because it is leaving.
    pub fn set_leaving(&self) {
        self.state.is_leaving.store(true, Ordering::SeqCst);
    }

    /// Ends the server as a process that is killed: its connections are closed, and it accepts no more.
    pub fn kill(&self) {
        self.state.is_stopped.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.state.options.address);
        for (_, stream) in self.state.connections.lock().expect("connections").drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Returns the next heartbeat, as the bytes of a whole request.
    pub fn next_heartbeat(&self, phase: &str) -> Vec<u8> {
        let Options { id, service, zone, slots, address, .. } = &self.state.options;
        let sequence = 1 + self.state.sequence.fetch_add(1, Ordering::SeqCst);
        let body = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":{slots},\"phase\":\"{phase}\",\"warmup_left\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.state.born_ms
        );
        format!(
            "POST /Instances.Heartbeat/{id} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .into_bytes()
    }

    /// Sends a call to the control address of the machine and returns the status of the response.
    pub fn post(&self, request: &[u8]) -> io::Result<u16> {
        let mut connection = Connection::open(self.state.options.control)?;
        connection.stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        connection.write("", request)?;
        connection.read_message().map(|it| it.status())
    }

    /// Says that the server leaves, without having reported that it drains.
    pub fn deregister(&self) -> io::Result<u16> {
        let request = format!(
            "POST /Instances.Deregister/{} HTTP/1.1\r\nHost: control\r\nContent-Length: 0\r\n\r\n",
            self.id()
        );
        self.post(request.as_bytes())
    }

    fn accept(&self, listener: &TcpListener) {
        let mut n_accepted = 0;
        for stream in listener.incoming() {
            if self.is(&self.state.is_stopped) {
                return;
            }
            let Ok(stream) = stream else { continue };
            n_accepted += 1;
            let key = n_accepted;
            if let Ok(copy) = stream.try_clone() {
                self.state.connections.lock().expect("connections").insert(key, copy);
            }
            let server = self.clone();
            thread::spawn(move || {
                server.serve(Connection::new(stream));
                server.state.connections.lock().expect("connections").remove(&key);
            });
        }
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(request) = connection.read_message() {
            if self.answer(&mut connection, &request).is_err() {
                return;
            }
        }
    }

    fn answer(&self, connection: &mut Connection, request: &Message) -> io::Result<()> {
        let Options { id, slots, .. } = &self.state.options;
        let n_running = self.state.n_running.load(Ordering::SeqCst);
        let load = format!("X-Ivytrail-Server-Load: {n_running},0,{slots}\r\n");
        if request.word(1) == "/healthz" {
            let status = match self.is(&self.state.is_leaving) {
                true => "503 Service Unavailable",
                false => "200 OK",
            };
            let head = format!(
                "HTTP/1.1 {status}\r\nX-Ivytrail-Instance-Id: {id}\r\n{load}Content-Length: 0\r\n\r\n"
            );
            return connection.write(&head, &[]);
        }
        if request.header("x-ivytrail-expected-instance").is_some_and(|it| it != id) {
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Ivytrail-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
            return connection.write(&head, &[]);
        }
        let request_id = request.header("x-ivytrail-request-id").unwrap_or("").to_string();
        let parameter = |name: &str| {
            let parts = request.word(1).split('/').filter_map(|it| it.strip_prefix(name));
            parts.filter_map(|it| it.parse::<u64>().ok()).next().unwrap_or(0)
        };
        let (work_ms, n_bytes) = (parameter("work-"), parameter("bytes-"));
        let began_ms = self.state.record.elapsed_ms();
        self.state.runs.lock().expect("runs").push(Run {
            request: request_id.clone(),
            server: id.clone(),
            began_ms,
            body_bytes: request.body.len(),
        });
        let line = format!("run request={request_id} server={id} body_bytes={}", request.body.len());
        self.state.record.write(&line);
        self.state.n_running.fetch_add(1, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(work_ms));
        self.state.n_running.fetch_sub(1, Ordering::SeqCst);
        let body = vec![b'a'; n_bytes as usize];
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Ivytrail-Request-Id: {request_id}\r\n\
             X-Ivytrail-Response-Signature: signed-by-{id}\r\n{load}Content-Length: {n_bytes}\r\n\r\n"
        );
        connection.write(&head, &body)
    }
}
