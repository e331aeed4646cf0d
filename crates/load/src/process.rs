//! Child processes that are killed when their handle is dropped or this process ends.

use std::{
    env,
    ffi::{OsStr, OsString},
    fs, io,
    os::unix::process::CommandExt as _,
    path::{Path, PathBuf},
    process::{Command, ExitStatus, Stdio},
    time::Duration,
};

use rustix::process::{kill_process, set_parent_process_death_signal, Pid, Signal};
use tokio::{process, time};

/// Unit of CPU time in `/proc`: clock ticks per second (`USER_HZ`).
const CLOCK_TICKS_PER_S: f64 = 100.0;

/// Error of a child process.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The program cannot be started.
    #[error("cannot start {}: {source}", program.display())]
    Start {
        /// The program.
        program: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The process ended unexpectedly.
    #[error("{name} ended early: {status}; its output is:\n{output}")]
    ExitedEarly {
        /// Name of the process.
        name: String,
        /// Exit status.
        status: String,
        /// Last lines of its output.
        output: String,
    },
    /// The process did not become ready.
    #[error("{name} is not ready after {waited:?}; its output is:\n{output}")]
    NotReady {
        /// Name of the process.
        name: String,
        /// Time waited for it.
        waited: Duration,
        /// Last lines of its output.
        output: String,
    },
    /// A signal or a file operation failed.
    #[error("{name}: {source}")]
    Io {
        /// Name of the process.
        name: String,
        /// The cause.
        source: io::Error,
    },
}

/// CPU time and memory usage of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// CPU time used since the start, in seconds.
    pub cpu_s: f64,
    /// Resident memory in bytes.
    pub rss_bytes: u64,
}

/// A child process; killed when dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    output: PathBuf,
    child: process::Child,
}

impl Process {
    /// Starts `program`; both output streams are appended to `DIRECTORY/NAME.out`.
    ///
    /// # Errors
    ///
    /// Returns an error when the program cannot be started.
    pub fn start(
        name: &str,
        program: &Path,
        arguments: &[String],
        directory: &Path,
    ) -> Result<Self, Error> {
        let start_error = |source| Error::Start {
            program: program.to_owned(),
            source,
        };
        let output = directory.join(format!("{name}.out"));
        let file = fs::OpenOptions::new()
            .append(true)
            .create(true)
            .open(&output)
            .map_err(start_error)?;
        let errors = file.try_clone().map_err(start_error)?;
        let child = command(program)
            .args(arguments)
            .current_dir(directory)
            .stdin(Stdio::null())
            .stdout(file)
            .stderr(errors)
            .kill_on_drop(true)
            .spawn()
            .map_err(start_error)?;
        Ok(Self {
            name: name.to_owned(),
            output,
            child,
        })
    }

    /// Returns the name of the process.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the last lines of the output.
    #[must_use]
    pub fn output_tail(&self) -> String {
        let text = fs::read(&self.output).unwrap_or_default();
        let text = String::from_utf8_lossy(&text);
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(12)..].join("\n")
    }

    /// Sends a signal to the process, unless it has ended.
    ///
    /// # Errors
    ///
    /// Returns an error when the signal cannot be sent.
    pub fn signal(&self, signal: Signal) -> Result<(), Error> {
        let pid = self.child.id().and_then(|id| Pid::from_raw(id as i32));
        let Some(pid) = pid else { return Ok(()) };
        kill_process(pid, signal).map_err(|source| self.io_error(source.into()))
    }

    fn io_error(&self, source: io::Error) -> Error {
        Error::Io {
            name: self.name.clone(),
            source,
        }
    }

    /// Suspends the process (SIGSTOP) until [`Process::resume`].
    ///
    /// # Errors
    ///
    /// Returns an error when the signal cannot be sent.
    pub fn pause(&self) -> Result<(), Error> {
        self.signal(Signal::STOP)
    }

    /// Resumes a paused process (SIGCONT).
    ///
    /// # Errors
    ///
    /// Returns an error when the signal cannot be sent.
    pub fn resume(&self) -> Result<(), Error> {
        self.signal(Signal::CONT)
    }

    /// Asks the process to stop gracefully (SIGTERM).
    ///
    /// # Errors
    ///
    /// Returns an error when the signal cannot be sent.
    pub fn terminate(&self) -> Result<(), Error> {
        self.signal(Signal::TERM)
    }

    /// Kills the process (SIGKILL) and waits for its end.
    ///
    /// # Errors
    ///
    /// Returns an error when the signal cannot be sent.
    pub async fn kill(&mut self) -> Result<(), Error> {
        self.child.kill().await.map_err(|source| Error::Io {
            name: self.name.clone(),
            source,
        })
    }

    /// Waits at most `timeout` for the process to end. Returns `None` when it still runs.
    pub async fn wait(&mut self, timeout: Duration) -> Option<ExitStatus> {
        time::timeout(timeout, self.child.wait()).await.ok()?.ok()
    }

    /// Checks that the process has not ended.
    ///
    /// # Errors
    ///
    /// Returns the exit status and the last lines of the output of a process that has ended.
    pub fn ensure_running(&mut self) -> Result<(), Error> {
        match self.child.try_wait() {
            Ok(None) => Ok(()),
            Ok(Some(status)) => Err(Error::ExitedEarly {
                name: self.name.clone(),
                status: status.to_string(),
                output: self.output_tail(),
            }),
            Err(source) => Err(self.io_error(source)),
        }
    }

    /// Returns the CPU time and memory usage so far, or zero when the process has ended.
    #[must_use]
    pub fn usage(&self) -> Usage {
        self.child.id().and_then(usage).unwrap_or_default()
    }
}

/// Returns a command that starts `program` through `tsw-load child`, so that it is killed even when
/// this process is killed and runs no destructors.
fn command(program: &Path) -> process::Command {
    let own = env::current_exe().unwrap_or_default();
    if own.file_name() != Some(OsStr::new(env!("CARGO_PKG_NAME"))) {
        return process::Command::new(program);
    }
    let mut command = process::Command::new(own);
    command.args(["child", "--"]).arg(program);
    command
}

/// Replaces this process by `program`, which is killed when the parent process ends.
///
/// Returns only when the program cannot be started, with the reason.
#[must_use]
pub fn exec_child(program: &Path, arguments: &[OsString]) -> Error {
    let result = set_parent_process_death_signal(Some(Signal::KILL));
    let source = match result {
        Ok(()) => Command::new(program).args(arguments).exec(),
        Err(error) => error.into(),
    };
    Error::Start {
        program: program.to_owned(),
        source,
    }
}

fn usage(pid: u32) -> Option<Usage> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The second field is the program's name in parentheses, which may contain spaces.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(Usage {
        cpu_s: ticks / CLOCK_TICKS_PER_S,
        rss_bytes: kib * 1_024,
    })
}
