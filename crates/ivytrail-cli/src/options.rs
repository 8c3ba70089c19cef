//! Command line.

use gumdrop::Options;

use crate::report::ToolError;

const HEADER: &str = "\
ivytrail - drives the settings of a fleet of ivytrail daemons

Usage: ivytrail [OPTIONS] COMMAND [ARGUMENTS]
";

const FOOTER: &str = "
The options --daemon, --token-file and --json may also stand after the command.
`ivytrail help COMMAND` shows the arguments of a command.

Environment:
  IVYTRAIL_DAEMON  operator addresses of daemons, separated by commas; --daemon goes first
  IVYTRAIL_TOKEN   the operator's token; --token-file goes first

Exit status:
  0  done
  1  refused: a check failed, another operator was first, or the token is wrong
  2  bad input: arguments or a file; nothing was sent
  3  no daemon or platform reachable, or an outcome that is not known
";

/// Tool of the operators.
#[derive(Debug, Options)]
pub struct ToolOptions {
    /// Whether help is asked for.
    #[options(help = "show this help")]
    pub help: bool,
    /// Whether the version is asked for.
    #[options(help = "show the version", short = "V")]
    pub version: bool,
    /// Operator addresses of daemons.
    #[options(
        meta = "URL",
        no_short,
        help = "operator address of a daemon, e.g. http://10.0.0.7:7103; several are tried in turn"
    )]
    pub daemon: Vec<String>,
    /// File with the operator's token.
    #[options(meta = "FILE", no_short, help = "file with the operator's token")]
    pub token_file: Option<String>,
    /// Whether the answer is wanted as JSON.
    #[options(no_short, help = "print one JSON document instead of text")]
    pub json: bool,
    /// The command.
    #[options(command)]
    pub command: Option<ToolCommand>,
}

/// Commands of the tool.
#[derive(Debug, Options)]
pub enum ToolCommand {
    /// Checks files offline.
    #[options(
        help = "check a daemon's settings file, a team's subtree or a directory of <team>.json, offline"
    )]
    Check(PathOptions),
    /// Shows a subtree.
    #[options(help = "show a team's subtree in force, or the teams")]
    Show(ShowOptions),
    /// Applies subtrees.
    #[options(help = "bring <team>.json, or a directory of them, into force")]
    Apply(ApplyOptions),
    /// Keys.
    #[options(help = "issue, list and withdraw keys")]
    Key(KeyOptions),
    /// Lists backend servers.
    #[options(help = "list backend servers with state and load")]
    Upstreams(PlainOptions),
    /// Drains an instance.
    #[options(help = "let an instance finish its work and take no more")]
    Drain(DrainOptions),
    /// Shows the audit trail.
    #[options(help = "show the audit trail of accepted changes")]
    Audit(AuditOptions),
    /// Shows revisions.
    #[options(help = "show which revision is in force on which daemon")]
    Status(StatusOptions),
}

/// This command takes no arguments.
#[derive(Debug, Options)]
pub struct PlainOptions {
    /// Whether help is asked for.
    #[options(help = "show this help")]
    pub help: bool,
}

/// Checks files offline and reports everything that is wrong with them.
#[derive(Debug, Options)]
pub struct PathOptions {
    /// Whether help is asked for.
    #[options(help = "show this help")]
    pub help: bool,
    /// File or directory.
    #[options(free, required, help = "FILE or DIRECTORY")]
    pub path: String,
}

/// Shows a team's subtree in force as it is kept in version control.
#[derive(Debug, Options)]
pub struct ShowOptions {
    /// Whether help is asked for.
    #[options(help = "show this help")]
    pub help: bool,
    /// The team.
    #[options(free, help = "TEAM; all teams' names without it")]
    pub team: Option<String>,
}

/// Brings declarations into force; those that are in force already change nothing.
#[derive(Debug, Options)]
pub struct ApplyOptions {
    /// Whether help is asked for.
    #[options(help = "show this help")]
    pub help: bool,
    /// Whether only the difference is wanted.
    #[options(no_short, help = "check against the fleet and show the difference; store nothing")]
    pub dry_run: bool,
    /// Revision that the files were made from.
    #[options(
        no_short,
        meta = "REVISION",
        help = "revision that the files were made from: refuse when their teams changed after it (default: the revision in force now)"
    )]
    pub base: Option<u64>,
    /// File or directory.
    #[options(free, required, help = "<team>.json, or a DIRECTORY of them")]
    pub path: String,
}

