//! Command-line options and help.

use gumdrop::Options;

use crate::report::ToolError;

const HEADER: &str = "\
ivytrail - manages the settings of a fleet of ivytrail daemons

Usage: ivytrail [OPTIONS] COMMAND [ARGUMENTS]
";

const FOOTER: &str = "
The options --daemon, --token-file and --json may also follow the command.
`ivytrail help COMMAND` shows the arguments of a command.

Environment:
  IVYTRAIL_DAEMON  operator addresses of daemons, separated by commas; overridden by --daemon
  IVYTRAIL_TOKEN   the operator's token; overridden by --token-file

Exit status:
  0  success
  1  refused: a check failed, another operator changed the same settings, or the token is invalid
  2  invalid arguments or file; nothing was sent
  3  no daemon or platform reachable, or outcome unknown
";

/// Tool for operators of a fleet.
#[derive(Debug, Options)]
pub struct ToolOptions {
    /// Whether to show help.
    #[options(help = "show this help")]
    pub help: bool,
    /// Whether to show the version.
    #[options(help = "show the version", short = "V")]
    pub version: bool,
    /// Operator addresses of daemons, in the order in which they are tried.
    #[options(
        meta = "URL",
        no_short,
        help = "operator address of a daemon, e.g. http://10.0.0.7:7103; several are tried in turn"
    )]
    pub daemon: Vec<String>,
    /// File with the operator's token.
    #[options(meta = "FILE", no_short, help = "file with the operator's token")]
    pub token_file: Option<String>,
    /// Whether to print JSON.
    #[options(no_short, help = "print one JSON document instead of text")]
    pub json: bool,
    /// Command to run.
    #[options(command)]
    pub command: Option<ToolCommand>,
}

/// Commands of the tool.
#[derive(Debug, Options)]
pub enum ToolCommand {
    /// Validates files offline.
    #[options(
        help = "validate a daemon's settings file, a team's subtree or a directory of <team>.json offline"
    )]
    Check(PathOptions),
    /// Shows a team's subtree, or the team names.
    #[options(help = "show a team's subtree in force, or list the teams")]
    Show(ShowOptions),
    /// Stores subtrees as settings.
    #[options(help = "apply <team>.json or a directory of such files")]
    Apply(ApplyOptions),
    /// Manages the keys of client accounts.
    #[options(help = "issue, list or withdraw keys")]
    Key(KeyOptions),
    /// Lists backend servers with their state and load.
    #[options(help = "list backend servers with their state and load")]
    Upstreams(PlainOptions),
    /// Starts the drain of an instance.
    #[options(help = "drain an instance: it finishes its work and accepts no more")]
    Drain(DrainOptions),
    /// Shows the changes of the settings.
    #[options(help = "show the audit trail of accepted changes")]
    Audit(AuditOptions),
    /// Shows the revision on each daemon.
    #[options(help = "show the revision in force on each daemon")]
    Status(StatusOptions),
}

/// This command takes no arguments.
#[derive(Debug, Options)]
pub struct PlainOptions {
    /// Whether to show help.
    #[options(help = "show this help")]
    pub help: bool,
}

/// Validates files offline and reports all findings.
#[derive(Debug, Options)]
pub struct PathOptions {
    /// Whether to show help.
    #[options(help = "show this help")]
    pub help: bool,
    /// File or directory.
    #[options(free, required, help = "FILE or DIRECTORY")]
    pub path: String,
}

/// Shows a team's subtree in force, in the format of the files in version control.
#[derive(Debug, Options)]
pub struct ShowOptions {
    /// Whether to show help.
    #[options(help = "show this help")]
    pub help: bool,
    /// Name of the team.
    #[options(free, help = "TEAM (default: list the names of all teams)")]
    pub team: Option<String>,
}

/// Applies declarations; those that are already in force change nothing.
#[derive(Debug, Options)]
pub struct ApplyOptions {
    /// Whether to show help.
    #[options(help = "show this help")]
    pub help: bool,
    /// Whether to show the difference without storing it.
    #[options(
        no_short,
        help = "validate against the fleet and show the difference; store nothing"
    )]
    pub dry_run: bool,
    /// Revision that the files are based on.
    #[options(
        no_short,
        meta = "REVISION",
        help = "revision that the files are based on: refuse if their teams changed after it (default: the revision in force now)"
    )]
    pub base: Option<u64>,
    /// File or directory.
    #[options(free, required, help = "<team>.json, or a DIRECTORY of such files")]
    pub path: String,
}

/// Issues, lists and withdraws the keys of client accounts.
#[derive(Debug, Options)]
pub struct KeyOptions {
    /// Whether to show help.
    #[options(help = "show this help")]
    pub help: bool,
    /// Subcommand to run.
    #[options(command)]
    pub command: Option<KeyCommand>,
}

/// Commands of `key`.
#[derive(Debug, Options)]
pub enum KeyCommand {
    /// Issues a key.
    #[options(help = "issue a key and show its secret once")]
    Issue(IssueOptions),
    /// Lists the keys in force.
    #[options(help = "list the keys in force")]
    List(PlainOptions),
    /// Withdraws a key.
    #[options(help = "withdraw a key")]
    Withdraw(WithdrawOptions),
}

/// Issues a key; its secret is shown once and stored nowhere.
#[derive(Debug, Options)]
pub struct IssueOptions {
    /// Whether to show help.
    #[options(help = "show this help")]
    pub help: bool,
    /// Client account that the key authenticates.
    #[options(
        no_short,
        required,
        meta = "ACCOUNT",
        help = "client account that the key authenticates"
    )]
    pub account: String,
    /// Name of the new key.
    #[options(free, required, help = "NAME of the new key")]
    pub name: String,
}

