//! Silent, closed and overloaded connections: callers learn the true outcome of their calls.

mod support;

use oleander_peers::frame::{FrameHead, FrameReader, FrameWriter, ReplyOutcome};
use oleander_peers::handshake::server_handshake;
use oleander_peers::keys::KeyRing;
use oleander_peers::{PeerCounters, PeerLimits, PeerNode};
use oleander_ports::peers::{PeerChannel, PeerError, PeerHandler};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use support::{echo, finished, key, settings, short_timeouts, start, until};
use tokio::net::TcpListener;
use tokio::sync::Notify;

const SECOND: Duration = Duration::from_secs(1);

/// A node that sends no pings, so that only calls can detect a silent connection.
async fn start_without_pings() -> PeerNode {
    let hour = SECOND * 3_600;
    let limits = PeerLimits {
        ping_interval: hour,
        idle_ping_interval: hour,
        idle_timeout: hour,
        ..short_timeouts()
    };
    let settings = settings("a.entry", vec![]).with_limits(limits);
    PeerNode::start(settings, vec![]).await.expect("it starts")
}

/// Starts a peer whose first connection goes silent after `answers` calls; later ones work.
/// Returns its address and the number of received calls.
async fn start_silent_peer(answers: usize) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("it binds");
    let me = listener.local_addr().expect("it is bound");
    let received = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&received);
    tokio::spawn(async move {
        let mut answered = answers;
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, me, answered, Arc::clone(&count)));
            answered = usize::MAX;
        }
    });
    (me, received)
}

async fn serve(
    mut stream: tokio::net::TcpStream,
    me: SocketAddr,
    answers: usize,
    received: Arc<AtomicUsize>,
) {
    let ring = KeyRing::new(&[key("k1")], "tcp").expect("there is a key");
    let keys = server_handshake(&mut stream, &ring, me).await.expect("the handshake succeeds");
    let (read, write) = stream.into_split();
    let counters = Arc::new(PeerCounters::default());
    let mut reader = FrameReader::new(read, keys.client_to_server, None, Arc::clone(&counters));
    let mut writer = FrameWriter::new(write, keys.server_to_client, counters);
    let mut answered = 0;
    while let Ok(frame) = reader.read().await {
        let head = match frame.head {
            FrameHead::Call { number, .. } => {
                received.fetch_add(1, Ordering::SeqCst);
                answered += 1;
                FrameHead::Reply { number, outcome: ReplyOutcome::Done }
            }
            _ => FrameHead::Pong,
        };
        if answered <= answers {
            let _ = writer.write(&head, &frame.body).await;
        }
        if answered >= answers && answers != usize::MAX {
            // From here on nothing is read, sent or closed.
            std::future::pending::<()>().await;
        }
    }
}

#[tokio::test]
async fn idempotent_call_on_a_silent_connection_is_retried_on_a_new_one() {
    let (peer, received) = start_silent_peer(0).await;
    let node = start_without_pings().await;
    let calls = node.calls();
    let call = calls.call(peer, PeerChannel::Status, vec![5], SECOND * 4);
    assert_eq!(finished(call).await, Ok(vec![5]));
    assert_eq!(node.counters().calls_retried.get(), 1);
    assert!(received.load(Ordering::SeqCst) >= 1);
}

#[tokio::test]
async fn non_idempotent_call_on_a_silent_connection_is_unknown_and_the_next_uses_a_new_one() {
    let (peer, received) = start_silent_peer(1).await;
    let node = start_without_pings().await;
    let calls = node.calls();
    let first = calls.call(peer, PeerChannel::Claims, vec![1], SECOND * 30);
    assert_eq!(finished(first).await, Ok(vec![1]));
    let second = finished(calls.call(peer, PeerChannel::Claims, vec![2], SECOND * 2)).await;
    assert!(matches!(second, Err(PeerError::Unknown(_))), "{second:?}");
    let third = calls.call(peer, PeerChannel::Claims, vec![3], SECOND * 30);
    assert_eq!(finished(third).await, Ok(vec![3]));
    assert_eq!(received.load(Ordering::SeqCst), 2, "the second call was sent again");
    assert_eq!(node.counters().connections_out.get(), 2);
}

