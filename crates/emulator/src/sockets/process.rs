//! A real node as a child process: start, readiness check, signals, and reaping.

use std::ffi::OsString;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;

use rustix::io::Errno;
use rustix::process::{Pid, Signal, WaitOptions};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, ChildStdin, Command};

/// Environment variables that the platform sets for a node; removed so that none is inherited from the caller.
const PLATFORM_VARIABLES: [&str; 6] =
    ["RELAY_CONFIG", "RELAY_OPERATOR", "RELAY_NAME", "RELAY_LISTEN", "RELAY_DISCOVERY", "TMPDIR"];

/// The node executable and its leading arguments.
#[derive(Clone, Debug)]
pub struct Program {
    /// Path of the executable.
    pub path: PathBuf,
    /// Arguments before all others, such as the subcommand `node`.
    pub arguments: Vec<String>,
}

/// A started node process. It is killed on drop, and ends when its input pipe closes, so that it does not outlive this
/// process in any case.
pub struct Running {
    /// The child process.
    pub child: Child,
    /// Process id; not reused by the system until the child has been waited for.
    pub pid: Pid,
    // Kept apart from the child, since waiting for the child closes a pipe that it holds.
    _input: Option<ChildStdin>,
}

impl Program {
    /// Starts the program with a configuration file and appends its log to a file.
    ///
    /// # Errors
    /// If the log cannot be opened or the process cannot be started.
    pub fn start(
        &self,
        config: &Path,
        log: &Path,
        extra_arguments: impl IntoIterator<Item = OsString>,
    ) -> io::Result<Running> {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log)?;
        let mut command = Command::new(&self.path);
        command.args(&self.arguments).arg("--config").arg(config);
        command.args(["--log", "json", "--end-with-input"]).args(extra_arguments);
        for name in PLATFORM_VARIABLES {
            command.env_remove(name);
        }
        command.stdin(Stdio::piped()).stdout(Stdio::null()).stderr(log).kill_on_drop(true);
        let mut child = command.spawn()?;
        let pid = child.id().and_then(|id| i32::try_from(id).ok()).and_then(Pid::from_raw);
        let pid = pid.ok_or_else(|| io::Error::other("the started process has no process id"))?;
        Ok(Running { _input: child.stdin.take(), child, pid })
    }
}

impl Running {
    /// Sends a signal; does nothing if the process has ended.
    pub fn signal(&self, signal: Signal) {
        // Once the child has been waited for, the system may have given the process id to another process.
        if self.child.id().is_some() {
            let _ = rustix::process::kill_process(self.pid, signal);
        }
    }
}

/// Returns true if the node at this address answers `mn` with `MN`, that is, accepts clients.
///
/// # Errors
/// If the node cannot be reached or does not answer.
pub async fn is_ready(listen: SocketAddr) -> io::Result<bool> {
    let mut stream = TcpStream::connect(listen).await?;
    stream.write_all(b"mn\r\n").await?;
    let mut answer = [0; 4];
    stream.read_exact(&mut answer).await?;
    Ok(&answer == b"MN\r\n")
}

/// Waits until these killed processes have ended, which also frees their ports. A process that was waited for already
/// fails with `ECHILD` and is skipped.
pub fn reap(processes: &[Pid]) {
    for process in processes {
        while let Err(Errno::INTR) = rustix::process::waitpid(Some(*process), WaitOptions::empty()) {}
    }
}
