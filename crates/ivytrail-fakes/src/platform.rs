//! Fake platform: an in-memory transactional table and object store, with fault injection at run time.
//!
//! Besides the protocol of [`ivytrail::platform`] it serves `POST /faults` ([`PlatformFaults`]) and `GET /counts`
//! ([`PlatformCounts`]), which are exempt from rate limits and faults.

mod table;

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use anyhow::Result;
use bytes::Bytes;
use ivytrail::platform::{TableRead, TableTransaction, TransactionResult};
use parking_lot::Mutex;
use salvo::{
    conn::ConnCtrl,
    http::{Method, StatusCode},
    prelude::{Request, Response, handler},
};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

pub use self::table::MemoryTable;
use crate::server::{self, LocalServer};

/// Injected faults. `POST /faults` replaces all of them; absent fields mean no fault.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Whether the connection of each request is closed without an effect or a response.
    pub down: bool,
    /// Additional delay before each request takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Number of upcoming writes that take effect, but whose responses are lost.
    pub lose_next: u64,
    /// Share of writes, from 0 to 1, that take effect, but whose responses are lost.
    pub lose_share: f64,
}

/// Request counters of the platform since its start.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Reads of the table and of objects.
    pub reads: u64,
    /// Transactions and object writes that took effect.
    pub writes: u64,
    /// Transactions rejected because a version check failed.
    pub conflicts: u64,
    /// Writes that took effect, but whose responses were lost.
    pub lost_answers: u64,
    /// Requests refused because the platform was down.
    pub refused: u64,
}

/// Maximum sustained request rates. Requests above them are queued.
#[derive(Clone, Copy, Debug)]
pub struct PlatformRates {
    /// Writes per second.
    pub writes_per_s: u32,
    /// Reads per second.
    pub reads_per_s: u32,
}

impl Default for PlatformRates {
    fn default() -> PlatformRates {
        PlatformRates { writes_per_s: 500, reads_per_s: 2_000 }
    }
}

/// Fake platform that runs until it is dropped.
#[derive(Debug)]
pub struct PlatformFake {
    server: LocalServer,
    state: Arc<Mutex<PlatformState>>,
}

impl PlatformFake {
    /// Starts a platform with an empty table and an empty object store.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn start(address: SocketAddr, rates: PlatformRates) -> Result<PlatformFake> {
        let state = Arc::new(Mutex::new(PlatformState::new(rates)));
        let handler = PlatformHandler { state: Arc::clone(&state) };
        Ok(PlatformFake { server: LocalServer::start(address, handler).await?, state })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces all injected faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.state.lock().faults = faults;
    }

    /// Returns a copy of the request counters.
    pub fn counts(&self) -> PlatformCounts {
        self.state.lock().counts.clone()
    }

    /// Waits until the listener stops, which happens only on failure.
    pub async fn join(&mut self) {
        self.server.join().await;
    }
}

#[derive(Debug)]
struct PlatformState {
    table: MemoryTable,
    objects: BTreeMap<String, Bytes>,
    faults: PlatformFaults,
    counts: PlatformCounts,
    read_pacer: RequestPacer,
    write_pacer: RequestPacer,
}

impl PlatformState {
    fn new(rates: PlatformRates) -> PlatformState {
        PlatformState {
            table: MemoryTable::default(),
            objects: BTreeMap::new(),
            faults: PlatformFaults::default(),
            counts: PlatformCounts::default(),
            read_pacer: RequestPacer::new(rates.reads_per_s),
            write_pacer: RequestPacer::new(rates.writes_per_s),
        }
    }

    /// Decides whether the response to the write that was just applied is lost, and counts it if so.
    fn should_lose_response(&mut self) -> bool {
        let is_scheduled = 0 < self.faults.lose_next;
        if is_scheduled {
            self.faults.lose_next -= 1;
        }
        let is_lost = is_scheduled || rand::random::<f64>() < self.faults.lose_share;
        self.counts.lost_answers += u64::from(is_lost);
        is_lost
    }
}

/// Paces requests evenly at a fixed rate.
#[derive(Debug)]
struct RequestPacer {
    interval: Duration,
    next_at: Instant,
}

impl RequestPacer {
    /// Burst tolerance: unused time up to this length is available to later requests.
    const BURST_TOLERANCE: Duration = Duration::from_millis(100);

    fn new(rate_per_s: u32) -> RequestPacer {
        RequestPacer {
            interval: Duration::from_secs(1) / rate_per_s.max(1),
            next_at: Instant::now(),
        }
    }

