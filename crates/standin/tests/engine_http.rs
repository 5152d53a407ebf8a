//! The engine stand-in over HTTP: answers, refusals, resumed streams and fenced orders.

use http::{Request, StatusCode};
use http_body_util::Full;
use oleander_adapters::http_client::HttpClient;
use oleander_core::ids::{FencingNumber, VersionName};
use oleander_ports::upstream::{
    ATTEMPT_HEADER, LoadReport, NOT_RUN_HEADER, Order, OrderAction, RESUME_HEADER, VERSION_HEADER,
};
use oleander_standin::engine::{EngineSettings, EngineStandin, answer_words};
use oleander_standin::faults::FaultPlan;
use oleander_standin::platform::any_port;
use std::net::SocketAddr;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(20);
const ATTEMPT: &str = "req-00000000000000000000000000000001.0";

struct EngineFixture {
    engine: EngineStandin,
    address: SocketAddr,
    client: HttpClient,
}

fn version() -> VersionName {
    "small@1".parse().unwrap()
}

async fn start_engine() -> EngineFixture {
    let mut settings = EngineSettings::new("r1".parse().unwrap(), vec![version()]);
    settings.token_gap = Duration::from_millis(1);
    settings.first_token = Duration::from_millis(1);
    let engine = EngineStandin::new(settings);
    let address = engine.start(any_port()).await.unwrap();
    EngineFixture { engine, address, client: HttpClient::new() }
}

impl EngineFixture {
    async fn call(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> http::Response<bytes::Bytes> {
        let uri = format!("http://{}{path}", self.address);
        let mut request = Request::builder().method(method).uri(uri);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::from(body)).unwrap();
        self.client.send_buffered(request, TIMEOUT, 1 << 20).await.unwrap()
    }

    async fn chat(&self, stream: bool, headers: &[(&str, &str)]) -> http::Response<bytes::Bytes> {
        let body = format!(
            r#"{{"model":"small@1","messages":[{{"role":"user","content":"plan it"}}],"stream":{stream}}}"#
        );
        let mut all = vec![(ATTEMPT_HEADER, ATTEMPT)];
        all.extend_from_slice(headers);
        self.call("POST", "/v1/chat/completions", &all, body).await
    }
}

fn streamed_text(body: &[u8]) -> String {
    let text = String::from_utf8(body.to_vec()).unwrap();
    let events = text.split("\n\n").filter_map(|event| event.strip_prefix("data: "));
    let chunks = events.filter(|data| *data != "[DONE]");
    let parsed = chunks.map(|data| serde_json::from_str::<serde_json::Value>(data).unwrap());
    let delta = |chunk: serde_json::Value| chunk["choices"][0]["delta"]["content"].clone();
    parsed.map(|chunk| delta(chunk).as_str().unwrap_or_default().to_owned()).collect()
}

#[tokio::test]
async fn buffered_and_streamed_answers_are_equal() {
    let fixture = start_engine().await;
    let buffered = fixture.chat(false, &[]).await;
    assert_eq!(buffered.headers()[VERSION_HEADER], "small@1");
    assert_eq!(buffered.headers()[ATTEMPT_HEADER], ATTEMPT);
    let buffered: serde_json::Value = serde_json::from_slice(buffered.body()).unwrap();
    let streamed = fixture.chat(true, &[]).await;
    let text = streamed_text(streamed.body());
    assert!(streamed.body().ends_with(b"data: [DONE]\n\n"));
    assert_eq!(buffered["choices"][0]["message"]["content"], text);
    assert_eq!(text, answer_words(&version(), "plan it", 512).concat());
    assert_eq!(fixture.engine.runs().len(), 2);
}

#[tokio::test]
async fn a_resumed_stream_starts_at_its_offset() {
    let fixture = start_engine().await;
    let resumed = fixture.chat(true, &[(RESUME_HEADER, "5")]).await;
    let words = answer_words(&version(), "plan it", 512);
    assert_eq!(streamed_text(resumed.body()), words[5..].concat());
}

#[tokio::test]
async fn a_leaving_engine_refuses_requests_without_running_them() {
    let fixture = start_engine().await;
    fixture.engine.set_leaving(true);
    let refused = fixture.chat(false, &[]).await;
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(refused.headers().contains_key(NOT_RUN_HEADER));
    assert!(fixture.engine.runs().is_empty());
    let report: LoadReport =
        serde_json::from_slice(fixture.call("GET", "/load", &[], String::new()).await.body())
            .unwrap();
    assert!(report.leaving);
}

#[tokio::test]
async fn the_wrong_attempts_fault_returns_another_attempt_id_once() {
    let fixture = start_engine().await;
    fixture.engine.faults().set_plan(FaultPlan { wrong_attempts: 1, ..FaultPlan::default() });
    let wrong = fixture.chat(false, &[]).await;
    assert_ne!(wrong.headers()[ATTEMPT_HEADER], ATTEMPT);
    let correct = fixture.chat(false, &[]).await;
    assert_eq!(correct.headers()[ATTEMPT_HEADER], ATTEMPT);
}

#[tokio::test]
async fn a_stale_fencing_number_is_refused() {
    let fixture = start_engine().await;
    let order = |number, action| {
        serde_json::to_string(&Order { fencing: FencingNumber::new(number), action }).unwrap()
    };
    let load = OrderAction::Load("small@2".parse().unwrap());
    let accepted = fixture.call("POST", "/orders", &[], order(7, load)).await;
    assert_eq!(accepted.status(), StatusCode::OK);
    let unload = OrderAction::Unload(version());
    let stale = fixture.call("POST", "/orders", &[], order(6, unload)).await;
    assert_eq!(stale.status(), StatusCode::CONFLICT);
    assert_eq!(stale.body().as_ref(), b"7");
    assert!(fixture.engine.versions().contains(&version()));
}
