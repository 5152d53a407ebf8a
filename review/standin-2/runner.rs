//! Sound runners: `slots` requests at once, a queue, and 503 with `Not-Run` beyond it.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// Stack of a thread, of which there is one for each connection.
const STACK_BYTES: usize = 64 * 1024;

/// Runs work on a thread of its own.
pub fn spawn(work: impl FnOnce() + Send + 'static) {
    let thread = std::thread::Builder::new().stack_size(STACK_BYTES).spawn(work);
    thread.expect("a thread");
}

/// The head of a request.
pub struct Head {
    pub target: String,
    fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(field, _)| field.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn length(&self) -> usize {
        self.field("content-length").and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> std::io::Result<Option<Head>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let target = line.split(' ').nth(1).unwrap_or_default().to_owned();
    let mut fields = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        match line.trim_end().split_once(':') {
            Some((name, value)) => fields.push((name.to_owned(), value.trim().to_owned())),
            None => return Ok(Some(Head { target, fields })),
        }
    }
}

/// What a runner does with a request that has a slot.
#[derive(Clone, Copy)]
pub enum Work {
    /// Answers with a body of this size after a time.
    Plain { bytes: usize, time: Duration },
    /// Sends events with a pause before each.
    Stream { events: usize, pause: Duration },
}

#[derive(Clone, Copy)]
pub struct RunnerSpec {
    pub service: &'static str,
    pub zone: &'static str,
    pub slots: usize,
    pub queue: usize,
    pub work: Work,
}

/// One runner, until the process ends.
pub struct Runner {
    name: String,
    spec: RunnerSpec,
    pub address: SocketAddr,
    running: Mutex<usize>,
    freed: Condvar,
    held: AtomicUsize,
    /// Requests that got a slot.
    pub runs: AtomicUsize,
    /// Most requests that it held at once, in slots and in the queue.
    pub most_held: AtomicUsize,
}

impl Runner {
    pub fn start(name: String, ip: Ipv4Addr, spec: RunnerSpec) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let runner = Arc::new(Self {
            name,
            spec,
            address: listener.local_addr()?,
            running: Mutex::new(0),
            freed: Condvar::new(),
            held: AtomicUsize::new(0),
            runs: AtomicUsize::new(0),
            most_held: AtomicUsize::new(0),
        });
        let served = Arc::clone(&runner);
        spawn(move || {
            for socket in listener.incoming().flatten() {
                let runner = Arc::clone(&served);
                spawn(move || {
                    let _ = runner.serve(socket);
                });
            }
        });
        Ok(runner)
    }

    /// Its row in the store.
    pub fn row(&self) -> String {
        let RunnerSpec { service, zone, slots, .. } = self.spec;
        let address = self.address;
        format!(
            "{{\"service\":\"{service}\",\"addr\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1}}"
        )
    }

    fn serve(&self, mut socket: TcpStream) -> std::io::Result<()> {
        socket.set_nodelay(true)?;
        let mut reader = BufReader::with_capacity(2_048, socket.try_clone()?);
        while let Some(head) = read_head(&mut reader)? {
            std::io::copy(&mut (&mut reader).take(head.length() as u64), &mut std::io::sink())?;
            let id = head.field("attempt-id").unwrap_or_default().to_owned();
            if head.field("expect-runner").is_some_and(|name| name != self.name) {
                write!(
                    socket,
                    "HTTP/1.1 421 X\r\nRunner-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.name
                )?;
                continue;
            }
            let held = self.held.fetch_add(1, Ordering::SeqCst) + 1;
            self.most_held.fetch_max(held, Ordering::SeqCst);
            let answered = if held > self.spec.slots + self.spec.queue {
                write!(
                    socket,
                    "HTTP/1.1 503 X\r\nAttempt-Id: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
                )
            } else {
                self.run(&mut socket, &id)
            };
            self.held.fetch_sub(1, Ordering::SeqCst);
            answered?;
        }
        Ok(())
    }

    fn run(&self, socket: &mut TcpStream, id: &str) -> std::io::Result<()> {
        let mut running = self.running.lock().unwrap();
        while *running >= self.spec.slots {
            running = self.freed.wait(running).unwrap();
        }
        *running += 1;
        let load = format!(
            "{},{},{}",
            *running,
            self.held.load(Ordering::SeqCst) - *running,
            self.spec.slots
        );
        drop(running);
        self.runs.fetch_add(1, Ordering::SeqCst);
        let answered = self.work(socket, id, &load);
        *self.running.lock().unwrap() -= 1;
        self.freed.notify_one();
        answered
    }

    fn work(&self, socket: &mut TcpStream, id: &str, load: &str) -> std::io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nRunner-Seal: {}\r\nRunner-Load: {load}\r\n",
            self.name
        );
        match self.spec.work {
            Work::Plain { bytes, time } => {
                std::thread::sleep(time);
                write!(socket, "{head}Content-Length: {bytes}\r\n\r\n{}", "x".repeat(bytes))
            }
            Work::Stream { events, pause } => {
                write!(
                    socket,
                    "{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                )?;
                for event in 1..=events {
                    std::thread::sleep(pause);
                    let text = format!("id: {event}\ndata: {}\n\n", "x".repeat(50));
                    write!(socket, "{:x}\r\n{text}\r\n", text.len())?;
                }
                socket.write_all(b"0\r\n\r\n")
            }
        }
    }
}
