//! Stand-in of a runner: answers requests by a function and logs what it runs.

use crate::http::{Message, answer, read_body, read_head};
use crate::json::quote;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub runner: String,
    pub at: Instant,
}

/// Runs of all runners.
pub type RunLog = Arc<Mutex<Vec<Run>>>;

/// What a runner does with a request that is meant for it; `false` closes the connection.
pub type Behaviour =
    Arc<dyn Fn(&Runner, &Message, &mut TcpStream) -> io::Result<bool> + Send + Sync>;

pub struct Runner {
    pub name: String,
    pub address: SocketAddr,
    pub slots: u32,
    born: u128,
    log: RunLog,
}

impl Runner {
    pub fn start(name: &str, slots: u32, log: &RunLog, behaviour: Behaviour) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let (name, address) = (name.to_owned(), listener.local_addr()?);
        let runner = Arc::new(Self { name, address, slots, born, log: Arc::clone(log) });
        let served = Arc::clone(&runner);
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let (runner, behaviour) = (Arc::clone(&served), Arc::clone(&behaviour));
                thread::spawn(move || runner.serve(socket, &behaviour));
            }
        });
        Ok(runner)
    }

    fn serve(&self, mut socket: TcpStream, behaviour: &Behaviour) -> Option<()> {
        socket.set_nodelay(true).ok()?;
        let mut reader = BufReader::new(socket.try_clone().ok()?);
        loop {
            let mut request = read_head(&mut reader).ok()??;
            read_body(&mut reader, &mut request, false).ok()?;
            if !request.whole {
                return None;
            }
            if request.header("expect-runner").is_some_and(|name| name != self.name) {
                let name = ("Runner-Id", self.name.clone());
                socket.write_all(&answer(421, &[name], b"")).ok()?;
            } else if !behaviour(self, &request, &mut socket).ok()? {
                return None;
            }
        }
    }

    /// Logs that a request runs from now on.
    pub fn begin_run(&self, request: &Message) {
        let run = Run {
            id: request.id(),
            runner: self.name.clone(),
            at: Instant::now(),
        };
        self.log.lock().unwrap().push(run);
    }

    /// An answer of the runner's own, with its signature.
    pub fn sealed(&self, status: u16, request: &Message, body: &[u8]) -> Vec<u8> {
        let id = request.id();
        let seal = format!("{}.{id}.{}", self.name, body.len());
        let load = format!("1,0,{}", self.slots);
        answer(status, &[("Attempt-Id", id), ("Runner-Seal", seal), ("Runner-Load", load)], body)
    }

    /// Its entry in the table `servers`.
    pub fn entry(&self, service: &str, version: &str, state: &str) -> String {
        let (service, address) = (quote(service), quote(&self.address.to_string()));
        let (version, state, slots, born) = (quote(version), quote(state), self.slots, self.born);
        format!(
            "{{\"service\":{service},\"addr\":{address},\"zone\":\"puget-a\",\"version\":{version},\
             \"slots\":{slots},\"state\":{state},\"cold_left_ms\":0,\"phase\":\"both\",\
             \"models\":[],\"seq\":1,\"born\":{born}}}"
        )
    }
}
