//! Minimal settings of the two firms that the simulations serve.

use std::collections::BTreeMap;

use ivytrail::{
    id::{AccountName, ServiceName},
    settings::{
        ClientAccount, PriorityClass, RoutePolicy, ServicePolicy, TeamSubtree, TreeEdit,
        credential::secret_digest,
    },
    settings::{KeyRecord, SettingsChange},
    time::WallClock,
};

/// Quota of one client account.
#[derive(Clone, Copy, Debug)]
pub struct AccountConfig {
    /// Account name.
    pub name: &'static str,
    /// Quota in requests per second.
    pub rate_per_s: f64,
    /// Maximum burst in requests.
    pub burst: f64,
}

/// Role of a route in a simulation; each firm has one route per role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteRole {
    /// Idempotent and sheddable; needs no key.
    OpenRead,
    /// Critical and not idempotent; makes a nested call to the `InnerWrite` route.
    OuterWrite,
    /// Critical and not idempotent; makes no nested call.
    InnerWrite,
    /// Idempotent and sheddable; needs a key.
    KeyedRead,
    /// Like `KeyedRead`, at the service of `OuterWrite`.
    OuterRead,
}

/// Settings of one firm.
#[derive(Clone, Debug)]
pub struct FirmConfig {
    /// Team name.
    pub team: &'static str,
    /// Failure domains, which are assigned to daemons in turn.
    pub domains: [&'static str; 3],
    /// Client accounts, each with one key.
    pub accounts: Vec<AccountConfig>,
    /// Routes in the order of `RouteRole`: name, service, priority, whether idempotent, whether open.
    routes: Vec<(&'static str, &'static str, PriorityClass, bool, bool)>,
    /// The route that makes nested calls, and the route that it calls.
    pub nested: (&'static str, &'static str),
}

impl FirmConfig {
    /// Returns the name of the route with `role`.
    pub fn route(&self, role: RouteRole) -> &'static str {
        self.routes[role as usize].0
    }

    /// Returns the service of the route with `role`.
    pub fn service(&self, role: RouteRole) -> &'static str {
        self.routes[role as usize].1
    }

    /// Returns the policy of the route with `name`.
    ///
    /// # Panics
    ///
    /// Panics if the firm has no such route.
    pub fn policy(&self, name: &str) -> RoutePolicy {
        let route = self
            .routes
            .iter()
            .find(|it| it.0 == name)
            .expect("the firm has no route with this name");
        RoutePolicy {
            method: if route.3 { "GET" } else { "POST" }.to_string(),
            path: format!("/{name}"),
            service: ServiceName::from(route.1),
            priority: route.2,
            idempotent: route.3,
            open: route.4,
            deadline_ms: 2_000,
            retry_budget: 3,
        }
    }

    /// Returns the settings changes that set up the firm: its subtree, then one key per client account.
    pub fn changes(&self) -> Vec<TreeEdit> {
        let accounts = self.accounts.iter().map(|it| {
            let account =
                ClientAccount { rate_per_s: it.rate_per_s, burst: it.burst, weight: None };
            (AccountName::from(it.name), account)
        });
        let services: BTreeMap<_, _> = self
            .routes
            .iter()
            .map(|it| {
                let policy = ServicePolicy { max_concurrency: None, max_queue_ms: 100 };
                (ServiceName::from(it.1), policy)
            })
            .collect();
        let routes = self.routes.iter().map(|it| (it.0.into(), self.policy(it.0))).collect();
        let subtree = TeamSubtree { accounts: accounts.collect(), routes, services };
        let mut edits = vec![TreeEdit::ReplaceSubtree { team: self.team.into(), subtree }];
        edits.extend(self.accounts.iter().map(|it| TreeEdit::IssueKey {
            name: key_name(it.name).as_str().into(),
            record: KeyRecord {
                account: it.name.into(),
                digest: secret_digest(&secret_of(it.name)),
                issued_at: WallClock::from_millis(0),
            },
        }));
        edits
    }
}

/// Returns the secret of the key of `account`.
pub fn secret_of(account: &str) -> String {
    format!("secret of {account}")
}

/// Returns the public name of the key of `account`.
pub fn key_name(account: &str) -> String {
    format!("key-{account}")
}

/// Returns a settings change with a revision, as the platform stores it.
pub fn change(revision: u64, edit: TreeEdit) -> SettingsChange {
    SettingsChange {
        revision: ivytrail::settings::Revision(revision),
        change_id: format!("change-{revision}"),
        operator: "operator".to_string(),
        accepted_at: WallClock::from_millis(0),
        edit,
        before: serde_json::Value::Null,
    }
}

/// Returns the settings of Hooghly Stratolift Hire, where a booking reserves a launch.
pub fn stratolift() -> FirmConfig {
    use PriorityClass::{Critical, Sheddable};
    FirmConfig {
        team: "stratolift",
        domains: ["kolkata", "durgapur", "siliguri"],
        accounts: vec![account("meteo", 200.0, 40.0), account("film", 20.0, 5.0)],
        routes: vec![
            ("positions", "tracker", Sheddable, true, true),
            ("bookings", "booking", Critical, false, false),
            ("launches", "launch", Critical, false, false),
            ("quotes", "quoting", Sheddable, true, false),
            ("booking-lists", "booking", Sheddable, true, false),
        ],
        nested: ("bookings", "launches"),
    }
}

/// Returns the settings of Teigwerk Informatik AG, where an order books a dispatch.
pub fn teigwerk() -> FirmConfig {
    use PriorityClass::{Critical, Sheddable};
    FirmConfig {
        team: "teigwerk",
        domains: ["lausanne", "fribourg", "sion"],
        accounts: vec![account("trattoria", 200.0, 40.0), account("hofladen", 20.0, 5.0)],
        routes: vec![
            ("catalogue", "catalogue", Sheddable, true, true),
            ("orders", "orders", Critical, false, false),
            ("dispatches", "dispatch", Critical, false, false),
            ("stock", "cellar", Sheddable, true, false),
            ("order-lists", "orders", Sheddable, true, false),
        ],
        nested: ("orders", "dispatches"),
    }
}

fn account(name: &'static str, rate_per_s: f64, burst: f64) -> AccountConfig {
    AccountConfig { name, rate_per_s, burst }
}
