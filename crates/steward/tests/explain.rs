//! `explain` finds the entry that recorded a request, past an unreachable one and one without it.

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
use support::{TestPlatform, host};

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

/// An admin port with a record of one request, or of none.
async fn start_admin(recorded: Option<RequestId>) -> SocketAddr {
    let handler: HttpHandler = Arc::new(move |request, _| {
        let known = recorded.map(|id| format!("/requests/{id}"));
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
async fn request_is_explained_by_the_entry_that_recorded_it() {
    let request = RequestId::new(Timestamp::from_millis(1_000), 7);
    let platform = TestPlatform::new();
    platform.members.set_members(vec![entry(1), entry(2), entry(3)]);
    // The first entry is unreachable, the second has no record of the request.
    for (number, recorded) in [(2, None), (3, Some(request))] {
        let status = ProcessStatus { admin: start_admin(recorded).await };
        let peer = entry(number).address;
        platform.peers.handle(peer, PeerChannel::Status, status_handler(status));
    }
    let operators = platform.steward(9).operator_service();
    assert_eq!(operators.explain(request).await.unwrap(), r#"{"steps":[]}"#);
    let unknown = RequestId::new(Timestamp::from_millis(1_000), 8);
    assert_eq!(operators.explain(unknown).await.unwrap_err().code, OperatorErrorCode::NotFound);
}
