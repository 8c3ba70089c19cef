//! Clients that send small unsafe requests, each on a connection that it keeps.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use crate::{
    client::Connection,
    site::{Record, Site, send},
};

/// Number of clients.
const N_CLIENTS: usize = 8;
/// Size of a body, in bytes.
pub const SMALL_BODY: usize = 4_000;

/// Running clients of one machine.
#[derive(Debug)]
pub struct SmallClients {
    threads: Vec<JoinHandle<()>>,
    is_over: Arc<AtomicBool>,
    n_sent: Arc<AtomicUsize>,
    /// Requests whose connection ended without an answer.
    cut: Arc<Mutex<BTreeSet<String>>>,
}

impl SmallClients {
    pub fn start(caller: SocketAddr, record: &Record) -> SmallClients {
        let mut clients = SmallClients {
            threads: Vec::new(),
            is_over: Arc::default(),
            n_sent: Arc::default(),
            cut: Arc::default(),
        };
        for client in 0..N_CLIENTS {
            let (is_over, n_sent) = (Arc::clone(&clients.is_over), Arc::clone(&clients.n_sent));
            let (cut, record) = (Arc::clone(&clients.cut), record.clone());
            clients.threads.push(thread::spawn(move || {
                let mut kept: Option<Connection> = None;
                let mut serial = 0;
                while !is_over.load(Ordering::SeqCst) {
                    let Some(mut connection) =
                        kept.take().or_else(|| Connection::open(caller).ok())
                    else {
                        thread::sleep(Duration::from_millis(200));
                        continue;
                    };
                    serial += 1;
                    let id = format!("s-{client}-{serial}");
                    let body = [b's'; SMALL_BODY];
                    n_sent.fetch_add(1, Ordering::SeqCst);
                    let is_sent =
                        send(&mut connection, "POST", "/booking-write/400/x", &id, 5_000, &body);
                    match is_sent.ok().and_then(|()| connection.receive()) {
                        Some(answer) => {
                            record.line(&format!("client gets {} for {id}", answer.status));
                            kept = Some(connection);
                        }
                        None => {
                            record.line(&format!("the connection ends without an answer: {id}"));
                            cut.lock().unwrap().insert(id);
                        }
                    }
                }
            }));
        }
        clients
    }

    /// Stops the clients. Returns how many requests they sent, and how many of them were passed on to an upstream and got no
    /// answer.
    pub fn finish(self, site: &Site) -> (usize, usize) {
        self.is_over.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|it| drop(it.join()));
        let runs = site.runs.lock().unwrap();
        let run: BTreeSet<String> = runs.iter().map(|it| it.id.clone()).collect();
        let n_lost = self.cut.lock().unwrap().intersection(&run).count();
        (self.n_sent.load(Ordering::SeqCst), n_lost)
    }
}
