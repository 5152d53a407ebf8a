//! Nodes over loopback sockets: joining, rumors, calls and leaving.

mod support;

use oleander_core::ids::Revision;
use oleander_core::membership::{MemberState, Rumor};
use oleander_peers::PeerNode;
use oleander_ports::peers::{PeerChannel, PeerError};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use support::{echo, settings, start, states, until};

const SECOND: Duration = Duration::from_secs(1);

fn head(revision: u64) -> Rumor {
    Rumor::Head { revision: Revision::new(revision), digest: "d1".into() }
}

#[tokio::test]
async fn nodes_join_through_one_seed_and_late_joiners_receive_each_rumor_once() {
    let first = start("a.entry", vec![]).await;
    let second = start("b.entry", vec![first.address()]).await;
    first.members().announce(head(3));
    first.members().set_revision(Revision::new(3));
    let third = start("c.entry", vec![second.address()]).await;
    let received: Arc<Mutex<Vec<Rumor>>> = Arc::default();
    let sink = Arc::clone(&received);
    third.members().listen(Arc::new(move |rumor| sink.lock().unwrap().push(rumor.clone())));

    for node in [&first, &second, &third] {
        until("three members", || node.members().members().len() == 3).await;
    }
    until("the rumor", || !received.lock().unwrap().is_empty()).await;
    until("the revision", || third.members().members()[0].revision == Revision::new(3)).await;
    third.members().announce(head(2));
    third.members().announce(head(3));
    first.members().announce(head(4));
    until("the next rumor", || received.lock().unwrap().len() == 2).await;
    assert_eq!(*received.lock().unwrap(), vec![head(3), head(4)]);
    assert!(third.members().in_contact());
}

#[tokio::test]
async fn leaving_node_is_listed_as_leaving_and_stopped_node_is_removed_at_once() {
    let first = start("a.entry", vec![]).await;
    let second = start("b.entry", vec![first.address()]).await;
    until("two members", || first.members().members().len() == 2).await;
    second.members().leave();
    let leaving = ("b.entry".to_owned(), MemberState::Leaving);
    until("the leaving state", || states(&first).contains(&leaving)).await;
    second.stop().await;
    until("the stopped node to be removed", || states(&first).len() == 1).await;
    until("contact without other members", || first.members().in_contact()).await;
}

#[tokio::test]
async fn crashed_node_is_suspected_then_removed_and_rejoins_after_a_restart() {
    let first = start("a.entry", vec![]).await;
    let second = start("b.entry", vec![first.address()]).await;
    until("two members", || first.members().members().len() == 2).await;
    second.abort();
    until("suspicion of the crashed node", || {
        states(&first).iter().any(|s| s.1 == MemberState::Suspect)
    })
    .await;
    until("removal of the crashed node", || states(&first).len() == 1).await;
    until("loss of contact", || !first.members().in_contact()).await;

    let mut restarted = settings("b.entry", vec![first.address()]);
    restarted.me.incarnation = restarted.me.incarnation.next();
    let second = PeerNode::start(restarted, vec![]).await.unwrap();
    until("the restarted node", || {
        states(&first).contains(&("b.entry".to_owned(), MemberState::Alive))
    })
    .await;
    until("contact with the restarted node", || first.members().in_contact()).await;
    drop(second);
}

#[tokio::test]
async fn calls_end_as_answered_refused_or_unreachable() {
    let server = PeerNode::start(settings("a.entry", vec![]), vec![echo()]).await.unwrap();
    let client = start("b.entry", vec![]).await;
    let calls = client.calls();
    let body = vec![7; 300_000];
    let answer = calls.call(server.address(), PeerChannel::Status, body.clone(), SECOND * 5).await;
    assert_eq!(answer, Ok(body));
    let refused = calls.call(server.address(), PeerChannel::Claims, vec![1], SECOND).await;
    assert!(matches!(refused, Err(PeerError::Refused(_))), "{refused:?}");

    let (address, stopped) = (server.address(), server);
    stopped.stop().await;
    drop(stopped);
    let other = start("c.entry", vec![]).await;
    let unreachable = other.calls().call(address, PeerChannel::Claims, vec![1], SECOND).await;
    assert!(matches!(unreachable, Err(PeerError::Unreachable(_))), "{unreachable:?}");
}
