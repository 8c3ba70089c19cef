//! Child processes that end with the value that holds them.

use std::{
    fs::File,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

use anyhow::{Context, Result};
use derive_more::Display;

/// First port that is tried. The range below 32768 is never given to outgoing connections by default.
const FIRST_PORT: u16 = 12_000;

/// Number of ports that are tried.
const N_PORTS: u16 = 18_000;

/// A signal for a child process.
#[derive(Clone, Copy, Debug, Display)]
pub enum ChildSignal {
    /// Pauses it.
    #[display("STOP")]
    Stop,
    /// Continues it.
    #[display("CONT")]
    Continue,
    /// Asks it to end.
    #[display("TERM")]
    Terminate,
    /// Asks it to read its settings again.
    #[display("HUP")]
    HangUp,
}

/// A child process; it is killed when this value is dropped, also while a panic unwinds.
#[derive(Debug)]
pub struct ChildProcess {
    name: String,
    child: Child,
}

impl ChildProcess {
    /// Starts `program` with `arguments`; what it prints goes to `name.log` in `dir`.
    ///
    /// # Errors
    ///
    /// Returns an error when the program can't be started.
    pub fn start(
        name: &str,
        program: &Path,
        arguments: &[String],
        dir: &Path,
    ) -> Result<ChildProcess> {
        let log_path = dir.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(&log_path)?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .with_context(|| format!("{} can't be started", program.display()))?;
        Ok(ChildProcess { name: name.to_string(), child })
    }

    /// Returns the name under which it was started.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends `signal`.
    ///
    /// # Errors
    ///
    /// Returns an error when the signal can't be sent.
    pub fn signal(&self, signal: ChildSignal) -> Result<()> {
        let status = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(self.child.id().to_string())
            .status()?;
        anyhow::ensure!(status.success(), "{} took no {signal}", self.name);
        Ok(())
    }

    /// Kills it at once and waits until it has ended.
    ///
    /// # Errors
    ///
    /// Returns an error when it can't be killed or waited for.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Returns whether it still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns whether it ended with status 0, once it has ended.
    pub fn exit_success(&mut self) -> Option<bool> {
        self.child.try_wait().ok().flatten().map(|status| status.success())
    }

    /// Waits until it has ended by itself, and returns whether it did with status 0 within `limit`.
    pub async fn wait_for_exit(&mut self, limit: Duration) -> Option<bool> {
        const STEP: Duration = Duration::from_millis(20);
        let end = tokio::time::Instant::now() + limit;
        while tokio::time::Instant::now() < end {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status.success());
            }
            tokio::time::sleep(STEP).await;
        }
        None
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // Killing fails only when it has ended already.
        let _ = self.kill();
    }
}

/// Returns the path of a program of this workspace, found beside the running one.
///
/// # Errors
///
/// Returns an error when it has not been built.
pub fn program_path(name: &str) -> Result<PathBuf> {
    let own = std::env::current_exe()?;
    // Test programs lie in `deps`, one level below the others.
    let found =
        own.ancestors().skip(1).take(2).map(|dir| dir.join(name)).find(|path| path.is_file());
    found
        .with_context(|| format!("program {name} is not built; run cargo build --workspace --bins"))
}

/// Returns `n_ports` loopback addresses on which nothing listens.
///
/// # Errors
///
/// Returns an error when there are not enough.
pub fn free_addresses(n_ports: usize) -> Result<Vec<SocketAddr>> {
    // Processes that look for ports at the same time start at different places.
    let offset = (std::process::id().wrapping_mul(61) % u32::from(N_PORTS)) as u16;
    let ports = (0..N_PORTS).map(|idx| FIRST_PORT + (offset + idx) % N_PORTS);
    let mut held: Vec<TcpListener> = Vec::with_capacity(n_ports);
    for port in ports {
        if held.len() == n_ports {
            break;
        }
        held.extend(TcpListener::bind(("127.0.0.1", port)).ok());
    }
    anyhow::ensure!(held.len() == n_ports, "no {n_ports} free ports");
    held.iter().map(|listener| Ok(listener.local_addr()?)).collect()
}

/// A directory for files of one run; it is removed when this value is dropped.
#[derive(Debug)]
pub struct RunDirectory(PathBuf);

impl RunDirectory {
    /// Makes a new, empty directory.
    ///
    /// # Errors
    ///
    /// Returns an error when it can't be made.
    pub fn create(name: &str) -> Result<RunDirectory> {
        let path = std::env::temp_dir().join(format!("{name}-{}", uuid::Uuid::now_v7()));
        std::fs::create_dir_all(&path)?;
        Ok(RunDirectory(path))
    }

    /// Returns its path.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for RunDirectory {
    fn drop(&mut self) {
        // What can't be removed is left to the system's own cleaning of temporary files.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
