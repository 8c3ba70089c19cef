//! The operators' tool, used as an operator would use it.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Command, Output},
};

use anyhow::{Context, Result};
use ivytrail::settings::{TeamSubtree, credential};
use serde_json::{Value, json};

use crate::process;

/// Name of the operator in the audit trail.
const OPERATOR_NAME: &str = "bench";

/// Environment variable from which the tool takes the operator's token.
const TOKEN_VARIABLE: &str = "IVYTRAIL_TOKEN";

/// Runs the `ivytrail` program against one daemon.
#[derive(Clone, Debug)]
pub struct OperatorCli {
    program: PathBuf,
    daemon: SocketAddr,
    token: String,
}

impl OperatorCli {
    /// Returns a tool that talks to the daemon with the operator address `daemon`.
    ///
    /// # Errors
    ///
    /// Returns an error when the program has not been built.
    pub fn new(daemon: SocketAddr, token: &str) -> Result<OperatorCli> {
        Ok(OperatorCli {
            program: process::program_path("ivytrail")?,
            daemon,
            token: token.to_string(),
        })
    }

    /// Returns the entry of the daemon's settings that lets the operator with `token` in.
    pub fn credential(token: &str) -> Value {
        let digest = credential::digest_to_hex(&credential::secret_digest(token));
        json!({ "name": OPERATOR_NAME, "token_digest": digest })
    }

    /// Applies `subtree` as the declaration of `team`, kept in a directory of its own.
    ///
    /// # Errors
    ///
    /// Returns an error with the tool's words when it refuses.
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
    /// Returns an error with the tool's words when it refuses.
    pub fn issue_key(&self, name: &str, account: &str) -> Result<IssuedKey> {
        let output = self.run(&["key", "issue", name, "--account", account, "--json"])?;
        let answer: Value = serde_json::from_slice(&output.stdout)?;
        let secret = answer["secret"].as_str().context("the tool's answer has no secret")?;
        Ok(IssuedKey { name: name.to_string(), secret: secret.to_string() })
    }

    /// Waits until the last accepted revision is in force on every daemon.
    ///
    /// # Errors
    ///
    /// Returns an error with the tool's words when it is not in time.
    pub fn wait_in_force(&self) -> Result<()> {
        self.run(&["status", "--wait"])?;
        Ok(())
    }

    /// Withdraws the key with the public identifier `name`.
    ///
    /// # Errors
    ///
    /// Returns an error with the tool's words when it refuses.
    pub fn withdraw_key(&self, name: &str) -> Result<()> {
        self.run(&["key", "withdraw", name])?;
        Ok(())
    }

    /// Runs the tool with `arguments`.
    ///
    /// # Errors
    ///
    /// Returns an error with the tool's words when it ends with another status than 0.
    pub fn run(&self, arguments: &[&str]) -> Result<Output> {
        let output = self.command(arguments).output()?;
        let words = String::from_utf8_lossy(&output.stderr);
        anyhow::ensure!(output.status.success(), "ivytrail {}: {words}", arguments.join(" "));
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

/// A key as its caller gets it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IssuedKey {
    /// Public identifier.
    pub name: String,
    /// What the caller shows.
    pub secret: String,
}
