//! Weighted choice among the targets of a route.

use crate::{id::ServiceName, mesh::policy::RouteTarget};

/// Deals requests to the targets of one route in exact proportion to their weights.
///
/// Each request goes to the target that is furthest behind its share, so that any run of requests is off by less than
/// one request for each target.
#[derive(Clone, Debug, Default)]
pub struct WeightedSplit {
    targets: Vec<RouteTarget>,
    credits: Vec<f64>,
}

impl WeightedSplit {
    /// Returns a split that starts at a `phase` from 0 to 1, so that daemons don't deal in step.
    pub fn new(targets: &[RouteTarget], phase: f64) -> WeightedSplit {
        let total: f64 = targets.iter().map(|it| f64::from(it.weight)).sum();
        let credits = targets
            .iter()
            .map(|it| phase * f64::from(it.weight) / total.max(f64::MIN_POSITIVE))
            .collect();
        WeightedSplit { targets: targets.to_vec(), credits }
    }

    /// Returns whether this split deals to just these targets with these weights.
    pub fn matches(&self, targets: &[RouteTarget]) -> bool {
        self.targets == targets
    }

    /// Returns the target of the next request, or `None` when there is none with a weight.
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
