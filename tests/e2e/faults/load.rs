//! Callers that send requests until the load is stopped.

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

/// Maximum attempts of one request under one idempotency key.
const MAX_ATTEMPTS: usize = 12;
/// Pause between two requests of a caller; the pause between attempts is four times as long.
const PAUSE: Duration = Duration::from_millis(60);
/// The version that the schedule rolls out and later withdraws.
const WITHDRAWN_VERSION: &str = "menu-writer-small@5";
/// Requests of a session after its first one.
const FOLLOW_UP_REQUESTS: usize = 5;

/// A request with an idempotency key, and the run whose answer the caller received first.
#[derive(Clone, Debug)]
pub struct KeyedRequest {
    pub account: AccountName,
    pub answered: Option<RequestId>,
}

/// Keyed requests by the request id under which they are billed.
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

    /// Stops each caller after its current request.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    /// Number of complete answers so far.
    pub fn answers(&self) -> u64 {
        self.answers.load(Ordering::SeqCst)
    }

    /// Removes an entry from the load balancer.
    pub fn remove_entry(&self, entry: usize) {
        self.entries.lock().unwrap().remove(&entry);
    }

    /// Adds an entry to the load balancer.
    pub fn add_entry(&self, entry: usize, callers: SocketAddr) {
        self.entries.lock().unwrap().insert(entry, callers);
    }

    /// Requests that were sent with an idempotency key.
    pub fn keyed(&self) -> KeyedRequests {
        self.keyed.lock().unwrap().clone()
    }

    fn stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    fn next_number(&self) -> u64 {
        self.next.fetch_add(1, Ordering::SeqCst)
    }

    fn next_entry(&self) -> SocketAddr {
        let number = self.next_number() as usize;
        let entries = self.entries.lock().unwrap();
        *entries.values().nth(number % entries.len()).unwrap()
    }

    async fn chat_loop(&self, caller: &TestCaller, cascade: &str) {
        while !self.stopped() {
            let number = self.next_number();
            let prompt = format!("question {number} of {}", caller.account());
            self.send_until_final(caller, cascade, &prompt, !number.is_multiple_of(3), None).await;
            tokio::time::sleep(PAUSE).await;
        }
    }

    async fn session_loop(&self, caller: &TestCaller) {
        while !self.stopped() {
            let prompt = format!("first of session {}", self.next_number());
            let first =
                self.send_until_final(caller, "menu-writer-small", &prompt, true, None).await;
            let Some(first) = first else { continue };
            let Some(token) = first.header("x-oleander-session") else { continue };
            // A session on the version to be withdrawn continues until the withdrawal ends it.
            let will_be_withdrawn = first.header("x-oleander-version") == Some(WITHDRAWN_VERSION);
            let turns = if will_be_withdrawn { usize::MAX } else { FOLLOW_UP_REQUESTS };
            self.continue_session(caller, token, turns).await;
        }
    }

    async fn continue_session(&self, caller: &TestCaller, token: &str, turns: usize) {
        for turn in 0..turns {
            let prompt = format!("turn {turn} of session {}", self.next_number());
            let answer = self
                .send_until_final(caller, "menu-writer-small", &prompt, true, Some(token))
                .await;
            if answer.is_none() || self.stopped() {
                return;
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Sends a request under one idempotency key until a complete answer or a final refusal.
    async fn send_until_final(
        &self,
        caller: &TestCaller,
        model: &str,
        prompt: &str,
        stream: bool,
        session: Option<&str>,
    ) -> Option<CallerAnswer> {
        let key = format!("chat-{}", self.next_number());
        let body = TestCaller::chat_body(model, prompt, stream);
        let billed = self.record_keyed(caller, &key, &body);
        let mut headers = vec![("idempotency-key", key.as_str())];
        headers.extend(session.map(|token| ("x-oleander-session", token)));
        for _ in 0..MAX_ATTEMPTS {
            let path = "/v1/chat/completions";
            if let Ok(answer) = caller.call(self.next_entry(), path, body.clone(), &headers).await {
                if answer.is_complete_success() {
                    self.record_answered(billed, &answer);
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

    fn record_keyed(&self, caller: &TestCaller, key: &str, body: &str) -> RequestId {
        let key: IdempotencyKey = key.parse().unwrap();
        let unused = RequestIdentity::new(RequestId::new(Timestamp::from_millis(0), 0));
        let digest = body_digest("chat", body.as_bytes());
        let account = caller.account().clone();
        let billed = unused.with_key(&account, &key, &digest).billed;
        let request = KeyedRequest { account, answered: None };
        self.keyed.lock().unwrap().insert(billed, request);
        billed
    }

    fn record_answered(&self, billed: RequestId, answer: &CallerAnswer) {
        self.answers.fetch_add(1, Ordering::SeqCst);
        if let Some(request) = self.keyed.lock().unwrap().get_mut(&billed) {
            request.answered = answer.run();
        }
    }

    /// Sends each order to two entries concurrently, and retries until its outcome is known.
    async fn order_loop(&self, caller: &TestCaller) {
        while !self.stopped() {
            let number = self.next_number();
            let key = format!("order-{number}");
            let body = format!("{{\"buns\":{number}}}");
            for _ in 0..MAX_ATTEMPTS {
                let (one, other) = (self.next_entry(), self.next_entry());
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
