//! A dead collector drops spans and holds nothing up.

use oleander_adapters::traces::TraceExporter;

#[tokio::test]
async fn spans_are_dropped_when_nobody_collects_them() {
    // Nothing listens on the port of a listener that was closed again.
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let collector = closed.local_addr().unwrap();
    drop(closed);
    let _exporter = TraceExporter::start(collector, "test.entry").unwrap();
    // Ten times what the queue holds, from a runtime whose only thread never yields meanwhile:
    // were a span to wait for room in the queue, this loop would never end.
    let mut made = 0_u32;
    for _ in 0..40_960 {
        drop(tracing::info_span!("attempt"));
        made += 1;
    }
    assert_eq!(made, 40_960);
}
