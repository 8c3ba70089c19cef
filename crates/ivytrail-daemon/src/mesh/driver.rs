//! Connects the reducer to the clock, the connections and the tasks, and executes its effects.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use ivytrail::{
    id::{CallId, InstanceName},
    mesh::{
        MeshOptions, MeshReducer,
        event::{CallAnswer, MeshEffect, MeshEvent, PeerAddress, RunId, ServerDeparture},
        frame::PeerFrame,
        frame_codec::encode_peer_frame,
        policy::FleetSettings,
        settings_file::MeshSettings,
    },
    quarantine::SuspectChanges,
    time::TimePoint,
};
use ivytrail_platform::document::parse_declaration;
use rustix::time::{ClockId, clock_gettime};
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::AbortHandle,
};

use super::{
    backend_pool::{BackendPool, probe::health_report},
    ingress::ConnectionCount,
    links,
    metrics::MeshMetrics,
};

/// Handle for sending frames on a connection to another daemon.
#[derive(Clone, Debug)]
pub struct LinkHandle {
    /// Serial number that distinguishes the connection from later ones to the same daemon.
    pub serial: u64,
    /// Queue of encoded frames to write.
    pub frames: mpsc::UnboundedSender<Bytes>,
}

/// The reducer together with the tasks and connections that it controls.
pub struct MeshDriver {
    reducer: RefCell<MeshReducer>,
    pending_calls: RefCell<HashMap<CallId, oneshot::Sender<CallAnswer>>>,
    /// Links that this daemon dialed.
    pub outbound_links: RefCell<HashMap<InstanceName, LinkHandle>>,
    /// Links that other daemons dialed.
    pub inbound_links: RefCell<HashMap<InstanceName, LinkHandle>>,
    dialers: RefCell<HashMap<InstanceName, AbortHandle>>,
    runs: RefCell<HashMap<RunId, AbortHandle>>,
    /// Idle connections to the local backend server.
    pub pool: BackendPool,
    /// Metrics of this daemon.
    pub metrics: MeshMetrics,
    removals: mpsc::UnboundedSender<PeerAddress>,
    removal_receiver: RefCell<Option<mpsc::UnboundedReceiver<PeerAddress>>>,
    suspect_changes: mpsc::UnboundedSender<SuspectChanges>,
    suspect_change_receiver: RefCell<Option<mpsc::UnboundedReceiver<SuspectChanges>>>,
    departures: mpsc::UnboundedSender<ServerDeparture>,
    departure_receiver: RefCell<Option<mpsc::UnboundedReceiver<ServerDeparture>>>,
    /// Number of departures that are not stored yet.
    n_unsaved_departures: watch::Sender<usize>,
    closing: watch::Sender<bool>,
    /// Open connections of clients.
    pub clients: ConnectionCount,
    /// Number of client requests whose head was received and whose body is being read.
    n_requests_read: Cell<usize>,
    next_call_id: Cell<u64>,
    next_link_serial: Cell<u64>,
}

/// Includes a request in a count until dropped.
struct CountedRequest<'c>(&'c Cell<usize>);

impl<'c> CountedRequest<'c> {
    fn new(count: &'c Cell<usize>) -> CountedRequest<'c> {
        count.set(count.get() + 1);
        CountedRequest(count)
    }
}

impl Drop for CountedRequest<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl MeshDriver {
    /// Creates the driver of a starting daemon.
    ///
    /// # Errors
    ///
    /// Always returns `Ok` at present.
    pub fn start(options: MeshOptions, settings: &MeshSettings) -> anyhow::Result<Rc<MeshDriver>> {
        let (removals, removal_receiver) = mpsc::unbounded_channel();
        let (suspect_changes, suspect_change_receiver) = mpsc::unbounded_channel();
        let (departures, departure_receiver) = mpsc::unbounded_channel();
        Ok(Rc::new(MeshDriver {
            reducer: RefCell::new(MeshReducer::new(options)),
            pending_calls: RefCell::default(),
            outbound_links: RefCell::default(),
            inbound_links: RefCell::default(),
            dialers: RefCell::default(),
            runs: RefCell::default(),
            pool: BackendPool::new(settings.server_address),
            metrics: MeshMetrics::new(),
            removals,
            removal_receiver: RefCell::new(Some(removal_receiver)),
            suspect_changes,
            suspect_change_receiver: RefCell::new(Some(suspect_change_receiver)),
            departures,
            departure_receiver: RefCell::new(Some(departure_receiver)),
            n_unsaved_departures: watch::Sender::new(0),
            closing: watch::Sender::new(false),
            clients: ConnectionCount::new(settings.max_descriptors),
            n_requests_read: Cell::new(0),
            next_call_id: Cell::new(1),
            next_link_serial: Cell::new(1),
        }))
    }