/// Issues, lists and withdraws the keys of client accounts.
#[derive(Debug, Options)]
pub struct KeyOptions {
    /// Whether help is asked for.
    #[options(help = "show this help")]
    pub help: bool,
    /// What to do with keys.
    #[options(command)]
    pub command: Option<KeyCommand>,
}

/// Commands of `key`.
#[derive(Debug, Options)]
pub enum KeyCommand {
    /// Issues a key.
    #[options(help = "issue a key; its secret is shown once")]
    Issue(IssueOptions),
    /// Lists keys.
    #[options(help = "list the keys in force")]
    List(PlainOptions),
    /// Withdraws a key.
    #[options(help = "withdraw a key")]
    Withdraw(WithdrawOptions),
}

/// Issues a key; its secret is shown once and kept nowhere.
#[derive(Debug, Options)]
pub struct IssueOptions {
    /// Whether help is asked for.
    #[options(help = "show this help")]
    pub help: bool,
    /// The client account.
    #[options(
        no_short,
        required,
        meta = "ACCOUNT",
        help = "client account that the key speaks for"
    )]
    pub account: String,
    /// Name of the key.
    #[options(free, required, help = "NAME of the new key")]
    pub name: String,
}

/// Withdraws a key; it stops working within seconds, on open connections too.
#[derive(Debug, Options)]
pub struct WithdrawOptions {
    /// Whether help is asked for.
    #[options(help = "show this help")]
    pub help: bool,
    /// Name of the key.
    #[options(free, required, help = "NAME of the key")]
    pub name: String,
}

/// Lets an instance finish its work and take no more.
#[derive(Debug, Options)]
pub struct DrainOptions {
    /// Whether help is asked for.
    #[options(help = "show this help")]
    pub help: bool,
    /// The instance.
    #[options(free, required, help = "INSTANCE")]
    pub instance: String,
}

/// Shows who changed what and when, in the order of the revisions.
#[derive(Debug, Options)]
pub struct AuditOptions {
    /// Whether help is asked for.
    #[options(help = "show this help")]
    pub help: bool,
    /// Revision to start after.
    #[options(
        no_short,
        meta = "REVISION",
        help = "show the changes after this revision (default: all)"
    )]
    pub after: u64,
    /// Whether differences are wanted.
    #[options(no_short, help = "show what each change of a subtree did")]
    pub diff: bool,
}

/// Shows which revision is in force on which daemon, and which daemons are behind.
#[derive(Debug, Options)]
pub struct StatusOptions {
    /// Whether help is asked for.
    #[options(help = "show this help")]
    pub help: bool,
    /// Whether to wait.
    #[options(no_short, help = "wait until the revision is in force on every known daemon")]
    pub wait: bool,
    /// The revision to wait for.
    #[options(
        no_short,
        meta = "REVISION",
        help = "revision to wait for (default: the last accepted one)"
    )]
    pub revision: Option<u64>,
    /// Longest wait in seconds.
    #[options(no_short, meta = "SECONDS", default = "30", help = "longest wait")]
    pub timeout: u64,
}

/// What the arguments ask for.
#[derive(Debug)]
pub enum ParsedArguments {
    /// Print this text.
    Help(String),
    /// Run the command.
    Run(Box<ToolOptions>),
}

impl ToolOptions {
    /// Reads the arguments after the program's name.
    ///
    /// # Errors
    ///
    /// Returns bad input when they can't be understood.
    pub fn parse(arguments: Vec<String>) -> Result<ParsedArguments, ToolError> {
        let arguments = hoist_common(arguments);
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

/// Moves the common options to the front, so that they may stand anywhere.
fn hoist_common(arguments: Vec<String>) -> Vec<String> {
    let mut common = Vec::new();
    let mut rest = Vec::new();
    let mut arguments = arguments.into_iter();
    while let Some(argument) = arguments.next() {
        let name = argument.split('=').next().unwrap_or_default();
        match name {
            "--json" => common.push(argument),
            "--daemon" | "--token-file" => {
                let has_value = argument.contains('=');
                common.push(argument);
                if !has_value {
                    common.extend(arguments.next());
                }
            }
            _ => rest.push(argument),
        }
    }
    common.extend(rest);
    common
}

fn command_path(options: &ToolOptions) -> Vec<String> {
    let mut path = vec![options.command_name().unwrap_or_default().to_string()];
    if let Some(ToolCommand::Key(key)) = &options.command {
        path.extend(key.command_name().map(str::to_string));
    }
    path
}

fn help_for(path: &[String]) -> Result<String, ToolError> {
    let unknown = || ToolError::BadInput(format!("no command `{}`", path.join(" ")));
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
