//! A fleet whose demand changes faster than a report from each daemon to each other one could tell.

use std::collections::HashSet;

use super::*;

const N_DOMAINS: usize = 5;
const N_PER_DOMAIN: usize = 19;
const TICK: Duration = Duration::from_millis(100);

struct ExchangeFleet {
    daemons: Vec<(ExchangePeer, DemandExchange)>,
    dead: HashSet<usize>,
    now: TimePoint,
    /// Demand on each daemon.
    per_s: f64,
    n_messages: usize,
}

impl ExchangeFleet {
    fn start(per_s: f64) -> ExchangeFleet {
        let peers = (0..N_DOMAINS * N_PER_DOMAIN).map(|idx| ExchangePeer {
            instance: format!("i-{idx}").into(),
            domain: format!("domain-{}", idx % N_DOMAINS).into(),
        });
        let daemons = peers.map(|it| (it.clone(), DemandExchange::new(it))).collect();
        let now = TimePoint::from_millis(10_000);
        let mut fleet = ExchangeFleet { daemons, dead: HashSet::new(), now, per_s, n_messages: 0 };
        fleet.advance(Duration::from_secs(2));
        fleet
    }

    fn living(&self) -> Vec<usize> {
        (0..self.daemons.len()).filter(|it| !self.dead.contains(it)).collect()
    }

    /// Advances the time; all daemons tick in order, and messages arrive at once.
    fn advance(&mut self, span: Duration) {
        let end = self.now.plus(span);
        while self.now < end {
            self.now = self.now.plus(TICK);
            let living = self.living();
            for idx in &living {
                let demand = [demand(self.per_s)];
                let peers: Vec<ExchangePeer> = living
                    .iter()
                    .filter(|it| *it != idx)
                    .map(|it| self.daemons[*it].0.clone())
                    .collect();
                let messages = self.daemons[*idx].1.tick(self.now, &demand, &peers);
                for message in messages {
                    self.deliver(*idx, message);
                }
            }
        }
    }

    fn deliver(&mut self, from: usize, message: DemandMessage) {
        self.n_messages += 1;
        let sender = self.daemons[from].0.instance.clone();
        let (_, receiver) = self
            .daemons
            .iter_mut()
            .find(|(peer, _)| peer.instance == message.to)
            .expect("messages are sent to known daemons");
        match message.content {
            DemandContent::Report(demand) => receiver.record_report(self.now, &sender, demand),
            DemandContent::Sums(sums) => receiver.record_sums(self.now, sums),
        }
    }

    /// Returns the lowest and the highest demand on the fleet that a daemon knows of, relative to the real one.
    fn known_range(&self) -> (f64, f64) {
        let living = self.living();
        let real = self.per_s * living.len() as f64;
        let known = living.iter().map(|idx| {
            let remote: f64 = self.daemons[*idx].1.remote_demand().map(|it| it.per_s).sum();
            (remote + self.per_s) / real
        });
        known.fold((f64::MAX, 0.0), |(low, high), it| (low.min(it), high.max(it)))
    }

    /// Kills all daemons that at least one other daemon reports to.
    fn kill_collectors(&mut self) {
        let collectors: Vec<usize> = self
            .living()
            .into_iter()
            .filter(|it| !self.daemons[*it].1.reports.is_empty())
            .collect();
        assert_eq!(collectors.len(), N_DOMAINS);
        self.dead.extend(collectors);
    }
}

fn demand(per_s: f64) -> RouteDemand {
    RouteDemand { route: "track".into(), rank: 9, per_s }
}

#[test]
fn each_daemon_knows_the_demand_on_the_whole_fleet() {
    let fleet = ExchangeFleet::start(5.0);

    let (low, high) = fleet.known_range();

    assert!((0.999..=1.001).contains(&low) && (0.999..=1.001).contains(&high), "{low} to {high}");
}

/// Many users come at once: the demand on each entry doubles.
#[test]
fn a_burst_is_known_to_all_daemons_within_half_a_second() {
    let mut fleet = ExchangeFleet::start(5.0);

    fleet.per_s = 10.0;
    fleet.advance(Duration::from_millis(500));

    let (low, high) = fleet.known_range();
    assert!((0.999..=1.001).contains(&low) && (0.999..=1.001).contains(&high), "{low} to {high}");
}

/// At 95 daemons, reports from each to each other one every two seconds would take 4,465 messages a second.
#[test]
fn the_number_of_messages_grows_with_the_number_of_daemons() {
    let mut fleet = ExchangeFleet::start(5.0);
    fleet.n_messages = 0;

    fleet.advance(Duration::from_secs(10));

    let per_daemon_s = fleet.n_messages as f64 / 10.0 / fleet.daemons.len() as f64;
    assert!(per_daemon_s < 12.0, "{per_daemon_s} messages per daemon and second");
}

/// The collectors of all failure domains are lost at once. Their successors start without reports.
#[test]
fn the_demand_is_known_again_within_a_second_of_the_loss_of_all_collectors() {
    let mut fleet = ExchangeFleet::start(5.0);
    fleet.kill_collectors();

    fleet.advance(Duration::from_millis(300));
    let (low, high) = fleet.known_range();
    fleet.advance(Duration::from_millis(700));
    let (low_later, high_later) = fleet.known_range();

    assert!(0.5 < low && high < 1.2, "{low} to {high}");
    assert!((0.999..=1.001).contains(&low_later), "{low_later}");
    assert!((0.999..=1.001).contains(&high_later), "{high_later}");
}

#[test]
fn a_daemon_alone_in_its_domain_collects_for_itself() {
    let peer = |instance: &str, domain: &str| ExchangePeer {
        instance: instance.into(),
        domain: domain.into(),
    };
    let mut alone = DemandExchange::new(peer("i-1", "kolkata"));
    let peers = [peer("i-2", "haldia"), peer("i-3", "haldia")];
    let now = TimePoint::from_millis(1_000);

    let messages = alone.tick(now, &[demand(7.0)], &peers);

    let sum = DomainDemand { domain: "kolkata".into(), demand: vec![demand(7.0)] };
    assert_eq!(messages.len(), 1);
    assert_eq!(messages[0].content, DemandContent::Sums(vec![sum]));
}

#[test]
fn the_demand_of_daemons_that_have_gone_expires() {
    let mut fleet = ExchangeFleet::start(5.0);
    fleet.dead.extend((0..fleet.daemons.len()).filter(|it| it % N_DOMAINS == 1));

    fleet.advance(Duration::from_millis(1_500));

    let (low, high) = fleet.known_range();
    assert!((0.999..=1.001).contains(&low) && (0.999..=1.001).contains(&high), "{low} to {high}");
}
