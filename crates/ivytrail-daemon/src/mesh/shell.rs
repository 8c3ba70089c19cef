//! The shell around the reducer: clock, connections and the effects.

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
        frame::PeerFrame,
        policy::FleetSettings,
        settings_file::MeshSettings,
    },
    message::frame::encode_frame,
    time::TimePoint,
};
use ivytrail_platform::document::read_declaration;
use rustix::time::{ClockId, clock_gettime};
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::AbortHandle,
};

use super::{ingress::ClientCount, links, metrics::MeshMetrics, run_pool::RunPool};

/// A connection to another daemon, as the writer of its frames.
#[derive(Clone, Debug)]
pub struct LinkHandle {
    /// Number of the connection, to tell it from a later one to the same daemon.
    pub serial: u64,
    /// Frames that wait to be written.
    pub frames: mpsc::UnboundedSender<Bytes>,
}

/// The reducer, and what connects it with tasks and connections.
pub struct MeshShell {
    reducer: RefCell<MeshReducer>,
    calls: RefCell<HashMap<CallId, oneshot::Sender<CallAnswer>>>,
    /// Links that this daemon dialed.
    pub dialed: RefCell<HashMap<InstanceName, LinkHandle>>,
    /// Links that other daemons dialed.
    pub accepted: RefCell<HashMap<InstanceName, LinkHandle>>,
    dialers: RefCell<HashMap<InstanceName, AbortHandle>>,
    runs: RefCell<HashMap<RunId, AbortHandle>>,
    /// Connections to the own backend server.
    pub pool: RunPool,
    /// What is counted.
    pub metrics: MeshMetrics,
    forgotten: mpsc::UnboundedSender<PeerAddress>,
    forgotten_receiver: RefCell<Option<mpsc::UnboundedReceiver<PeerAddress>>>,
    closing: watch::Sender<bool>,
    /// Open connections of clients.
    pub clients: ClientCount,
    next_call: Cell<u64>,
    next_link: Cell<u64>,
}

impl MeshShell {
    /// Returns the shell of a daemon that has just started.
    ///
    /// # Errors
    ///
    /// Returns an error when the clients can't be set up.
    pub fn start(options: MeshOptions, settings: &MeshSettings) -> anyhow::Result<Rc<MeshShell>> {
        let (forgotten, forgotten_receiver) = mpsc::unbounded_channel();
        Ok(Rc::new(MeshShell {
            reducer: RefCell::new(MeshReducer::new(options)),
            calls: RefCell::default(),
            dialed: RefCell::default(),
            accepted: RefCell::default(),
            dialers: RefCell::default(),
            runs: RefCell::default(),
            pool: RunPool::new(settings.server_address),
            metrics: MeshMetrics::new(),
            forgotten,
            forgotten_receiver: RefCell::new(Some(forgotten_receiver)),
            closing: watch::Sender::new(false),
            clients: ClientCount::new(settings.max_descriptors),
            next_call: Cell::new(1),
            next_link: Cell::new(1),
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
        self.reducer.borrow_mut().apply(boot_clock(), event, &mut effects);
        for effect in effects {
            self.carry_out(effect);
        }
    }

    /// Registers a call and returns where its answer comes.
    pub fn add_call(&self) -> (CallId, oneshot::Receiver<CallAnswer>) {
        let call = CallId(self.next_call.get());
        self.next_call.set(call.0 + 1);
        let (sender, receiver) = oneshot::channel();
        self.calls.borrow_mut().insert(call, sender);
        (call, receiver)
    }

    /// Forgets a call whose client has gone.
    pub fn remove_call(&self, call: CallId) {
        self.calls.borrow_mut().remove(&call);
    }

    /// Returns a number for a new link.
    pub fn next_link(&self) -> u64 {
        let serial = self.next_link.get();
        self.next_link.set(serial + 1);
        serial
    }

    /// Returns a receiver that turns true when clients' connections shall close.
    pub fn closing(&self) -> watch::Receiver<bool> {
        self.closing.subscribe()
    }

    /// Closes the connections of clients as soon as they wait for nothing.
    pub fn close_clients(&self) {
        // The value is kept also when no connection listens.
        self.closing.send_replace(true);
    }

    /// Hands out the receiver of peers whose rows shall be removed, once.
    pub fn take_forgotten(&self) -> Option<mpsc::UnboundedReceiver<PeerAddress>> {
        self.forgotten_receiver.borrow_mut().take()
    }

    /// Drops connections that have been idle for long.
    pub fn prune(&self) {
        self.pool.prune();
    }

    /// Forgets a run that has ended.
    pub fn remove_run(&self, run: RunId) {
        self.runs.borrow_mut().remove(&run);
    }

    fn carry_out(self: &Rc<Self>, effect: MeshEffect) {
        match effect {
            MeshEffect::Answer { call, answer } => {
                if let Some(sender) = self.calls.borrow_mut().remove(&call) {
                    // A client that has gone meanwhile needs no answer.
                    let _ = sender.send(answer);
                }
            }
            MeshEffect::Send { peer, frame, body } => {
                send_frame(&self.dialed, &peer, &frame, &body);
            }
            MeshEffect::SendOnInbound { peer, frame, body } => {
                send_frame(&self.accepted, &peer, &frame, &body);
            }
            MeshEffect::Dial(address) => {
                let peer = address.instance.clone();
                let task = tokio::task::spawn_local(links::keep_dialed(Rc::clone(self), address));
                if let Some(earlier) = self.dialers.borrow_mut().insert(peer, task.abort_handle()) {
                    earlier.abort();
                }
            }
            // The dialer sees its writer gone, closes the connection and dials again.
            MeshEffect::Redial { peer } => drop(self.dialed.borrow_mut().remove(&peer)),
            MeshEffect::StopDialing { peer } => {
                if let Some(dialer) = self.dialers.borrow_mut().remove(&peer) {
                    dialer.abort();
                }
                self.dialed.borrow_mut().remove(&peer);
            }
            // The receiver ends only with the process.
            MeshEffect::RemovePeerRow(address) => drop(self.forgotten.send(address)),
            MeshEffect::StartRun { run, request, server_id, body, time_left } => {
                let shell = Rc::clone(self);
                let task = tokio::task::spawn_local(async move {
                    let end = shell.pool.run(&request, &server_id, body, time_left).await;
                    shell.metrics.note_run(&end);
                    shell.remove_run(run);
                    shell.apply(MeshEvent::RunEnded { run, end });
                });
                self.runs.borrow_mut().insert(run, task.abort_handle());
            }
            MeshEffect::CancelRun { run } => {
                if let Some(task) = self.runs.borrow_mut().remove(&run) {
                    task.abort();
                }
            }
            MeshEffect::DecodeSettings { document } => self.learn_document(document),
            MeshEffect::Log(line) => log::info!("{line}"),
        }
    }

    /// Reads a configuration document and puts it in force if it is newer.
    pub fn learn_document(self: &Rc<Self>, document: Bytes) {
        match read_declaration(&document) {
            Ok(declaration) => {
                let settings = Arc::new(FleetSettings::new(declaration));
                let shell = Rc::clone(self);
                // Effects are carried out one after the other; this event waits for its turn.
                tokio::task::spawn_local(async move {
                    shell.apply(MeshEvent::SettingsReceived { settings, document });
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
pub fn boot_clock() -> TimePoint {
    let reading = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(reading.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(reading.tv_nsec).unwrap_or(0);
    TimePoint::from_micros(seconds * 1_000_000 + nanos / 1_000)
}

/// Returns the wall clock in milliseconds since the Unix epoch.
pub fn wall_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
