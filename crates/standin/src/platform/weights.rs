//! HTTP server of the rate-limited weight store.

use crate::memory::MemoryWeights;
use crate::platform::{MAX_BODY_BYTES, PlatformStandin, bad_request, error_response, with_faults};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use oleander_adapters::http_server::{HttpHandler, ResponseBody, json_response, read_body};
use oleander_adapters::platform::wire::{WireGrant, WireReserve};
use oleander_ports::weights::{WeightGrant, WeightPort};

/// Creates the HTTP handler of the weight store.
#[must_use]
pub fn handler(standin: &PlatformStandin) -> HttpHandler {
    let weights = standin.weights.clone();
    with_faults(&standin.weight_faults, move |request| Box::pin(reserve(weights.clone(), request)))
}

async fn reserve(weights: MemoryWeights, request: Request<Incoming>) -> Response<ResponseBody> {
    let body = match read_body(request.into_body(), MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(error) => return bad_request(&error.to_string()),
    };
    let reservation: WireReserve = match serde_json::from_slice(&body) {
        Ok(reservation) => reservation,
        Err(error) => return bad_request(&error.to_string()),
    };
    match weights.reserve(&reservation.upstream, &reservation.version, reservation.megabytes).await
    {
        Ok(WeightGrant::Granted) => {
            json_response(StatusCode::OK, &WireGrant { retry_after_ms: None })
        }
        Ok(WeightGrant::RetryAfter(after)) => {
            let retry_after_ms = Some(after.as_millis() as u64);
            json_response(StatusCode::OK, &WireGrant { retry_after_ms })
        }
        Err(error) => error_response(&error),
    }
}
