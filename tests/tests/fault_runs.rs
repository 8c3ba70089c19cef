//! Short runs of the fault soak. Each seed here has failed once; its line says what the cause was.

use std::time::Duration;

use anyhow::Result;
use ivytrail_tests::fault::run_fault_soak;

/// Time with faults of each run; the seeds failed within it or longer ones.
const FAULT_DURATION: Duration = Duration::from_secs(8);

// Connections to the backend server that fell silent for good; found with 15 s.
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
