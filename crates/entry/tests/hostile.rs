//! Invalid input is refused with a clear error, runs nothing and does not harm the entry.

mod support;

use bytes::Bytes;
use http_body_util::Full;
use serde_json::json;
use support::{TestBed, VANS_KEY, expected_text};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use yare::parameterized;

const MESSAGES: &str = r#""messages":[{"role":"user","content":"x"}]"#;

async fn send_raw(bed: &TestBed, body: Vec<u8>) -> support::Reply {
    let request = http::Request::post(format!("http://{}/v1/chat/completions", bed.address))
        .header("authorization", format!("Bearer {VANS_KEY}"))
        .body(Full::new(Bytes::from(body)));
    bed.send(request.unwrap()).await
}

#[parameterized(
    nothing = { "", "line 1 column 0" },
    no_json = { "{\n  \"model\": oops}", "line 2 column 12" },
    array = { "[]", "" },
    no_model = { "{MESSAGES}", "model" },
    model_number = { r#"{"model":7,MESSAGES}"#, "model" },
    model_characters = { r#"{"model":"../etc",MESSAGES}"#, "model" },
    no_messages = { r#"{"model":"large"}"#, "messages" },
    empty_messages = { r#"{"model":"large","messages":[]}"#, "messages" },
    message_text = { r#"{"model":"large","messages":["x"]}"#, "messages[0]" },
    no_role = { r#"{"model":"large","messages":[{"content":"x"}]}"#, "messages[0].role" },
    content_number = {
        r#"{"model":"large","messages":[{"role":"user","content":7}]}"#, "messages[0].content"
    },
    two_choices = { r#"{"model":"large","n":2,MESSAGES}"#, "n" },
    no_tokens = { r#"{"model":"large","max_tokens":0,MESSAGES}"#, "max_tokens" },
    negative_tokens = { r#"{"model":"large","max_completion_tokens":-1,MESSAGES}"#, "max_completion_tokens" },
    stream_text = { r#"{"model":"large","stream":"yes",MESSAGES}"#, "stream" },
    options_list = { r#"{"model":"large","oleander":[],MESSAGES}"#, "oleander" },
    unknown_option = { r#"{"model":"large","oleander":{"speed":1},MESSAGES}"#, "oleander.speed" },
    no_deadline = { r#"{"model":"large","oleander":{"deadline_ms":0},MESSAGES}"#, "oleander.deadline_ms" },
    quality_two = { r#"{"model":"large","oleander":{"quality_target":2},MESSAGES}"#, "oleander.quality_target" },
    priority = { r#"{"model":"large","oleander":{"priority":"vip"},MESSAGES}"#, "oleander.priority" },
    session_space = { r#"{"model":"large","oleander":{"session":"a b"},MESSAGES}"#, "oleander.session" },
    key_empty = { r#"{"model":"large","oleander":{"idempotency_key":""},MESSAGES}"#, "oleander.idempotency_key" },
)]
#[test_macro(tokio::test)]
async fn malformed_request_is_refused_with_the_invalid_field(body: &str, param: &str) {
    let bed = TestBed::start().await;
    let reply = send_raw(&bed, body.replace("MESSAGES", MESSAGES).into_bytes()).await;
    assert_eq!(reply.status, 400, "{}", reply.body);
    assert_eq!(reply.header("x-oleander-reason"), "bad_request");
    assert_eq!(reply.header("x-oleander-run-state"), "not_run");
    let error = &reply.json()["error"];
    assert_eq!(error["param"].as_str().unwrap_or_default(), param, "{error}");
    assert_eq!(error["type"], "invalid_request_error");
    assert!(bed.engine_runs().is_empty());
}

#[tokio::test]
async fn all_errors_are_reported_together() {
    let bed = TestBed::start().await;
    let body = br#"{"model":7,"messages":[{}],"stream":1}"#;
    let reply = send_raw(&bed, body.to_vec()).await;
    let message = reply.json()["error"]["message"].as_str().unwrap().to_owned();
    for param in ["model: ", "messages[0].role: ", "stream: "] {
        assert!(message.contains(param), "{message}");
    }
}

#[tokio::test]
async fn body_that_is_too_large_too_deep_or_no_text_is_refused() {
    let bed = TestBed::start().await;
    let large = send_raw(&bed, vec![b' '; (4 << 20) + 1]).await;
    assert_eq!((large.status.as_u16(), large.header("x-oleander-reason")), (413, "too_large"));
    let deep = send_raw(&bed, [b"[".repeat(100_000), b"]".repeat(100_000)].concat()).await;
    assert_eq!(deep.status, 400);
    let no_text = send_raw(&bed, vec![0xff, 0xfe, 0x00]).await;
    assert_eq!(no_text.status, 400);
    assert_eq!(bed.chat("large", false, &[]).await.text(), expected_text("large@1"));
}

/// No version is left for a prompt that exceeds every context. The refusal must say that the prompt
/// is too long, and not that the account may not use the cascade.
#[tokio::test]
async fn prompt_too_long_for_every_version_is_refused_as_too_large() {
    let bed = TestBed::start().await;
    let prompt = "word ".repeat(200_000);
    let body = json!({"model": "menu-plan", "messages": [{"role": "user", "content": prompt}]});
    let reply = send_raw(&bed, body.to_string().into_bytes()).await;
    assert_eq!((reply.status.as_u16(), reply.header("x-oleander-reason")), (413, "too_large"));
    let text = &reply.body;
    assert!(text.contains("messages") && text.contains("tokens of prompt"), "{text}");
}

#[parameterized(
    no_key = { "", 401 },
    basic = { "Basic dmFucw==", 401 },
    empty_bearer = { "Bearer ", 401 },
    other_key = { "Bearer nobody", 401 },
    digest_as_key = { "Bearer 0000000000000000000000000000000000000000000000000000000000000000", 401 },
)]
#[test_macro(tokio::test)]
async fn invalid_key_is_refused(authorization: &str, status: u16) {
    let bed = TestBed::start().await;
    let mut request = bed.post("/v1/chat/completions", &[], &support::chat_body("large", false));
    request.headers_mut().insert("authorization", authorization.parse().unwrap());
    let reply = bed.send(request).await;
    assert_eq!(reply.status.as_u16(), status);
    assert_eq!(reply.json()["error"]["type"], "authentication_error");
}

#[parameterized(
    unknown_path = { "/v2/chat", 404 },
    no_operation = { "/v1/services/stock", 404 },
    unknown_operation = { "/v1/services/stock/eat", 404 },
    unknown_service = { "/v1/services/none/lookup", 404 },
    dots = { "/v1/services/../lookup", 404 },
    deep = { "/v1/services/stock/lookup/more", 404 },
)]
#[test_macro(tokio::test)]
async fn unknown_path_is_refused(path: &str, status: u16) {
    let bed = TestBed::start().await;
    let reply = bed.send(bed.post(path, &[], &json!({}))).await;
    assert_eq!(reply.status.as_u16(), status, "{}", reply.body);
    assert_eq!(bed.service_runs(), 0);
}

#[tokio::test]
async fn malformed_http_does_not_stop_the_entry() {
    let bed = TestBed::start().await;
    let noise: [&[u8]; 4] = [
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
        b"GET / HTTP/9.9\r\n\r\n",
        b"POST /v1/chat/completions HTTP/1.1\r\ncontent-length: -5\r\n\r\n",
        b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
    ];
    for bytes in noise {
        let mut socket = tokio::net::TcpStream::connect(bed.address).await.unwrap();
        socket.write_all(bytes).await.unwrap();
        socket.shutdown().await.unwrap();
        let mut answer = Vec::new();
        let _ = socket.read_to_end(&mut answer).await;
        assert!(!answer.starts_with(b"HTTP/1.1 2"));
    }
    let head = [b"GET / HTTP/1.1\r\nx: ".to_vec(), vec![b'a'; 200_000]].concat();
    let mut socket = tokio::net::TcpStream::connect(bed.address).await.unwrap();
    let _ = socket.write_all(&head).await;
    assert_eq!(bed.chat("large", false, &[]).await.text(), expected_text("large@1"));
}