    /// Calls `read` with the reducer and returns its result.
    pub fn inspect<R, V>(&self, read: R) -> V
    where
        R: FnOnce(&MeshReducer) -> V,
    {
        read(&self.reducer.borrow())
    }

    /// Applies an event to the reducer and executes the resulting effects.
    pub fn apply(self: &Rc<Self>, event: MeshEvent) {
        let mut effects = Vec::new();
        let (name, started) = (event.name(), Instant::now());
        self.reducer.borrow_mut().apply(boot_time(), event, &mut effects);
        self.metrics.record_step(name, started.elapsed());
        for effect in effects {
            self.execute(effect);
        }
    }

    /// Reads a request with `read`, and counts it as being read until then.
    pub async fn read_request<R>(&self, read: R) -> R::Output
    where
        R: Future,
    {
        let _count = CountedRequest::new(&self.n_requests_read);
        read.await
    }

    /// Returns whether a client request is being read.
    pub fn is_reading_request(&self) -> bool {
        self.n_requests_read.get() != 0
    }

    /// Registers a call and returns its identifier and the channel that receives its answer.
    pub fn add_call(&self) -> (CallId, oneshot::Receiver<CallAnswer>) {
        let call = CallId(self.next_call_id.get());
        self.next_call_id.set(call.0 + 1);
        let (sender, receiver) = oneshot::channel();
        self.pending_calls.borrow_mut().insert(call, sender);
        (call, receiver)
    }

    /// Removes a call whose client has disconnected.
    pub fn remove_call(&self, call: CallId) {
        self.pending_calls.borrow_mut().remove(&call);
    }

    /// Returns the next unused serial number for a link.
    pub fn next_link_serial(&self) -> u64 {
        let serial = self.next_link_serial.get();
        self.next_link_serial.set(serial + 1);
        serial
    }

    /// Returns a receiver whose value becomes `true` when client connections must close.
    pub fn subscribe_closing(&self) -> watch::Receiver<bool> {
        self.closing.subscribe()
    }

    /// Closes each client connection as soon as it has no pending request.
    pub fn close_clients(&self) {
        // `send_replace` stores the value even without receivers, for connections that subscribe later.
        self.closing.send_replace(true);
    }

    /// Returns the receiver of peers whose table rows must be removed, or `None` after the first call.
    pub fn take_removals(&self) -> Option<mpsc::UnboundedReceiver<PeerAddress>> {
        self.removal_receiver.borrow_mut().take()
    }

    /// Returns the receiver of changes of the stored evidence against requests, or `None` after the first call.
    pub fn take_suspect_changes(&self) -> Option<mpsc::UnboundedReceiver<SuspectChanges>> {
        self.suspect_change_receiver.borrow_mut().take()
    }

    /// Returns the receiver of departures that must be stored, or `None` after the first call.
    pub fn take_departures(&self) -> Option<mpsc::UnboundedReceiver<ServerDeparture>> {
        self.departure_receiver.borrow_mut().take()
    }

    /// Records that a departure needs no further attempt to store it.
    pub fn record_saved_departure(&self) {
        self.n_unsaved_departures.send_modify(|count| *count = count.saturating_sub(1));
    }

    /// Waits until all departures are stored, for up to `max_wait`.
    pub async fn wait_until_departures_saved(&self, max_wait: Duration) {
        let mut unsaved = self.n_unsaved_departures.subscribe();
        let saved = unsaved.wait_for(|count| *count == 0);
        if tokio::time::timeout(max_wait, saved).await.is_err() {
            log::warn!("event=departure_unsaved waited_ms={}", max_wait.as_millis());
        }
    }

    /// Drops connections to the local backend server that have been idle for too long.
    pub fn prune(&self) {
        self.pool.prune();
    }

    /// Removes a run that has ended.
    pub fn remove_run(&self, run: RunId) {
        self.runs.borrow_mut().remove(&run);
    }

