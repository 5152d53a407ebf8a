//! Chat requests through an entry in front of stand-in engines.

mod support;

use support::{TestBed, expected_text};

#[tokio::test]
async fn complete_answer_is_passed_on_unchanged_and_billed_once() {
    let bed = TestBed::start().await;
    let reply = bed.chat("large", false, &[]).await;
    assert_eq!(reply.status, 200, "{}", reply.body);
    assert_eq!(reply.text(), expected_text("large@1"));
    assert_eq!(reply.header("x-oleander-version"), "large@1");
    let billed = bed.usage.billed();
    assert_eq!(billed.len(), 1);
    assert_eq!(billed[0].request.to_string(), reply.header("x-oleander-request-id"));
    assert_eq!(billed[0].billed.to_string(), reply.header("x-oleander-cost"));
}

#[tokio::test]
async fn streamed_answer_ends_with_the_end_marker() {
    let bed = TestBed::start().await;
    let reply = bed.chat("large", true, &[]).await;
    assert_eq!(reply.status, 200, "{}", reply.body);
    assert_eq!(reply.streamed_text(), expected_text("large@1"));
    assert!(reply.is_done(), "{}", reply.body);
    assert_eq!(bed.usage.billed().len(), 1);
}
