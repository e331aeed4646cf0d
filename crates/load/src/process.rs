//! Child processes that never outlive the value that stands for them.

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

/// Clock ticks a second in `/proc`; Linux reports CPU time to programs in this unit.
const PROC_TICKS_PER_S: f64 = 100.0;

/// Why a child process cannot be used.
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
    /// The process ended before its time.
    #[error("{name} ended early: {status}; its output is:\n{output}")]
    Ended {
        /// Name of the process.
        name: String,
        /// Exit status.
        status: String,
        /// Last lines of its output.
        output: String,
    },
    /// The process did not become ready.
    #[error("{name} is not ready after {waited:?}; its output is:\n{output}")]
    Ready {
        /// Name of the process.
        name: String,
        /// How long it was waited for.
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

/// CPU time and memory of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// CPU time used since the start, in seconds.
    pub cpu_s: f64,
    /// Resident memory in bytes.
    pub rss_bytes: u64,
}

/// A running child process; killed when dropped.
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
    /// Returns why the program cannot be started.
    pub fn start(
        name: &str,
        program: &Path,
        arguments: &[String],
        directory: &Path,
    ) -> Result<Self, Error> {
        let failed = |source| Error::Start {
            program: program.to_owned(),
            source,
        };
        let output = directory.join(format!("{name}.out"));
        let file = fs::OpenOptions::new()
            .append(true)
            .create(true)
            .open(&output)
            .map_err(failed)?;
        let errors = file.try_clone().map_err(failed)?;
        let child = command(program)
            .args(arguments)
            .current_dir(directory)
            .stdin(Stdio::null())
            .stdout(file)
            .stderr(errors)
            .kill_on_drop(true)
            .spawn()
            .map_err(failed)?;
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
    pub fn tail(&self) -> String {
        let text = fs::read(&self.output).unwrap_or_default();
        let text = String::from_utf8_lossy(&text);
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(12)..].join("\n")
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// Returns the error of the call.
    pub fn signal(&self, signal: Signal) -> Result<(), Error> {
        let pid = self.child.id().and_then(|id| Pid::from_raw(id as i32));
        let Some(pid) = pid else { return Ok(()) };
        kill_process(pid, signal).map_err(|source| self.io(source.into()))
    }

    fn io(&self, source: io::Error) -> Error {
        Error::Io {
            name: self.name.clone(),
            source,
        }
    }

    /// Stops the process from running until [`Process::resume`].
    ///
    /// # Errors
    ///
    /// Returns the error of the signal.
    pub fn pause(&self) -> Result<(), Error> {
        self.signal(Signal::STOP)
    }

    /// Lets a paused process run.
    ///
    /// # Errors
    ///
    /// Returns the error of the signal.
    pub fn resume(&self) -> Result<(), Error> {
        self.signal(Signal::CONT)
    }

    /// Asks the process to stop gracefully.
    ///
    /// # Errors
    ///
    /// Returns the error of the signal.
    pub fn terminate(&self) -> Result<(), Error> {
        self.signal(Signal::TERM)
    }

    /// Ends the process at once and waits for its end.
    ///
    /// # Errors
    ///
    /// Returns the error of the signal.
    pub async fn kill(&mut self) -> Result<(), Error> {
        self.child.kill().await.map_err(|source| Error::Io {
            name: self.name.clone(),
            source,
        })
    }

    /// Waits for the end of the process, at most `limit`; `None` when it still runs.
    pub async fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        time::timeout(limit, self.child.wait()).await.ok()?.ok()
    }

    /// Returns an error when the process has ended.
    ///
    /// # Errors
    ///
    /// Returns the exit status and the last output.
    pub fn check(&mut self) -> Result<(), Error> {
        match self.child.try_wait() {
            Ok(None) => Ok(()),
            Ok(Some(status)) => Err(Error::Ended {
                name: self.name.clone(),
                status: status.to_string(),
                output: self.tail(),
            }),
            Err(source) => Err(self.io(source)),
        }
    }

    /// Returns what the process has used so far, or zero when it has ended.
    #[must_use]
    pub fn usage(&self) -> Usage {
        self.child.id().and_then(usage).unwrap_or_default()
    }
}

/// Returns a command that starts `program` through this program, so that it ends even when this
/// process is killed and drops nothing.
fn command(program: &Path) -> process::Command {
    let own = env::current_exe().unwrap_or_default();
    if own.file_name() != Some(OsStr::new(env!("CARGO_PKG_NAME"))) {
        return process::Command::new(program);
    }
    let mut command = process::Command::new(own);
    command.args(["child", "--"]).arg(program);
    command
}

/// Becomes another program that is killed when the process that started this one ends.
///
/// Returns only when the program cannot be started, with the reason.
#[must_use]
pub fn become_child(program: &Path, arguments: &[OsString]) -> Error {
    let bound = set_parent_process_death_signal(Some(Signal::KILL));
    let source = match bound {
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
    // The second field is the program's name in parentheses and may hold spaces.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(Usage {
        cpu_s: ticks / PROC_TICKS_PER_S,
        rss_bytes: kib * 1_024,
    })
}
