//! Stand-ins for the platform's store, for servers and for consumers, and the start of routers, for the
//! cases of the review. Only the standard library is used.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    env, fs,
    io::{BufRead, BufReader, ErrorKind, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Interval of a server's writes to the store (`heartbeatMs`).
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time after which a case is given up; run.sh ends what it started.
const LIMIT: Duration = Duration::from_secs(110);
/// Host of all routes.
pub const HOST: &str = "shop.example";

// ---------------------------------------------------------------- record

/// What was sent, answered and run, with the time since the start in seconds.
pub struct Record {
    start: Instant,
    file: Mutex<fs::File>,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Self> {
        let file = Mutex::new(fs::File::create(path).expect("record.txt cannot be written"));
        Arc::new(Self {
            start: Instant::now(),
            file,
        })
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let now = self.now();
        let _ = writeln!(self.file.lock().unwrap(), "{now:8.3} {text}");
    }
}

/// The folders and the switch that run.sh passes on.
pub struct Setup {
    pub record: Arc<Record>,
    pub temp: PathBuf,
    pub repository: PathBuf,
    pub trouble: bool,
}

impl Setup {
    /// Reads `CASE_DIR`, `CASE_TEMP` and `TROUBLE`.
    pub fn from_env() -> Self {
        thread::spawn(|| {
            thread::sleep(LIMIT);
            cannot_run("it takes too long");
        });
        let folder = |name: &str| PathBuf::from(env::var(name).unwrap_or_else(|_| cannot_run(name)));
        let case = folder("CASE_DIR");
        Self {
            record: Record::create(&case.join("record.txt")),
            temp: folder("CASE_TEMP"),
            repository: env::current_dir().expect("current folder"),
            trouble: env::var("TROUBLE").as_deref() != Ok("0"),
        }
    }
}

/// Ends with the status for a case that could not run.
pub fn cannot_run(cause: &str) -> ! {
    eprintln!("the case could not run: {cause}");
    std::process::exit(2);
}

/// Remembers the process so that run.sh can end it if this program is ended.
fn remember_process(temp: &Path, child: &Child) {
    let mut file = fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(temp.join("processes"))
        .expect("list of processes");
    let _ = writeln!(file, "{}", child.id());
}

/// Returns a loopback address that is used by one run only.
pub fn loopback(number: u8) -> Ipv4Addr {
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 | (high & 0x3f), low, number)
}

/// Returns a free port of an address.
pub fn free_port(ip: Ipv4Addr) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("free port");
    listener.local_addr().expect("address")
}

// ---------------------------------------------------------------- store

#[derive(Default)]
struct Items {
    revision: u64,
    items: BTreeMap<String, (Vec<u8>, u64, u64)>,
    events: Vec<(u64, String, Option<(Vec<u8>, u64)>)>,
}

/// The platform's store: linearizable, and sound unless a case makes it `busy`.
pub struct Store {
    pub address: SocketAddr,
    items: Mutex<Items>,
    changed: Condvar,
    /// Whether all calls get 503.
    pub busy: AtomicBool,
}