    /// Reserves the next time slot and returns its time.
    fn reserve(&mut self) -> Instant {
        let earliest = Instant::now().checked_sub(Self::BURST_TOLERANCE).unwrap_or(self.next_at);
        self.next_at = self.next_at.max(earliest) + self.interval;
        self.next_at
    }
}

/// Parsed request to the platform.
#[derive(Debug)]
enum PlatformRequest {
    SetFaults(PlatformFaults),
    GetCounts,
    Read(TableRead),
    Transact(TableTransaction),
    PutObject { name: String, body: Bytes },
    GetObject { name: String },
}

impl PlatformRequest {
    async fn parse(req: &mut Request) -> Result<Option<PlatformRequest>> {
        let path = req.uri().path().to_string();
        let object = path.strip_prefix("/objects/").map(str::to_string);
        let parsed = match (req.method().clone(), path.as_str(), object) {
            (Method::POST, "/faults", _) => {
                PlatformRequest::SetFaults(server::read_json(req).await?)
            }
            (Method::GET, "/counts", _) => PlatformRequest::GetCounts,
            (Method::POST, "/table/read", _) => {
                PlatformRequest::Read(server::read_json(req).await?)
            }
            (Method::POST, "/table/transact", _) => {
                PlatformRequest::Transact(server::read_json(req).await?)
            }
            (Method::PUT, _, Some(name)) => {
                let body = req.payload_with_max_size(server::MAX_BODY_BYTES).await?.clone();
                PlatformRequest::PutObject { name, body }
            }
            (Method::GET, _, Some(name)) => PlatformRequest::GetObject { name },
            _ => return Ok(None),
        };
        Ok(Some(parsed))
    }

    fn is_control(&self) -> bool {
        matches!(self, PlatformRequest::SetFaults(_) | PlatformRequest::GetCounts)
    }

    fn is_write(&self) -> bool {
        matches!(self, PlatformRequest::Transact(_) | PlatformRequest::PutObject { .. })
    }
}

struct PlatformHandler {
    state: Arc<Mutex<PlatformState>>,
}

#[handler]
impl PlatformHandler {
    async fn handle(&self, req: &mut Request, res: &mut Response, conn: &mut ConnCtrl) {
        match PlatformRequest::parse(req).await {
            Ok(Some(request)) => self.handle_request(request, res, conn).await,
            Ok(None) => server::write_error(res, StatusCode::NOT_FOUND, "unknown endpoint"),
            Err(cause) => server::write_error(res, StatusCode::BAD_REQUEST, &cause.to_string()),
        }
    }
}

impl PlatformHandler {
    async fn handle_request(&self, request: PlatformRequest, res: &mut Response, conn: &ConnCtrl) {
        if !request.is_control() && !self.wait_until_due(&request).await {
            conn.abort();
            return;
        }
        let is_write = request.is_write();
        self.apply(request, res);
        if is_write && self.state.lock().should_lose_response() {
            conn.abort();
        }
    }

    /// Waits for the request's reserved time and returns whether the platform is up at that time.
    async fn wait_until_due(&self, request: &PlatformRequest) -> bool {
        let due = {
            let mut state = self.state.lock();
            let delay = Duration::from_millis(state.faults.delay_ms);
            let pacer =
                if request.is_write() { &mut state.write_pacer } else { &mut state.read_pacer };
            pacer.reserve() + delay
        };
        tokio::time::sleep_until(due).await;
        let mut state = self.state.lock();
        state.counts.refused += u64::from(state.faults.down);
        !state.faults.down
    }

    fn apply(&self, request: PlatformRequest, res: &mut Response) {
        let mut state = self.state.lock();
        match request {
            PlatformRequest::SetFaults(faults) => {
                state.faults = faults;
                server::write_json(res, &state.faults);
            }
            PlatformRequest::GetCounts => server::write_json(res, &state.counts),
            PlatformRequest::Read(read) => {
                state.counts.reads += 1;
                server::write_json(res, &state.table.read(&read));
            }
            PlatformRequest::Transact(transaction) => {
                let result = state.table.transact(transaction);
                match result {
                    TransactionResult::Applied => state.counts.writes += 1,
                    TransactionResult::Conflict { .. } => state.counts.conflicts += 1,
                }
                server::write_json(res, &result);
            }
            PlatformRequest::PutObject { name, body } => {
                state.counts.writes += 1;
                state.objects.insert(name, body);
                res.status_code(StatusCode::NO_CONTENT);
            }
            PlatformRequest::GetObject { name } => {
                state.counts.reads += 1;
                match state.objects.get(&name) {
                    Some(body) => {
                        res.body(body.clone());
                    }
                    None => server::write_error(res, StatusCode::NOT_FOUND, "object not found"),
                }
            }
        }
    }
}
