//! The admin port of a process: health, metrics and further paths with handlers of their own.

use crate::http_server::{HttpHandler, HttpServer, ResponseBody, text_response};
use http::{HeaderValue, Method, Response, StatusCode};
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;
use std::net::SocketAddr;
use std::sync::Arc;

/// Content type of the OpenMetrics text format.
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Whether the process should receive requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProcessHealth {
    /// It accepts requests.
    Ready,
    /// It accepts none, for this reason.
    NotReady(Arc<str>),
}

/// Returns the current health.
pub type HealthCheck = Arc<dyn Fn() -> ProcessHealth + Send + Sync>;

/// What the admin port serves: `GET /healthz`, `GET /metrics`, and other paths by their handlers.
pub struct AdminPort {
    registry: Arc<Registry>,
    health: HealthCheck,
    paths: Vec<(Arc<str>, HttpHandler)>,
    fallback: Option<HttpHandler>,
}

impl AdminPort {
    /// Serves the metrics of `registry` and the result of `health`.
    #[must_use]
    pub fn new(registry: Registry, health: HealthCheck) -> Self {
        Self { registry: Arc::new(registry), health, paths: Vec::new(), fallback: None }
    }

    /// Passes requests for paths that start with `prefix` to `handler`.
    #[must_use]
    pub fn with_path(mut self, prefix: &str, handler: HttpHandler) -> Self {
        self.paths.push((Arc::from(prefix), handler));
        self
    }

    /// Passes requests for all other paths to `fallback`.
    #[must_use]
    pub fn with_fallback(mut self, fallback: HttpHandler) -> Self {
        self.fallback = Some(fallback);
        self
    }

    /// Binds `address`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn bind(self, address: SocketAddr) -> anyhow::Result<HttpServer> {
        HttpServer::bind(address, self.into_handler()).await
    }

    /// The handler of the port.
    #[must_use]
    pub fn into_handler(self) -> HttpHandler {
        let port = Arc::new(self);
        Arc::new(move |request, peer| {
            let built_in = port.answer_built_in(request.method(), request.uri().path());
            let handler = port.find_handler(request.uri().path());
            Box::pin(async move {
                match (built_in, handler) {
                    (Some(response), _) => response,
                    (None, Some(handler)) => handler(request, peer).await,
                    (None, None) => text_response(StatusCode::NOT_FOUND, "no such page"),
                }
            })
        })
    }

    fn find_handler(&self, path: &str) -> Option<HttpHandler> {
        let found = self.paths.iter().find(|(prefix, _)| path.starts_with(&**prefix));
        found.map(|(_, handler)| Arc::clone(handler)).or_else(|| self.fallback.clone())
    }

    fn answer_built_in(&self, method: &Method, path: &str) -> Option<Response<ResponseBody>> {
        match (method, path) {
            (&Method::GET, "/healthz") => Some(health_response(&(self.health)())),
            (&Method::GET, "/metrics") => Some(metrics_response(&self.registry)),
            _ => None,
        }
    }
}

fn health_response(health: &ProcessHealth) -> Response<ResponseBody> {
    match health {
        ProcessHealth::Ready => text_response(StatusCode::OK, "ready\n"),
        ProcessHealth::NotReady(reason) => {
            text_response(StatusCode::SERVICE_UNAVAILABLE, format!("not ready: {reason}\n"))
        }
    }
}

fn metrics_response(registry: &Registry) -> Response<ResponseBody> {
    let mut text = String::new();
    if let Err(error) = encode(&mut text, registry) {
        return text_response(StatusCode::INTERNAL_SERVER_ERROR, error.to_string());
    }
    let mut response = text_response(StatusCode::OK, text);
    let content_type = HeaderValue::from_static(METRICS_CONTENT_TYPE);
    response.headers_mut().insert(http::header::CONTENT_TYPE, content_type);
    response
}
