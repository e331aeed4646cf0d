//! A non-blocking log appender with a rate limit.

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

/// Maximum number of lines queued for writing. A line has some 300 bytes, so the queue takes less
/// than 1 MB.
const QUEUE_CAPACITY: usize = 2_048;
/// Average rate limit for lines of level info and below, per core that the process may use. Each line
/// costs some 20 microseconds, so these lines take a 25th of the CPU limit. A router with 40 requests
/// per second writes about 150 lines per second.
const LINES_PER_CORE_S: f64 = 2_000.0;
/// Capacity of the token bucket, as the time in which it fills: after this time without a line, the
/// lines that the rate limit allows in it may be written in one burst.
const BURST_S: f64 = 2.0;
/// Pause of the writer thread after each write, which batches lines into fewer system calls.
const WRITE_INTERVAL: Duration = Duration::from_millis(20);
/// Size at which a batch is written without adding more lines.
const MAX_WRITE_BYTES: usize = 65_536;
/// Maximum time that [`flush`] waits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

static PENDING: AtomicU64 = AtomicU64::new(0);
static DROPPED: AtomicU64 = AtomicU64::new(0);
static SENDER: OnceLock<SyncSender<Vec<u8>>> = OnceLock::new();

/// Returns how many lines were dropped since the start of the process, because of the rate limit or
/// because the queue was full.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Waits briefly until all queued lines are written.
pub fn flush() {
    let end = Instant::now() + FLUSH_TIMEOUT;
    while PENDING.load(Ordering::Relaxed) > 0 && Instant::now() < end {
        thread::sleep(Duration::from_millis(1));
    }
}

/// Token bucket that limits the rate of lines; each line takes one token.
#[derive(Debug)]
struct TokenBucket {
    lines_per_s: f64,
    available: f64,
    updated: Instant,
}

/// Appender that writes lines to standard output on a separate thread.
pub(crate) struct Bounded {
    encoder: Box<dyn Encode>,
    bucket: Mutex<TokenBucket>,
}

impl fmt::Debug for Bounded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Bounded").finish_non_exhaustive()
    }
}

impl Bounded {
    /// Creates the appender and starts its writer thread.
    ///
    /// `processor` is the CPU limit of the process in cores.
    pub(crate) fn new(encoder: Box<dyn Encode>, processor: f64) -> io::Result<Self> {
        let (sender, receiver) = mpsc::sync_channel(QUEUE_CAPACITY);
        if SENDER.set(sender).is_ok() {
            thread::Builder::new()
                .name("log".to_owned())
                .spawn(move || write_lines(&receiver))?;
        }
        let lines_per_s = processor * LINES_PER_CORE_S;
        Ok(Self {
            encoder,
            bucket: Mutex::new(TokenBucket {
                lines_per_s,
                available: lines_per_s * BURST_S,
                updated: Instant::now(),
            }),
        })
    }

    /// Returns whether a line may be written, and takes a token for it. Warnings and errors are not
    /// rate-limited.
    fn take_token(&self, level: Level) -> bool {
        if level <= Level::Warn {
            return true;
        }
        let Ok(mut bucket) = self.bucket.lock() else {
            return false;
        };
        let now = Instant::now();
        let refill = (now - bucket.updated).as_secs_f64() * bucket.lines_per_s;
        bucket.available = (bucket.available + refill).min(bucket.lines_per_s * BURST_S);
        bucket.updated = now;
        let allowed = bucket.available >= 1.0;
        if allowed {
            bucket.available -= 1.0;
        }
        allowed
    }
}

impl Append for Bounded {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = SimpleWriter(Vec::with_capacity(320));
        let sent = self.take_token(record.level()) && {
            self.encoder.encode(&mut line, record)?;
            PENDING.fetch_add(1, Ordering::Relaxed);
            let sent = SENDER
                .get()
                .is_some_and(|queue| queue.try_send(line.0).is_ok());
            if !sent {
                PENDING.fetch_sub(1, Ordering::Relaxed);
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

fn write_lines(queue: &Receiver<Vec<u8>>) {
    let mut reported = 0;
    loop {
        let mut batch = match queue.recv_timeout(Duration::from_secs(1)) {
            Ok(line) => line,
            Err(RecvTimeoutError::Timeout) => continue,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        let mut lines = 1;
        while batch.len() < MAX_WRITE_BYTES {
            let Ok(line) = queue.try_recv() else { break };
            batch.extend_from_slice(&line);
            lines += 1;
        }
        let dropped = dropped();
        if dropped > reported {
            reported = dropped;
            batch.extend_from_slice(
                format!("{{\"message\":\"log-dropped\",\"lines\":{dropped}}}\n").as_bytes(),
            );
        }
        // If standard output is closed, the error cannot be reported anywhere.
        let _ = io::stdout().lock().write_all(&batch);
        PENDING.fetch_sub(lines, Ordering::Relaxed);
        thread::sleep(WRITE_INTERVAL);
    }
}
