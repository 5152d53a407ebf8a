//! The control port of the stand-ins.
//!
//! | call | meaning |
//! |---|---|
//! | `GET /targets` | the names of all stand-ins |
//! | `GET /targets/{name}/faults`, `PUT …` | the fault plan; `PUT` replaces it |
//! | `POST /targets/{name}/silence` | makes the open connections silent for good |
//! | `PUT /targets/{name}/leaving` | `true` or `false`, for an upstream |
//! | `GET /targets/{name}/runs` | what an engine or service ran |
//! | `PUT /quality/{version}` | the true quality of a version, from 0 to 1 |
//!
//! The platform's services are the targets `table`, `objects`, `weights`, `ratings`, `hosts`.

use crate::engine::EngineStandin;
use crate::faults::{FaultPlan, FaultSwitch};
use crate::platform::{PlatformStandin, bad_call};
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

/// Largest body that is read, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Everything that can be told to fail.
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
        let named = |name: &str, faults: &FaultSwitch| (Arc::from(name), faults.clone());
        let mut faults = BTreeMap::from([
            named("table", &platform.table_faults),
            named("objects", &platform.object_faults),
            named("weights", &platform.weight_faults),
            named("ratings", &platform.rating_faults),
            named("hosts", &platform.host_faults),
        ]);
        faults.extend(engines.iter().map(|(name, one)| named(name.as_str(), one.faults())));
        faults.extend(services.iter().map(|(name, one)| named(name.as_str(), one.faults())));
        Self {
            faults,
            engines: engines.clone(),
            services: services.clone(),
            platform: platform.clone(),
        }
    }
}

/// Serves the control port on a task of its own; returns the address that was bound.
///
/// # Errors
///
/// When the address cannot be bound.
pub async fn start(address: SocketAddr, targets: ControlTargets) -> anyhow::Result<SocketAddr> {
    let targets = Arc::new(targets);
    let handler: HttpHandler =
        Arc::new(move |request, _| Box::pin(answer(Arc::clone(&targets), request)));
    crate::platform::spawn(address, handler).await
}

async fn answer(
    targets: Arc<ControlTargets>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let (head, body) = request.into_parts();
    let body = match read_body(body, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(error) => return bad_call(&error.to_string()),
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
        (method, ["targets", name, call]) => target_call(&targets, &method, name, call, &body),
        _ => text_response(StatusCode::NOT_FOUND, "no such call"),
    }
}

fn target_call(
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
            Err(error) => bad_call(&error.to_string()),
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
        return bad_call("the body is true or false");
    };
    let Ok(name) = UpstreamName::new(name) else { return bad_call("that is no upstream's name") };
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
    let Ok(name) = UpstreamName::new(name) else { return bad_call("that is no upstream's name") };
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
        _ => bad_call("give a version in the path and a quality from 0 to 1 in the body"),
    }
}
