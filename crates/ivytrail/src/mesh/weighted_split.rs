//! Weighted round robin over the targets of a route.

use crate::{id::ServiceName, mesh::policy::RouteTarget};

/// Distributes the requests of one route to its targets in exact proportion to their weights.
///
/// Each request goes to the target that is furthest behind its share, so that in any sequence of requests each target
/// deviates from its share by less than one request.
#[derive(Clone, Debug, Default)]
pub struct WeightedSplit {
    targets: Vec<RouteTarget>,
    credits: Vec<f64>,
}

impl WeightedSplit {
    /// Returns a split that starts at a `phase` from 0 to 1, so that daemons don't choose the same targets in lockstep.
    pub fn new(targets: &[RouteTarget], phase: f64) -> WeightedSplit {
        let total: f64 = targets.iter().map(|it| f64::from(it.weight)).sum();
        let credits = targets
            .iter()
            .map(|it| phase * f64::from(it.weight) / total.max(f64::MIN_POSITIVE))
            .collect();
        WeightedSplit { targets: targets.to_vec(), credits }
    }

    /// Returns whether this split has exactly these targets and weights.
    pub fn matches(&self, targets: &[RouteTarget]) -> bool {
        self.targets == targets
    }

    /// Returns the target of the next request, or `None` when no target has a weight.
    pub fn next_target(&mut self) -> Option<&ServiceName> {
        let total: f64 = self.targets.iter().map(|it| f64::from(it.weight)).sum();
        if total <= 0.0 {
            return None;
        }
        for (credit, target) in self.credits.iter_mut().zip(&self.targets) {
            *credit += f64::from(target.weight) / total;
        }
        let chosen =
            (0..self.targets.len()).max_by(|a, b| self.credits[*a].total_cmp(&self.credits[*b]))?;
        self.credits[chosen] -= 1.0;
        Some(&self.targets[chosen].service)
    }
}

#[cfg(test)]
mod tests;
