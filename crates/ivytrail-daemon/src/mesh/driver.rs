//! The driver around the reducer: clock, connections and the effects.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use ivytrail::{
    id::{CallId, InstanceName},
    mesh::{
        MeshOptions, MeshReducer,
        event::{CallAnswer, MeshEffect, MeshEvent, PeerAddress, RunId},
        file::MeshSettings,
        frame::PeerFrame,
        policy::FleetSettings,
    },
    message::frame::encode_frame,
    time::TimePoint,
};
use ivytrail_platform::document::parse_declaration;
use rustix::time::{ClockId, clock_gettime};
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::AbortHandle,
};

use super::{backend_pool::BackendPool, ingress::ConnectionCount, links, metrics::MeshMetrics};

/// A connection to another daemon, as the writer of its frames.
#[derive(Clone, Debug)]
pub struct LinkHandle {
    /// Number of the connection, to tell it from a later one to the same daemon.
    pub serial: u64,
    /// Frames that wait to be written.
    pub frames: mpsc::UnboundedSender<Bytes>,
}

/// The reducer, and what connects it with tasks and connections.
pub struct MeshDriver {
    reducer: RefCell<MeshReducer>,
    pending_calls: RefCell<HashMap<CallId, oneshot::Sender<CallAnswer>>>,
    /// Links that this daemon dialed.
    pub dialed: RefCell<HashMap<InstanceName, LinkHandle>>,
    /// Links that other daemons dialed.
    pub accepted: RefCell<HashMap<InstanceName, LinkHandle>>,
    dialers: RefCell<HashMap<InstanceName, AbortHandle>>,
    runs: RefCell<HashMap<RunId, AbortHandle>>,
    /// Connections to the own backend server.
    pub pool: BackendPool,
    /// What is counted.
    pub metrics: MeshMetrics,
    removals: mpsc::UnboundedSender<PeerAddress>,
    removal_receiver: RefCell<Option<mpsc::UnboundedReceiver<PeerAddress>>>,
    closing: watch::Sender<bool>,
    /// Open connections of clients.
    pub clients: ConnectionCount,
    next_call_id: Cell<u64>,
    next_link_serial: Cell<u64>,
}

impl MeshDriver {
    /// Returns the driver of a daemon that has just started.
    ///
    /// # Errors
    ///
    /// Returns an error when the clients can't be set up.
    pub fn start(options: MeshOptions, settings: &MeshSettings) -> anyhow::Result<Rc<MeshDriver>> {
        let (removals, removal_receiver) = mpsc::unbounded_channel();
        Ok(Rc::new(MeshDriver {
            reducer: RefCell::new(MeshReducer::new(options)),
            pending_calls: RefCell::default(),
            dialed: RefCell::default(),
            accepted: RefCell::default(),
            dialers: RefCell::default(),
            runs: RefCell::default(),
            pool: BackendPool::new(settings.server_address),
            metrics: MeshMetrics::new(),
            removals,
            removal_receiver: RefCell::new(Some(removal_receiver)),
            closing: watch::Sender::new(false),
            clients: ConnectionCount::new(settings.max_descriptors),
            next_call_id: Cell::new(1),
            next_link_serial: Cell::new(1),
        }))
    }

    /// Reads something off the reducer.
    pub fn inspect<R, V>(&self, read: R) -> V
    where
        R: FnOnce(&MeshReducer) -> V,
    {
        read(&self.reducer.borrow())
    }

    /// Applies an event and carries its effects out.
    pub fn apply(self: &Rc<Self>, event: MeshEvent) {
        let mut effects = Vec::new();
        self.reducer.borrow_mut().apply(boot_time(), event, &mut effects);
        for effect in effects {
            self.execute(effect);
        }
    }

    /// Registers a call and returns where its answer comes.
    pub fn add_call(&self) -> (CallId, oneshot::Receiver<CallAnswer>) {
        let call = CallId(self.next_call_id.get());
        self.next_call_id.set(call.0 + 1);
        let (sender, receiver) = oneshot::channel();
        self.pending_calls.borrow_mut().insert(call, sender);
        (call, receiver)
    }

    /// Forgets a call whose client has gone.
    pub fn remove_call(&self, call: CallId) {
        self.pending_calls.borrow_mut().remove(&call);
    }

