//! HTTP server of the rating service.

use crate::memory::MemoryRatings;
use crate::platform::{MAX_BODY_BYTES, PlatformStandin, bad_request, error_response, with_faults};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use oleander_adapters::http_server::{
    HttpHandler, ResponseBody, json_response, read_body, text_response,
};
use oleander_adapters::platform::wire::query_value;
use oleander_ports::ratings::{AnswerSample, RatingPort};

/// Creates the HTTP handler of the rating service.
#[must_use]
pub fn handler(standin: &PlatformStandin) -> HttpHandler {
    let ratings = standin.ratings.clone();
    with_faults(&standin.rating_faults, move |request| Box::pin(handle(ratings.clone(), request)))
}

async fn handle(ratings: MemoryRatings, request: Request<Incoming>) -> Response<ResponseBody> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, "/samples") => submit(&ratings, request).await,
        (&Method::GET, "/ratings") => read(&ratings, request.uri().query()).await,
        _ => text_response(StatusCode::NOT_FOUND, "no such call"),
    }
}

async fn submit(ratings: &MemoryRatings, request: Request<Incoming>) -> Response<ResponseBody> {
    let body = match read_body(request.into_body(), MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(error) => return bad_request(&error.to_string()),
    };
    let samples: Vec<AnswerSample> = match serde_json::from_slice(&body) {
        Ok(samples) => samples,
        Err(error) => return bad_request(&error.to_string()),
    };
    match ratings.submit(samples).await {
        Ok(()) => json_response(StatusCode::OK, &()),
        Err(error) => error_response(&error),
    }
}

async fn read(ratings: &MemoryRatings, query: Option<&str>) -> Response<ResponseBody> {
    let value = |name| query_value(query, name).and_then(|text| text.parse().ok());
    let (cursor, limit) = (value("cursor").unwrap_or(0), value("limit").unwrap_or(1_000));
    match ratings.ratings(cursor, limit as usize).await {
        Ok(page) => json_response(StatusCode::OK, &page),
        Err(error) => error_response(&error),
    }
}
