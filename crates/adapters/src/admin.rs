//! The admin port of a process: health, metrics and what else the process serves there.

use crate::http_server::{HttpHandler, HttpServer, ResponseBody, text_response};
use http::{HeaderValue, Method, Response, StatusCode};
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;
use std::net::SocketAddr;
use std::sync::Arc;

/// Content type of the metrics.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Whether the process should get work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProcessHealth {
    /// It takes work.
    Ready,
    /// It takes none, for this reason.
    NotReady(Arc<str>),
}

/// Tells the health now.
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

    /// Answers paths that start with `prefix` with `handler`.
    #[must_use]
    pub fn with_path(mut self, prefix: &str, handler: HttpHandler) -> Self {
        self.paths.push((Arc::from(prefix), handler));
        self
    }

    /// Answers every other path with `fallback`.
    #[must_use]
    pub fn with_fallback(mut self, fallback: HttpHandler) -> Self {
        self.fallback = Some(fallback);
        self
    }

    /// Binds `address`; port 0 takes a free one.
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
            let fixed = port.answer(request.method(), request.uri().path());
            let other = port.handler_of(request.uri().path());
            Box::pin(async move {
                match (fixed, other) {
                    (Some(response), _) => response,
                    (None, Some(other)) => other(request, peer).await,
                    (None, None) => text_response(StatusCode::NOT_FOUND, "no such page"),
                }
            })
        })
    }

    fn handler_of(&self, path: &str) -> Option<HttpHandler> {
        let found = self.paths.iter().find(|(prefix, _)| path.starts_with(&**prefix));
        found.map(|(_, handler)| Arc::clone(handler)).or_else(|| self.fallback.clone())
    }

    fn answer(&self, method: &Method, path: &str) -> Option<Response<ResponseBody>> {
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
        ProcessHealth::NotReady(why) => {
            text_response(StatusCode::SERVICE_UNAVAILABLE, format!("not ready: {why}\n"))
        }
    }
}

fn metrics_response(registry: &Registry) -> Response<ResponseBody> {
    let mut text = String::new();
    if let Err(error) = encode(&mut text, registry) {
        return text_response(StatusCode::INTERNAL_SERVER_ERROR, error.to_string());
    }
    let mut response = text_response(StatusCode::OK, text);
    let kind = HeaderValue::from_static(METRICS_TYPE);
    response.headers_mut().insert(http::header::CONTENT_TYPE, kind);
    response
}
