//! An upstream: runs requests, echoes their ids, and reports itself to the daemon beside it.

use std::{
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    client::{Connection, Message, read_request, write_response},
    site::Record,
};

/// Interval between two heartbeats.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Number of requests that an upstream processes at a time, unless a case says otherwise.
pub const SLOTS: u32 = 64;

/// A run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub upstream: String,
    /// Service of the upstream.
    pub service: String,
    /// Service that the request names as its caller's.
    pub caller: String,
    pub at: Instant,
}

/// An upstream that serves until it ends.
#[derive(Clone, Debug)]
pub struct Upstream {
    pub address: SocketAddr,
    pub id: String,
    pub service: String,
    pub slots: u32,
    pub born: u64,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub sequence: Arc<AtomicU64>,
    /// Whether it sends heartbeats.
    pub is_announcing: Arc<AtomicBool>,
    /// Whether it is leaving: its health check fails and it sends no more heartbeats.
    pub is_leaving: Arc<AtomicBool>,
    pub has_ended: Arc<AtomicBool>,
    /// Whether it has fallen silent: its connections stay open and it does nothing more.
    pub is_dark: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    /// Address of the daemon beside it for calls of its own.
    outbound: Option<SocketAddr>,
    /// Calls that it made and that ended.
    pub calls: Arc<Mutex<Vec<EndedCall>>>,
    record: Record,
}

/// A call that an upstream made for a request that it ran.
#[derive(Clone, Debug)]
pub struct EndedCall {
    pub id: String,
    pub sent_at: Instant,
    pub ended_at: Instant,
    /// Status of the answer, or `None` if the connection ended without one.
    pub status: Option<u16>,
}

