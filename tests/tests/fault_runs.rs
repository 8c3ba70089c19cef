//! Regression runs of the fault soak with seeds that have failed before.

use std::time::Duration;

use anyhow::Result;
use ivytrail_tests::fault::run_fault_soak;

/// Duration of fault injection in each run. The original failures came within this time or in a longer run.
const FAULT_DURATION: Duration = Duration::from_secs(8);

/// Seeds that have failed before.
///
/// - 1: connections to the backend server fell silent permanently; found in a run of 15 s.
/// - 2: a link was silent in one direction and never redialed; found in a run of 12 s.
const SEEDS: [u64; 2] = [1, 2];

#[tokio::test(flavor = "multi_thread")]
async fn seeds_that_failed_before_violate_no_guarantee() -> Result<()> {
    for seed in SEEDS {
        let report = run_fault_soak(seed, FAULT_DURATION).await?;

        assert!(0 < report.n_calls);
        assert_eq!(report.violations, Vec::<String>::new(), "seed {seed}");
    }
    Ok(())
}
