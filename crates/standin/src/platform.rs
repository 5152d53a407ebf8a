//! HTTP servers of the platform's services, with the protocol of [`oleander_adapters::platform`].

pub mod hosts;
pub mod objects;
pub mod ratings;
pub mod table;
pub mod weights;

use crate::faults::{FaultAction, FaultSwitch};
use crate::memory::{MemoryHosts, MemoryObjects, MemoryRatings, MemoryTable, MemoryWeights};
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use oleander_adapters::http_server::{HttpHandler, HttpServer, ResponseBody, text_response};
use oleander_adapters::platform::NOT_APPLIED_HEADER;
use oleander_adapters::settings::PlatformSettings;
use oleander_ports::{PlatformError, PortFuture};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// In-memory services of the platform, each with its faults.
#[derive(Clone, Default)]
pub struct PlatformStandin {
    /// The table service.
    pub table: MemoryTable,
    /// Faults of the table service.
    pub table_faults: FaultSwitch,
    /// The object store.
    pub objects: MemoryObjects,
    /// Faults of the object store.
    pub object_faults: FaultSwitch,
    /// The weight store.
    pub weights: MemoryWeights,
    /// Faults of the weight store.
    pub weight_faults: FaultSwitch,
    /// The rating service.
    pub ratings: MemoryRatings,
    /// Faults of the rating service.
    pub rating_faults: FaultSwitch,
    /// The host list.
    pub hosts: MemoryHosts,
    /// Faults of the host list.
    pub host_faults: FaultSwitch,
}

/// A loopback address with port 0, for which the system assigns a free port.
#[must_use]
pub fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

impl PlatformStandin {
    /// Creates empty services without faults.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Serves every service on a separate task until the runtime shuts down; returns the bound
    /// addresses.
    ///
    /// # Errors
    ///
    /// When an address cannot be bound.
    pub async fn start(&self, addresses: &PlatformSettings) -> anyhow::Result<PlatformSettings> {
        Ok(PlatformSettings {
            table: spawn_server(addresses.table, table::handler(self)).await?,
            objects: spawn_server(addresses.objects, objects::handler(self)).await?,
            weights: spawn_server(addresses.weights, weights::handler(self)).await?,
            ratings: spawn_server(addresses.ratings, ratings::handler(self)).await?,
            hosts: spawn_server(addresses.hosts, hosts::handler(self)).await?,
        })
    }

    /// Serves every service on a free port of the loopback interface.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub async fn start_on_free_ports(&self) -> anyhow::Result<PlatformSettings> {
        let any = any_port();
        let addresses =
            PlatformSettings { table: any, objects: any, weights: any, ratings: any, hosts: any };
        self.start(&addresses).await
    }
}

/// Serves `handler` on a separate task and returns the bound address.
pub(crate) async fn spawn_server(
    address: SocketAddr,
    handler: HttpHandler,
) -> anyhow::Result<SocketAddr> {
    let server = HttpServer::bind(address, handler).await?;
    let bound = server.address()?;
    tokio::spawn(server.serve(std::future::pending()));
    Ok(bound)
}

/// Wraps `handler` so that the faults apply before and after it.
pub(crate) fn with_faults<F>(faults: &FaultSwitch, handler: F) -> HttpHandler
where
    F: Fn(Request<Incoming>) -> PortFuture<'static, Response<ResponseBody>> + Send + Sync + 'static,
{
    let faults = faults.clone();
    let handler = Arc::new(handler);
    Arc::new(move |request, peer| {
        let (faults, handler) = (faults.clone(), Arc::clone(&handler));
        Box::pin(async move {
            let action = faults.begin_call(peer).await;
            if action == FaultAction::Refuse {
                return not_applied("the service is down");
            }
            let response = handler(request).await;
            if action == FaultAction::LoseReply {
                std::future::pending::<()>().await;
            }
            faults.hang_if_silenced(peer).await;
            response
        })
    })
}

/// The response to a call that was refused without being applied.
pub(crate) fn not_applied(reason: &str) -> Response<ResponseBody> {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, reason);
    response.headers_mut().insert(NOT_APPLIED_HEADER, HeaderValue::from_static("1"));
    response
}

/// The response for an error of an in-memory service.
pub(crate) fn error_response(error: &PlatformError) -> Response<ResponseBody> {
    match error {
        PlatformError::NotApplied(reason) => not_applied(reason),
        PlatformError::Throttled => text_response(StatusCode::TOO_MANY_REQUESTS, "over the rate"),
        PlatformError::Unknown(reason) => {
            text_response(StatusCode::INTERNAL_SERVER_ERROR, reason.clone())
        }
    }
}

/// The response to a malformed call.
pub(crate) fn bad_request(reason: &str) -> Response<ResponseBody> {
    text_response(StatusCode::BAD_REQUEST, reason)
}