impl Store {
    pub fn start(ip: Ipv4Addr) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("store address");
        let store = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            items: Mutex::default(),
            changed: Condvar::new(),
            busy: AtomicBool::new(false),
        });
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut items = self.items.lock().unwrap();
        items.revision += 1;
        let revision = items.revision;
        let created = items.items.get(key).map_or(revision, |item| item.2);
        let value = value.as_bytes().to_vec();
        items
            .items
            .insert(key.to_owned(), (value.clone(), revision, created));
        items
            .events
            .push((revision, key.to_owned(), Some((value, created))));
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut items = self.items.lock().unwrap();
        if items.items.remove(key).is_some() {
            items.revision += 1;
            let revision = items.revision;
            items.events.push((revision, key.to_owned(), None));
            self.changed.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut peer = Peer::new(stream);
        while let Ok(Some(request)) = peer.read_request() {
            let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
            let parameter = |name: &str| {
                let parts = query.split('&').filter_map(|part| part.split_once('='));
                let mut found = parts.filter(|(key, _)| *key == name);
                found.next().map(|(_, value)| value.to_owned())
            };
            let body = match path {
                "/api/kv-range" => Some(self.range(
                    &parameter("pathPrefix").unwrap_or_default(),
                    &parameter("after").unwrap_or_default(),
                )),
                "/api/kv-watch" => {
                    let number = |name| parameter(name).and_then(|text| text.parse().ok());
                    let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
                    let prefix = parameter("pathPrefix").unwrap_or_default();
                    Some(self.watch(&prefix, number("after").unwrap_or(0), wait))
                }
                _ => None,
            };
            let (status, body) = match body {
                _ if self.busy.load(Ordering::Relaxed) => ("503 Service Unavailable", "{}".to_owned()),
                Some(body) => ("200 OK", body),
                None => ("404 Not Found", "{}".to_owned()),
            };
            let answer = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if peer.stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let items = self.items.lock().unwrap();
        let found = items.items.iter();
        let found = found.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let found: Vec<String> = found
            .map(|(key, (value, revision, created))| item(key, value, *revision, *created))
            .collect();
        format!(
            "{{\"items\":[{}],\"hasMore\":false,\"asOf\":{}}}",
            found.join(","),
            items.revision
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> String {
        let end = Instant::now() + wait;
        let mut items = self.items.lock().unwrap();
        loop {
            let events = items.events.iter();
            let events = events.filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
            let events: Vec<String> = events
                .map(|(revision, key, value)| match value {
                    Some((value, created)) => item(key, value, *revision, *created),
                    None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}"),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(
                    "{{\"events\":[{}],\"asOf\":{}}}",
                    events.join(","),
                    items.revision.max(after)
                );
            }
            items = self.changed.wait_timeout(items, left).unwrap().0;
        }
    }
}

fn item(key: &str, value: &[u8], revision: u64, created: u64) -> String {
    let value = base64(value);
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"createRevision\":{created},\"lease\":0}}"
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let number = chunk.iter().fold(0u32, |sum, byte| (sum << 8) | u32::from(*byte));
        let number = number << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            if digit <= chunk.len() {
                let index = (number >> (18 - 6 * digit)) & 63;
                text.push(char::from(DIGITS[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------- HTTP, both sides

/// A connection with the bytes that were read and not used yet.
pub struct Peer {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
    /// Number of requests or answers that were read.
    pub count: u64,
}

/// A request as a server reads it.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name).unwrap_or("")
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut found = headers.iter().filter(|(key, _)| key.eq_ignore_ascii_case(name));
    found.next().map(|(_, value)| value.as_str())
}

/// How an answer ended, as the consumer sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The whole answer arrived.
    Complete,
    /// The channel ended before the first byte.
    NoAnswer,
    /// The channel ended within the answer.
    Cut,
    /// The consumer's time was over.
    Timeout,
    /// The bytes are no answer in the protocol.
    NotHttp,
}

/// An answer as the consumer sees it.
#[derive(Clone, Debug)]
pub struct Answer {
    pub end: End,
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// The first bytes that arrived.
    pub first: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name).unwrap_or("")
    }
}

impl Peer {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
            count: 0,
        }
    }

    pub fn connect(address: SocketAddr) -> std::io::Result<Self> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Self::new)
    }

    fn fill(&mut self) -> std::io::Result<usize> {
        let mut bytes = [0; 16_384];
        let read = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..read]);
        Ok(read)
    }

    fn head_end(&self) -> Option<usize> {
        let found = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n");
        found.map(|at| at + 4)
    }

    /// Reads a request with a body of stated length; `None` when the peer closed the channel.
    pub fn read_request(&mut self) -> std::io::Result<Option<Request>> {
        let end = loop {
            if let Some(end) = self.head_end() {
                break end;
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        };
        let head: Vec<u8> = self.buffer.drain(..end).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.split("\r\n");
        let mut words = lines.next().unwrap_or("").split(' ');
        let mut request = Request {
            method: words.next().unwrap_or("").to_owned(),
            target: words.next().unwrap_or("").to_owned(),
            ..Request::default()
        };
        for (name, value) in lines.filter_map(|line| line.split_once(':')) {
            request.headers.push((name.to_owned(), value.trim().to_owned()));
        }
        let length: usize = request.header("content-length").parse().unwrap_or(0);
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
        request.body = self.buffer.drain(..length).collect();
        self.count += 1;
        Ok(Some(request))
    }

    /// Sends a request and reads its answer until `limit`.
    pub fn call(&mut self, head: &str, body: &[u8], limit: Duration) -> Answer {
        let end = Instant::now() + limit;
        let mut answer = Answer {
            end: End::NoAnswer,
            status: 0,
            headers: Vec::new(),
            body: Vec::new(),
            first: Vec::new(),
        };
        let sent = self.stream.write_all(&[head.as_bytes(), body].concat());
        if sent.is_err() {
            return answer;
        }
        answer.end = self.read_answer(&mut answer, end);
        self.count += 1;
        answer
    }

    /// Reads more until `end`. Returns how the answer ended if nothing more arrives.
    fn more(&mut self, end: Instant, begun: bool) -> Option<End> {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Some(End::Timeout);
        }
        let _ = self.stream.set_read_timeout(Some(left));
        match self.fill() {
            Ok(0) => Some(if begun { End::Cut } else { End::NoAnswer }),
            Ok(_) => None,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                Some(End::Timeout)
            }
            Err(_) => Some(if begun { End::Cut } else { End::NoAnswer }),
        }
    }

    fn read_answer(&mut self, answer: &mut Answer, end: Instant) -> End {
        let head = loop {
            if answer.first.len() < 300 {
                answer.first = self.buffer[..self.buffer.len().min(300)].to_vec();
            }
            if let Some(at) = self.head_end() {
                break self.buffer.drain(..at).collect::<Vec<u8>>();
            }
            if let Some(end) = self.more(end, !self.buffer.is_empty()) {
                return end;
            }
        };
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.trim_end_matches("\r\n").split("\r\n");
        let status = lines.next().unwrap_or("").to_owned();
        let mut words = status.splitn(3, ' ');
        let version = words.next().unwrap_or("");
        let code = words.next().unwrap_or("");
        answer.status = code.parse().unwrap_or(0);
        // A status line has a version, and a code of three digits from 100 on.
        if version != "HTTP/1.1" || code.len() != 3 || answer.status < 100 {
            return End::NotHttp;
        }
        for line in lines {
            match line.split_once(':') {
                Some((name, value)) if !name.is_empty() => {
                    answer.headers.push((name.to_owned(), value.trim().to_owned()));
                }
                // A header field has a name.
                _ => return End::NotHttp,
            }
        }
        if answer.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            return self.read_chunks(answer, end);
        }
        let Ok(length) = answer.header("content-length").parse::<usize>() else {
            return loop {
                answer.body.append(&mut self.buffer);
                match self.more(end, true) {
                    Some(End::Cut) => break End::Complete,
                    Some(end) => break end,
                    None => {}
                }
            };
        };
        while self.buffer.len() < length {
            if let Some(end) = self.more(end, true) {
                return end;
            }
        }
        answer.body = self.buffer.drain(..length).collect();
        End::Complete
    }

    fn read_chunks(&mut self, answer: &mut Answer, end: Instant) -> End {
        loop {
            let line = loop {
                let found = self.buffer.windows(2).position(|bytes| bytes == b"\r\n");
                if let Some(at) = found {
                    break self.buffer.drain(..at + 2).collect::<Vec<u8>>();
                }
                if let Some(end) = self.more(end, true) {
                    return end;
                }
            };
            let text = String::from_utf8_lossy(&line);
            let Ok(size) = usize::from_str_radix(text.trim(), 16) else {
                return End::NotHttp;
            };
            while self.buffer.len() < size + 2 {
                if let Some(end) = self.more(end, true) {
                    return end;
                }
            }
            answer.body.extend(self.buffer.drain(..size));
            self.buffer.drain(..2);
            if size == 0 {
                return End::Complete;
            }
        }
    }
}