impl Upstream {
    pub fn start(
        id: &str,
        service: &str,
        slots: u32,
        address: SocketAddr,
        outbound: Option<SocketAddr>,
        runs: &Arc<Mutex<Vec<Run>>>,
        record: &Record,
    ) -> std::io::Result<Upstream> {
        let listener = TcpListener::bind(address)?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let upstream = Upstream {
            address: listener.local_addr()?,
            id: id.to_string(),
            service: service.to_string(),
            slots,
            born,
            runs: Arc::clone(runs),
            sequence: Arc::default(),
            is_announcing: Arc::new(AtomicBool::new(true)),
            is_leaving: Arc::default(),
            has_ended: Arc::default(),
            is_dark: Arc::default(),
            connections: Arc::default(),
            outbound,
            calls: Arc::default(),
            record: record.clone(),
        };
        let served = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if served.has_ended.load(Ordering::SeqCst) || served.is_dark.load(Ordering::SeqCst)
                {
                    return;
                }
                let upstream = served.clone();
                if let Ok(copy) = stream.try_clone() {
                    served.connections.lock().unwrap().push(copy);
                }
                let _ = stream.set_nodelay(true);
                thread::spawn(move || upstream.serve(stream));
            }
        });
        Ok(upstream)
    }

    /// Ends the upstream: its connections break off and it accepts no more.
    pub fn end(&self) {
        self.is_announcing.store(false, Ordering::SeqCst);
        self.has_ended.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Makes the upstream fall silent: it accepts no more connections and answers nothing more on those that are open.
    pub fn fall_silent(&self) {
        self.is_announcing.store(false, Ordering::SeqCst);
        self.is_dark.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        self.record.line(&format!("{} falls silent", self.id));
    }

    fn wait_while_dark(&self) {
        while self.is_dark.load(Ordering::SeqCst) && !self.has_ended.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(50));
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        while let Some(request) = read_request(&mut stream) {
            self.wait_while_dark();
            if self.has_ended.load(Ordering::SeqCst) || self.answer(&mut stream, &request).is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, stream: &mut TcpStream, request: &Message) -> std::io::Result<()> {
        let load = format!("0,0,{}", self.slots);
        let own = [("X-Ivytrail-Instance-Id", self.id.as_str()), ("X-Ivytrail-Server-Load", &load)];
        if request.target == "/healthz" {
            let status = if self.is_leaving.load(Ordering::SeqCst) { 503 } else { 200 };
            return write_response(stream, status, &own, b"");
        }
        let request_id = request.header("x-ivytrail-request-id").unwrap_or_default().to_string();
        if request.header("x-ivytrail-expected-instance").is_some_and(|it| it != self.id) {
            self.record.line(&format!("{} rejects {request_id} with 421", self.id));
            let headers = [own[0], ("X-Ivytrail-Request-Id", request_id.as_str())];
            return write_response(stream, 421, &headers, b"");
        }
        self.record.line(&format!(
            "{} ({}) runs {request_id}: {} {} with {} bytes, from {}",
            self.id,
            self.service,
            request.method,
            request.target,
            request.body.len(),
            request.header("x-ivytrail-caller-service").unwrap_or("-"),
        ));
        self.runs.lock().unwrap().push(Run {
            id: request_id.clone(),
            upstream: self.id.clone(),
            service: self.service.clone(),
            caller: request.header("x-ivytrail-caller-service").unwrap_or("-").to_string(),
            at: Instant::now(),
        });
        // The last part of the path but one is the time that the work takes, in milliseconds.
        let work_ms = request.target.rsplit('/').nth(1).and_then(|it| it.parse().ok()).unwrap_or(1);
        thread::sleep(Duration::from_millis(work_ms));
        self.wait_while_dark();
        let status = match part(&request.target, "call-").and_then(|it| it.parse().ok()) {
            Some(call_ms) => self.call(request, &request_id, call_ms),
            None => 200,
        };
        self.record.line(&format!("{} has run {request_id}", self.id));
        let headers = [
            own[1],
            ("X-Ivytrail-Request-Id", request_id.as_str()),
            ("X-Ivytrail-Response-Signature", "a1.b2.c3"),
            ("Keep-Alive", "timeout=10"),
        ];
        match part(&request.target, "answer-").and_then(|it| it.parse().ok()) {
            Some(size) => write_response(stream, 200, &headers, &vec![b'a'; size]),
            None => {
                write_response(stream, status, &headers, format!("done {request_id}").as_bytes())
            }
        }
    }

    /// Makes a call of `call_ms` to the service `tracker` for the run of a request, whose deadline it has, and returns the
    /// status with which the run ends.
    fn call(&self, request: &Message, request_id: &str, call_ms: u32) -> u16 {
        let Some(outbound) = self.outbound else { return 500 };
        let id = format!("{request_id}.1");
        let deadline = request.header("x-ivytrail-deadline-ms").unwrap_or("1000");
        let headers = [
            ("Host", crate::site::HOST),
            ("X-Ivytrail-Request-Id", id.as_str()),
            ("X-Ivytrail-Deadline-Ms", deadline),
        ];
        let Ok(mut connection) = Connection::open(outbound) else {
            self.record.line(&format!("{} can't connect for its call {id}", self.id));
            return 500;
        };
        let sent_at = Instant::now();
        let is_sent = connection.send("GET", &format!("/tracker-call/{call_ms}/x"), &headers, b"");
        let answer = is_sent.ok().and_then(|()| connection.receive());
        let status = answer.map(|it| it.status);
        self.record.line(&format!("{} gets {status:?} for its call {id}", self.id));
        self.calls.lock().unwrap().push(EndedCall {
            id,
            sent_at,
            ended_at: Instant::now(),
            status,
        });
        if status == Some(200) { 200 } else { 500 }
    }

    /// Returns the body of the next heartbeat.
    pub fn next_heartbeat(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"kolkata\",\"version\":\"v1\",\"slots\":{},\"phase\":\"ready\",\"warmup_left\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.slots, self.born
        )
    }

    /// Sends a heartbeat to a daemon and returns the status of its response.
    pub fn send_heartbeat(&self, control: SocketAddr, body: &str) -> Option<u16> {
        self.post(control, &format!("/Instances.Heartbeat/{}", self.id), body)
    }

    /// Tells a daemon that the upstream leaves, and returns the status of the response.
    pub fn deregister(&self, control: SocketAddr) -> Option<u16> {
        self.is_announcing.store(false, Ordering::SeqCst);
        self.is_leaving.store(true, Ordering::SeqCst);
        self.post(
            control,
            &format!("/Instances.Deregister/{}", self.id),
            &format!("{{\"born\":{}}}", self.born),
        )
    }

    fn post(&self, control: SocketAddr, path: &str, body: &str) -> Option<u16> {
        let mut connection = Connection::open(control).ok()?;
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        connection.send("POST", path, &headers, body.as_bytes()).ok()?;
        connection.receive().map(|it| it.status)
    }

    /// Sends heartbeats to the daemon beside the upstream until it ends or leaves.
    pub fn announce(&self, control: SocketAddr) {
        let upstream = self.clone();
        thread::spawn(move || {
            while upstream.is_announcing.load(Ordering::SeqCst) {
                let body = upstream.next_heartbeat();
                upstream.send_heartbeat(control, &body);
                thread::sleep(HEARTBEAT);
            }
        });
    }
}

/// Returns the rest of the part of a path that begins with `prefix`.
fn part<'t>(target: &'t str, prefix: &str) -> Option<&'t str> {
    target.split('/').find_map(|it| it.strip_prefix(prefix))
}
