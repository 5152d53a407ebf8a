//! HTTP server of the table service.

use crate::memory::MemoryTable;
use crate::platform::{MAX_BODY_BYTES, PlatformStandin, bad_request, error_response, with_faults};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use oleander_adapters::http_server::{
    HttpHandler, ResponseBody, json_response, read_body, text_response,
};
use oleander_adapters::platform::wire::{
    WireOutcome, WireRow, WireTransaction, decode_text, query_value,
};
use oleander_ports::table::TablePort;

/// Creates the HTTP handler of the table service.
#[must_use]
pub fn handler(standin: &PlatformStandin) -> HttpHandler {
    let table = standin.table.clone();
    with_faults(&standin.table_faults, move |request| Box::pin(handle(table.clone(), request)))
}

async fn handle(table: MemoryTable, request: Request<Incoming>) -> Response<ResponseBody> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, "/transact") => transact(&table, request).await,
        (&Method::GET, "/scan") => scan(&table, request.uri().query()).await,
        (&Method::GET, path) => match path.strip_prefix("/rows/").and_then(decode_text) {
            Some(key) => get(&table, &key).await,
            None => text_response(StatusCode::NOT_FOUND, "no such call"),
        },
        _ => text_response(StatusCode::NOT_FOUND, "no such call"),
    }
}

async fn transact(table: &MemoryTable, request: Request<Incoming>) -> Response<ResponseBody> {
    let body = match read_body(request.into_body(), MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(error) => return bad_request(&error.to_string()),
    };
    let transaction: WireTransaction = match serde_json::from_slice(&body) {
        Ok(transaction) => transaction,
        Err(error) => return bad_request(&error.to_string()),
    };
    match table.transact(transaction.into()).await {
        Ok(outcome) => json_response(StatusCode::OK, &WireOutcome::from(outcome)),
        Err(error) => error_response(&error),
    }
}

async fn get(table: &MemoryTable, key: &str) -> Response<ResponseBody> {
    match table.get(key).await {
        Ok(Some(row)) => json_response(StatusCode::OK, &WireRow::from(row)),
        Ok(None) => text_response(StatusCode::NOT_FOUND, "no such row"),
        Err(error) => error_response(&error),
    }
}

async fn scan(table: &MemoryTable, query: Option<&str>) -> Response<ResponseBody> {
    let value = |name| query_value(query, name);
    let limit = value("limit").and_then(|limit| limit.parse().ok());
    let (Some(start), Some(end), Some(limit)) = (value("start"), value("end"), limit) else {
        return bad_request("a scan needs start, end and limit");
    };
    match table.scan(&start, &end, limit).await {
        Ok(rows) => {
            let rows: Vec<WireRow> = rows.into_iter().map(WireRow::from).collect();
            json_response(StatusCode::OK, &rows)
        }
        Err(error) => error_response(&error),
    }
}
