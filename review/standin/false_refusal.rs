//! A runner fails a part of its orders with a 503 of its own after it has run them.

use crate::gateway::Gateway;
use crate::http::{CallEnd, Message, call};
use crate::record::Record;
use crate::runner::{Behaviour, RunLog, Runner};
use crate::store::Store;
use std::collections::HashMap;
use std::io::{self, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const RUNNERS: usize = 3;
const RAM_MB: u64 = 260;
const WORK: Duration = Duration::from_millis(60);
const DEADLINE: Duration = Duration::from_millis(6_000);
/// Orders a second of all clients, and for how long they are sent.
const ORDER_GAP: Duration = Duration::from_millis(88);
const PLAYED: Duration = Duration::from_secs(12);
/// One runner of three fails 4 of 10 of its requests for 6.5 s.
const TROUBLE_FROM: Duration = Duration::from_secs(3);
const TROUBLE_FOR: Duration = Duration::from_millis(6_500);
const FAILED_OF_TEN: u32 = 4;
/// Statuses that promise that the request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-order","host":"desk.example","prefix":"/order/","type":"unsafe","timeout_ms":3000,"goal_ms":400,"priority":2,"service":"desk","attempts":1,"public":false}],"services":[{"name":"desk","health_path":"/health","max_conns":100,"proto":"h1","tls":false}],"limits":{"max_hdr_bytes":16384,"max_body_bytes":4194304,"hdr_timeout_ms":3000,"idle_ms":15000},"tenants":[{"name":"vans","keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"#;

struct Attempt {
    id: String,
    order: u32,
    status: u16,
    at: Instant,
}

pub fn play(record: &Record, folder: &Path, has_trouble: bool) -> io::Result<bool> {
    let store = Store::start()?;
    let log = RunLog::default();
    let is_failing = Arc::new(AtomicBool::new(false));
    let runners: io::Result<Vec<Arc<Runner>>> = (0..RUNNERS)
        .map(|number| {
            let fails = if number == 0 { Arc::clone(&is_failing) } else { Arc::default() };
            Runner::start(&format!("i-desk-{number}"), 6, &log, behaviour(fails))
        })
        .collect();
    for runner in &runners? {
        store.put("servers", &runner.name, &runner.entry("desk", "v1", "ready"));
    }
    store.put("op", "config", CONFIG);
    let gateways = [
        Gateway::start(1, store.address, RAM_MB, folder)?,
        Gateway::start(2, store.address, RAM_MB, folder)?,
    ];
    gateways.iter().try_for_each(Gateway::wait_until_ready)?;
    let started = Instant::now();
    let attempts = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for order in 0u32.. {
        let at = ORDER_GAP * order;
        if at >= PLAYED {
            break;
        }
        thread::sleep((started + at).saturating_duration_since(Instant::now()));
        let in_trouble = has_trouble && at >= TROUBLE_FROM && at < TROUBLE_FROM + TROUBLE_FOR;
        if is_failing.swap(in_trouble, Ordering::Relaxed) != in_trouble {
            record.line(if in_trouble { "i-desk-0 begins to fail" } else { "i-desk-0 is sound" });
        }
        let fronts: Vec<_> = gateways.iter().map(|gateway| gateway.front).collect();
        let attempts = Arc::clone(&attempts);
        clients.push(thread::spawn(move || {
            let begun = Instant::now();
            // A client repeats an order once, on another node, and only after a promise.
            for repeat in 0..2u32 {
                let front = fronts[(order + repeat) as usize % fronts.len()];
                let id = format!("{order:08x}{repeat:08x}");
                let left = DEADLINE.saturating_sub(begun.elapsed());
                let body = format!("order {order}");
                let request = format!(
                    "POST /order/{order} HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {id}\r\n\
                     Deadline-Ms: {}\r\nApi-Key: n2ctnfzs989anu6wsjnb\r\nContent-Length: {}\r\n\r\n{body}",
                    left.as_millis(),
                    body.len()
                );
                let sent = Instant::now();
                let end = call(front, request.as_bytes(), left);
                let status = if let CallEnd::Answered(answer) = &end { answer.status() } else { 0 };
                attempts.lock().unwrap().push((Attempt { id, order, status, at: sent }, Instant::now(), end.to_string()));
                let CallEnd::Answered(answer) = end else { return };
                if !PROMISES.contains(&status) {
                    return;
                }
                let wait = answer.header("retry-after").and_then(|text| text.parse().ok()).unwrap_or(0.1);
                thread::sleep(Duration::from_secs_f64(wait).min(left / 3));
            }
        }));
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    thread::sleep(Duration::from_secs(1));
    Ok(check(record, &attempts.lock().unwrap(), &log))
}

fn behaviour(is_failing: Arc<AtomicBool>) -> Behaviour {
    let count = AtomicU32::new(0);
    Arc::new(move |runner: &Runner, request: &Message, socket: &mut TcpStream| {
        runner.begin_run(request);
        thread::sleep(WORK);
        let number = count.fetch_add(1, Ordering::Relaxed);
        let fails = is_failing.load(Ordering::Relaxed) && number % 10 < FAILED_OF_TEN;
        let (status, body) = if fails { (503, "no answer of the ledger") } else { (200, "ordered") };
        // A failure after a run has no Not-Run.
        socket.write_all(&runner.sealed(status, request, body.as_bytes()))?;
        Ok(true)
    })
}

fn check(record: &Record, attempts: &[(Attempt, Instant, String)], log: &RunLog) -> bool {
    let runs = log.lock().unwrap();
    let mut of_order: HashMap<u32, usize> = HashMap::new();
    let mut broken = 0;
    for (attempt, ended, text) in attempts {
        record.line_at(attempt.at, &format!("order {} sent as {}", attempt.order, attempt.id));
        let own: Vec<_> = runs.iter().filter(|run| run.id == attempt.id).collect();
        *of_order.entry(attempt.order).or_default() += own.len();
        for run in &own {
            record.line_at(run.at, &format!("{} runs at {}", run.id, run.runner));
        }
        record.line_at(*ended, &format!("{} is {text}", attempt.id));
        if PROMISES.contains(&attempt.status) && !own.is_empty() {
            broken += 1;
            record.line(&format!("REFUSED: {} was answered {} and has run", attempt.id, attempt.status));
        }
    }
    let twice = of_order.values().filter(|runs| **runs > 1).count();
    let text = format!(
        "{} attempts; REFUSED broken by {broken}; {twice} orders were placed twice, as their clients repeated them",
        attempts.len()
    );
    record.line(&text);
    println!("{text}");
    broken > 0
}
