//! Start, run and graceful shutdown of the daemon.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use anyhow::Context;
use ivytrail::{
    id::MemberId,
    reducer::{DaemonEvent, DaemonIdentity, DaemonReducer},
    settings::file::DaemonSettings,
};
use salvo::{
    Listener, Router, Server, Service,
    catcher::Catcher,
    conn::{TcpListener, tcp::TcpAcceptor},
    fuse::FuseConfig,
    server::ServerHandle,
};
use tokio::task::JoinHandle;

use crate::{
    announcement_handler::AnnouncementHandler,
    call_handler::{CallHandler, CallInterface},
    driver::{DaemonDriver, wall_clock},
    executor::EffectExecutor,
    operator::{OperatorState, operator_router},
    peer_client::PeerClient,
    peer_handler::PeerHandler,
    platform_client::PlatformClient,
    platform_loop,
    run_client::RunClient,
};

/// Interval between ticks of the reducer.
const TICK_INTERVAL: Duration = Duration::from_millis(5);
/// Interval at which a leaving daemon checks whether it is idle.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum time for which a leaving daemon still serves requests, so that other daemons learn that it is leaving
/// before its interfaces close.
const LEAVE_PROPAGATION_TIME: Duration = Duration::from_millis(600);

/// Time that a leaving daemon allows for handing its claims over to their next owners.
const HANDOVER_TIME: Duration = Duration::from_millis(300);

/// Reason for which [`run`] returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// A signal requested the shutdown.
    Stopped,
    /// The other members have fenced the daemon, e.g. after a pause; the next run uses a new incarnation.
    Fenced,
}

/// Runs the daemon until a signal requests its shutdown or the other members have fenced it.
///
/// # Errors
///
/// Returns an error if an address can't be bound or a client can't be set up.
pub async fn run(settings: Arc<DaemonSettings>) -> anyhow::Result<RunOutcome> {
    let incarnation = wall_clock().as_millis();
    let member = MemberId { instance: settings.name.clone(), incarnation };
    log::info!("event=starting member={member} domain={}", settings.failure_domain);
    let identity = DaemonIdentity {
        member: member.clone(),
        domain: settings.failure_domain.clone(),
        peer_address: settings.peer_address.to_string(),
    };
    let secret = settings.peer_secret.expose().to_string();
    let driver = DaemonDriver::new(DaemonReducer::with_switches(
        identity,
        rand::random(),
        settings.decisions,
    ));
    let peer_client = PeerClient::new(member.clone(), secret.clone())?;
    let (request_sender, requests) = tokio::sync::mpsc::unbounded_channel();
    let executor = EffectExecutor::new(
        driver,
        peer_client,
        RunClient::new(settings.limits.max_body_bytes)?,
        request_sender,
    );

    let platform = PlatformClient::new(&settings.platform, settings.intervals.platform_timeout)?;
    let servers = start_interfaces(&executor, &platform, member, &settings).await?;
    let mut background_tasks = platform_loop::spawn(&executor, &platform, requests);
    background_tasks.push(spawn_ticks(executor.clone()));
    log::info!("event=started");
    let outcome = tokio::select! {
        signal = wait_for_signal() => signal.map(|()| RunOutcome::Stopped)?,
        () = executor.wait_for_restart() => RunOutcome::Fenced,
    };
    leave(&executor, &settings, &platform).await;
    for (handle, _) in &servers {
        handle.stop_graceful(settings.intervals.shutdown_grace);
    }
    for (_, task) in servers {
        // The addresses must be free again before the next run.
        let _ = task.await;
    }
    for task in background_tasks {
        task.abort();
    }
    log::info!("event=stopped outcome={outcome:?}");
    Ok(outcome)
}

/// Handle for stopping an HTTP server, and the task that ends when the server has stopped.
type RunningServer = (ServerHandle, JoinHandle<()>);

/// Binds the interfaces for callers, the local backend server, other daemons and operators.
async fn start_interfaces(
    executor: &EffectExecutor,
    platform: &PlatformClient,
    member: MemberId,
    settings: &DaemonSettings,
) -> anyhow::Result<[RunningServer; 4]> {
    let max_body_bytes = settings.limits.max_body_bytes;
    let operators = operator_router(OperatorState {
        backend: Arc::new(executor.clone()),
        platform: platform.clone(),
        operators: settings.operators.clone(),
        max_body_bytes,
    });
    let callers = Router::with_path("{**rest}").goal(CallHandler::new(
        executor.clone(),
        CallInterface::Callers,
        settings.limits.clone(),
    ));
    let nested = CallHandler::new(executor.clone(), CallInterface::Nested, settings.limits.clone());
    let local = Router::new()
        .push(Router::with_path("announce").post(AnnouncementHandler::new(executor.clone())))
        .push(Router::with_path("{**rest}").goal(nested));
    let peer_handler =
        PeerHandler::new(executor.clone(), member, settings.peer_secret.expose(), max_body_bytes);
    let peer = Router::with_path("{**rest}").goal(peer_handler);
    Ok([
        serve(settings.caller_address, callers, settings).await.context("caller_address")?,
        serve(settings.local_address, local, settings).await.context("local_address")?,
        serve(settings.peer_address, peer, settings).await.context("peer_address")?,
        serve(settings.operator_address, operators, settings).await.context("operator_address")?,
    ])
}

async fn serve(
    address: SocketAddr,
    router: Router,
    settings: &DaemonSettings,
) -> anyhow::Result<RunningServer> {
    let acceptor: TcpAcceptor = TcpListener::new(address)
        .try_bind()
        .await
        .map_err(|cause| anyhow::anyhow!("failed to bind {address}: {cause}"))?;
    let fuse = FuseConfig::default().with_http1_header_timeout(settings.intervals.header_timeout);
    let mut server =
        Server::new(acceptor).fuse_config(fuse).max_connections(settings.limits.max_connections);
    server.http1_mut().max_buf_size(settings.limits.max_header_bytes.max(MIN_HEADER_BUFFER_BYTES));
    let handle = server.handle();
    let service = Service::new(router).catcher(Catcher::default());
    let task = tokio::spawn(async move {
        if let Err(cause) = server.try_serve(service).await {
            log::error!("event=server_failed address={address} cause={:?}", cause.to_string());
        }
    });
    Ok((handle, task))
}

/// Minimum size of the request header buffer that the HTTP library allows, in bytes.
const MIN_HEADER_BUFFER_BYTES: usize = 8 * 1024;

fn spawn_ticks(executor: EffectExecutor) -> JoinHandle<()> {
    tokio::spawn(async move {
        let mut interval = tokio::time::interval(TICK_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        loop {
            interval.tick().await;
            executor.apply(DaemonEvent::Tick);
        }
    })
}

async fn wait_for_signal() -> anyhow::Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Leaves without interrupting requests: stops admitting new ones, waits until the pending ones have been answered or
/// the grace period ends, and hands claims over.
async fn leave(executor: &EffectExecutor, settings: &DaemonSettings, platform: &PlatformClient) {
    executor.apply(DaemonEvent::DrainRequested);
    let started = tokio::time::Instant::now();
    let grace = settings.intervals.shutdown_grace;
    tokio::time::sleep(LEAVE_PROPAGATION_TIME).await;
    while !executor.driver().inspect(DaemonReducer::is_idle) && started.elapsed() < grace {
        tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
    }
    executor.apply(DaemonEvent::HandoverRequested);
    tokio::time::sleep(HANDOVER_TIME).await;
    platform_loop::remove_member_row(executor, platform).await;
}