    /// Returns a number for a new link.
    pub fn next_link_serial(&self) -> u64 {
        let serial = self.next_link_serial.get();
        self.next_link_serial.set(serial + 1);
        serial
    }

    /// Returns a receiver that turns true when clients' connections shall close.
    pub fn subscribe_closing(&self) -> watch::Receiver<bool> {
        self.closing.subscribe()
    }

    /// Closes the connections of clients as soon as they wait for nothing.
    pub fn close_clients(&self) {
        // The value is kept also when no connection listens.
        self.closing.send_replace(true);
    }

    /// Hands out the receiver of peers whose rows shall be removed, once.
    pub fn take_removals(&self) -> Option<mpsc::UnboundedReceiver<PeerAddress>> {
        self.removal_receiver.borrow_mut().take()
    }

    /// Drops connections that have been idle for long.
    pub fn prune(&self) {
        self.pool.prune();
    }

    /// Forgets a run that has ended.
    pub fn remove_run(&self, run: RunId) {
        self.runs.borrow_mut().remove(&run);
    }

    fn execute(self: &Rc<Self>, effect: MeshEffect) {
        match effect {
            MeshEffect::Answer { call, answer } => {
                if let Some(sender) = self.pending_calls.borrow_mut().remove(&call) {
                    // A client that has gone meanwhile needs no answer.
                    let _ = sender.send(answer);
                }
            }
            MeshEffect::Send { peer, frame, body } => {
                send_frame(&self.dialed, &peer, &frame, &body);
            }
            MeshEffect::SendBack { peer, frame, body } => {
                send_frame(&self.accepted, &peer, &frame, &body);
            }
            MeshEffect::Dial(address) => {
                let peer = address.instance.clone();
                let task = tokio::task::spawn_local(links::maintain_link(Rc::clone(self), address));
                if let Some(earlier) = self.dialers.borrow_mut().insert(peer, task.abort_handle()) {
                    earlier.abort();
                }
            }
            // The dialer sees its writer gone, closes the connection and dials again.
            MeshEffect::Redial { peer } => drop(self.dialed.borrow_mut().remove(&peer)),
            MeshEffect::Undial { peer } => {
                if let Some(dialer) = self.dialers.borrow_mut().remove(&peer) {
                    dialer.abort();
                }
                self.dialed.borrow_mut().remove(&peer);
            }
            // The receiver ends only with the process.
            MeshEffect::ForgetPeer(address) => drop(self.removals.send(address)),
            MeshEffect::StartRun { run, order, server_id, body, time_left } => {
                let driver = Rc::clone(self);
                let task = tokio::task::spawn_local(async move {
                    let end = driver.pool.run(&order, &server_id, body, time_left).await;
                    driver.metrics.record_run(&end);
                    driver.remove_run(run);
                    driver.apply(MeshEvent::RunEnded { run, end });
                });
                self.runs.borrow_mut().insert(run, task.abort_handle());
            }
            MeshEffect::CancelRun { run } => {
                if let Some(task) = self.runs.borrow_mut().remove(&run) {
                    task.abort();
                }
            }
            MeshEffect::DecodeSettings { document } => self.apply_document(document),
            MeshEffect::Log(line) => log::info!("{line}"),
        }
    }

    /// Reads a configuration document and puts it in force if it is newer.
    pub fn apply_document(self: &Rc<Self>, document: Bytes) {
        match parse_declaration(&document) {
            Ok(declaration) => {
                let settings = Arc::new(FleetSettings::new(declaration));
                let driver = Rc::clone(self);
                // Effects are carried out one after the other; this event waits for its turn.
                tokio::task::spawn_local(async move {
                    driver.apply(MeshEvent::SettingsLearned { settings, document });
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
        // A link that breaks now is reported by its reader.
        let _ = link.frames.send(encode_frame(frame, body));
    }
}

/// Returns the reading of a clock that also counts the time for which the instance was suspended.
pub fn boot_time() -> TimePoint {
    let reading = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(reading.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(reading.tv_nsec).unwrap_or(0);
    TimePoint::from_micros(seconds * 1_000_000 + nanos / 1_000)
}

/// Returns the wall clock in milliseconds since the Unix epoch.
pub fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
