//! A loopback proxy that delays, holds back, resets and forgets connections.

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

/// Bytes that are passed on at once.
const CHUNK_BYTES: usize = 16 << 10;

/// What happens to the bytes of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PathState {
    /// They are passed on.
    #[default]
    Open,
    /// They are passed on later.
    Delayed(Duration),
    /// They are held back; once the path is open again, they arrive late.
    Held,
}

/// What a proxy does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProxyState {
    /// Towards the server.
    pub up: PathState,
    /// Towards the client.
    pub down: PathState,
    /// New connections are reset.
    pub is_refusing: bool,
    /// Connections with a lower number are reset.
    reset_below: u64,
    /// Connections with a lower number carry nothing any more and stay open.
    silent_below: u64,
}

/// A proxy in front of one address, until it is dropped.
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    state: watch::Sender<ProxyState>,
    next_serial: Arc<AtomicU64>,
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
        let next_serial = Arc::new(AtomicU64::new(0));
        let task = tokio::spawn(accept(listener, target, state.clone(), Arc::clone(&next_serial)));
        Ok(FaultProxy { address, state, next_serial, task })
    }

    /// Returns the address that clients connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what happens to bytes and new connections.
    pub fn set(&self, up: PathState, down: PathState, is_refusing: bool) {
        self.state.send_modify(|it| (it.up, it.down, it.is_refusing) = (up, down, is_refusing));
    }

    /// Resets all open connections.
    pub fn reset_open(&self) {
        let serial = self.next_serial.load(Ordering::SeqCst);
        self.state.send_modify(|it| it.reset_below = serial);
    }

    /// Makes all open connections carry nothing for good.
    pub fn silence_open(&self) {
        let serial = self.next_serial.load(Ordering::SeqCst);
        self.state.send_modify(|it| it.silent_below = serial);
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    state: watch::Sender<ProxyState>,
    next_serial: Arc<AtomicU64>,
) {
    // Connections end with the proxy.
    let mut connections = tokio::task::JoinSet::new();
    while let Ok((client, _)) = listener.accept().await {
        let serial = next_serial.fetch_add(1, Ordering::SeqCst);
        let mut watched = state.subscribe();
        connections.spawn(async move {
            if watched.borrow().is_refusing {
                return reset(&client);
            }
            let Ok(server) = TcpStream::connect(target).await else { return reset(&client) };
            // Without the option bytes are late, as a proxy's may be.
            let _ = (client.set_nodelay(true), server.set_nodelay(true));
            carry(client, server, serial, &mut watched).await;
        });
    }
}

fn reset(stream: &TcpStream) {
    // A stream that can't be reset is closed, which serves as well.
    let _ = stream.set_zero_linger();
}

async fn carry(
    mut client: TcpStream,
    mut server: TcpStream,
    serial: u64,
    watched: &mut watch::Receiver<ProxyState>,
) {
    let (up_state, down_state) = (watched.clone(), watched.clone());
    let is_reset = {
        let (mut client_in, mut client_out) = client.split();
        let (mut server_in, mut server_out) = server.split();
        let up = pass(&mut client_in, &mut server_out, serial, up_state, |it| it.up);
        let down = pass(&mut server_in, &mut client_out, serial, down_state, |it| it.down);
        tokio::select! {
            _ = async { tokio::join!(up, down) } => false,
            _ = watched.wait_for(|it| serial < it.reset_below) => true,
        }
    };
    if is_reset {
        reset(&client);
        reset(&server);
    }
}

/// Passes one direction on until its end.
async fn pass<R, W>(
    reader: &mut R,
    writer: &mut W,
    serial: u64,
    mut watched: watch::Receiver<ProxyState>,
    path: fn(&ProxyState) -> PathState,
) where
    R: AsyncReadExt + Unpin,
    W: AsyncWriteExt + Unpin,
{
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let n_bytes = reader.read(&mut chunk).await.unwrap_or(0);
        let is_open = |it: &ProxyState| it.silent_below <= serial && path(it) != PathState::Held;
        let state = match watched.wait_for(is_open).await {
            Ok(state) => path(&state),
            Err(_) => return,
        };
        if let PathState::Delayed(delay) = state {
            sleep(delay).await;
        }
        if n_bytes == 0 {
            // The other end may have gone already.
            let _ = writer.shutdown().await;
            return;
        }
        if writer.write_all(&chunk[..n_bytes]).await.is_err() {
            return;
        }
    }
}