#[tokio::test]
async fn non_idempotent_call_is_not_retried_when_the_connection_closes_after_it_was_read() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("it binds");
    let me = listener.local_addr().expect("it is bound");
    let received = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&received);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let ring = KeyRing::new(&[key("k1")], "tcp").expect("there is a key");
            let keys =
                server_handshake(&mut stream, &ring, me).await.expect("the handshake succeeds");
            let counters = Arc::new(PeerCounters::default());
            let mut reader = FrameReader::new(stream, keys.client_to_server, None, counters);
            if matches!(reader.read().await, Ok(frame) if frame.head != FrameHead::Ping) {
                count.fetch_add(1, Ordering::SeqCst);
            }
        }
    });
    let node = start_without_pings().await;
    let calls = node.calls();
    let lost = finished(calls.call(me, PeerChannel::Usage, vec![1], SECOND * 5)).await;
    assert!(matches!(lost, Err(PeerError::Unknown(_))), "{lost:?}");
    assert_eq!(received.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn silent_idle_connection_is_detected_before_the_next_call() {
    let (peer, _) = start_silent_peer(1).await;
    let node = start("a.entry", vec![]).await;
    let calls = node.calls();
    let first = calls.call(peer, PeerChannel::Claims, vec![1], SECOND * 30);
    assert_eq!(finished(first).await, Ok(vec![1]));
    until("detection of the silent connection", || node.counters().silent_connections.get() == 1)
        .await;
    let next = calls.call(peer, PeerChannel::Claims, vec![2], SECOND * 30);
    assert_eq!(finished(next).await, Ok(vec![2]));
}

#[tokio::test]
async fn restarted_peer_is_called_on_a_new_connection() {
    let first =
        PeerNode::start(settings("a.entry", vec![]), vec![echo()]).await.expect("it starts");
    let node = start("b.entry", vec![]).await;
    let calls = node.calls();
    let address = first.address();
    let call = || calls.call(address, PeerChannel::Status, vec![1], SECOND * 30);
    assert_eq!(finished(call()).await, Ok(vec![1]));
    first.stop().await;
    drop(first);
    let mut again = settings("a.entry", vec![]);
    again.me.address = address;
    let again = PeerNode::start(again, vec![echo()]).await.expect("the port is free");
    assert_eq!(finished(call()).await, Ok(vec![1]));
    drop(again);
}

#[tokio::test]
async fn excess_calls_are_refused_and_a_failing_handler_ends_only_its_call() {
    let release = Arc::new(Notify::new());
    let gate = Arc::clone(&release);
    let slow: PeerHandler = Arc::new(move |body: Vec<u8>| {
        let gate = Arc::clone(&gate);
        Box::pin(async move {
            assert!(body != [9], "this call fails");
            gate.notified().await;
            Ok(body)
        })
    });
    let limits = PeerLimits { handlers: 1, ..short_timeouts() };
    let busy = settings("a.entry", vec![]).with_limits(limits);
    let server = PeerNode::start(busy, vec![(PeerChannel::Usage, slow)]).await.expect("it starts");
    let node = start("b.entry", vec![]).await;
    let calls = node.calls();
    let call = |body: u8| {
        let (calls, address) = (Arc::clone(&calls), server.address());
        tokio::spawn(async move {
            calls.call(address, PeerChannel::Usage, vec![body], SECOND * 30).await
        })
    };
    let failed = finished(call(9)).await.expect("it ends");
    assert!(matches!(failed, Err(PeerError::Unknown(_))), "{failed:?}");

    let (first, second) = (call(1), call(2));
    let (ended, other) = tokio::select! {
        ended = first => (ended, 2),
        ended = second => (ended, 1),
    };
    let refused = ended.expect("it ends");
    assert!(matches!(refused, Err(PeerError::Refused(_))), "call {other} is running: {refused:?}");
    assert_eq!(server.counters().calls_shed.get(), 1);
    release.notify_one();
    until("the handler to end", || Arc::strong_count(&release) == 2).await;
}