/// Returns the head of a consumer's request.
pub fn request_head(method: &str, target: &str, id: &str, key: &str, fields: &str, body: usize) -> String {
    let length = if method == "GET" {
        String::new()
    } else {
        format!("Content-Length: {body}\r\n")
    };
    format!(
        "{method} {target} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nAuthorization: Token {key}\r\n{fields}{length}\r\n"
    )
}

/// Returns an identifier for a consumer attempt.
pub fn attempt_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{number:08x}", std::process::id())
}

// ---------------------------------------------------------------- servers

/// A line that a server process printed.
#[derive(Clone, Debug)]
pub struct Seen {
    pub at: f64,
    pub server: String,
    pub text: String,
}

/// A server process that announces itself in the store.
struct Server {
    service: String,
    zone: String,
    address: SocketAddr,
    slots: u32,
    arguments: Vec<String>,
    /// Version of its software.
    version: String,
    /// Whether it comes back under the same id after a crash.
    keeps_id: bool,
    id: String,
    born: u64,
    seq: u64,
    beat: Instant,
    child: Option<Child>,
    down_until: Option<Instant>,
    /// When the entry of an ended run expires: after three intervals of silence.
    expires: Vec<(String, Instant)>,
}

/// The server processes: starts them, writes their heartbeats, restarts those that crash after
/// `back_after` under a new id at the same address, and removes entries that fell silent.
pub struct Servers {
    record: Arc<Record>,
    store: Arc<Store>,
    temp: PathBuf,
    back_after: Duration,
    servers: Mutex<Vec<Server>>,
    pub seen: Arc<Mutex<Vec<Seen>>>,
    ended: AtomicBool,
    next: AtomicU64,
}

