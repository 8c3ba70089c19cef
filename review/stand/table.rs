//! The platform's table: versioned rows, reads, a feed of changes and transactions.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use super::{
    free_address, give_up,
    http::{self, HttpRequest, HttpResponse},
    json::{self, JsonValue},
};

type RowKey = (String, String, String);

#[derive(Default)]
struct TableState {
    version: u64,
    /// Version, value and whether the row is deleted.
    rows: BTreeMap<RowKey, (u64, String, bool)>,
}

/// The stand-in of the table.
pub struct Table {
    pub address: SocketAddr,
    state: Mutex<TableState>,
    changed: Condvar,
    started: Instant,
}

impl Table {
    /// Starts a table that holds a configuration.
    pub fn start(config: &str) -> Arc<Table> {
        let listener =
            TcpListener::bind(free_address()).unwrap_or_else(|it| give_up(&it.to_string()));
        let table = Arc::new(Table {
            address: listener.local_addr().unwrap(),
            state: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        table.put_config(config);
        let shared = Arc::clone(&table);
        http::serve(listener, Arc::default(), Arc::new(move |request| shared.answer(request)));
        table
    }

    /// Writes the operators' configuration.
    pub fn put_config(&self, config: &str) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        let key = ("op".to_string(), String::new(), "config".to_string());
        state.rows.insert(key, (version, encode_base64(config.as_bytes()), false));
        self.changed.notify_all();
    }

    fn answer(&self, request: &HttpRequest) -> HttpResponse {
        match request.path.as_str() {
            "/rows-get" => self.read_rows(request),
            "/rows-feed" => self.follow(request),
            "/rows-tx" => self.transact(request),
            _ => HttpResponse::new(404),
        }
    }

    fn now(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    fn response(&self, status: u16, rows: &[String], version: u64) -> HttpResponse {
        let mut response = HttpResponse::new(status);
        response.header("Content-Type", "application/json");
        let rows = rows.join(",");
        let now = self.now();
        let body = format!(r#"{{"rows":[{rows}],"more_pages":false,"ver":{version},"now":{now}}}"#);
        response.body = body.into_bytes();
        response
    }

    fn read_rows(&self, request: &HttpRequest) -> HttpResponse {
        let (table, part) = (request.parameter("table"), request.parameter("part"));
        let from = request.parameter("from");
        let state = self.state.lock().unwrap();
        let rows: Vec<String> = state
            .rows
            .iter()
            .filter(|((t, p, k), (_, _, is_deleted))| {
                *t == table && *p == part && from <= *k && !is_deleted
            })
            .map(|(key, row)| encode_row(key, row))
            .collect();
        self.response(200, &rows, state.version)
    }

    fn follow(&self, request: &HttpRequest) -> HttpResponse {
        let table = request.parameter("table");
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait: u64 = request.parameter("wait_ms").parse().unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let mut changes: Vec<(u64, String)> = state
                .rows
                .iter()
                .filter(|((t, _, _), (ver, _, _))| *t == table && after < *ver)
                .map(|(key, row)| (row.0, encode_row(key, row)))
                .collect();
            changes.sort();
            let left = deadline.saturating_duration_since(Instant::now());
            if !changes.is_empty() || left.is_zero() {
                let rows: Vec<String> = changes.into_iter().map(|(_, row)| row).collect();
                return self.response(200, &rows, state.version);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, request: &HttpRequest) -> HttpResponse {
        let Some(body) = json::parse(&request.body) else { return HttpResponse::new(400) };
        let key_of = |row: &JsonValue| -> RowKey {
            (row.field("table").text(), row.field("part").text(), row.field("key").text())
        };
        let mut state = self.state.lock().unwrap();
        let conflicts: Vec<String> = body
            .field("expected_rev")
            .items()
            .iter()
            .filter_map(|row| {
                let key = key_of(row);
                let current = state.rows.get(&key).filter(|it| !it.2).cloned();
                let version = current.as_ref().map_or(0, |it| it.0);
                (version != row.field("ver").number())
                    .then(|| encode_row(&key, &current.unwrap_or_default()))
            })
            .collect();
        if !conflicts.is_empty() {
            return self.response(412, &conflicts, state.version);
        }
        state.version += 1;
        let version = state.version;
        for row in body.field("writes").items() {
            state.rows.insert(key_of(row), (version, row.field("value").text(), false));
        }
        for row in body.field("remove").items() {
            state.rows.insert(key_of(row), (version, String::new(), true));
        }
        self.changed.notify_all();
        self.response(200, &[], version)
    }
}

fn encode_row((table, part, key): &RowKey, (version, value, is_deleted): &(u64, String, bool)) -> String {
    let deleted = if *is_deleted { r#","deleted":true"# } else { "" };
    format!(
        r#"{{"table":"{table}","part":"{part}","key":"{key}","value":"{value}","ver":{version}{deleted}}}"#
    )
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for idx in 0..4 {
            let digit = DIGITS[(group >> (18 - 6 * idx)) as usize & 63];
            text.push(if idx <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
