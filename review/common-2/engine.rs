//! A model worker that streams events, which name the version of its software. It goes on after `Last-Event-Id`, whoever
//! made the events before, as the pages say that workers do.

use std::{
    io::{BufRead as _, BufReader, Read as _, Write as _},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{record::Record, store::Store};

const SERVICE: &str = "harvest-model";
/// Time to the first event, and between two events.
const FIRST: Duration = Duration::from_millis(60);
const GAP: Duration = Duration::from_millis(60);
/// Number of the last event of each stream.
pub const EVENTS: u64 = 76;
/// For how long a worker that drains stays: `drainMs` and a little longer.
const DRAIN: Duration = Duration::from_millis(2_500);

#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub version: String,
    address: SocketAddr,
    zone: String,
    born: u64,
    ended: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    store: Store,
    record: Record,
}

impl Engine {
    pub fn start(store: &Store, record: &Record, id: &str, zone: &str, version: &str) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |age| age.as_millis());
        let engine = Self {
            id: id.to_owned(),
            version: version.to_owned(),
            address: listener.local_addr()?,
            zone: zone.to_owned(),
            born: born as u64,
            ended: Arc::default(),
            streams: Arc::default(),
            store: store.clone(),
            record: record.clone(),
        };
        let served = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if served.ended.load(Ordering::Relaxed) {
                    return;
                }
                if let Ok(clone) = stream.try_clone() {
                    served.streams.lock().unwrap().push(clone);
                }
                let engine = served.clone();
                thread::spawn(move || engine.serve(stream));
            }
        });
        record.line(&format!("worker {id} of version {version} starts"));
        // A heartbeat in which only its number changes is no change of the entry.
        engine.register("ready", 1);
        Ok(engine)
    }

    fn register(&self, state: &str, seq: u64) {
        let entry = format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":64,\"state\":\"{state}\",\
             \"coldRemainingMs\":0,\"seqNo\":{seq},\"born\":{}}}",
            self.address, self.zone, self.version, self.born
        );
        self.store.put(&format!("servers/{}", self.id), Some(entry.into_bytes()));
    }

    /// Reports that it drains, and leaves later.
    pub fn drain(&self) {
        self.record.line(&format!("worker {} drains", self.id));
        self.register("draining", 9);
        let engine = self.clone();
        thread::spawn(move || {
            thread::sleep(DRAIN);
            engine.store.put(&format!("servers/{}", engine.id), None);
            engine.ended.store(true, Ordering::Relaxed);
            let _ = TcpStream::connect(engine.address);
            for stream in engine.streams.lock().unwrap().drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
            engine.record.line(&format!("worker {} has left", engine.id));
        });
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if !matches!(reader.read_line(&mut line), Ok(n) if n > 0) {
                return;
            }
            let target = line.split(' ').nth(1).unwrap_or_default().to_owned();
            let mut fields = Vec::new();
            loop {
                let mut field = String::new();
                if !matches!(reader.read_line(&mut field), Ok(n) if n > 0) {
                    return;
                }
                match field.trim().split_once(':') {
                    Some((name, value)) => fields.push((name.to_ascii_lowercase(), value.trim().to_owned())),
                    None => break,
                }
            }
            let field = |name: &str| fields.iter().find(|(found, _)| found == name).map(|(_, value)| value.clone());
            let length = field("content-length").and_then(|text| text.parse().ok());
            let mut body = vec![0; length.unwrap_or(0)];
            if reader.read_exact(&mut body).is_err() {
                return;
            }
            if self.answer(&mut writer, &target, field("attempt-id"), field("expect-instance"), field("last-event-id")).is_err() {
                return;
            }
        }
    }

    fn answer(
        &self,
        writer: &mut TcpStream,
        target: &str,
        id: Option<String>,
        expected: Option<String>,
        after: Option<String>,
    ) -> std::io::Result<()> {
        let plain = |status: u16, more: &str, body: &str| {
            format!("HTTP/1.1 {status} S\r\n{more}Content-Length: {}\r\n\r\n{body}", body.len())
        };
        if target == "/api/report" {
            let body = format!(
                "{{\"born\":{},\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\"seqNo\":0,\
                 \"queued\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":600000,\"handles\":0}}",
                self.born
            );
            return writer.write_all(plain(200, "Content-Type: application/json\r\n", &body).as_bytes());
        }
        let Some(id) = id else {
            return writer.write_all(plain(400, "Not-Executed: 1\r\n", "").as_bytes());
        };
        if expected.is_some_and(|expected| expected != self.id) {
            let more = format!("Attempt-Id: {id}\r\nNot-Executed: 1\r\n");
            return writer.write_all(plain(421, &more, "").as_bytes());
        }
        let after: u64 = after.and_then(|text| text.parse().ok()).unwrap_or(0);
        self.record.line(&format!("worker {} of {} runs {id} after event {after}", self.id, self.version));
        thread::sleep(FIRST);
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: stamp-of-{id}\r\nWeight-Versions: 1\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        writer.write_all(head.as_bytes())?;
        for number in after + 1..=EVENTS {
            let event = format!("id: {number}\ndata: token of {}\n\n", self.version);
            writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            thread::sleep(GAP);
        }
        writer.write_all(b"0\r\n\r\n")
    }
}