impl Servers {
    pub fn start(setup: &Setup, store: &Arc<Store>, back_after: Duration) -> Arc<Self> {
        let servers = Arc::new(Self {
            record: setup.record.clone(),
            store: store.clone(),
            temp: setup.temp.clone(),
            back_after,
            servers: Mutex::default(),
            seen: Arc::default(),
            ended: AtomicBool::new(false),
            next: AtomicU64::new(1),
        });
        let tending = servers.clone();
        thread::spawn(move || {
            while !tending.ended.load(Ordering::Relaxed) {
                tending.tend();
                thread::sleep(Duration::from_millis(20));
            }
        });
        servers
    }

    /// Starts a server. `arguments` and its version are passed to this program after `server ADDRESS ID`.
    pub fn add(&self, service: &str, zone: &str, address: SocketAddr, slots: u32, arguments: &[&str]) {
        let mut server = Server {
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            slots,
            arguments: arguments.iter().map(|text| (*text).to_owned()).collect(),
            version: "v1".to_owned(),
            keeps_id: false,
            id: String::new(),
            born: 0,
            seq: 0,
            beat: Instant::now(),
            child: None,
            down_until: None,
            expires: Vec::new(),
        };
        self.launch(&mut server);
        self.servers.lock().unwrap().push(server);
    }

