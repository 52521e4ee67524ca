//! Decodes the operator's configuration.

use crate::scheduler::{
    AccountDeclaration,
    AdviceTerms,
    ClusterConfiguration,
    Queue,
    RequestLimits, //
};
use serde::Deserialize;

#[derive(Deserialize)]
struct ConfigurationBody {
    version: u64,
    #[serde(default)]
    routes: Vec<RouteBody>,
    #[serde(default)]
    services: Vec<ServiceBody>,
    #[serde(default)]
    tenants: Vec<TenantBody>,
    #[serde(default)]
    limits: LimitsBody,
}

/// A route, which the scheduler calls a queue.
#[derive(Deserialize)]
struct RouteBody {
    name: String,
    #[serde(default)]
    host: String,
    #[serde(default)]
    prefix: String,
    #[serde(default)]
    service: String,
    #[serde(default)]
    priority: u32,
    #[serde(default = "one_attempt")]
    max_attempts: u32,
    #[serde(default = "plain_stretch")]
    stretch_factor: f64,
    #[serde(default)]
    target_latency_ms: f64,
    #[serde(default)]
    public: bool,
    #[serde(default)]
    recommendation: Option<AdviceTerms>,
}

impl RouteBody {
    /// Returns whether the numbers are small enough for sums with them to stay in range.
    fn is_in_range(&self) -> bool {
        (0.0..=MAX_STRETCH).contains(&self.stretch_factor)
            && (0.0..=MAX_LATENCY_MS).contains(&self.target_latency_ms)
    }
}

/// Largest accepted stretch factor; factors above 1,000 already set no real objective.
const MAX_STRETCH: f64 = 1e6;
/// Longest accepted target latency, 30 years.
const MAX_LATENCY_MS: f64 = 1e12;

fn one_attempt() -> u32 {
    1
}

fn plain_stretch() -> f64 {
    1.0
}

#[derive(Deserialize)]
struct ServiceBody {
    name: String,
    #[serde(default)]
    standby: bool,
    /// Whether its workers refuse runs that exceed their free capacity.
    #[serde(default)]
    rejects_overload: bool,
}

#[derive(Deserialize)]
struct TenantBody {
    name: String,
    #[serde(default)]
    api_keys: Vec<String>,
    #[serde(default)]
    guaranteed: GuaranteeBody,
}

#[derive(Default, Deserialize)]
struct GuaranteeBody {
    #[serde(default)]
    gpu: u32,
}

#[derive(Default, Deserialize)]
struct LimitsBody {
    max_header_bytes: Option<usize>,
    max_body_bytes: Option<usize>,
    header_timeout_ms: Option<u64>,
    idle_timeout_ms: Option<u64>,
}

/// Decodes a configuration.
///
/// # Errors
///
/// The bytes are not a valid configuration, or a route has a number out of range.
pub fn decode_configuration(value: &[u8]) -> Result<ClusterConfiguration, serde_json::Error> {
    let body: ConfigurationBody = serde_json::from_slice(value)?;
    if let Some(route) = body.routes.iter().find(|route| !route.is_in_range()) {
        let problem = format!(
            "stretch_factor or target_latency_ms of route {} is out of range",
            route.name
        );
        return Err(serde::de::Error::custom(problem));
    }
    let default = RequestLimits::default();
    let limits = RequestLimits {
        max_header_bytes: body
            .limits
            .max_header_bytes
            .unwrap_or(default.max_header_bytes),
        max_body_bytes: body.limits.max_body_bytes.unwrap_or(default.max_body_bytes),
        header_timeout_ms: body
            .limits
            .header_timeout_ms
            .unwrap_or(default.header_timeout_ms),
        idle_timeout_ms: body
            .limits
            .idle_timeout_ms
            .unwrap_or(default.idle_timeout_ms),
    };
    let routes = body.routes.into_iter();
    let tenants = body.tenants.into_iter();
    let names_where = |services: &[ServiceBody], predicate: fn(&ServiceBody) -> bool| {
        let matching = services.iter().filter(|service| predicate(service));
        matching.map(|service| service.name.clone()).collect()
    };
    Ok(ClusterConfiguration {
        version: body.version,
        queues: routes.map(queue_of).collect(),
        accounts: tenants
            .map(|tenant| AccountDeclaration {
                name: tenant.name,
                keys: tenant.api_keys,
                guaranteed_accelerators: tenant.guaranteed.gpu,
            })
            .collect(),
        standby_services: names_where(&body.services, |service| service.standby),
        unguarded_services: names_where(&body.services, |service| !service.rejects_overload),
        limits,
    })
}

fn queue_of(route: RouteBody) -> Queue {
    Queue {
        name: route.name,
        host: route.host,
        path_prefix: route.prefix,
        service: route.service,
        priority: route.priority,
        max_attempts: route.max_attempts,
        stretch_factor: route.stretch_factor,
        target_latency_ms: route.target_latency_ms as u64,
        public: route.public,
        advice: route.recommendation,
    }
}
