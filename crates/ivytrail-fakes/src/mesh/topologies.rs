//! Preset meshes: two modeled on the deployments of real companies, and synthetic ones for benches and tests.
//!
//! The company meshes have the companies' actual numbers of upstreams and a tenth of their slots. Service times are long
//! enough for one test machine to run four times the offered load.

use ivytrail::settings::PriorityClass;

use super::{AccountPlan, MeshPlan, RoutePlan, ServicePlan};
use crate::backend::NestedCall;

/// Load shares of the eight client accounts, skewed towards a few large ones.
const ACCOUNT_SHARES: [f64; 8] = [0.30, 0.22, 0.16, 0.10, 0.08, 0.06, 0.05, 0.03];

/// Rate limit of a client account, as a multiple of its offered load at a load factor of 1.
const RATE_MULTIPLE: f64 = 2.0;

/// Returns the mesh of Hooghly Stratolift Hire at a tenth of its slots. The deepest call chain has three services: a
/// booking holds a launch slot, which looks up a weather window.
pub fn stratolift() -> MeshPlan {
    let services = vec![
        service("tracker", 3, 16, &[]),
        service("booking", 3, 16, &["POST /launch-holds"]),
        service("launch", 3, 16, &["GET /weather-windows"]),
        service("quoting", 3, 5, &[]),
    ];
    let routes = vec![
        read_route("track", "/positions", "tracker", 500.0),
        write_route("book", "/bookings", "booking", PriorityClass::Critical, 80.0),
        write_route("release-launch", "/launch-releases", "launch", PriorityClass::Critical, 40.0),
        write_route("dispatch-recovery", "/recoveries", "launch", PriorityClass::Critical, 20.0),
        read_route("quote", "/quotes", "quoting", 80.0),
        write_route("hold-launch", "/launch-holds", "launch", PriorityClass::Critical, 0.0),
        read_route("look-up-weather", "/weather-windows", "quoting", 0.0),
    ];
    MeshPlan {
        team: "stratolift".to_string(),
        domains: to_strings(&["kolkata", "durgapur", "siliguri"]),
        services,
        routes,
        accounts: accounts(&[
            "meteo",
            "glaciology",
            "telecom",
            "delta-survey",
            "ornithology",
            "air-quality",
            "college",
            "film",
        ]),
    }
}

/// Returns the mesh of Teigwerk Informatik AG at a tenth of its slots. The deepest call chain has three services: an
/// order books a dispatch, which checks the cellar stock.
pub fn teigwerk() -> MeshPlan {
    let services = vec![
        service("catalogue", 4, 12, &[]),
        service("orders", 3, 15, &["POST /dispatch-bookings"]),
        service("dispatch", 3, 15, &["GET /cellar-stock"]),
        service("cellar", 3, 4, &[]),
    ];
    let routes = vec![
        read_route("browse", "/catalogue", "catalogue", 450.0),
        write_route("order", "/orders", "orders", PriorityClass::Critical, 60.0),
        write_route("credit", "/credit-notes", "orders", PriorityClass::Normal, 10.0),
        write_route(
            "release-dispatch",
            "/dispatch-releases",
            "dispatch",
            PriorityClass::Critical,
            40.0,
        ),
        read_route("check-stock", "/stock", "cellar", 60.0),
        write_route(
            "book-dispatch",
            "/dispatch-bookings",
            "dispatch",
            PriorityClass::Critical,
            0.0,
        ),
        read_route("count-cellar", "/cellar-stock", "cellar", 0.0),
    ];
    MeshPlan {
        team: "teigwerk".to_string(),
        domains: to_strings(&["lausanne", "fribourg", "sion"]),
        services,
        routes,
        accounts: accounts(&[
            "lavaux", "gruyere", "broye", "chablais", "jorat", "lavey", "vully", "moudon",
        ]),
    }
}