    fn launch(&self, server: &mut Server) {
        if !server.keeps_id {
            server.id = format!("i-{:04x}", self.next.fetch_add(1, Ordering::Relaxed));
        }
        let program = env::current_exe().expect("own program");
        let mut child = Command::new(program)
            .arg("server")
            .arg(server.address.to_string())
            .arg(&server.id)
            .args(&server.arguments)
            .arg(&server.version)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("server process");
        remember_process(&self.temp, &child);
        let output = child.stdout.take().expect("output");
        let (seen, record, id) = (self.seen.clone(), self.record.clone(), server.id.clone());
        thread::spawn(move || {
            for text in BufReader::new(output).lines().map_while(Result::ok) {
                record.line(&format!("server {id} {text}"));
                let at = record.now();
                let server = id.clone();
                seen.lock().unwrap().push(Seen { at, server, text });
            }
        });
        // It registers itself once it listens.
        for _ in 0..500 {
            if TcpStream::connect_timeout(&server.address, Duration::from_millis(200)).is_ok() {
                break;
            }
            thread::sleep(Duration::from_millis(10));
        }
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        server.born = now.as_millis() as u64;
        server.seq = 0;
        server.child = Some(child);
        self.record.line(&format!(
            "platform server {} of {} {} runs at {}",
            server.id, server.service, server.version, server.address
        ));
        self.beat(server);
    }

