//! The platform's store: rows, transactions and the feed, as `PROTOCOL.md` describes them.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use super::{
    base64,
    http::{Connection, Message},
    json::Json,
};

type RowName = (String, String, String);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<RowName, (String, u64)>,
    /// Changes in their order: version, name and the value, or `None` for a dropped row.
    changes: Vec<(u64, RowName, Option<String>)>,
    version: u64,
}

impl Rows {
    fn put(&mut self, name: RowName, value: Option<String>) {
        match &value {
            Some(value) => self.rows.insert(name.clone(), (value.clone(), self.version)),
            None => self.rows.remove(&name),
        };
        self.changes.push((self.version, name, value));
    }
}

/// The store, with the operator's access to it.
#[derive(Clone)]
pub struct Table {
    rows: Arc<(Mutex<Rows>, Condvar)>,
    started_at: Instant,
    pub address: SocketAddr,
}

impl Table {
    pub fn start() -> Table {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the store's address");
        let address = listener.local_addr().expect("the store's address");
        let table = Table { rows: Arc::default(), started_at: Instant::now(), address };
        let server = table.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(Connection::new(stream)));
            }
        });
        table
    }

    /// Writes a row of the table `op`, as the operator does.
    pub fn write_as_operator(&self, key: &str, document: &str) {
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().expect("rows");
        rows.version += 1;
        let name = ("op".to_string(), String::new(), key.to_string());
        rows.put(name, Some(base64(document.as_bytes())));
        changed.notify_all();
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(request) = connection.read_message() {
            let (status, body) = self.answer(&request);
            if connection.respond_json(status, &body).is_err() {
                return;
            }
        }
    }

    fn now_ms(&self) -> u128 {
        self.started_at.elapsed().as_millis()
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let (path, query) = request.word(1).split_once('?').unwrap_or((request.word(1), ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|it| it.split_once('='));
            pairs.filter(|(key, _)| *key == name).map(|(_, value)| decode(value)).next()
        };
        let table = parameter("table").unwrap_or_default();
        match path {
            "/rows-get" => {
                let part = parameter("part").unwrap_or_default();
                let from = parameter("from").unwrap_or_default();
                let rows = self.rows.0.lock().expect("rows");
                let found = rows.rows.iter().filter(|((it, at, key), _)| {
                    *it == table && *at == part && from.as_str() <= key.as_str()
                });
                let found: Vec<String> =
                    found.map(|(name, (value, ver))| row(name, Some(value), *ver)).collect();
                (
                    "200 OK",
                    format!(
                        "{{\"rows\":[{}],\"more_pages\":false,\"ver\":{},\"now\":{}}}",
                        found.join(","),
                        rows.version,
                        self.now_ms()
                    ),
                )
            }
            "/rows-feed" => {
                let number = |name| parameter(name).and_then(|it| it.parse().ok()).unwrap_or(0);
                let (after, wait_ms): (u64, u64) = (number("after"), number("wait_ms"));
                let until = Instant::now() + Duration::from_millis(wait_ms);
                let (rows, changed) = &*self.rows;
                let mut rows = rows.lock().expect("rows");
                loop {
                    let found: Vec<String> = rows
                        .changes
                        .iter()
                        .filter(|(ver, (it, _, _), _)| after < *ver && *it == table)
                        .map(|(ver, name, value)| row(name, value.as_ref(), *ver))
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !found.is_empty() || left.is_zero() {
                        let body = format!(
                            "{{\"rows\":[{}],\"ver\":{},\"now\":{}}}",
                            found.join(","),
                            rows.version,
                            self.now_ms()
                        );
                        return ("200 OK", body);
                    }
                    rows = changed.wait_timeout(rows, left).expect("rows").0;
                }
            }
            "/rows-tx" => self.transact(&request.body),
            _ => ("404 Not Found", "{}".to_string()),
        }
    }

    fn transact(&self, body: &[u8]) -> (&'static str, String) {
        let Some(body) = std::str::from_utf8(body).ok().and_then(Json::parse) else {
            return ("400 Bad Request", "{}".to_string());
        };
        let name_of = |it: &Json| (it.text("table"), it.text("part"), it.text("key"));
        let entries = || body.list("writes").iter().chain(body.list("remove"));
        if entries().any(|it| ["op", "servers"].contains(&it.text("table").as_str())) {
            return ("403 Forbidden", "{}".to_string());
        }
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().expect("rows");
        let expected = body.list("expected_rev");
        let holds = expected.iter().all(|it| {
            let ver = rows.rows.get(&name_of(it)).map_or(0, |(_, ver)| *ver);
            ver == it.number("ver") as u64
        });
        if !holds {
            let found = expected.iter().filter_map(|it| {
                let name = name_of(it);
                rows.rows.get(&name).map(|(value, ver)| row(&name, Some(value), *ver))
            });
            let found: Vec<String> = found.collect();
            return ("412 Precondition Failed", format!("{{\"rows\":[{}]}}", found.join(",")));
        }
        rows.version += 1;
        for write in body.list("writes") {
            rows.put(name_of(write), Some(write.text("value")));
        }
        for removal in body.list("remove") {
            rows.put(name_of(removal), None);
        }
        changed.notify_all();
        ("200 OK", format!("{{\"ver\":{},\"now\":{}}}", rows.version, self.now_ms()))
    }
}

fn row((table, part, key): &RowName, value: Option<&String>, ver: u64) -> String {
    let content = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"deleted\":true".to_string(),
    };
    format!(
        "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",{content},\"ver\":{ver}}}"
    )
}

/// Decodes a value of a URL's query.
fn decode(value: &str) -> String {
    let bytes = value.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        match bytes[at] {
            b'%' => {
                let code = value.get(at + 1..at + 3).and_then(|it| u8::from_str_radix(it, 16).ok());
                decoded.push(code.unwrap_or(b'?'));
                at += 2;
            }
            b'+' => decoded.push(b' '),
            byte => decoded.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