/// Returns a chain of `depth` services with two upstreams each, whose offered load at a load factor of 1 equals its
/// capacity. The last service has the fewest slots and is the bottleneck.
///
/// # Panics
///
/// Panics if `depth` is 0.
pub fn chain(depth: usize) -> MeshPlan {
    const SERVICE_TIME_MS: u64 = 20;
    const LAST_SLOTS: u32 = 4;
    let last_idx = depth.saturating_sub(1);
    let services: Vec<ServicePlan> = (0..depth)
        .map(|idx| ServicePlan {
            name: format!("step-{idx}"),
            n_upstreams: 2,
            // A slot stays occupied during nested calls, so services higher in the chain need more slots.
            slots: if idx == last_idx { LAST_SLOTS } else { 2 * LAST_SLOTS * (depth - idx) as u32 },
            service_time_ms: SERVICE_TIME_MS,
            nested_calls: if idx == last_idx {
                vec![]
            } else {
                vec![nested_call(&format!("GET /step-{}", idx + 1))]
            },
        })
        .collect();
    let routes = (0..depth)
        .map(|idx| {
            read_route(&format!("step-{idx}"), &format!("/step-{idx}"), &format!("step-{idx}"), 0.0)
        })
        .collect();
    let mut mesh = MeshPlan {
        team: "bench".to_string(),
        domains: to_strings(&["east", "west"]),
        services,
        routes,
        accounts: accounts(&["a", "b", "c", "d", "e", "f", "g", "h"]),
    };
    mesh.routes[0].offered_per_s = 1.0;
    mesh.routes[0].offered_per_s = mesh.mix_capacity_per_s();
    for account in &mut mesh.accounts {
        // Rate limits far above the load: benches with a chain measure capacity, not quotas.
        account.rate_multiple = 100.0;
    }
    mesh
}

/// Returns a minimal mesh with nested calls: two services with two upstreams each.
pub fn pair() -> MeshPlan {
    let small_service = |name: &str, calls: &[&str]| ServicePlan {
        service_time_ms: 20,
        ..service(name, 2, 8, calls)
    };
    MeshPlan {
        team: "pair".to_string(),
        domains: to_strings(&["east", "west"]),
        services: vec![
            small_service("booking", &["POST /launch-holds"]),
            small_service("launch", &[]),
        ],
        routes: vec![
            write_route("book", "/bookings", "booking", PriorityClass::Critical, 20.0),
            read_route("look", "/launches", "launch", 20.0),
            write_route("hold-launch", "/launch-holds", "launch", PriorityClass::Critical, 0.0),
        ],
        accounts: accounts(&["a", "b", "c", "d", "e", "f", "g", "h"]),
    }
}

fn to_strings(names: &[&str]) -> Vec<String> {
    names.iter().map(ToString::to_string).collect()
}

fn service(name: &str, n_upstreams: usize, slots: u32, nested_calls: &[&str]) -> ServicePlan {
    const SERVICE_TIME_MS: u64 = 40;
    ServicePlan {
        name: name.to_string(),
        n_upstreams,
        slots,
        service_time_ms: SERVICE_TIME_MS,
        nested_calls: nested_calls.iter().map(|call| nested_call(call)).collect(),
    }
}

/// Parses a nested call from `METHOD /path`; the method defaults to GET.
fn nested_call(call: &str) -> NestedCall {
    let (method, path) = call.split_once(' ').unwrap_or(("GET", call));
    NestedCall { method: method.to_string(), path: path.to_string() }
}

fn read_route(name: &str, path: &str, service: &str, offered_per_s: f64) -> RoutePlan {
    route(name, "GET", path, service, offered_per_s)
}

fn write_route(
    name: &str,
    path: &str,
    service: &str,
    priority: PriorityClass,
    offered_per_s: f64,
) -> RoutePlan {
    let route = route(name, "POST", path, service, offered_per_s);
    RoutePlan { priority, idempotent: false, ..route }
}

fn route(name: &str, method: &str, path: &str, service: &str, offered_per_s: f64) -> RoutePlan {
    const DEADLINE_MS: u64 = 1_500;
    RoutePlan {
        name: name.to_string(),
        method: method.to_string(),
        path: path.to_string(),
        service: service.to_string(),
        priority: PriorityClass::Sheddable,
        idempotent: true,
        deadline_ms: DEADLINE_MS,
        offered_per_s,
    }
}

fn accounts(names: &[&str; ACCOUNT_SHARES.len()]) -> Vec<AccountPlan> {
    let account = |(name, share): (&&str, f64)| AccountPlan {
        name: (*name).to_string(),
        share,
        rate_multiple: RATE_MULTIPLE,
    };
    names.iter().zip(ACCOUNT_SHARES).map(account).collect()
}