    fn execute(self: &Rc<Self>, effect: MeshEffect) {
        match effect {
            MeshEffect::Answer { call, answer } => {
                if let Some(sender) = self.pending_calls.borrow_mut().remove(&call) {
                    // The receiver is gone if the client has disconnected in the meantime.
                    let _ = sender.send(answer);
                }
            }
            MeshEffect::Send { peer, frame, body } => {
                send_frame(&self.outbound_links, &peer, &frame, &body);
            }
            MeshEffect::SendOnInbound { peer, frame, body } => {
                send_frame(&self.inbound_links, &peer, &frame, &body);
            }
            MeshEffect::Dial(address) => {
                let peer = address.instance.clone();
                let task = tokio::task::spawn_local(links::maintain_link(Rc::clone(self), address));
                if let Some(earlier) = self.dialers.borrow_mut().insert(peer, task.abort_handle()) {
                    earlier.abort();
                }
            }
            // Dropping the handle ends the writer; the dialer then closes the connection and dials again.
            MeshEffect::Redial { peer } => drop(self.outbound_links.borrow_mut().remove(&peer)),
            MeshEffect::StopDialing { peer } => {
                if let Some(dialer) = self.dialers.borrow_mut().remove(&peer) {
                    dialer.abort();
                }
                self.outbound_links.borrow_mut().remove(&peer);
            }
            // The receiver lives as long as the process.
            MeshEffect::RemovePeerRow(address) => drop(self.removals.send(address)),
            MeshEffect::StartRun { run, request, server_id, body, time_left } => {
                let driver = Rc::clone(self);
                let task = tokio::task::spawn_local(async move {
                    let report = driver.pool.run(&request, &server_id, body, time_left).await;
                    driver.metrics.record_run(&report.end);
                    driver.remove_run(run);
                    if let Some(notice) = report.notice {
                        driver.apply(MeshEvent::ServerNoticed { id: server_id, notice });
                    }
                    driver.apply(MeshEvent::RunEnded { run, end: report.end });
                });
                self.runs.borrow_mut().insert(run, task.abort_handle());
            }
            // The receiver lives as long as the process.
            MeshEffect::SaveSuspects(changes) => drop(self.suspect_changes.send(changes)),
            MeshEffect::SaveDeparture(departure) => {
                self.n_unsaved_departures.send_modify(|count| *count += 1);
                // The receiver lives as long as the process.
                drop(self.departures.send(departure));
            }
            MeshEffect::ProbeServer => self.probe_server(),
            MeshEffect::ProbeHealth { path } => self.probe_health(path),
            MeshEffect::CancelRun { run } => {
                if let Some(task) = self.runs.borrow_mut().remove(&run) {
                    task.abort();
                }
            }
            MeshEffect::DecodeSettings { document } => self.apply_document(document),
            MeshEffect::Log(line) => log::info!("{line}"),
        }
    }

    fn probe_server(self: &Rc<Self>) {
        let driver = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let is_reachable = driver.pool.is_reachable().await;
            driver.apply(MeshEvent::ServerProbed { is_reachable });
        });
    }

    fn probe_health(self: &Rc<Self>, path: String) {
        let driver = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let report = health_report(&driver.pool, &path).await;
            driver.apply(MeshEvent::HealthProbed(report));
        });
    }

    /// Parses a configuration document and passes it to the reducer, which applies it if it is newer.
    pub fn apply_document(self: &Rc<Self>, document: Bytes) {
        match parse_declaration(&document) {
            Ok(declaration) => {
                let settings = Arc::new(FleetSettings::new(declaration));
                let driver = Rc::clone(self);
                // This method may run while effects are being executed, so the event is applied in a separate task,
                // after the remaining effects.
                tokio::task::spawn_local(async move {
                    driver.apply(MeshEvent::SettingsReceived { settings, document });
                });
            }
            Err(findings) => {
                log::error!("event=settings_rejected findings={:?}", findings.to_string());
            }
        }
    }
}

fn send_frame(
    links: &RefCell<HashMap<InstanceName, LinkHandle>>,
    peer: &InstanceName,
    frame: &PeerFrame,
    body: &Bytes,
) {
    if let Some(link) = links.borrow().get(peer) {
        // The reader of the link reports the failure if the link has just broken.
        let _ = link.frames.send(encode_peer_frame(frame, body));
    }
}

/// Returns the time of `CLOCK_BOOTTIME`, which includes time for which the instance was suspended.
pub fn boot_time() -> TimePoint {
    let reading = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(reading.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(reading.tv_nsec).unwrap_or(0);
    TimePoint::from_micros(seconds * 1_000_000 + nanos / 1_000)
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
