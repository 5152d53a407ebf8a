//! HTTP server of the object store.

use crate::memory::MemoryObjects;
use crate::platform::{MAX_BODY_BYTES, PlatformStandin, bad_request, error_response, with_faults};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use oleander_adapters::http_server::{
    HttpHandler, ResponseBody, full_body, json_response, read_body, text_response,
};
use oleander_adapters::platform::wire::{decode_text, query_value};
use oleander_ports::objects::{ObjectPort, PutOutcome};

/// Creates the HTTP handler of the object store.
#[must_use]
pub fn handler(standin: &PlatformStandin) -> HttpHandler {
    let objects = standin.objects.clone();
    with_faults(&standin.object_faults, move |request| Box::pin(handle(objects.clone(), request)))
}

async fn handle(objects: MemoryObjects, request: Request<Incoming>) -> Response<ResponseBody> {
    let path = request.uri().path().to_owned();
    let name = path.strip_prefix("/objects/").and_then(decode_text);
    match (request.method().clone(), name) {
        (Method::PUT, Some(name)) => put(&objects, &name, request).await,
        (Method::GET, Some(name)) => get(&objects, &name).await,
        (Method::GET, None) if path == "/objects" => list(&objects, request.uri().query()).await,
        _ => text_response(StatusCode::NOT_FOUND, "no such call"),
    }
}

async fn put(
    objects: &MemoryObjects,
    name: &str,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let body = match read_body(request.into_body(), MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(error) => return bad_request(&error.to_string()),
    };
    match objects.put_if_absent(name, body.to_vec()).await {
        Ok(PutOutcome::Written) => text_response(StatusCode::CREATED, ""),
        Ok(PutOutcome::Exists) => text_response(StatusCode::PRECONDITION_FAILED, "it exists"),
        Err(error) => error_response(&error),
    }
}

async fn get(objects: &MemoryObjects, name: &str) -> Response<ResponseBody> {
    match objects.get(name).await {
        Ok(Some(body)) => Response::new(full_body(body)),
        Ok(None) => text_response(StatusCode::NOT_FOUND, "no such object"),
        Err(error) => error_response(&error),
    }
}

async fn list(objects: &MemoryObjects, query: Option<&str>) -> Response<ResponseBody> {
    let prefix = query_value(query, "prefix").unwrap_or_default();
    match objects.list(&prefix).await {
        Ok(names) => json_response(StatusCode::OK, &names),
        Err(error) => error_response(&error),
    }
}
