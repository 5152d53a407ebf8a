//! Statements on the admin port: `GET /bills/{client account}`.

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use oleander_adapters::http_server::{HttpHandler, ResponseBody, json_response, text_response};
use oleander_core::ids::AccountName;
use oleander_core::units::Timestamp;
use oleander_ledger::statement::StatementReader;
use oleander_ports::clock::{ClockPort, SystemClock};
use std::sync::Arc;
use std::time::Duration;

/// Window of requests that may still be running; the statement reaches this far ahead.
const AHEAD: Duration = Duration::from_secs(60);

/// Answers with the statement of everything that the account used so far.
pub fn handler(reader: StatementReader) -> HttpHandler {
    Arc::new(move |request, _| Box::pin(answer(reader.clone(), request)))
}

async fn answer(reader: StatementReader, request: Request<Incoming>) -> Response<ResponseBody> {
    let name = request.uri().path().strip_prefix("/bills/");
    let (Some(name), &Method::GET) = (name, request.method()) else {
        return text_response(StatusCode::NOT_FOUND, "no such page\n");
    };
    let account = match AccountName::new(name) {
        Ok(account) => account,
        Err(error) => return text_response(StatusCode::BAD_REQUEST, format!("{error}\n")),
    };
    let end = SystemClock.now() + AHEAD;
    match reader.statement(&account, Timestamp::default(), end).await {
        Ok(statement) => json_response(StatusCode::OK, &statement),
        Err(error) => text_response(StatusCode::SERVICE_UNAVAILABLE, format!("{error}\n")),
    }
}
