//! A plain worker: registers itself in the store, serves one request at a time on a channel, and answers with a body
//! that follows from the identifier of the request.

use std::{
    io::{BufRead as _, BufReader, Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{record::Record, store::Store};

/// Interval at which a worker writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time that the work on a request takes.
const WORK: Duration = Duration::from_millis(30);

/// A request that ran: identifier, method and target.
pub type Run = (String, String, String);

#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    born: u64,
    draining: Arc<AtomicBool>,
    seq: Arc<AtomicU64>,
    runs: Arc<Mutex<Vec<Run>>>,
    store: Store,
    record: Record,
}

/// Returns the body of the answer to a request: its length is stated in the last part of the path, after a dash.
pub fn body_of(id: &str, target: &str) -> Vec<u8> {
    let length = target.rsplit('-').next().and_then(|text| text.parse().ok());
    let line = format!("{id} ");
    line.bytes().cycle().take(length.unwrap_or(800)).collect()
}

impl Worker {
    pub fn start(store: &Store, record: &Record, service: &str, id: &str, zone: &str) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |age| age.as_millis());
        let worker = Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            service: service.to_owned(),
            zone: zone.to_owned(),
            born: born as u64,
            draining: Arc::default(),
            seq: Arc::default(),
            runs: Arc::default(),
            store: store.clone(),
            record: record.clone(),
        };
        let served = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = served.clone();
                thread::spawn(move || worker.serve(stream));
            }
        });
        let beating = worker.clone();
        thread::spawn(move || loop {
            beating.register();
            thread::sleep(HEARTBEAT);
        });
        Ok(worker)
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    fn register(&self) {
        let state = if self.draining.load(Ordering::Relaxed) { "draining" } else { "ready" };
        let seq = self.seq.fetch_add(1, Ordering::Relaxed) + 1;
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":6,\"state\":\"{state}\",\
             \"coldRemainingMs\":0,\"seqNo\":{seq},\"born\":{}}}",
            self.service, self.address, self.zone, self.born
        );
        self.store.put(&format!("servers/{}", self.id), Some(entry.into_bytes()));
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
            let mut words = line.split(' ');
            let method = words.next().unwrap_or_default().to_owned();
            let target = words.next().unwrap_or_default().to_owned();
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
            let (status, more, answer) = self.answer(&method, &target, field("attempt-id"), field("expect-instance"));
            let head = format!(
                "HTTP/1.1 {status} S\r\n{more}Content-Length: {}\r\nKeep-Alive: timeout=10\r\n\r\n",
                answer.len()
            );
            let answer = if method == "HEAD" { Vec::new() } else { answer };
            if writer.write_all(head.as_bytes()).is_err() || writer.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, method: &str, target: &str, id: Option<String>, expected: Option<String>) -> (u16, String, Vec<u8>) {
        if target == "/health" {
            return (200, format!("Instance-Id: {}\r\n", self.id), Vec::new());
        }
        let Some(id) = id else {
            return (400, "Not-Executed: 1\r\n".to_owned(), Vec::new());
        };
        if expected.is_some_and(|expected| expected != self.id) {
            let more = format!("Attempt-Id: {id}\r\nNot-Executed: 1\r\n");
            return (421, more, Vec::new());
        }
        self.record.line(&format!("worker {} runs {id} {method} {target}", self.id));
        self.runs.lock().unwrap().push((id.clone(), method.to_owned(), target.to_owned()));
        thread::sleep(WORK);
        let more = format!("Attempt-Id: {id}\r\nServer-Stamp: stamp-of-{id}\r\n");
        (200, more, body_of(&id, target))
    }
}