/// Withdraws a key; it stops working within seconds, on open connections too.
#[derive(Debug, Options)]
pub struct WithdrawOptions {
    /// Whether to show help.
    #[options(help = "show this help")]
    pub help: bool,
    /// Name of the key.
    #[options(free, required, help = "NAME of the key")]
    pub name: String,
}

/// Drains an instance: it finishes its work and accepts no more.
#[derive(Debug, Options)]
pub struct DrainOptions {
    /// Whether to show help.
    #[options(help = "show this help")]
    pub help: bool,
    /// Name of the instance.
    #[options(free, required, help = "INSTANCE")]
    pub instance: String,
}

/// Shows who changed what and when, in order of revision.
#[derive(Debug, Options)]
pub struct AuditOptions {
    /// Whether to show help.
    #[options(help = "show this help")]
    pub help: bool,
    /// Revision to start after.
    #[options(
        no_short,
        meta = "REVISION",
        help = "show the changes after this revision (default: all)"
    )]
    pub after: u64,
    /// Whether to show differences.
    #[options(no_short, help = "show the difference made by each change of a subtree")]
    pub diff: bool,
}

/// Shows the revision in force on each daemon, and which daemons are behind.
#[derive(Debug, Options)]
pub struct StatusOptions {
    /// Whether to show help.
    #[options(help = "show this help")]
    pub help: bool,
    /// Whether to wait for the revision.
    #[options(no_short, help = "wait until the revision is in force on every known daemon")]
    pub wait: bool,
    /// Revision to wait for.
    #[options(
        no_short,
        meta = "REVISION",
        help = "revision to wait for (default: the latest known one)"
    )]
    pub revision: Option<u64>,
    /// Timeout of the wait in seconds.
    #[options(no_short, meta = "SECONDS", default = "30", help = "timeout of the wait")]
    pub timeout: u64,
}

/// Parsed command line.
#[derive(Debug)]
pub enum ParsedArguments {
    /// Prints this text.
    Help(String),
    /// Runs the command.
    Run(Box<ToolOptions>),
}

impl ToolOptions {
    /// Parses the arguments after the program's name.
    ///
    /// # Errors
    ///
    /// Returns [`ToolError::BadInput`] for invalid arguments.
    pub fn parse(arguments: Vec<String>) -> Result<ParsedArguments, ToolError> {
        let arguments = move_common_options_first(arguments);
        if arguments.first().is_some_and(|it| it == "help") {
            return help_for(&arguments[1..]).map(ParsedArguments::Help);
        }
        let options = ToolOptions::parse_args_default(&arguments)
            .map_err(|cause| ToolError::BadInput(format!("{cause}; see `ivytrail --help`")))?;
        if options.version {
            let version = format!("ivytrail {}\n", env!("CARGO_PKG_VERSION"));
            return Ok(ParsedArguments::Help(version));
        }
        match options.command_name() {
            Some(_) if options.help_requested() => {
                help_for(&command_path(&options)).map(ParsedArguments::Help)
            }
            None if options.help_requested() => help_for(&[]).map(ParsedArguments::Help),
            None => Err(ToolError::BadInput("a command is missing; see `ivytrail --help`".into())),
            Some(_) => Ok(ParsedArguments::Run(Box::new(options))),
        }
    }
}

/// Moves the common_options options before the command, so that the parser accepts them anywhere.
fn move_common_options_first(arguments: Vec<String>) -> Vec<String> {
    let mut common_options = Vec::new();
    let mut rest = Vec::new();
    let mut arguments = arguments.into_iter();
    while let Some(argument) = arguments.next() {
        let name = argument.split('=').next().unwrap_or_default();
        match name {
            "--json" => common_options.push(argument),
            "--daemon" | "--token-file" => {
                let has_value = argument.contains('=');
                common_options.push(argument);
                if !has_value {
                    common_options.extend(arguments.next());
                }
            }
            _ => rest.push(argument),
        }
    }
    common_options.extend(rest);
    common_options
}

/// Returns the names of the command and its subcommand.
fn command_path(options: &ToolOptions) -> Vec<String> {
    let mut path = vec![options.command_name().unwrap_or_default().to_string()];
    if let Some(ToolCommand::Key(key)) = &options.command {
        path.extend(key.command_name().map(str::to_string));
    }
    path
}

fn help_for(path: &[String]) -> Result<String, ToolError> {
    let unknown = || ToolError::BadInput(format!("unknown command `{}`", path.join(" ")));
    let Some(command) = path.first() else {
        let commands = ToolOptions::command_list().unwrap_or_default();
        let usage = ToolOptions::usage();
        return Ok(format!("{HEADER}\n{usage}\n\nCommands:\n{commands}\n{FOOTER}"));
    };
    let usage = match path.get(1) {
        Some(inner) if command == "key" => KeyOptions::command_usage(inner),
        Some(_) => None,
        None => ToolOptions::command_usage(command),
    };
    let usage = usage.ok_or_else(unknown)?;
    let commands = match path {
        [command] if command == "key" => KeyOptions::command_list(),
        _ => None,
    };
    let commands = commands.map(|it| format!("\nCommands:\n{it}\n")).unwrap_or_default();
    Ok(format!("Usage: ivytrail {} [ARGUMENTS]\n\n{usage}\n{commands}", path.join(" ")))
}
