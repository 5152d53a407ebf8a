//! HTTP server of the host list.

use crate::platform::{PlatformStandin, error_response, with_faults};
use http::{Method, StatusCode};
use oleander_adapters::http_server::{HttpHandler, json_response, text_response};
use oleander_ports::hosts::HostListPort;

/// Creates the HTTP handler of the host list.
#[must_use]
pub fn handler(standin: &PlatformStandin) -> HttpHandler {
    let hosts = standin.hosts.clone();
    with_faults(&standin.host_faults, move |request| {
        let hosts = hosts.clone();
        Box::pin(async move {
            if request.method() != Method::GET || request.uri().path() != "/hosts" {
                return text_response(StatusCode::NOT_FOUND, "no such call");
            }
            match hosts.hosts().await {
                Ok(listed) => json_response(StatusCode::OK, &listed),
                Err(error) => error_response(&error),
            }
        })
    })
}
