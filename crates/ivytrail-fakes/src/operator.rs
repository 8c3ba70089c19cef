//! Runner for the operators' command-line tool `ivytrail`.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Command, Output},
};

use anyhow::{Context, Result};
use ivytrail::settings::{TeamSubtree, credential};
use serde_json::{Value, json};

use crate::process;

/// Operator name in the audit log.
const OPERATOR_NAME: &str = "bench";

/// Environment variable from which the tool reads the operator's token.
const TOKEN_VARIABLE: &str = "IVYTRAIL_TOKEN";

/// Runs the `ivytrail` program against the operator API of one daemon.
#[derive(Clone, Debug)]
pub struct OperatorCli {
    program: PathBuf,
    daemon: SocketAddr,
    token: String,
}

impl OperatorCli {
    /// Returns a runner for the daemon with the operator address `daemon`.
    ///
    /// # Errors
    ///
    /// Returns an error if the program has not been built.
    pub fn new(daemon: SocketAddr, token: &str) -> Result<OperatorCli> {
        Ok(OperatorCli {
            program: process::program_path("ivytrail")?,
            daemon,
            token: token.to_string(),
        })
    }

    /// Returns the element of the daemon's `operators` setting that authorizes `token`.
    pub fn credential(token: &str) -> Value {
        let digest = credential::digest_to_hex(&credential::secret_digest(token));
        json!({ "name": OPERATOR_NAME, "token_digest": digest })
    }

    /// Applies `subtree` as the declaration of `team`, written to `dir/declarations`.
    ///
    /// # Errors
    ///
    /// Returns an error with the tool's standard error if the command fails.
    pub fn apply(&self, dir: &Path, team: &str, subtree: &TeamSubtree) -> Result<()> {
        let declarations = dir.join("declarations");
        std::fs::create_dir_all(&declarations)?;
        let file = declarations.join(format!("{team}.json"));
        std::fs::write(file, serde_json::to_string_pretty(subtree)?)?;
        self.run(&["apply", &declarations.to_string_lossy()])?;
        Ok(())
    }

    /// Issues the key `name` for `account`.
    ///
    /// # Errors
    ///
    /// Returns an error with the tool's standard error if the command fails.
    pub fn issue_key(&self, name: &str, account: &str) -> Result<IssuedKey> {
        let output = self.run(&["key", "issue", name, "--account", account, "--json"])?;
        let answer: Value = serde_json::from_slice(&output.stdout)?;
        let secret = answer["secret"]
            .as_str()
            .context("the output of `ivytrail key issue` has no secret")?;
        Ok(IssuedKey { name: name.to_string(), secret: secret.to_string() })
    }

    /// Waits until the last accepted revision is in force on every daemon.
    ///
    /// # Errors
    ///
    /// Returns an error with the tool's standard error if the tool's wait times out.
    pub fn wait_in_force(&self) -> Result<()> {
        self.run(&["status", "--wait"])?;
        Ok(())
    }

    /// Withdraws the key with public identifier `name`.
    ///
    /// # Errors
    ///
    /// Returns an error with the tool's standard error if the command fails.
    pub fn withdraw_key(&self, name: &str) -> Result<()> {
        self.run(&["key", "withdraw", name])?;
        Ok(())
    }

    /// Runs the tool with `arguments` and returns its output.
    ///
    /// # Errors
    ///
    /// Returns an error with the tool's standard error if its exit status isn't 0.
    pub fn run(&self, arguments: &[&str]) -> Result<Output> {
        let output = self.command(arguments).output()?;
        let stderr = String::from_utf8_lossy(&output.stderr);
        anyhow::ensure!(output.status.success(), "ivytrail {}: {stderr}", arguments.join(" "));
        Ok(output)
    }

    /// Returns the command that runs the tool with `arguments`.
    pub fn command(&self, arguments: &[&str]) -> Command {
        let mut command = Command::new(&self.program);
        command.arg("--daemon").arg(format!("http://{}", self.daemon)).args(arguments);
        command.env(TOKEN_VARIABLE, &self.token);
        command
    }
}

/// Newly issued API key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IssuedKey {
    /// Public identifier of the key.
    pub name: String,
    /// Secret with which callers authenticate.
    pub secret: String,
}
