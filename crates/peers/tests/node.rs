//! Nodes over real loopback sockets: joining, rumors, calls, leaving.

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
async fn nodes_find_each_other_by_one_seed_and_rumors_reach_late_joiners_once() {
    let first = start("a.entry", vec![]).await;
    let second = start("b.entry", vec![first.address()]).await;
    first.members().announce(head(3));
    first.members().set_revision(Revision::new(3));
    let third = start("c.entry", vec![second.address()]).await;
    let heard: Arc<Mutex<Vec<Rumor>>> = Arc::default();
    let sink = Arc::clone(&heard);
    third.members().listen(Arc::new(move |rumor| sink.lock().unwrap().push(rumor.clone())));

    for node in [&first, &second, &third] {
        until("three members", || node.members().members().len() == 3).await;
    }
    until("the rumor", || !heard.lock().unwrap().is_empty()).await;
    until("the revision", || third.members().members()[0].revision == Revision::new(3)).await;
    third.members().announce(head(2));
    third.members().announce(head(3));
    first.members().announce(head(4));
    until("the next rumor", || heard.lock().unwrap().len() == 2).await;
    assert_eq!(*heard.lock().unwrap(), vec![head(3), head(4)]);
    assert!(third.members().in_contact());
}

#[tokio::test]
async fn a_leaving_node_is_seen_leaving_and_a_stopped_one_is_gone_at_once() {
    let first = start("a.entry", vec![]).await;
    let second = start("b.entry", vec![first.address()]).await;
    until("two members", || first.members().members().len() == 2).await;
    second.members().leave();
    let leaving = ("b.entry".to_owned(), MemberState::Leaving);
    until("leaving", || states(&first).contains(&leaving)).await;
    second.stop().await;
    until("gone", || states(&first).len() == 1).await;
    until("in contact with nobody to miss", || first.members().in_contact()).await;
}

#[tokio::test]
async fn a_crashed_node_is_suspected_then_dead_and_its_restart_is_back() {
    let first = start("a.entry", vec![]).await;
    let second = start("b.entry", vec![first.address()]).await;
    until("two members", || first.members().members().len() == 2).await;
    second.abort();
    until("suspect", || states(&first).iter().any(|s| s.1 == MemberState::Suspect)).await;
    until("dead", || states(&first).len() == 1).await;
    until("out of contact", || !first.members().in_contact()).await;

    let mut restarted = settings("b.entry", vec![first.address()]);
    restarted.me.incarnation = restarted.me.incarnation.next();
    let second = PeerNode::start(restarted, vec![]).await.unwrap();
    until("back", || states(&first).contains(&("b.entry".to_owned(), MemberState::Alive))).await;
    until("in contact", || first.members().in_contact()).await;
    drop(second);
}

#[tokio::test]
async fn calls_are_answered_refused_or_unreachable_truthfully() {
    let server = PeerNode::start(settings("a.entry", vec![]), vec![echo()]).await.unwrap();
    let client = start("b.entry", vec![]).await;
    let calls = client.calls();
    let body = vec![7; 300_000];
    let answer = calls.call(server.address(), PeerChannel::Status, body.clone(), SECOND * 5).await;
    assert_eq!(answer, Ok(body));
    let refused = calls.call(server.address(), PeerChannel::Claims, vec![1], SECOND).await;
    assert!(matches!(refused, Err(PeerError::Refused(_))), "{refused:?}");

    let (address, gone) = (server.address(), server);
    gone.stop().await;
    drop(gone);
    let other = start("c.entry", vec![]).await;
    let unreachable = other.calls().call(address, PeerChannel::Claims, vec![1], SECOND).await;
    assert!(matches!(unreachable, Err(PeerError::Unreachable(_))), "{unreachable:?}");
}
