//! A log appender that never waits for whoever reads the log.

use std::{
    fmt,
    io::{self, Write as _},
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{self, Receiver, RecvTimeoutError, SyncSender},
        Mutex, OnceLock,
    },
    thread,
    time::{Duration, Instant},
};

use log::{Level, Record};
use log4rs::{
    append::Append,
    encode::{writer::simple::SimpleWriter, Encode},
};

/// Lines that wait to be written. A line has some 300 bytes, so these take less than 1 MB.
const QUEUE: usize = 2_048;
/// Lines of level info and below that are written on average for each second of processor time that
/// the process may use. Each line costs some 20 microseconds, so that these take a 25th of it; a
/// router with 40 requests a second writes about 150.
const LINES_PER_CORE_S: f64 = 2_000.0;
/// Time without a line after which the lines of that time are written at once.
const BURST_S: f64 = 2.0;
/// Pause of the writer after each write, so that many lines are written with one call.
const PAUSE: Duration = Duration::from_millis(20);
/// Most bytes of one write.
const MAX_WRITE: usize = 65_536;
/// Longest time for which [`flush`] waits.
const FLUSH: Duration = Duration::from_millis(200);

static WAITING: AtomicU64 = AtomicU64::new(0);
static DROPPED: AtomicU64 = AtomicU64::new(0);
static QUEUED: OnceLock<SyncSender<Vec<u8>>> = OnceLock::new();

/// Returns how many lines were dropped since the start of the process, because there were too many
/// or because nobody read them.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Waits for a short time until the lines so far are written.
pub fn flush() {
    let end = Instant::now() + FLUSH;
    while WAITING.load(Ordering::Relaxed) > 0 && Instant::now() < end {
        thread::sleep(Duration::from_millis(1));
    }
}

/// The allowance of lines, which fills up with time.
#[derive(Debug)]
struct Allowance {
    per_s: f64,
    lines: f64,
    at: Instant,
}

/// Writes lines to standard output on a thread of its own.
pub(crate) struct Bounded {
    encoder: Box<dyn Encode>,
    allowance: Mutex<Allowance>,
}

impl fmt::Debug for Bounded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Bounded").finish_non_exhaustive()
    }
}

impl Bounded {
    /// Starts the thread that writes.
    ///
    /// `processor` is the part of a core that the process may use.
    pub(crate) fn new(encoder: Box<dyn Encode>, processor: f64) -> io::Result<Self> {
        let (sender, receiver) = mpsc::sync_channel(QUEUE);
        if QUEUED.set(sender).is_ok() {
            thread::Builder::new()
                .name("log".to_owned())
                .spawn(move || write(&receiver))?;
        }
        let per_s = processor * LINES_PER_CORE_S;
        Ok(Self {
            encoder,
            allowance: Mutex::new(Allowance {
                per_s,
                lines: per_s * BURST_S,
                at: Instant::now(),
            }),
        })
    }

    fn is_allowed(&self, level: Level) -> bool {
        if level <= Level::Warn {
            return true;
        }
        let Ok(mut allowance) = self.allowance.lock() else {
            return false;
        };
        let now = Instant::now();
        let gained = (now - allowance.at).as_secs_f64() * allowance.per_s;
        allowance.lines = (allowance.lines + gained).min(allowance.per_s * BURST_S);
        allowance.at = now;
        let allowed = allowance.lines >= 1.0;
        if allowed {
            allowance.lines -= 1.0;
        }
        allowed
    }
}

impl Append for Bounded {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = SimpleWriter(Vec::with_capacity(320));
        let sent = self.is_allowed(record.level()) && {
            self.encoder.encode(&mut line, record)?;
            WAITING.fetch_add(1, Ordering::Relaxed);
            let sent = QUEUED
                .get()
                .is_some_and(|queue| queue.try_send(line.0).is_ok());
            if !sent {
                WAITING.fetch_sub(1, Ordering::Relaxed);
            }
            sent
        };
        if !sent {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {
        flush();
    }
}

fn write(queue: &Receiver<Vec<u8>>) {
    let mut told = 0;
    loop {
        let mut batch = match queue.recv_timeout(Duration::from_secs(1)) {
            Ok(line) => line,
            Err(RecvTimeoutError::Timeout) => continue,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        let mut lines = 1;
        while batch.len() < MAX_WRITE {
            let Ok(line) = queue.try_recv() else { break };
            batch.extend_from_slice(&line);
            lines += 1;
        }
        let dropped = dropped();
        if dropped > told {
            told = dropped;
            batch.extend_from_slice(
                format!("{{\"message\":\"log-dropped\",\"lines\":{dropped}}}\n").as_bytes(),
            );
        }
        // Without a reader of standard output there is nobody to tell.
        let _ = io::stdout().lock().write_all(&batch);
        WAITING.fetch_sub(lines, Ordering::Relaxed);
        thread::sleep(PAUSE);
    }
}
