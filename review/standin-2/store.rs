//! The platform's store: rows in tables, a feed of changes and conditional writes.
//!
//! Bodies are JSON; the few shapes that the gateway sends are read by [`field`] and [`objects`].

use crate::runner::{read_head, spawn};
use std::collections::BTreeMap;
use std::io::{BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Table and key; the part is always empty.
type RowKey = (String, String);

#[derive(Clone)]
struct Row {
    /// In base64; `None` when the row was removed.
    value: Option<String>,
    version: u64,
}

struct Rows {
    rows: BTreeMap<RowKey, Row>,
    version: u64,
}

/// The store, which listens on an address of its own.
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
    pub address: SocketAddr,
    /// Whether it answers each call with 503.
    is_busy: AtomicBool,
}

impl Store {
    pub fn start(ip: Ipv4Addr) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let rows = Mutex::new(Rows { rows: BTreeMap::new(), version: 1 });
        let address = listener.local_addr()?;
        let store = Arc::new(Self {
            rows,
            changed: Condvar::new(),
            started: Instant::now(),
            address,
            is_busy: AtomicBool::new(false),
        });
        let served = Arc::clone(&store);
        spawn(move || {
            for socket in listener.incoming().flatten() {
                let store = Arc::clone(&served);
                spawn(move || {
                    let _ = store.serve(socket);
                });
            }
        });
        Ok(store)
    }

    /// Writes a row as operators and runners do.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let row = Row { value: Some(encode_base64(value.as_bytes())), version: rows.version };
        rows.rows.insert((table.to_owned(), key.to_owned()), row);
        self.changed.notify_all();
    }

    /// Has each call answered with 503, or as usual again. Calls that wait are answered at once.
    pub fn set_busy(&self, is_busy: bool) {
        self.is_busy.store(is_busy, Ordering::SeqCst);
        self.changed.notify_all();
    }

    fn serve(&self, mut socket: TcpStream) -> std::io::Result<()> {
        socket.set_nodelay(true)?;
        let mut reader = BufReader::new(socket.try_clone()?);
        while let Some(head) = read_head(&mut reader)? {
            let mut body = vec![0; head.length()];
            reader.read_exact(&mut body)?;
            let (status, answer) = self.answer(&head.target, &String::from_utf8_lossy(&body));
            write!(
                socket,
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: {}\r\n\r\n{answer}",
                answer.len()
            )?;
        }
        Ok(())
    }

    fn answer(&self, target: &str, body: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        if self.is_busy.load(Ordering::SeqCst) {
            return (503, "{}".to_owned());
        }
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(found, _)| *found == name).map(|(_, value)| decode_percent(value))
        };
        let table = parameter("table").unwrap_or_default();
        match path {
            "/v1/rows-get" => {
                let (from, to) = (parameter("from"), parameter("to"));
                let rows = self.rows.lock().unwrap();
                let is_asked = |(key, row): &(&RowKey, &Row)| {
                    row.value.is_some()
                        && key.0 == table
                        && from.as_ref().is_none_or(|from| key.1 >= *from)
                        && to.as_ref().is_none_or(|to| key.1 < *to)
                };
                let found = rows.rows.iter().filter(is_asked).map(|(key, row)| text_of(key, row));
                (200, self.page(&found.collect::<Vec<_>>(), rows.version))
            }
            "/v1/rows-feed" => {
                let number = |name| parameter(name).and_then(|text| text.parse().ok()).unwrap_or(0);
                (200, self.feed(&table, number("since_rev"), number("wait_ms")))
            }
            "/v1/rows-tx" => self.transact(body),
            _ => (404, "{}".to_owned()),
        }
    }

    fn page(&self, rows: &[String], version: u64) -> String {
        let now = self.started.elapsed().as_millis() + 50_000;
        let rows = rows.join(",");
        format!(
            "{{\"rows\":[{rows}],\"has_more\":false,\"row_version\":{version},\"now_ms\":{now}}}"
        )
    }

    fn feed(&self, table: &str, since: u64, wait_ms: u64) -> String {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut rows = self.rows.lock().unwrap();
        loop {
            let is_newer = |(key, row): &(&RowKey, &Row)| key.0 == table && row.version > since;
            let mut found: Vec<(&RowKey, &Row)> = rows.rows.iter().filter(is_newer).collect();
            found.sort_by_key(|(_, row)| row.version);
            let left = end.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() || self.is_busy.load(Ordering::SeqCst) {
                let found: Vec<String> = found.iter().map(|(key, row)| text_of(key, row)).collect();
                return self.page(&found, rows.version);
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let key = |object: &str| (field(object, "table"), field(object, "key"));
        let mut rows = self.rows.lock().unwrap();
        let (mut found, mut holds) = (Vec::new(), true);
        for object in objects(body, "expect_rev") {
            let row = rows.rows.get(&key(&object)).filter(|row| row.value.is_some());
            let version = row.map_or(0, |row| row.version);
            holds &= field(&object, "row_version").parse() == Ok(version);
            found.extend(row.map(|row| text_of(&key(&object), row)));
        }
        if !holds {
            return (412, self.page(&found, rows.version));
        }
        rows.version += 1;
        let version = rows.version;
        for object in objects(body, "puts") {
            let row = Row { value: Some(field(&object, "value")), version };
            rows.rows.insert(key(&object), row);
        }
        for object in objects(body, "deletes") {
            rows.rows.insert(key(&object), Row { value: None, version });
        }
        self.changed.notify_all();
        (200, self.page(&[], version))
    }
}

fn text_of((table, key): &RowKey, row: &Row) -> String {
    let rest = match &row.value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"removed\":true".to_owned(),
    };
    let version = row.version;
    format!(
        "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",{rest},\"row_version\":{version}}}"
    )
}

/// The objects of a list of flat objects.
fn objects(body: &str, name: &str) -> Vec<String> {
    let Some((_, rest)) = body.split_once(&format!("\"{name}\":[")) else { return Vec::new() };
    let list = rest.split(']').next().unwrap_or_default();
    list.split('}').filter(|text| text.contains('{')).map(str::to_owned).collect()
}

/// A field of a flat object whose texts hold no quotes.
fn field(object: &str, name: &str) -> String {
    let Some((_, rest)) = object.split_once(&format!("\"{name}\":")) else { return String::new() };
    match rest.strip_prefix('"') {
        Some(text) => text.split('"').next().unwrap_or_default().to_owned(),
        None => rest.chars().take_while(char::is_ascii_digit).collect(),
    }
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, others)) = rest.split_first() {
        let code = others.get(..2).and_then(|code| std::str::from_utf8(code).ok());
        let code =
            code.filter(|_| *first == b'%').and_then(|code| u8::from_str_radix(code, 16).ok());
        bytes.push(code.unwrap_or(*first));
        rest = if code.is_some() { &others[2..] } else { others };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let bits = group.iter().fold(0u32, |bits, byte| bits << 8 | u32::from(*byte));
        let bits = bits << (8 * (3 - group.len()));
        for digit in 0..4 {
            let index = bits >> (18 - 6 * digit) & 63;
            text.push(if digit <= group.len() { DIGITS[index as usize] as char } else { '=' });
        }
    }
    text
}