    fn beat(&self, server: &mut Server) {
        if self.store.busy.load(Ordering::Relaxed) {
            // The store takes no write; the server tries again soon.
            server.beat = Instant::now() + Duration::from_millis(100) - HEARTBEAT;
            return;
        }
        server.seq += 1;
        server.beat = Instant::now();
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":{},\"state\":\"ready\",\"coldRemainingMs\":0,\"seqNo\":{},\"born\":{}}}",
            server.service, server.address, server.zone, server.version, server.slots, server.seq, server.born
        );
        self.store.put(&format!("servers/{}", server.id), &entry);
    }

    fn tend(&self) {
        let now = Instant::now();
        for server in self.servers.lock().unwrap().iter_mut() {
            let exited = server.child.as_mut().map(|child| child.try_wait().ok().flatten());
            if let Some(Some(status)) = exited {
                self.record.line(&format!("platform server {} ended: {status}", server.id));
                let at = self.record.now();
                let (id, text) = (server.id.clone(), "crashed".to_owned());
                self.seen.lock().unwrap().push(Seen { at, server: id.clone(), text });
                server.child = None;
                server.expires.push((id, server.beat + 3 * HEARTBEAT));
                server.down_until = Some(now + self.back_after);
            }
            if server.child.is_some() && server.beat + HEARTBEAT <= now {
                self.beat(server);
            }
            if server.down_until.is_some_and(|until| until <= now) {
                server.down_until = None;
                self.launch(server);
            }
            let store = &self.store;
            let (own, alive) = (server.id.clone(), server.child.is_some());
            server.expires.retain(|(id, at)| {
                let expired = *at <= now && !store.busy.load(Ordering::Relaxed);
                if expired && !(alive && *id == own) {
                    store.remove(&format!("servers/{id}"));
                }
                !expired
            });
        }
    }

    /// Kills all servers of a service in a zone at once.
    pub fn kill_zone(&self, service: &str, zone: &str) {
        for server in self.servers.lock().unwrap().iter_mut() {
            if server.service == service && server.zone == zone {
                if let Some(child) = &mut server.child {
                    let _ = child.kill();
                }
            }
        }
    }

    /// Crashes a server, which comes back under its id with another version of its software.
    pub fn crash_to(&self, index: usize, version: &str) {
        let server = &mut self.servers.lock().unwrap()[index];
        server.keeps_id = true;
        server.version = version.to_owned();
        if let Some(child) = &mut server.child {
            let _ = child.kill();
        }
    }

    /// Replaces a server: a new one starts first at another address, the old one drains and leaves.
    pub fn release(&self, index: usize, address: SocketAddr, arguments: &[&str], drain: Duration) {
        let (service, zone, slots, entry) = {
            let servers = self.servers.lock().unwrap();
            let old = &servers[index];
            let entry = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"draining\",\"coldRemainingMs\":0,\"seqNo\":{},\"born\":{}}}",
                old.service, old.address, old.zone, old.slots, old.seq + 1_000, old.born
            );
            (old.service.clone(), old.zone.clone(), old.slots, (old.id.clone(), entry))
        };
        self.add(&service, &zone, address, slots, arguments);
        let mut old = self.servers.lock().unwrap().remove(index);
        self.record.line(&format!("platform server {} drains", entry.0));
        self.store.put(&format!("servers/{}", entry.0), &entry.1);
        let store = self.store.clone();
        thread::spawn(move || {
            thread::sleep(drain);
            store.remove(&format!("servers/{}", entry.0));
            if let Some(child) = &mut old.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        });
    }

    pub fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
        for server in self.servers.lock().unwrap().iter_mut() {
            if let Some(child) = &mut server.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

/// Serves connections in a server process. Ends the process when its starter has ended.
pub fn serve(address: SocketAddr, handle: impl Fn(Peer) + Send + Sync + 'static) -> ! {
    thread::spawn(|| {
        let mut rest = Vec::new();
        let _ = std::io::stdin().read_to_end(&mut rest);
        std::process::exit(0);
    });
    let listener = TcpListener::bind(address).expect("server address");
    let handle = Arc::new(handle);
    for stream in listener.incoming().flatten() {
        let handle = handle.clone();
        thread::spawn(move || handle(Peer::new(stream)));
    }
    std::process::exit(0);
}

/// Prints a line for the starter of a server process.
pub fn tell(text: &str) {
    let mut output = std::io::stdout().lock();
    let _ = writeln!(output, "{text}");
    let _ = output.flush();
}

// ---------------------------------------------------------------- routers

/// A router, started as the deploy file says and started again when it ends by itself.
pub struct Router {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Arc<Mutex<Option<Child>>>,
    /// Times at which the process ended by itself.
    pub ends: Arc<Mutex<Vec<f64>>>,
    ended: Arc<AtomicBool>,
}

/// Starts routers with settings made from the template of the deploy file.
pub fn start_routers(setup: &Setup, store: &Store, zones: &[&str]) -> Vec<Router> {
    let ips: Vec<Ipv4Addr> = (0..zones.len()).map(|index| loopback(100 + index as u8)).collect();
    let seeds: Vec<String> = ips.iter().map(|ip| format!("\"{ip}:8785\"")).collect();
    let template = read(&setup.repository.join("deploy/router.yaml"));
    let deploy = read(&setup.repository.join("deploy/system.toml"));
    let run = deploy
        .lines()
        .find_map(|line| line.strip_prefix("run = "))
        .unwrap_or_else(|| cannot_run("no command in the deploy file"));
    let run = run.trim().trim_matches('"').to_owned();
    let routers = zones.iter().zip(&ips).enumerate();
    let routers: Vec<Router> = routers
        .map(|(index, (zone, ip))| {
            let name = format!("front-{zone}-{}", index + 1);
            let settings = settings(&template, &name, zone, *ip, store.address, &seeds.join(","));
            let path = setup.temp.join(format!("{name}.toml"));
            fs::write(&path, settings).expect("settings");
            start_router(setup, name, *ip, &run, path)
        })
        .collect();
    for router in &routers {
        wait_until_ready(router);
    }
    routers
}

fn read(path: &Path) -> String {
    fs::read_to_string(path).unwrap_or_else(|error| cannot_run(&format!("{path:?}: {error}")))
}

/// Fills in the template with the bounds of the two small sites.
fn settings(template: &str, name: &str, zone: &str, ip: Ipv4Addr, store: SocketAddr, seeds: &str) -> String {
    let values = [
        ("nodeId|json", format!("\"{name}\"")),
        ("zone|json", format!("\"{zone}\"")),
        ("listen.front", format!("{ip}:8783")),
        ("listen.ready", format!("{ip}:8780")),
        ("listen.directory", format!("{ip}:8789")),
        ("listen.control", format!("{ip}:8785")),
        ("ip", ip.to_string()),
        ("internalPorts.0", "7400".to_owned()),
        ("seeds|json", format!("[{seeds}]")),
        ("platform.address", store.to_string()),
        ("limits.maxFds", "4100".to_owned()),
        ("limits.cpuShare", "0.25".to_owned()),
        ("bounds.retryBudgetRatio", "0.2".to_owned()),
        ("bounds.retryWindowS", "10".to_owned()),
        ("bounds.retrySlack", "54".to_owned()),
        ("bounds.ttl_max_s", "5".to_owned()),
        ("bounds.graceS", "8".to_owned()),
    ];
    let mut text = template.to_owned();
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), &value);
    }
    if text.contains("{{") {
        cannot_run("the template of the settings has a field that the case does not know");
    }
    text
}

