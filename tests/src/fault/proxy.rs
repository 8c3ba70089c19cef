//! TCP proxy on loopback that can delay, hold back, reset and black-hole connections.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use anyhow::Result;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
    time::sleep,
};

/// Size of the buffer for one read.
const CHUNK_BYTES: usize = 16 << 10;

/// How the bytes of one direction are forwarded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DirectionState {
    /// Forwards bytes at once.
    #[default]
    Open,
    /// Forwards bytes after this delay.
    Delayed(Duration),
    /// Holds bytes back and forwards them once the direction is open again.
    Held,
}

/// Fault state of a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProxyState {
    /// Bytes from client to server.
    pub up: DirectionState,
    /// Bytes from server to client.
    pub down: DirectionState,
    /// Whether new connections are reset.
    pub is_refusing: bool,
    /// Connections with a lower id are reset.
    reset_below: u64,
    /// Connections with a lower id stay open but forward nothing.
    blackholed_below: u64,
}

/// A proxy in front of one address that runs until it is dropped.
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    state: watch::Sender<ProxyState>,
    next_connection_id: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl FaultProxy {
    /// Starts a proxy in front of `target`.
    ///
    /// # Errors
    ///
    /// Returns an error when no port can be bound.
    pub async fn start(target: SocketAddr) -> Result<FaultProxy> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let state = watch::Sender::new(ProxyState::default());
        let next_connection_id = Arc::new(AtomicU64::new(0));
        let task = tokio::spawn(accept_connections(
            listener,
            target,
            state.clone(),
            Arc::clone(&next_connection_id),
        ));
        Ok(FaultProxy { address, state, next_connection_id, task })
    }

    /// Returns the address on which the proxy accepts connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how bytes are forwarded and whether new connections are reset.
    pub fn set(&self, up: DirectionState, down: DirectionState, is_refusing: bool) {
        self.state.send_modify(|it| (it.up, it.down, it.is_refusing) = (up, down, is_refusing));
    }

    /// Resets all open connections.
    pub fn reset_all(&self) {
        let connection_id = self.next_connection_id.load(Ordering::SeqCst);
        self.state.send_modify(|it| it.reset_below = connection_id);
    }

    /// Stops all open connections from forwarding anything, permanently and without closing them.
    pub fn blackhole_all(&self) {
        let connection_id = self.next_connection_id.load(Ordering::SeqCst);
        self.state.send_modify(|it| it.blackholed_below = connection_id);
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_connections(
    listener: TcpListener,
    target: SocketAddr,
    state: watch::Sender<ProxyState>,
    next_connection_id: Arc<AtomicU64>,
) {
    // Dropping the set aborts all connections together with the proxy.
    let mut connections = tokio::task::JoinSet::new();
    while let Ok((client, _)) = listener.accept().await {
        let connection_id = next_connection_id.fetch_add(1, Ordering::SeqCst);
        let mut state_receiver = state.subscribe();
        connections.spawn(async move {
            if state_receiver.borrow().is_refusing {
                return reset(&client);
            }
            let Ok(server) = TcpStream::connect(target).await else { return reset(&client) };
            // A failure is ignored: without TCP_NODELAY, bytes only arrive later.
            let _ = (client.set_nodelay(true), server.set_nodelay(true));
            relay(client, server, connection_id, &mut state_receiver).await;
        });
    }
}

fn reset(stream: &TcpStream) {
    // If the option can't be set, dropping the stream closes it normally, which is good enough here.
    let _ = stream.set_zero_linger();
}

async fn relay(
    mut client: TcpStream,
    mut server: TcpStream,
    connection_id: u64,
    state_receiver: &mut watch::Receiver<ProxyState>,
) {
    let (to_server_state, to_client_state) = (state_receiver.clone(), state_receiver.clone());
    let is_reset = {
        let (mut client_in, mut client_out) = client.split();
        let (mut server_in, mut server_out) = server.split();
        let up =
            forward(&mut client_in, &mut server_out, connection_id, to_server_state, |it| it.up);
        let down =
            forward(&mut server_in, &mut client_out, connection_id, to_client_state, |it| it.down);
        tokio::select! {
            _ = async { tokio::join!(up, down) } => false,
            _ = state_receiver.wait_for(|it| connection_id < it.reset_below) => true,
        }
    };
    if is_reset {
        reset(&client);
        reset(&server);
    }
}

/// Forwards one direction of a connection until it ends.
async fn forward<R, W>(
    reader: &mut R,
    writer: &mut W,
    connection_id: u64,
    mut state_receiver: watch::Receiver<ProxyState>,
    direction: fn(&ProxyState) -> DirectionState,
) where
    R: AsyncReadExt + Unpin,
    W: AsyncWriteExt + Unpin,
{
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let n_bytes = reader.read(&mut chunk).await.unwrap_or(0);
        let is_open = |it: &ProxyState| {
            it.blackholed_below <= connection_id && direction(it) != DirectionState::Held
        };
        let state = match state_receiver.wait_for(is_open).await {
            Ok(state) => direction(&state),
            Err(_) => return,
        };
        if let DirectionState::Delayed(delay) = state {
            sleep(delay).await;
        }
        if n_bytes == 0 {
            // The peer may have closed the connection already.
            let _ = writer.shutdown().await;
            return;
        }
        if writer.write_all(&chunk[..n_bytes]).await.is_err() {
            return;
        }
    }
}
