//! A proxy in front of a daemon's address for links, which can cut the links between two daemons.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use super::{free_address, give_up};

/// Time between two looks at whether a held connection may go on.
const HOLD_INTERVAL: Duration = Duration::from_millis(20);

/// Links that pass a proxy. Each connection is assigned to the daemon that dialed, whose name stands in the first bytes.
pub struct LinkProxy {
    pub address: SocketAddr,
    /// Names of the daemons whose links are cut.
    cut: Mutex<Vec<String>>,
    names: Vec<String>,
}

impl LinkProxy {
    /// Starts a proxy in front of the daemon `target`, which daemons with these names may dial.
    pub fn start(target: SocketAddr, names: Vec<String>) -> Arc<LinkProxy> {
        let listener =
            TcpListener::bind(free_address()).unwrap_or_else(|it| give_up(&it.to_string()));
        let address = listener.local_addr().unwrap();
        let proxy = Arc::new(LinkProxy { address, cut: Mutex::default(), names });
        let shared = Arc::clone(&proxy);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                let shared = Arc::clone(&shared);
                thread::spawn(move || shared.pass(stream, target));
            }
        });
        proxy
    }

    /// Cuts the links that the daemon `name` has dialed or dials, or heals them. Cut links are silent.
    pub fn set_cut(&self, name: &str, is_cut: bool) {
        let mut cut = self.cut.lock().unwrap();
        cut.retain(|it| it != name);
        if is_cut {
            cut.push(name.to_string());
        }
    }

    fn is_cut(&self, name: &str) -> bool {
        self.cut.lock().unwrap().iter().any(|it| it == name)
    }

    fn pass(&self, mut dialer: TcpStream, target: SocketAddr) {
        let mut first = [0_u8; 16_384];
        let Ok(n_read) = dialer.read(&mut first) else { return };
        let text = String::from_utf8_lossy(&first[..n_read]).into_owned();
        let Some(name) = self.names.iter().find(|it| text.contains(it.as_str())) else { return };
        let is_over = AtomicBool::new(false);
        self.hold(name, &is_over);
        let Ok(mut daemon) = TcpStream::connect(target) else { return };
        let _ = daemon.set_nodelay(true);
        let _ = dialer.set_nodelay(true);
        if daemon.write_all(&first[..n_read]).is_err() {
            return;
        }
        let (Ok(from_daemon), Ok(to_dialer)) = (daemon.try_clone(), dialer.try_clone()) else {
            return;
        };
        thread::scope(|scope| {
            scope.spawn(|| self.copy(name, dialer, daemon, &is_over));
            scope.spawn(|| self.copy(name, from_daemon, to_dialer, &is_over));
        });
    }

    /// Waits while the links of a daemon are cut.
    fn hold(&self, name: &str, is_over: &AtomicBool) {
        while self.is_cut(name) && !is_over.load(Ordering::Relaxed) {
            thread::sleep(HOLD_INTERVAL);
        }
    }

    fn copy(&self, name: &str, mut from: TcpStream, mut to: TcpStream, is_over: &AtomicBool) {
        let mut buffer = [0_u8; 65_536];
        while let Ok(n_read @ 1..) = from.read(&mut buffer) {
            self.hold(name, is_over);
            if to.write_all(&buffer[..n_read]).is_err() {
                break;
            }
        }
        is_over.store(true, Ordering::Relaxed);
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    }
}
