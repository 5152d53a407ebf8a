//! A readable record of a session, without what differs from run to run.

use crate::testenv::system::PATIENCE;
use crate::testenv::{CallerAnswer, TestCaller, TestSystem};
use oleander_core::reason::Reason;
use std::fmt::Write;
use std::time::Duration;

/// Headers that a transcript shows.
const SHOWN: [&str; 7] = [
    "x-oleander-version",
    "x-oleander-cascade-step",
    "x-oleander-cost",
    "x-oleander-replayed",
    "x-oleander-reason",
    "x-oleander-run-state",
    "retry-after",
];

/// What callers and operators did and saw.
pub struct Transcript<'a> {
    system: &'a TestSystem,
    entry: usize,
    text: String,
}

impl<'a> Transcript<'a> {
    /// An empty record; calls go to the first entry.
    pub fn new(system: &'a TestSystem) -> Self {
        Self { system, entry: 0, text: String::new() }
    }

    /// Sends further calls to another entry.
    pub fn use_entry(&mut self, entry: usize) {
        self.entry = entry;
    }

    /// Adds a heading.
    pub fn title(&mut self, title: &str) {
        writeln!(self.text, "# {title}\n").unwrap();
    }

    /// Adds a line.
    pub fn note(&mut self, line: &str) {
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
        self.answer(&answer);
        answer.header("x-oleander-session").unwrap_or_default().to_owned()
    }

    /// Places an order.
    pub async fn order(&mut self, account: &str, body: &str, key: Option<&str>) {
        let caller = TestCaller::new(account, &self.system.recorder);
        let entry = self.system.callers(self.entry);
        writeln!(self.text, "> {account} orders {body} under {key:?}").unwrap();
        let operation = "dispatch-desk/place-order";
        let answer = caller.operation(entry, operation, body, key).await.unwrap();
        self.answer(&answer);
    }

    /// Places an order again, as often as it is told to come back, and records the last answer.
    pub async fn order_until_settled(&mut self, account: &str, body: &str, key: &str) {
        let caller = TestCaller::new(account, &self.system.recorder);
        let entry = self.system.callers(self.entry);
        writeln!(self.text, "> {account} orders {body} under {key:?} until it is settled").unwrap();
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
        let answer = tokio::time::timeout(PATIENCE, settled).await.expect("it is never settled");
        self.answer(&answer);
    }

    /// Runs `oleander-ctl` and records what it printed.
    pub fn ctl(&mut self, arguments: &[&str]) {
        let output = self.system.ctl(arguments);
        let shown = self.stable(&arguments.join(" "));
        writeln!(self.text, "$ oleander-ctl {shown}").unwrap();
        for bytes in [&output.stdout, &output.stderr] {
            let said = self.stable(&String::from_utf8_lossy(bytes));
            self.text.push_str(&said);
        }
        writeln!(self.text, "exit {:?}\n", output.status.code()).unwrap();
    }

    /// The record.
    pub fn text(&self) -> &str {
        &self.text
    }

    fn answer(&mut self, answer: &CallerAnswer) {
        writeln!(self.text, "< {}", answer.status).unwrap();
        for name in SHOWN {
            if let Some(value) = answer.header(name) {
                writeln!(self.text, "< {name}: {value}").unwrap();
            }
        }
        writeln!(self.text, "{}\n", answer.text.trim_end()).unwrap();
    }

    /// Leaves out the folder, times and ids.
    fn stable(&self, text: &str) -> String {
        let folder = format!("{}/", self.system.folder.path().display());
        let lines = text.replace(&folder, "");
        let lines = lines.lines().map(|line| {
            let words = line.split(' ').map(|word| if varies(word) { "…" } else { word });
            words.collect::<Vec<_>>().join(" ") + "\n"
        });
        lines.collect()
    }
}

/// Whether a word is a time, a digest or an id, which differ from run to run.
fn varies(word: &str) -> bool {
    let bare = word.trim_matches(|c: char| !c.is_ascii_alphanumeric());
    let long_hex = bare.len() >= 12 && bare.bytes().all(|byte| byte.is_ascii_hexdigit());
    let stamp = bare.len() >= 8
        && bare.bytes().all(|byte| byte.is_ascii_digit() || b"-:TZ.".contains(&byte));
    long_hex || stamp || bare.starts_with("pub-")
}
