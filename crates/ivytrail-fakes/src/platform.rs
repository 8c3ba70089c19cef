//! Stand-in for the platform: a transactional table and an object store in memory, with faults set at run time.
//!
//! Besides the protocol of [`ivytrail::platform`] it answers `POST /faults` ([`PlatformFaults`]) and `GET /counts`
//! ([`PlatformCounts`]). These two are never delayed and never fail.

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

/// Faults of the platform. A request to `POST /faults` replaces all of them; absent fields mean no fault.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Whether each request's connection is closed without an effect or an answer.
    pub down: bool,
    /// Extra time before each request takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Number of coming writes that take effect and whose answers are lost.
    pub lose_next: u64,
    /// Share of writes, from 0 to 1, that take effect and whose answers are lost.
    pub lose_share: f64,
}

/// What the platform did since its start.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Table reads and object reads.
    pub reads: u64,
    /// Transactions and object writes that took effect.
    pub writes: u64,
    /// Transactions refused because a check failed.
    pub conflicts: u64,
    /// Writes that took effect and whose answers were lost.
    pub lost_answers: u64,
    /// Requests that met the platform when it was down.
    pub refused: u64,
}

/// Rates that the platform sustains. Requests beyond them wait their turn.
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

/// A platform that runs until it is dropped.
#[derive(Debug)]
pub struct PlatformFake {
    server: LocalServer,
    state: Arc<Mutex<PlatformState>>,
}

impl PlatformFake {
    /// Starts a platform with an empty table and an empty store.
    ///
    /// # Errors
    ///
    /// Returns an error when the address can't be bound.
    pub async fn start(address: SocketAddr, rates: PlatformRates) -> Result<PlatformFake> {
        let state = Arc::new(Mutex::new(PlatformState::new(rates)));
        let handler = PlatformHandler { state: Arc::clone(&state) };
        Ok(PlatformFake { server: LocalServer::start(address, handler).await?, state })
    }

    /// Returns the address that daemons connect to.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.state.lock().faults = faults;
    }

    /// Returns what the platform did since its start.
    pub fn counts(&self) -> PlatformCounts {
        self.state.lock().counts.clone()
    }

    /// Waits until the listener ends, which it does only when it fails.
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
    reads: RequestPace,
    writes: RequestPace,
}

impl PlatformState {
    fn new(rates: PlatformRates) -> PlatformState {
        PlatformState {
            table: MemoryTable::default(),
            objects: BTreeMap::new(),
            faults: PlatformFaults::default(),
            counts: PlatformCounts::default(),
            reads: RequestPace::new(rates.reads_per_s),
            writes: RequestPace::new(rates.writes_per_s),
        }
    }

    /// Returns whether the answer to the write that just took effect is lost.
    fn loses_answer(&mut self) -> bool {
        let by_count = 0 < self.faults.lose_next;
        if by_count {
            self.faults.lose_next -= 1;
        }
        let is_lost = by_count || rand::random::<f64>() < self.faults.lose_share;
        self.counts.lost_answers += u64::from(is_lost);
        is_lost
    }
}

/// Spaces requests evenly at a fixed rate.
#[derive(Debug)]
struct RequestPace {
    interval: Duration,
    next: Instant,
}

impl RequestPace {
    /// Time by which requests may come ahead of the pace.
    const BURST: Duration = Duration::from_millis(100);

    fn new(rate_per_s: u32) -> RequestPace {
        RequestPace { interval: Duration::from_secs(1) / rate_per_s.max(1), next: Instant::now() }
    }

    /// Takes the next place in line and returns when it is due.
    fn reserve(&mut self) -> Instant {
        let earliest = Instant::now().checked_sub(Self::BURST).unwrap_or(self.next);
        self.next = self.next.max(earliest) + self.interval;
        self.next
    }
}

/// What a request does to the platform.
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
            Ok(Some(request)) => self.run(request, res, conn).await,
            Ok(None) => server::write_error(res, StatusCode::NOT_FOUND, "no such interface"),
            Err(cause) => server::write_error(res, StatusCode::BAD_REQUEST, &cause.to_string()),
        }
    }
}

impl PlatformHandler {
    async fn run(&self, request: PlatformRequest, res: &mut Response, conn: &ConnCtrl) {
        if !request.is_control() && !self.wait(&request).await {
            conn.abort();
            return;
        }
        let is_write = request.is_write();
        self.apply(request, res);
        if is_write && self.state.lock().loses_answer() {
            conn.abort();
        }
    }

    /// Waits for the request's turn and returns whether the platform is up by then.
    async fn wait(&self, request: &PlatformRequest) -> bool {
        let due = {
            let mut state = self.state.lock();
            let delay = Duration::from_millis(state.faults.delay_ms);
            let pace = if request.is_write() { &mut state.writes } else { &mut state.reads };
            pace.reserve() + delay
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
                    None => server::write_error(res, StatusCode::NOT_FOUND, "no such object"),
                }
            }
        }
    }
}
