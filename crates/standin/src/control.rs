//! HTTP control API of the stand-ins.
//!
//! | call | meaning |
//! |---|---|
//! | `GET /targets` | the names of all stand-ins |
//! | `GET /targets/{name}/faults`, `PUT …` | the fault plan; `PUT` replaces it |
//! | `POST /targets/{name}/silence` | stops answering on all open connections, permanently |
//! | `PUT /targets/{name}/leaving` | `true` or `false`, for an upstream |
//! | `GET /targets/{name}/runs` | the work that an engine or service has run |
//! | `PUT /quality/{version}` | the true quality of a version, from 0 to 1 |
//!
//! The targets of the platform's services are `table`, `objects`, `weights`, `ratings`, `hosts`.

use crate::engine::EngineStandin;
use crate::faults::{FaultPlan, FaultSwitch};
use crate::platform::{PlatformStandin, bad_request};
use crate::service::ServiceStandin;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use oleander_adapters::http_server::{
    HttpHandler, ResponseBody, json_response, read_body, text_response,
};
use oleander_adapters::platform::wire::decode_text;
use oleander_core::ids::{UpstreamName, VersionName};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

const MAX_BODY_BYTES: usize = 64 * 1024;

/// The stand-ins that the control API can address, by name.
pub struct ControlTargets {
    faults: BTreeMap<Arc<str>, FaultSwitch>,
    engines: BTreeMap<UpstreamName, EngineStandin>,
    services: BTreeMap<UpstreamName, ServiceStandin>,
    platform: PlatformStandin,
}

impl ControlTargets {
    /// The stand-ins of one deployment.
    #[must_use]
    pub fn new(
        platform: &PlatformStandin,
        engines: &BTreeMap<UpstreamName, EngineStandin>,
        services: &BTreeMap<UpstreamName, ServiceStandin>,
    ) -> Self {
        let target = |name: &str, faults: &FaultSwitch| (Arc::from(name), faults.clone());
        let mut faults = BTreeMap::from([
            target("table", &platform.table_faults),
            target("objects", &platform.object_faults),
            target("weights", &platform.weight_faults),
            target("ratings", &platform.rating_faults),
            target("hosts", &platform.host_faults),
        ]);
        faults.extend(engines.iter().map(|(name, engine)| target(name.as_str(), engine.faults())));
        faults
            .extend(services.iter().map(|(name, service)| target(name.as_str(), service.faults())));
        Self {
            faults,
            engines: engines.clone(),
            services: services.clone(),
            platform: platform.clone(),
        }
    }
}

/// Serves the control API on a separate task; returns the bound address.
///
/// # Errors
///
/// When the address cannot be bound.
pub async fn start(address: SocketAddr, targets: ControlTargets) -> anyhow::Result<SocketAddr> {
    let targets = Arc::new(targets);
    let handler: HttpHandler =
        Arc::new(move |request, _| Box::pin(handle(Arc::clone(&targets), request)));
    crate::platform::spawn_server(address, handler).await
}

async fn handle(
    targets: Arc<ControlTargets>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let (head, body) = request.into_parts();
    let body = match read_body(body, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(error) => return bad_request(&error.to_string()),
    };
    let path = head.uri.path();
    let decoded: Option<Vec<String>> = path.split('/').skip(1).map(decode_text).collect();
    let parts = decoded.unwrap_or_default();
    let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
    match (head.method, parts.as_slice()) {
        (Method::GET, ["targets"]) => {
            json_response(StatusCode::OK, &targets.faults.keys().collect::<Vec<_>>())
        }
        (Method::PUT, ["quality", version]) => set_quality(&targets, version, &body),
        (method, ["targets", name, call]) => call_target(&targets, &method, name, call, &body),
        _ => text_response(StatusCode::NOT_FOUND, "no such call"),
    }
}

fn call_target(
    targets: &ControlTargets,
    method: &Method,
    name: &str,
    call: &str,
    body: &[u8],
) -> Response<ResponseBody> {
    let Some(faults) = targets.faults.get(name) else {
        return text_response(StatusCode::NOT_FOUND, "no such target");
    };
    match (method.as_str(), call) {
        ("GET", "faults") => json_response(StatusCode::OK, &faults.plan()),
        ("PUT", "faults") => match serde_json::from_slice::<FaultPlan>(body) {
            Ok(plan) => {
                faults.set_plan(plan);
                json_response(StatusCode::OK, &())
            }
            Err(error) => bad_request(&error.to_string()),
        },
        ("POST", "silence") => {
            faults.silence_open_connections();
            json_response(StatusCode::OK, &())
        }
        ("PUT", "leaving") => set_leaving(targets, name, body),
        ("GET", "runs") => runs(targets, name),
        _ => text_response(StatusCode::NOT_FOUND, "no such call"),
    }
}

fn set_leaving(targets: &ControlTargets, name: &str, body: &[u8]) -> Response<ResponseBody> {
    let Ok(leaving) = serde_json::from_slice::<bool>(body) else {
        return bad_request("the body is true or false");
    };
    let Ok(name) = UpstreamName::new(name) else {
        return bad_request("that is no upstream's name");
    };
    if let Some(engine) = targets.engines.get(&name) {
        engine.set_leaving(leaving);
    } else if let Some(service) = targets.services.get(&name) {
        service.set_leaving(leaving);
    } else {
        return text_response(StatusCode::NOT_FOUND, "no such upstream");
    }
    json_response(StatusCode::OK, &())
}

fn runs(targets: &ControlTargets, name: &str) -> Response<ResponseBody> {
    let Ok(name) = UpstreamName::new(name) else {
        return bad_request("that is no upstream's name");
    };
    if let Some(engine) = targets.engines.get(&name) {
        return json_response(StatusCode::OK, &engine.runs());
    }
    match targets.services.get(&name) {
        Some(service) => json_response(StatusCode::OK, &service.runs()),
        None => text_response(StatusCode::NOT_FOUND, "no such upstream"),
    }
}

fn set_quality(targets: &ControlTargets, version: &str, body: &[u8]) -> Response<ResponseBody> {
    match (VersionName::new(version), serde_json::from_slice::<f64>(body)) {
        (Ok(version), Ok(quality)) if (0.0..=1.0).contains(&quality) => {
            targets.platform.ratings.set_version_quality(&version, quality);
            json_response(StatusCode::OK, &())
        }
        _ => bad_request("give a version in the path and a quality from 0 to 1 in the body"),
    }
}
