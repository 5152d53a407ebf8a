//! Stand-in of the platform's store: rows, conditional writes and the feed of changes.

use crate::http::{Message, answer, read_body, read_head};
use crate::json::{Json, base64, quote};
use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

type RowKey = (String, String, String);

#[derive(Clone)]
struct Change {
    key: RowKey,
    /// `None` for a dropped row.
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
struct Rows {
    rows: BTreeMap<RowKey, (String, u64)>,
    changes: Vec<Change>,
    version: u64,
    is_unavailable: bool,
}

impl Rows {
    fn set(&mut self, key: RowKey, value: Option<String>) {
        match &value {
            Some(value) => drop(self.rows.insert(key.clone(), (value.clone(), self.version))),
            None if self.rows.remove(&key).is_none() => return,
            None => {}
        }
        self.changes.push(Change { key, value, version: self.version });
    }
}

/// The store.
pub struct Store {
    pub address: SocketAddr,
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    pub fn start() -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Arc::new(Self {
            address: listener.local_addr()?,
            rows: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let served = Arc::clone(&store);
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let store = Arc::clone(&served);
                thread::spawn(move || store.serve(socket));
            }
        });
        Ok(store)
    }

    /// Writes a row with an empty part, as operators and upstreams do.
    pub fn put(&self, table: &str, key: &str, json: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        rows.set((table.into(), String::new(), key.into()), Some(base64(json.as_bytes())));
        self.changed.notify_all();
    }

    /// Drops a row with an empty part.
    #[allow(dead_code)]
    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        rows.set((table.into(), String::new(), key.into()), None);
        self.changed.notify_all();
    }

    /// Answers all calls 503 from now on, or no longer.
    #[allow(dead_code)]
    pub fn set_unavailable(&self, is_unavailable: bool) {
        self.rows.lock().unwrap().is_unavailable = is_unavailable;
        self.changed.notify_all();
    }

    fn serve(&self, socket: TcpStream) -> Option<()> {
        socket.set_nodelay(true).ok()?;
        let mut reader = BufReader::new(socket.try_clone().ok()?);
        loop {
            let mut request = read_head(&mut reader).ok()??;
            read_body(&mut reader, &mut request, false).ok()?;
            let (status, body) = self.answer(&request);
            let json = ("Content-Type", "application/json".to_owned());
            (&socket).write_all(&answer(status, &[json], body.as_bytes())).ok()?;
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request.path().split_once('?').unwrap_or((request.path(), ""));
        let field = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.filter(|(found, _)| *found == name).map(|(_, value)| value).next();
            percent_decoded(found.unwrap_or(""))
        };
        if self.rows.lock().unwrap().is_unavailable {
            return (503, "{}".to_owned());
        }
        match path {
            "/v1/rows-get" => self.get(&field("table"), &field("part"), &field("from"), &field("to")),
            "/v1/rows-feed" => {
                let wait = Duration::from_millis(field("wait_ms").parse().unwrap_or(0));
                self.feed(&field("table"), field("since_rev").parse().unwrap_or(0), wait)
            }
            "/v1/rows-tx" => self.transact(&String::from_utf8_lossy(&request.body)),
            _ => (404, "{}".to_owned()),
        }
    }

    fn end(&self, rows: &[String], version: u64) -> String {
        let now_ms = 100_000 + self.started.elapsed().as_millis();
        let rows = rows.join(",");
        format!("{{\"rows\":[{rows}],\"has_more\":false,\"row_version\":{version},\"now_ms\":{now_ms}}}")
    }

    fn get(&self, table: &str, part: &str, from: &str, to: &str) -> (u16, String) {
        let state = self.rows.lock().unwrap();
        let is_in_range = |key: &RowKey| {
            key.0 == table && key.1 == part && key.2.as_str() >= from && (to.is_empty() || key.2.as_str() < to)
        };
        let found = state.rows.iter().filter(|(key, _)| is_in_range(key));
        let rows: Vec<String> =
            found.map(|(key, (value, version))| row(key, Some(value), *version)).collect();
        (200, self.end(&rows, state.version))
    }

    fn feed(&self, table: &str, since: u64, wait: Duration) -> (u16, String) {
        let deadline = Instant::now() + wait;
        let mut state = self.rows.lock().unwrap();
        loop {
            let mut latest: BTreeMap<&RowKey, &Change> = BTreeMap::new();
            let is_new = |change: &&Change| change.version > since && change.key.0 == table;
            latest.extend(state.changes.iter().filter(is_new).map(|change| (&change.key, change)));
            let left = deadline.saturating_duration_since(Instant::now());
            if state.is_unavailable {
                return (503, "{}".to_owned());
            }
            if !latest.is_empty() || left.is_zero() {
                let mut changes: Vec<&Change> = latest.into_values().collect();
                changes.sort_by_key(|change| change.version);
                let rows: Vec<String> = changes
                    .iter()
                    .map(|change| row(&change.key, change.value.as_ref(), change.version))
                    .collect();
                return (200, self.end(&rows, state.version));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(call) = Json::parse(body) else { return (400, "{}".to_owned()) };
        let key = |entry: &Json| {
            let text = |name: &str| entry.get(name).text().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let mut state = self.rows.lock().unwrap();
        let expected = call.get("expect_rev").list();
        let version = |entry: &Json| state.rows.get(&key(entry)).map_or(0, |(_, version)| *version);
        if expected.iter().any(|entry| version(entry) != entry.get("row_version").number()) {
            let found = expected.iter().filter_map(|entry| {
                let key = key(entry);
                state.rows.get(&key).map(|(value, version)| row(&key, Some(value), *version))
            });
            let rows: Vec<String> = found.collect();
            return (412, self.end(&rows, state.version));
        }
        state.version += 1;
        for put in call.get("puts").list() {
            state.set(key(put), Some(put.get("value").text().to_owned()));
        }
        for dropped in call.get("deletes").list() {
            state.set(key(dropped), None);
        }
        self.changed.notify_all();
        (200, self.end(&[], state.version))
    }
}

fn row(key: &RowKey, value: Option<&String>, version: u64) -> String {
    let end = value.map_or("\"removed\":true".to_owned(), |value| format!("\"value\":{}", quote(value)));
    let (table, part, key) = (quote(&key.0), quote(&key.1), quote(&key.2));
    format!("{{\"table\":{table},\"part\":{part},\"key\":{key},\"row_version\":{version},{end}}}")
}

fn percent_decoded(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes().iter();
    while let Some(byte) = rest.next() {
        let digits: Option<Vec<u8>> =
            (*byte == b'%').then(|| rest.by_ref().take(2).copied().collect());
        let decoded = digits.and_then(|digits| u8::from_str_radix(std::str::from_utf8(&digits).ok()?, 16).ok());
        bytes.push(decoded.unwrap_or(*byte));
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
