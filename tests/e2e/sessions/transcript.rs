//! Readable transcript of a session, without values that differ between runs.

use crate::testenv::system::WAIT_TIMEOUT;
use crate::testenv::{CallerAnswer, TestCaller, TestSystem};
use oleander_core::reason::Reason;
use std::fmt::Write;
use std::time::Duration;

/// Response headers that a transcript shows.
const SHOWN_HEADERS: [&str; 7] = [
    "x-oleander-version",
    "x-oleander-cascade-step",
    "x-oleander-cost",
    "x-oleander-replayed",
    "x-oleander-reason",
    "x-oleander-run-state",
    "retry-after",
];

/// Requests and commands of a session with their results.
pub struct Transcript<'a> {
    system: &'a TestSystem,
    entry: usize,
    text: String,
}

impl<'a> Transcript<'a> {
    /// An empty transcript; calls go to the first entry.
    pub fn new(system: &'a TestSystem) -> Self {
        Self { system, entry: 0, text: String::new() }
    }

    /// Sends further calls to another entry.
    pub fn use_entry(&mut self, entry: usize) {
        self.entry = entry;
    }

    /// Adds a heading.
    pub fn add_title(&mut self, title: &str) {
        writeln!(self.text, "# {title}\n").unwrap();
    }

    /// Adds a line.
    pub fn add_line(&mut self, line: &str) {
        writeln!(self.text, "{line}").unwrap();
    }

    /// Streams an answer and returns its session token.
    pub async fn chat(
        &mut self,
        account: &str,
        model: &str,
        prompt: &str,
        headers: &[(&str, &str)],
    ) -> String {
        let caller = TestCaller::new(account, &self.system.recorder);
        let entry = self.system.callers(self.entry);
        writeln!(self.text, "> {account} asks {model}: {prompt}").unwrap();
        for (name, value) in headers.iter().filter(|(name, _)| *name != "x-oleander-session") {
            writeln!(self.text, "> {name}: {value}").unwrap();
        }
        let answer = caller.chat(entry, model, prompt, true, headers).await.unwrap();
        self.add_answer(&answer);
        answer.header("x-oleander-session").unwrap_or_default().to_owned()
    }

    /// Places an order.
    pub async fn order(&mut self, account: &str, body: &str, key: Option<&str>) {
        let caller = TestCaller::new(account, &self.system.recorder);
        let entry = self.system.callers(self.entry);
        writeln!(self.text, "> {account} orders {body} under {key:?}").unwrap();
        let operation = "dispatch-desk/place-order";
        let answer = caller.operation(entry, operation, body, key).await.unwrap();
        self.add_answer(&answer);
    }

    /// Repeats an order until it is no longer in progress, and records the last answer.
    pub async fn order_until_settled(&mut self, account: &str, body: &str, key: &str) {
        let caller = TestCaller::new(account, &self.system.recorder);
        let entry = self.system.callers(self.entry);
        writeln!(
            self.text,
            "> {account} orders {body} under {key:?} until it is no longer in progress"
        )
        .unwrap();
        let settled = async {
            loop {
                let operation = "dispatch-desk/place-order";
                let answer = caller.operation(entry, operation, body, Some(key)).await.unwrap();
                if answer.reason() != Some(Reason::InProgress) {
                    return answer;
                }
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        };
        let answer = tokio::time::timeout(WAIT_TIMEOUT, settled)
            .await
            .expect("the order is still in progress after the timeout");
        self.add_answer(&answer);
    }

    /// Runs `oleander-ctl` and records what it printed.
    pub fn ctl(&mut self, arguments: &[&str]) {
        let output = self.system.ctl(arguments);
        let shown = self.without_variable_parts(&arguments.join(" "));
        writeln!(self.text, "$ oleander-ctl {shown}").unwrap();
        for bytes in [&output.stdout, &output.stderr] {
            let printed = self.without_variable_parts(&String::from_utf8_lossy(bytes));
            self.text.push_str(&printed);
        }
        writeln!(self.text, "exit {:?}\n", output.status.code()).unwrap();
    }

    /// The text so far.
    pub fn text(&self) -> &str {
        &self.text
    }

    fn add_answer(&mut self, answer: &CallerAnswer) {
        writeln!(self.text, "< {}", answer.status).unwrap();
        for name in SHOWN_HEADERS {
            if let Some(value) = answer.header(name) {
                writeln!(self.text, "< {name}: {value}").unwrap();
            }
        }
        writeln!(self.text, "{}\n", answer.text.trim_end()).unwrap();
    }

    /// Removes the folder and replaces times, digests and ids by an ellipsis.
    fn without_variable_parts(&self, text: &str) -> String {
        let folder = format!("{}/", self.system.folder.path().display());
        let lines = text.replace(&folder, "");
        let lines = lines.lines().map(|line| {
            let words = line.split(' ').map(|word| if varies(word) { "…" } else { word });
            words.collect::<Vec<_>>().join(" ") + "\n"
        });
        lines.collect()
    }
}

/// Whether a word is a time, a digest or an id, which differ between runs.
fn varies(word: &str) -> bool {
    let bare = word.trim_matches(|c: char| !c.is_ascii_alphanumeric());
    let long_hex = bare.len() >= 12 && bare.bytes().all(|byte| byte.is_ascii_hexdigit());
    let timestamp = bare.len() >= 8
        && bare.bytes().all(|byte| byte.is_ascii_digit() || b"-:TZ.".contains(&byte));
    long_hex || timestamp || bare.starts_with("pub-")
}
