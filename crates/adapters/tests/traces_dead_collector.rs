//! An unreachable collector drops spans and never blocks the process.

use oleander_adapters::traces::TraceExporter;

#[tokio::test]
async fn spans_are_dropped_when_the_collector_is_unreachable() {
    // Nothing listens on the port of a closed listener.
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let collector = closed.local_addr().unwrap();
    drop(closed);
    let _exporter = TraceExporter::start(collector, "test.entry").unwrap();
    // Ten times the queue's capacity, on a runtime whose only thread does not yield meanwhile. If a
    // span waited for space in the queue, this loop would never end.
    let mut created = 0_u32;
    for _ in 0..40_960 {
        drop(tracing::info_span!("attempt"));
        created += 1;
    }
    assert_eq!(created, 40_960);
}
