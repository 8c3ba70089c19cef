//! The meshes of the two firms, and plain chains for the benches.
//!
//! The firms' numbers of upstreams are their real ones; slots are scaled down to a tenth, service times are long enough
//! that a test machine carries four times the load.

use ivytrail::settings::PriorityClass;

use super::{AccountPlan, MeshPlan, RoutePlan, ServicePlan};
use crate::backend::NestedCall;

/// Shares of the load of eight client accounts, a few of them large.
const ACCOUNT_SHARES: [f64; 8] = [0.30, 0.22, 0.16, 0.10, 0.08, 0.06, 0.05, 0.03];

/// Multiple of its usual load that a client account's rate allows.
const RATE_MULTIPLE: f64 = 2.0;

/// Returns the mesh of Hooghly Stratolift Hire at a tenth of its slots. A booking holds a launch slot, which looks up a
/// weather window: three services deep.
pub fn stratolift() -> MeshPlan {
    let services = vec![
        service("tracker", 3, 16, &[]),
        service("booking", 3, 16, &["POST /launch-holds"]),
        service("launch", 3, 16, &["GET /weather-windows"]),
        service("quoting", 3, 5, &[]),
    ];
    let routes = vec![
        read("track", "/positions", "tracker", 500.0),
        write("book", "/bookings", "booking", PriorityClass::Critical, 80.0),
        write("release-launch", "/launch-releases", "launch", PriorityClass::Critical, 40.0),
        write("dispatch-recovery", "/recoveries", "launch", PriorityClass::Critical, 20.0),
        read("quote", "/quotes", "quoting", 80.0),
        write("hold-launch", "/launch-holds", "launch", PriorityClass::Critical, 0.0),
        read("look-up-weather", "/weather-windows", "quoting", 0.0),
    ];
    MeshPlan {
        team: "stratolift".to_string(),
        domains: names(&["kolkata", "durgapur", "siliguri"]),
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

/// Returns the mesh of Teigwerk Informatik AG at a tenth of its slots. An order books a dispatch, which checks the
/// cellar's stock: three services deep.
pub fn teigwerk() -> MeshPlan {
    let services = vec![
        service("catalogue", 4, 12, &[]),
        service("orders", 3, 15, &["POST /dispatch-bookings"]),
        service("dispatch", 3, 15, &["GET /cellar-stock"]),
        service("cellar", 3, 4, &[]),
    ];
    let routes = vec![
        read("browse", "/catalogue", "catalogue", 450.0),
        write("order", "/orders", "orders", PriorityClass::Critical, 60.0),
        write("credit", "/credit-notes", "orders", PriorityClass::Normal, 10.0),
        write("release-dispatch", "/dispatch-releases", "dispatch", PriorityClass::Critical, 40.0),
        read("check-stock", "/stock", "cellar", 60.0),
        write("book-dispatch", "/dispatch-bookings", "dispatch", PriorityClass::Critical, 0.0),
        read("count-cellar", "/cellar-stock", "cellar", 0.0),
    ];
    MeshPlan {
        team: "teigwerk".to_string(),
        domains: names(&["lausanne", "fribourg", "sion"]),
        services,
        routes,
        accounts: accounts(&[
            "lavaux", "gruyere", "broye", "chablais", "jorat", "lavey", "vully", "moudon",
        ]),
    }
}

/// Returns a chain of `depth` services with two upstreams each, whose load at a factor of 1 is what its slots can do.
/// The last service has the fewest slots, so that it is the bottleneck.
pub fn chain(depth: usize) -> MeshPlan {
    const SERVICE_TIME_MS: u64 = 20;
    const DEEP_SLOTS: u32 = 4;
    let last = depth.saturating_sub(1);
    let services: Vec<ServicePlan> = (0..depth)
        .map(|idx| ServicePlan {
            name: format!("step-{idx}"),
            n_upstreams: 2,
            // A slot is held while deeper services work, so that upper services need more of them.
            slots: if idx == last { DEEP_SLOTS } else { 2 * DEEP_SLOTS * (depth - idx) as u32 },
            service_time_ms: SERVICE_TIME_MS,
            nested_calls: if idx == last {
                vec![]
            } else {
                vec![call(&format!("GET /step-{}", idx + 1))]
            },
        })
        .collect();
    let routes = (0..depth)
        .map(|idx| {
            read(&format!("step-{idx}"), &format!("/step-{idx}"), &format!("step-{idx}"), 0.0)
        })
        .collect();
    let mut mesh = MeshPlan {
        team: "bench".to_string(),
        domains: names(&["east", "west"]),
        services,
        routes,
        accounts: accounts(&["a", "b", "c", "d", "e", "f", "g", "h"]),
    };
    mesh.routes[0].offered_per_s = 1.0;
    mesh.routes[0].offered_per_s = mesh.mix_capacity_per_s();
    for account in &mut mesh.accounts {
        // Rates far above the load: these benches are about capacity, not about quotas.
        account.rate_multiple = 100.0;
    }
    mesh
}

/// Returns the smallest mesh with nested calls: two services with two upstreams each, for tests.
pub fn pair() -> MeshPlan {
    let small = |name: &str, calls: &[&str]| ServicePlan {
        service_time_ms: 20,
        ..service(name, 2, 8, calls)
    };
    MeshPlan {
        team: "pair".to_string(),
        domains: names(&["east", "west"]),
        services: vec![small("booking", &["POST /launch-holds"]), small("launch", &[])],
        routes: vec![
            write("book", "/bookings", "booking", PriorityClass::Critical, 20.0),
            read("look", "/launches", "launch", 20.0),
            write("hold-launch", "/launch-holds", "launch", PriorityClass::Critical, 0.0),
        ],
        accounts: accounts(&["a", "b", "c", "d", "e", "f", "g", "h"]),
    }
}

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(ToString::to_string).collect()
}

fn service(name: &str, n_upstreams: usize, slots: u32, calls: &[&str]) -> ServicePlan {
    const SERVICE_TIME_MS: u64 = 40;
    ServicePlan {
        name: name.to_string(),
        n_upstreams,
        slots,
        service_time_ms: SERVICE_TIME_MS,
        nested_calls: calls.iter().map(|text| call(text)).collect(),
    }
}

fn call(text: &str) -> NestedCall {
    let (method, path) = text.split_once(' ').unwrap_or(("GET", text));
    NestedCall { method: method.to_string(), path: path.to_string() }
}

fn read(name: &str, path: &str, service: &str, offered_per_s: f64) -> RoutePlan {
    route(name, "GET", path, service, offered_per_s)
}

fn write(
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
    let plan = |(name, share): (&&str, f64)| AccountPlan {
        name: (*name).to_string(),
        share,
        rate_multiple: RATE_MULTIPLE,
    };
    names.iter().zip(ACCOUNT_SHARES).map(plan).collect()
}
