//! The platform's services over HTTP, on the wire that [`oleander_adapters::platform`] speaks.

pub mod hosts;
pub mod objects;
pub mod ratings;
pub mod table;
pub mod weights;

use crate::faults::{CallFate, FaultSwitch};
use crate::memory::{MemoryHosts, MemoryObjects, MemoryRatings, MemoryTable, MemoryWeights};
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use oleander_adapters::http_server::{HttpHandler, HttpServer, ResponseBody, text_response};
use oleander_adapters::platform::NOT_APPLIED_HEADER;
use oleander_adapters::settings::PlatformSettings;
use oleander_ports::{PlatformError, PortFuture};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

/// Largest body that a service reads, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// The services of the platform, in memory, each with its faults.
#[derive(Clone, Default)]
pub struct PlatformStandin {
    /// The table and its faults.
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
    /// The list of hosts.
    pub hosts: MemoryHosts,
    /// Faults of the list of hosts.
    pub host_faults: FaultSwitch,
}

/// Where the services of a stand-in should listen; port 0 takes a free one.
#[must_use]
pub fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

impl PlatformStandin {
    /// Empty services without faults.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Serves every service on a task of its own, until the runtime ends.
    ///
    /// # Errors
    ///
    /// When an address cannot be bound.
    pub async fn start(&self, wanted: &PlatformSettings) -> anyhow::Result<PlatformSettings> {
        Ok(PlatformSettings {
            table: spawn(wanted.table, table::handler(self)).await?,
            objects: spawn(wanted.objects, objects::handler(self)).await?,
            weights: spawn(wanted.weights, weights::handler(self)).await?,
            ratings: spawn(wanted.ratings, ratings::handler(self)).await?,
            hosts: spawn(wanted.hosts, hosts::handler(self)).await?,
        })
    }

    /// Serves every service on a free port of the loopback interface.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub async fn start_on_free_ports(&self) -> anyhow::Result<PlatformSettings> {
        let any = any_port();
        let wanted =
            PlatformSettings { table: any, objects: any, weights: any, ratings: any, hosts: any };
        self.start(&wanted).await
    }
}

/// Serves `handler` on a task of its own and returns the address that was bound.
pub(crate) async fn spawn(address: SocketAddr, handler: HttpHandler) -> anyhow::Result<SocketAddr> {
    let server = HttpServer::bind(address, handler).await?;
    let bound = server.address()?;
    tokio::spawn(server.serve(std::future::pending()));
    Ok(bound)
}

/// A handler that meets the faults before and after `answer`.
pub(crate) fn with_faults<F>(faults: &FaultSwitch, answer: F) -> HttpHandler
where
    F: Fn(Request<Incoming>) -> PortFuture<'static, Response<ResponseBody>> + Send + Sync + 'static,
{
    let faults = faults.clone();
    let answer = Arc::new(answer);
    Arc::new(move |request, peer| {
        let (faults, answer) = (faults.clone(), Arc::clone(&answer));
        Box::pin(async move {
            let fate = faults.meet(peer).await;
            if fate == CallFate::Refuse {
                return refused("the service is down");
            }
            let response = answer(request).await;
            if fate == CallFate::LoseReply {
                std::future::pending::<()>().await;
            }
            faults.stay_silent_if_told(peer).await;
            response
        })
    })
}

/// The answer to a call that was not applied.
pub(crate) fn refused(why: &str) -> Response<ResponseBody> {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, why);
    response.headers_mut().insert(NOT_APPLIED_HEADER, HeaderValue::from_static("1"));
    response
}

/// The answer that stands for an error of a service in memory.
pub(crate) fn error_response(error: &PlatformError) -> Response<ResponseBody> {
    match error {
        PlatformError::NotApplied(why) => refused(why),
        PlatformError::Throttled => text_response(StatusCode::TOO_MANY_REQUESTS, "over the rate"),
        PlatformError::Unknown(why) => {
            text_response(StatusCode::INTERNAL_SERVER_ERROR, why.clone())
        }
    }
}

/// The answer to a malformed call.
pub(crate) fn bad_call(why: &str) -> Response<ResponseBody> {
    text_response(StatusCode::BAD_REQUEST, why)
}
