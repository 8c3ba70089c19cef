//! Runs a load plan and prints a summary and the consistency check as one JSON object.

use std::{path::PathBuf, sync::Arc};

use anyhow::{Context, Result};
use gumdrop::Options;
use ivytrail_fakes::caller::{
    EffectCounts, LoadPlan, LoadProgress, check_consistency, run_load, summarize,
};
use serde_json::json;

#[derive(Debug, Options)]
struct CallerOptions {
    #[options(help = "prints this help")]
    help: bool,
    #[options(required, no_short, meta = "FILE", help = "JSON file with the load plan")]
    plan: Option<PathBuf>,
    #[options(no_short, meta = "SERVICE=FILE", help = "effects file of a service; repeatable")]
    effects: Vec<String>,
}

#[tokio::main]
async fn main() -> Result<()> {
    let options = CallerOptions::parse_args_default_or_exit();
    let Some(path) = options.plan else { anyhow::bail!("missing option --plan") };
    let text = std::fs::read_to_string(&path)
        .with_context(|| format!("cannot read load plan {}", path.display()))?;
    let plan: Arc<LoadPlan> = Arc::new(serde_json::from_str(&text)?);
    let records = run_load(Arc::clone(&plan), Arc::new(LoadProgress::default())).await?;
    let mut effects = EffectCounts::default();
    for argument in &options.effects {
        let (service, file) =
            argument.split_once('=').context("option --effects requires SERVICE=FILE")?;
        effects.add_file(service, file.as_ref())?;
    }
    let report = check_consistency(&plan, &records, &effects);
    println!("{}", json!({ "summary": summarize(&plan, &records), "verdict": report }));
    Ok(())
}
