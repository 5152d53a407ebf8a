//! Runners that crash when they begin to answer a request with a certain part in its prompt, or a certain
//! request, and are back after some seconds as new processes.

use crate::record::Record;
use crate::runner::{read_head, spawn};
use crate::store::Store;
use std::io::{BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The part that crashes runners. It is never the last one of a prompt.
pub const BAD_PART: &str = "6b1d07e2";
/// Body of the request that crashes runners.
pub const BAD_BODY: &str = "deadbeef";
const DOWN_TIME: Duration = Duration::from_secs(3);
/// Time from a request to the beginning of its answer, and between the events of a stream.
const FIRST_EVENT: Duration = Duration::from_millis(60);
const EVENT_PAUSE: Duration = Duration::from_millis(40);
const EVENTS: usize = 20;
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A bad request that reached a runner.
#[derive(Clone)]
pub struct BadArrival {
    pub at: f64,
    pub id: String,
}

/// What all runners saw.
#[derive(Default)]
pub struct CrashLog {
    pub arrivals: Mutex<Vec<BadArrival>>,
    pub crashes: Mutex<Vec<f64>>,
    /// Sound streams that a crash broke off.
    pub broken_off: Mutex<Vec<String>>,
}

/// One runner, until the process ends.
struct CrashingRunner {
    name: String,
    zone: &'static str,
    address: SocketAddr,
    is_down: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
    store: Arc<Store>,
    log: Arc<CrashLog>,
    record: Record,
}

/// Starts a runner of the service `engine`.
pub fn start_crashing(
    name: String,
    zone: &'static str,
    ip: Ipv4Addr,
    store: &Arc<Store>,
    log: &Arc<CrashLog>,
    record: &Record,
) -> std::io::Result<()> {
    let listener = TcpListener::bind((ip, 0))?;
    let runner = Arc::new(CrashingRunner {
        name,
        zone,
        address: listener.local_addr()?,
        is_down: AtomicBool::new(false),
        open: Mutex::default(),
        store: Arc::clone(store),
        log: Arc::clone(log),
        record: record.clone(),
    });
    runner.write_row();
    spawn(move || runner.live(listener));
    Ok(())
}

impl CrashingRunner {
    fn write_row(&self) {
        let born =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis());
        let (name, zone, address) = (&self.name, self.zone, self.address);
        let row = format!(
            "{{\"service\":\"engine\",\"addr\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\"born\":{born}}}"
        );
        self.store.put("servers", name, &row);
    }

    /// Serves, and serves again after each crash.
    fn live(self: Arc<Self>, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            let bound = listener.take().map_or_else(|| TcpListener::bind(self.address), Ok);
            let Ok(socket) = bound else {
                std::thread::sleep(POLL_INTERVAL);
                continue;
            };
            self.is_down.store(false, Ordering::SeqCst);
            self.write_row();
            socket.set_nonblocking(true).expect("a listener that does not block");
            while !self.is_down.load(Ordering::SeqCst) {
                match socket.accept() {
                    Ok((stream, _)) => self.accept(stream),
                    Err(_) => std::thread::sleep(POLL_INTERVAL),
                }
            }
            drop(socket);
            std::thread::sleep(DOWN_TIME);
        }
    }

    fn accept(self: &Arc<Self>, stream: TcpStream) {
        let runner = Arc::clone(self);
        let _ = stream.set_nonblocking(false);
        self.open.lock().unwrap().extend(stream.try_clone());
        spawn(move || {
            let _ = runner.serve(stream);
        });
    }

    fn crash(&self) {
        self.log.crashes.lock().unwrap().push(self.record.seconds());
        self.is_down.store(true, Ordering::SeqCst);
        for socket in self.open.lock().unwrap().drain(..) {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, mut socket: TcpStream) -> std::io::Result<()> {
        socket.set_nodelay(true)?;
        let mut reader = BufReader::with_capacity(2_048, socket.try_clone()?);
        while let Some(head) = read_head(&mut reader)? {
            let mut body = vec![0; head.length()];
            reader.read_exact(&mut body)?;
            let id = head.field("attempt-id").unwrap_or_default().to_owned();
            let parts = head.field("prefix-hash").unwrap_or_default();
            let has_bad_part =
                parts.split(',').any(|part| part.split(':').next() == Some(BAD_PART));
            let is_bad = has_bad_part || body == BAD_BODY.as_bytes();
            if is_bad {
                let at = self.record.seconds();
                self.record.add(&format!("bad request {id} reaches {}", self.name));
                self.log.arrivals.lock().unwrap().push(BadArrival { at, id: id.clone() });
            }
            std::thread::sleep(FIRST_EVENT);
            if is_bad && !self.is_down.load(Ordering::SeqCst) {
                self.record.add(&format!("{} crashes", self.name));
                self.crash();
                return Ok(());
            }
            let streamed = self.stream(&mut socket, &id);
            if streamed.is_err() && self.is_down.load(Ordering::SeqCst) {
                self.record.add(&format!("the crash of {} breaks off {id}", self.name));
                self.log.broken_off.lock().unwrap().push(id);
            }
            streamed?;
        }
        Ok(())
    }

    fn stream(&self, socket: &mut TcpStream, id: &str) -> std::io::Result<()> {
        write!(
            socket,
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nRunner-Seal: {}\r\nRunner-Load: 3,0,64\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.name
        )?;
        for event in 1..=EVENTS {
            let text = format!("id: {event}\ndata: {}\n\n", "x".repeat(50));
            write!(socket, "{:x}\r\n{text}\r\n", text.len())?;
            std::thread::sleep(EVENT_PAUSE);
        }
        socket.write_all(b"0\r\n\r\n")
    }
}
