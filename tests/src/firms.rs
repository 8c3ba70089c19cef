//! Settings of the two firms, as small as the sessions need them.

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

/// One client account of a firm, with its key.
#[derive(Clone, Copy, Debug)]
pub struct AccountConfig {
    /// Name of the account.
    pub name: &'static str,
    /// Requests per second.
    pub rate_per_s: f64,
    /// Requests that may come at once.
    pub burst: f64,
}

/// What a route is to a session; both firms have one of each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteRole {
    /// An open reading that can wait.
    OpenRead,
    /// Urgent, runs at most once, calls the inner writing.
    OuterWrite,
    /// Urgent, runs at most once, calls nothing.
    InnerWrite,
    /// A reading with a key that can wait.
    KeyedRead,
    /// The same at the service of the outer writing.
    OuterRead,
}

/// A firm as a fleet serves it.
#[derive(Clone, Debug)]
pub struct FirmConfig {
    /// Name of its team.
    pub team: &'static str,
    /// Failure domains, in turn of the daemons.
    pub domains: [&'static str; 3],
    /// Its client accounts.
    pub accounts: Vec<AccountConfig>,
    /// Routes: name, service, priority, whether idempotent, whether open.
    routes: Vec<(&'static str, &'static str, PriorityClass, bool, bool)>,
    /// A route whose runs call another route.
    pub nested: (&'static str, &'static str),
}

impl FirmConfig {
    /// Returns the name of the route that plays `role`.
    pub fn route(&self, role: RouteRole) -> &'static str {
        self.routes[role as usize].0
    }

    /// Returns the service of the route that plays `role`.
    pub fn service(&self, role: RouteRole) -> &'static str {
        self.routes[role as usize].1
    }

    /// Returns the route with `name`.
    ///
    /// # Panics
    ///
    /// Panics when the firm has no such route.
    pub fn policy(&self, name: &str) -> RoutePolicy {
        let route = self.routes.iter().find(|it| it.0 == name).expect("the route is declared");
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

    /// Returns the changes that declare the firm: its subtree, then one key for each account.
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

/// Returns the secret that callers of `account` show.
pub fn secret_of(account: &str) -> String {
    format!("secret of {account}")
}

/// Returns the public name of the key of `account`.
pub fn key_name(account: &str) -> String {
    format!("key-{account}")
}

/// Returns an accepted change.
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

/// Returns Hooghly Stratolift Hire: a booking holds a launch.
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

/// Returns Teigwerk Informatik AG: an order books a dispatch.
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
