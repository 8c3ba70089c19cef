//! Implementations of the commands.

mod apply;
mod audit;
mod check;
mod declarations;
mod fleet;
mod key;
mod show;

use crate::{
    daemon_client::DaemonClient,
    options::{ToolCommand, ToolOptions},
    report::{CommandReport, ToolError},
};

/// Runs the command in `options`.
///
/// # Errors
///
/// Returns an error when the command can't be parsed or executed.
pub async fn run(options: &ToolOptions) -> Result<CommandReport, ToolError> {
    let client = || DaemonClient::new(options);
    match &options.command {
        Some(ToolCommand::Check(arguments)) => check::run(arguments),
        Some(ToolCommand::Show(arguments)) => show::run(&client()?, arguments).await,
        Some(ToolCommand::Apply(arguments)) => {
            let declared = declarations::read_declarations(&arguments.path)?;
            apply::run(&client()?, arguments, &declared).await
        }
        Some(ToolCommand::Key(arguments)) => key::run(&client()?, arguments).await,
        Some(ToolCommand::Upstreams(_)) => fleet::list_upstreams(&client()?).await,
        Some(ToolCommand::Drain(arguments)) => fleet::drain(&client()?, arguments).await,
        Some(ToolCommand::Audit(arguments)) => audit::run(&client()?, arguments).await,
        Some(ToolCommand::Status(arguments)) => fleet::status(&client()?, arguments).await,
        None => Err(ToolError::BadInput("a command is missing; see `ivytrail --help`".into())),
    }
}
