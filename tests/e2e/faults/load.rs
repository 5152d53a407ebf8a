//! Callers that keep asking until they are told to stop.

use crate::testenv::{CallerAnswer, TestCaller, TestSystem};
use oleander_core::ids::{AccountName, IdempotencyKey, RequestId};
use oleander_core::units::Timestamp;
use oleander_entry::identity::{RequestIdentity, body_digest};
use oleander_history::HistoryRecorder;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinHandle;

/// Tries of one request under one key.
const MAX_TRIES: usize = 12;
/// Time between two requests of a caller, and between two tries.
const PAUSE: Duration = Duration::from_millis(60);
/// The version that the schedule rolls out and withdraws.
const WITHDRAWN_LATER: &str = "menu-writer-small@5";
/// Further requests of one session.
const SESSION_LENGTH: usize = 5;

/// What is billed under one key, and the run whose answer the caller got first.
#[derive(Clone, Debug)]
pub struct KeyedRequest {
    pub account: AccountName,
    pub answered: Option<RequestId>,
}

/// Keyed requests by billed identity.
pub type KeyedRequests = BTreeMap<RequestId, KeyedRequest>;

/// All callers of a run.
pub struct LoadDriver {
    recorder: HistoryRecorder,
    entries: Mutex<BTreeMap<usize, SocketAddr>>,
    keyed: Mutex<KeyedRequests>,
    next: AtomicU64,
    stopped: AtomicBool,
    answers: AtomicU64,
}

impl LoadDriver {
    pub fn new(system: &TestSystem, seed: u64) -> Self {
        let entries = (0..system.entries.len()).map(|index| (index, system.callers(index)));
        Self {
            recorder: system.recorder.clone(),
            entries: Mutex::new(entries.collect()),
            keyed: Mutex::default(),
            next: AtomicU64::new(seed),
            stopped: AtomicBool::new(false),
            answers: AtomicU64::new(0),
        }
    }

    /// Starts every caller.
    pub fn start(self: &Arc<Self>) -> Vec<JoinHandle<()>> {
        let chats = [
            ("tacoma-vans", "route-menu-plan"),
            ("eugene-vans", "stock-lookup"),
            ("school-stops", "allergen-summary"),
            ("salem-vans", "route-menu-plan"),
        ];
        let mut tasks = Vec::new();
        for (account, cascade) in chats {
            let (driver, caller) = (Arc::clone(self), TestCaller::new(account, &self.recorder));
            tasks.push(tokio::spawn(async move { driver.chat_loop(&caller, cascade).await }));
        }
        for account in ["tacoma-vans", "eugene-vans"] {
            let (driver, caller) = (Arc::clone(self), TestCaller::new(account, &self.recorder));
            tasks.push(tokio::spawn(async move { driver.session_loop(&caller).await }));
        }
        for account in ["tacoma-vans", "commissary"] {
            let (driver, caller) = (Arc::clone(self), TestCaller::new(account, &self.recorder));
            tasks.push(tokio::spawn(async move { driver.order_loop(&caller).await }));
        }
        tasks
    }

    /// Ends the callers after their request in hand.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    /// Whole answers so far.
    pub fn answers(&self) -> u64 {
        self.answers.load(Ordering::SeqCst)
    }

    /// Takes an entry out of the balancer.
    pub fn take_out(&self, entry: usize) {
        self.entries.lock().unwrap().remove(&entry);
    }

    /// Puts an entry into the balancer.
    pub fn put_in(&self, entry: usize, callers: SocketAddr) {
        self.entries.lock().unwrap().insert(entry, callers);
    }

    /// What was asked under keys.
    pub fn keyed(&self) -> KeyedRequests {
        self.keyed.lock().unwrap().clone()
    }

    fn stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    fn number(&self) -> u64 {
        self.next.fetch_add(1, Ordering::SeqCst)
    }

    fn pick(&self) -> SocketAddr {
        let number = self.number() as usize;
        let entries = self.entries.lock().unwrap();
        *entries.values().nth(number % entries.len()).unwrap()
    }

