//! A leaving upstream gets no new work, and a graceful stop completes every request in flight.

mod support;

use oleander_core::ids::Incarnation;
use oleander_ports::members::{MembershipPort, Rumor};
use std::sync::Arc;
use std::time::Duration;
use support::{Reply, TestBed, chat_body, expected_text, upstream};

const STREAMS: usize = 8;

fn leave(name: &str) -> Rumor {
    let (upstream, incarnation) = (upstream(name), Incarnation::new(1));
    Rumor::Leaving { upstream, incarnation }
}

#[tokio::test]
async fn upstream_announced_as_leaving_gets_no_new_work() {
    let bed = TestBed::start().await;
    bed.members.announce(leave("runner-1"));
    for _ in 0..12 {
        assert_eq!(bed.chat("large", false, &[]).await.status, 200);
    }
    let runs = |name: &str| bed.deployment.engines[&upstream(name)].runs().len();
    assert_eq!((runs("runner-1"), runs("runner-2")), (0, 12));
    let (upstream, incarnation) = (upstream("runner-1"), Incarnation::new(2));
    bed.members.announce(Rumor::Joined { upstream, incarnation });
    bed.members.announce(leave("runner-2"));
    assert_eq!(bed.chat("large", false, &[]).await.status, 200);
    assert_eq!((runs("runner-1"), runs("runner-2")), (1, 12));
}

#[tokio::test]
async fn upstream_that_reports_leaving_is_announced_and_gets_no_new_work() {
    let bed = TestBed::start().await;
    bed.deployment.engines[&upstream("runner-1")].set_leaving(true);
    let announced = tokio::time::timeout(Duration::from_secs(5), async {
        while !bed.members.rumors().contains(&leave("runner-1")) {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    });
    announced.await.unwrap();
    bed.deployment.engines[&upstream("runner-1")].set_leaving(false);
    for _ in 0..12 {
        assert_eq!(bed.chat("large", false, &[]).await.status, 200);
    }
    // Only a newer incarnation may come back.
    assert!(bed.deployment.engines[&upstream("runner-1")].runs().is_empty());
}

#[tokio::test]
async fn graceful_stop_completes_every_stream() {
    let mut bed = TestBed::start().await;
    let mut streams = Vec::new();
    for _ in 0..STREAMS {
        let request = bed.post("/v1/chat/completions", &[], &chat_body("large", true));
        streams.push(bed.client.send(request, Duration::from_secs(5)).await.unwrap());
    }
    let streams = streams.into_iter();
    bed.stop();
    let (usage, view) = (Arc::clone(&bed.usage), bed.view.clone());
    let stop = async {
        bed.stopped().await;
        (view.in_flight(), usage.billed().len())
    };
    let (at_stop, bodies) = tokio::join!(stop, futures_util::future::join_all(streams.map(read)));
    assert_eq!(at_stop, (0, STREAMS), "in flight and billed when the entry stops");
    for reply in bodies {
        assert_eq!(reply.streamed_text(), expected_text("large@1"));
        assert!(reply.is_done());
    }
    assert!(bed.view.is_draining());
    assert!(bed.members.left());
    assert_eq!(bed.admin("/healthz").await.status, 503);
}

async fn read(stream: http::Response<hyper::body::Incoming>) -> Reply {
    let read = oleander_adapters::http_server::read_body(stream.into_body(), 1 << 20).await;
    let body = String::from_utf8(read.unwrap().to_vec()).unwrap();
    Reply { status: http::StatusCode::OK, headers: Default::default(), body }
}
