//! The platform's store, as far as the daemons use it.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{read_request, write_response},
    json::{Value, encode_base64},
};

#[derive(Debug, Default)]
struct StoreState {
    version: u64,
    /// Versions and values by table and key; no value stands for a removed row.
    rows: BTreeMap<(String, String), (u64, Option<String>)>,
}

/// A store that serves until the process ends.
#[derive(Clone, Debug)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    pub fn start() -> std::io::Result<Store> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Store { address: listener.local_addr()?, shared: Arc::default() };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a row of the operator.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.put_encoded(table, key, Some(encode_base64(value.as_bytes())));
    }

    fn put_encoded(&self, table: &str, key: &str, value: Option<String>) {
        let mut state = self.shared.0.lock().unwrap();
        state.version += 1;
        let version = state.version;
        state.rows.insert((table.to_string(), key.to_string()), (version, value));
        self.shared.1.notify_all();
    }

    fn rows(state: &StoreState, table: &str, after: Option<u64>) -> Vec<String> {
        let mut rows: Vec<(u64, String)> = Vec::new();
        for ((name, key), (ver, value)) in &state.rows {
            let is_wanted = name == table
                && match after {
                    Some(after) => after < *ver,
                    None => value.is_some(),
                };
            if is_wanted {
                let rest = match value {
                    Some(value) => format!("\"value\":\"{value}\""),
                    None => "\"deleted\":true".to_string(),
                };
                let row = format!(
                    "{{\"table\":\"{name}\",\"part\":\"\",\"key\":\"{key}\",\"ver\":{ver},{rest}}}"
                );
                rows.push((*ver, row));
            }
        }
        if after.is_some() {
            rows.sort();
        }
        rows.into_iter().map(|(_, row)| row).collect()
    }

    fn serve(&self, mut stream: TcpStream) {
        while let Some(request) = read_request(&mut stream) {
            let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
            let parameter = |name: &str| {
                let pairs = query.split('&').filter_map(|it| it.split_once('='));
                pairs.filter(|(key, _)| *key == name).map(|(_, it)| it.to_string()).next()
            };
            let table = parameter("table").unwrap_or_default();
            let (status, body) = match path {
                "/rows-get" => {
                    let state = self.shared.0.lock().unwrap();
                    (200, Store::page(&state, Store::rows(&state, &table, None)))
                }
                "/rows-feed" => {
                    let after = parameter("after").and_then(|it| it.parse().ok()).unwrap_or(0);
                    let wait = parameter("wait_ms").and_then(|it| it.parse().ok()).unwrap_or(0);
                    (200, self.feed(&table, after, Duration::from_millis(wait)))
                }
                "/rows-tx" => self.transact(&request.body),
                _ => (404, "{}".to_string()),
            };
            let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
            if write_response(&mut stream, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn page(state: &StoreState, rows: Vec<String>) -> String {
        let rows = rows.join(",");
        format!("{{\"rows\":[{rows}],\"more_pages\":false,\"ver\":{},\"now\":1}}", state.version)
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> String {
        let deadline = Instant::now() + wait;
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let rows = Store::rows(&state, table, Some(after));
            let left = deadline.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return Store::page(&state, rows);
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(body) = std::str::from_utf8(body).ok().and_then(Value::parse) else {
            return (400, "{}".to_string());
        };
        let name_of = |row: &Value| {
            (row.field("table").text().to_string(), row.field("key").text().to_string())
        };
        let is_expected = {
            let state = self.shared.0.lock().unwrap();
            body.field("expected_rev").list().iter().all(|row| {
                let current = state.rows.get(&name_of(row)).filter(|it| it.1.is_some());
                current.map_or(0, |it| it.0) == row.field("ver").number()
            })
        };
        if !is_expected {
            return (412, "{\"rows\":[],\"ver\":0,\"now\":1}".to_string());
        }
        for row in body.field("writes").list() {
            let (table, key) = name_of(row);
            self.put_encoded(&table, &key, Some(row.field("value").text().to_string()));
        }
        for row in body.field("remove").list() {
            let (table, key) = name_of(row);
            self.put_encoded(&table, &key, None);
        }
        (200, format!("{{\"ver\":{},\"now\":1}}", self.shared.0.lock().unwrap().version))
    }
}
