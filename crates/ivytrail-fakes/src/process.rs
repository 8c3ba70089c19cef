//! Child processes that are killed on drop, and the ports and directories that they use.

use std::{
    fs::File,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

use anyhow::{Context, Result};
use derive_more::Display;

/// First candidate port. By default, ports below 32768 are not used as ephemeral ports of outgoing connections.
const FIRST_PORT: u16 = 12_000;

/// Number of candidate ports.
const PORT_COUNT: u16 = 18_000;

/// Signal to a child process.
#[derive(Clone, Copy, Debug, Display)]
pub enum ChildSignal {
    /// Suspends the process.
    #[display("STOP")]
    Stop,
    /// Resumes a suspended process.
    #[display("CONT")]
    Continue,
    /// Requests termination.
    #[display("TERM")]
    Terminate,
    /// Requests a reload of the settings.
    #[display("HUP")]
    HangUp,
}

/// Child process that is killed on drop, including during unwinding from a panic.
#[derive(Debug)]
pub struct ChildProcess {
    name: String,
    child: Child,
}

impl ChildProcess {
    /// Starts `program` with `arguments` and appends its output to `<name>.log` in `dir`.
    ///
    /// # Errors
    ///
    /// Returns an error if the log file can't be opened or the program can't be started.
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
            .with_context(|| format!("cannot start {}", program.display()))?;
        Ok(ChildProcess { name: name.to_string(), child })
    }

    /// Returns the name given to [`ChildProcess::start`].
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process ID.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends `signal` to the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal can't be sent.
    pub fn signal(&self, signal: ChildSignal) -> Result<()> {
        let status = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(self.child.id().to_string())
            .status()?;
        anyhow::ensure!(status.success(), "cannot send SIG{signal} to {}", self.name);
        Ok(())
    }

    /// Kills the process with SIGKILL and waits for its exit.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be killed or waited for.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Returns whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns whether the process exited with status 0, or `None` while it is running.
    pub fn exit_success(&mut self) -> Option<bool> {
        self.child.try_wait().ok().flatten().map(|status| status.success())
    }

    /// Waits up to `limit` for the process to exit and returns whether its status was 0, or `None` on timeout.
    pub async fn wait_for_exit(&mut self, limit: Duration) -> Option<bool> {
        const POLL_INTERVAL: Duration = Duration::from_millis(20);
        let deadline = tokio::time::Instant::now() + limit;
        while tokio::time::Instant::now() < deadline {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status.success());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        None
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // The kill fails only if the process has already exited.
        let _ = self.kill();
    }
}

/// Returns the path of a program of this workspace, located relative to the running executable.
///
/// # Errors
///
/// Returns an error if the program has not been built.
pub fn program_path(name: &str) -> Result<PathBuf> {
    let current_exe = std::env::current_exe()?;
    // Test executables are in `deps`, one level below the other programs.
    let found = current_exe
        .ancestors()
        .skip(1)
        .take(2)
        .map(|dir| dir.join(name))
        .find(|path| path.is_file());
    found.with_context(|| format!("program {name} not found; run cargo build --workspace --bins"))
}

/// Returns `n_ports` free loopback addresses. All ports are bound until the search ends, so they are distinct.
///
/// # Errors
///
/// Returns an error if too few ports are free.
pub fn free_addresses(n_ports: usize) -> Result<Vec<SocketAddr>> {
    // Concurrent processes start their search at different offsets, to avoid picking the same ports.
    let offset = (std::process::id().wrapping_mul(61) % u32::from(PORT_COUNT)) as u16;
    let ports = (0..PORT_COUNT).map(|idx| FIRST_PORT + (offset + idx) % PORT_COUNT);
    let mut listeners: Vec<TcpListener> = Vec::with_capacity(n_ports);
    for port in ports {
        if listeners.len() == n_ports {
            break;
        }
        listeners.extend(TcpListener::bind(("127.0.0.1", port)).ok());
    }
    anyhow::ensure!(listeners.len() == n_ports, "fewer than {n_ports} free ports");
    listeners.iter().map(|listener| Ok(listener.local_addr()?)).collect()
}

/// Temporary directory for the files of one run, removed on drop.
#[derive(Debug)]
pub struct RunDirectory(PathBuf);

impl RunDirectory {
    /// Creates a new, empty directory whose name starts with `name`.
    ///
    /// # Errors
    ///
    /// Returns an error if the directory can't be created.
    pub fn create(name: &str) -> Result<RunDirectory> {
        let path = std::env::temp_dir().join(format!("{name}-{}", uuid::Uuid::now_v7()));
        std::fs::create_dir_all(&path)?;
        Ok(RunDirectory(path))
    }

    /// Returns the path of the directory.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for RunDirectory {
    fn drop(&mut self) {
        // Files that can't be removed are left to the system's cleanup of temporary files.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