    async fn chat_loop(&self, caller: &TestCaller, cascade: &str) {
        while !self.stopped() {
            let number = self.number();
            let prompt = format!("question {number} of {}", caller.account());
            self.ask(caller, cascade, &prompt, !number.is_multiple_of(3), None).await;
            tokio::time::sleep(PAUSE).await;
        }
    }

    async fn session_loop(&self, caller: &TestCaller) {
        while !self.stopped() {
            let prompt = format!("first of session {}", self.number());
            let first = self.ask(caller, "menu-writer-small", &prompt, true, None).await;
            let Some(first) = first else { continue };
            let Some(token) = first.header("x-oleander-session") else { continue };
            // A session on the version that is going to be withdrawn goes on until it is ended.
            let lasts = first.header("x-oleander-version") == Some(WITHDRAWN_LATER);
            let turns = if lasts { usize::MAX } else { SESSION_LENGTH };
            self.go_on(caller, token, turns).await;
        }
    }

    async fn go_on(&self, caller: &TestCaller, token: &str, turns: usize) {
        for turn in 0..turns {
            let prompt = format!("turn {turn} of session {}", self.number());
            let answer = self.ask(caller, "menu-writer-small", &prompt, true, Some(token)).await;
            if answer.is_none() || self.stopped() {
                return;
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Asks under one key until an answer or a final refusal came.
    async fn ask(
        &self,
        caller: &TestCaller,
        model: &str,
        prompt: &str,
        stream: bool,
        session: Option<&str>,
    ) -> Option<CallerAnswer> {
        let key = format!("chat-{}", self.number());
        let body = TestCaller::chat_body(model, prompt, stream);
        let billed = self.note_keyed(caller, &key, &body);
        let mut headers = vec![("idempotency-key", key.as_str())];
        headers.extend(session.map(|token| ("x-oleander-session", token)));
        for _ in 0..MAX_TRIES {
            let path = "/v1/chat/completions";
            if let Ok(answer) = caller.call(self.pick(), path, body.clone(), &headers).await {
                if answer.is_whole_success() {
                    self.note_answered(billed, &answer);
                    return Some(answer);
                }
                if answer.is_final() {
                    return None;
                }
            }
            tokio::time::sleep(PAUSE * 4).await;
        }
        None
    }

    fn note_keyed(&self, caller: &TestCaller, key: &str, body: &str) -> RequestId {
        let key: IdempotencyKey = key.parse().unwrap();
        let unused = RequestIdentity::new(RequestId::new(Timestamp::from_millis(0), 0));
        let digest = body_digest("chat", body.as_bytes());
        let account = caller.account().clone();
        let billed = unused.with_key(&account, &key, &digest).billed;
        let request = KeyedRequest { account, answered: None };
        self.keyed.lock().unwrap().insert(billed, request);
        billed
    }

    fn note_answered(&self, billed: RequestId, answer: &CallerAnswer) {
        self.answers.fetch_add(1, Ordering::SeqCst);
        if let Some(request) = self.keyed.lock().unwrap().get_mut(&billed) {
            request.answered = answer.run();
        }
    }

    /// Sends each order to two entries at once, and again until its outcome is known.
    async fn order_loop(&self, caller: &TestCaller) {
        while !self.stopped() {
            let number = self.number();
            let key = format!("order-{number}");
            let body = format!("{{\"buns\":{number}}}");
            for _ in 0..MAX_TRIES {
                let (one, other) = (self.pick(), self.pick());
                let operation = "dispatch-desk/place-order";
                let (first, second) = tokio::join!(
                    caller.operation(one, operation, &body, Some(&key)),
                    caller.operation(other, operation, &body, Some(&key)),
                );
                let settled = |answer: &CallerAnswer| answer.status == 200 || answer.is_final();
                if [first, second].iter().flatten().any(settled) {
                    break;
                }
                tokio::time::sleep(PAUSE * 4).await;
            }
            tokio::time::sleep(PAUSE).await;
        }
    }
}
