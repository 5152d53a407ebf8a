//! `explain` finds the entry that remembers a request, past one that is gone and one that does not.

mod support;

use http::StatusCode;
use oleander_adapters::http_server::{HttpHandler, HttpServer, json_response, text_response};
use oleander_core::ids::{Incarnation, RequestId, Revision};
use oleander_core::units::Timestamp;
use oleander_ports::members::{Member, MemberRole, MemberState};
use oleander_ports::peers::PeerChannel;
use oleander_ports::status::{ProcessStatus, status_handler};
use oleander_steward::operators::messages::OperatorErrorCode;
use std::net::SocketAddr;
use std::sync::Arc;
use support::{World, host};

fn entry(number: u16) -> Member {
    Member {
        id: host(u64::from(number)),
        incarnation: Incarnation::new(1),
        role: MemberRole::Entry,
        region: "puget".parse().unwrap(),
        domain: "puget-1".parse().unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000 + number)),
        state: MemberState::Alive,
        revision: Revision::new(1),
    }
}

/// An admin port that remembers one request, or none.
async fn start_admin(remembers: Option<RequestId>) -> SocketAddr {
    let handler: HttpHandler = Arc::new(move |request, _| {
        let known = remembers.map(|id| format!("/requests/{id}"));
        let found = known.is_some_and(|path| path == request.uri().path());
        Box::pin(async move {
            if found {
                json_response(StatusCode::OK, &serde_json::json!({ "steps": [] }))
            } else {
                text_response(StatusCode::NOT_FOUND, "not remembered")
            }
        })
    });
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = HttpServer::bind(any, handler).await.unwrap();
    let address = server.address().unwrap();
    tokio::spawn(server.serve(std::future::pending()));
    address
}

#[tokio::test]
async fn request_is_explained_by_the_entry_that_remembers_it() {
    let request = RequestId::new(Timestamp::from_millis(1_000), 7);
    let world = World::new();
    world.members.set_members(vec![entry(1), entry(2), entry(3)]);
    // The first entry is gone, the second does not remember.
    for (number, remembers) in [(2, None), (3, Some(request))] {
        let status = ProcessStatus { admin: start_admin(remembers).await };
        let peer = entry(number).address;
        world.peers.handle(peer, PeerChannel::Status, status_handler(status));
    }
    let desk = world.steward(9).desk();
    assert_eq!(desk.explain(request).await.unwrap(), r#"{"steps":[]}"#);
    let unknown = RequestId::new(Timestamp::from_millis(1_000), 8);
    assert_eq!(desk.explain(unknown).await.unwrap_err().code, OperatorErrorCode::NotFound);
}