fn start_router(setup: &Setup, name: String, ip: Ipv4Addr, run: &str, settings: PathBuf) -> Router {
    let router = Router {
        front: SocketAddr::from((ip, 8783)),
        ready: SocketAddr::from((ip, 8780)),
        child: Arc::default(),
        ends: Arc::default(),
        ended: Arc::default(),
        name: name.clone(),
    };
    let words: Vec<String> = run
        .split(' ')
        .map(|word| word.replace("/etc/toucanswitch/node.toml", settings.to_str().unwrap()))
        .collect();
    let log = setup.temp.join(format!("{name}.log"));
    let (temp, record, repository) = (setup.temp.clone(), setup.record.clone(), setup.repository.clone());
    let (child, ends, ended) = (router.child.clone(), router.ends.clone(), router.ended.clone());
    thread::spawn(move || {
        while !ended.load(Ordering::Relaxed) {
            let output = fs::OpenOptions::new().create(true).append(true).open(&log).expect("log");
            let started = Command::new(repository.join(&words[0]))
                .args(&words[1..])
                .current_dir(&repository)
                .env("TOUCANSWITCH_CONFIG", &settings)
                .stdin(Stdio::null())
                .stderr(output.try_clone().expect("log"))
                .stdout(output)
                .spawn();
            let Ok(started) = started else {
                cannot_run("the router does not start; build it as the deploy file says");
            };
            remember_process(&temp, &started);
            record.line(&format!("platform router {name} starts"));
            *child.lock().unwrap() = Some(started);
            loop {
                let status = child.lock().unwrap().as_mut().and_then(|child| child.try_wait().ok().flatten());
                if let Some(status) = status {
                    if !ended.load(Ordering::Relaxed) {
                        record.line(&format!("platform router {name} ended by itself: {status}"));
                        ends.lock().unwrap().push(record.now());
                    }
                    break;
                }
                if ended.load(Ordering::Relaxed) {
                    return;
                }
                thread::sleep(Duration::from_millis(10));
            }
            // The platform restarts a process that exits after a short delay.
            thread::sleep(Duration::from_millis(500));
        }
    });
    router
}

fn wait_until_ready(router: &Router) {
    for _ in 0..200 {
        if is_ready(router) {
            return;
        }
        thread::sleep(Duration::from_millis(50));
    }
    cannot_run(&format!("{} does not become ready", router.name));
}

pub fn is_ready(router: &Router) -> bool {
    let Ok(mut peer) = Peer::connect(router.ready) else {
        return false;
    };
    let head = "GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
    peer.call(head, b"", Duration::from_secs(1)).status == 200
}

impl Router {
    pub fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
        if let Some(child) = self.child.lock().unwrap().as_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Prints the verdict, writes it to the record and returns the exit status.
pub fn verdict(record: &Record, broken: bool, text: &str) -> i32 {
    let word = if broken { "BROKEN" } else { "HELD" };
    record.line(&format!("verdict {word}: {text}"));
    println!("{word}: {text}");
    i32::from(broken)
}
