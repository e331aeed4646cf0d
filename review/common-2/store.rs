//! The platform's store: linearizable reads, lists and watches, as PROTOCOL.md describes them.

use std::{
    collections::{BTreeMap, VecDeque},
    io::{BufRead as _, BufReader, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

/// How long the store keeps its history.
const HISTORY: Duration = Duration::from_secs(20);

struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
}

struct Change {
    at: Instant,
    key: String,
    value: Option<Vec<u8>>,
    revision: u64,
    created: u64,
}

struct Content {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: VecDeque<Change>,
    /// Changes up to this revision were discarded.
    discarded: u64,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<Content>, Condvar)>,
}

impl Store {
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let content = Content {
            revision: 1,
            items: BTreeMap::new(),
            history: VecDeque::new(),
            discarded: 1,
        };
        let store = Self {
            address,
            shared: Arc::new((Mutex::new(content), Condvar::new())),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes or removes a key. The return is the store's acknowledgement.
    pub fn put(&self, key: &str, value: Option<Vec<u8>>) {
        let (content, changed) = &*self.shared;
        let mut content = content.lock().unwrap();
        content.revision += 1;
        let revision = content.revision;
        let created = content.items.get(key).map_or(revision, |item| item.created);
        match &value {
            Some(value) => {
                let item = Item {
                    value: value.clone(),
                    revision,
                    created,
                };
                content.items.insert(key.to_owned(), item);
            }
            None => {
                content.items.remove(key);
            }
        }
        let at = Instant::now();
        let key = key.to_owned();
        content.history.push_back(Change {
            at,
            key,
            value,
            revision,
            created,
        });
        while content.history.front().is_some_and(|c| c.at.elapsed() > HISTORY) {
            let dropped = content.history.pop_front().unwrap();
            content.discarded = dropped.revision;
        }
        changed.notify_all();
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
            loop {
                let mut field = String::new();
                if !matches!(reader.read_line(&mut field), Ok(n) if n > 0) {
                    return;
                }
                if field.trim().is_empty() {
                    break;
                }
            }
            let (status, body) = self.answer(&target);
            let head = format!(
                "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all(head.as_bytes()).is_err() || writer.write_all(body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, target: &str) -> (u16, String) {
        thread::sleep(Duration::from_millis(4));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let parts = query.split('&').filter_map(|part| part.split_once('='));
            parts.filter(|(key, _)| *key == name).map(|(_, value)| value.to_owned()).next()
        };
        let (content, changed) = &*self.shared;
        let mut content = content.lock().unwrap();
        match path {
            "/api/kv-key" => match content.items.get(&field("key").unwrap_or_default()) {
                Some(item) => (200, item_json(&field("key").unwrap(), item, content.revision)),
                None => (404, "{}".to_owned()),
            },
            "/api/kv-range" => {
                let prefix = field("pathPrefix").unwrap_or_default();
                let after = field("after").unwrap_or_default();
                let all = content.items.iter();
                let all = all.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<String> = all
                    .map(|(key, item)| item_json(key, item, content.revision))
                    .collect();
                let body = format!(
                    "{{\"items\":[{}],\"hasMore\":false,\"asOf\":{}}}",
                    items.join(","),
                    content.revision
                );
                (200, body)
            }
            "/api/kv-watch" => {
                let prefix = field("pathPrefix").unwrap_or_default();
                let number = |name: &str| field(name).and_then(|text| text.parse::<u64>().ok());
                let after = number("after").unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
                loop {
                    if after < content.discarded {
                        return (410, "{}".to_owned());
                    }
                    let events = content.history.iter();
                    let events = events.filter(|c| c.revision > after && c.key.starts_with(&prefix));
                    let events: Vec<String> = events.map(change_json).collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let events = events.join(",");
                        let body = format!("{{\"events\":[{events}],\"asOf\":{}}}", content.revision);
                        return (200, body);
                    }
                    content = changed.wait_timeout(content, left).unwrap().0;
                }
            }
            _ => (404, "{}".to_owned()),
        }
    }
}

fn item_json(key: &str, item: &Item, as_of: u64) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"createRevision\":{},\"lease\":0,\"asOf\":{as_of}}}",
        base64(&item.value),
        item.revision,
        item.created
    )
}

fn change_json(change: &Change) -> String {
    match &change.value {
        Some(value) => format!(
            "{{\"key\":\"{}\",\"value\":\"{}\",\"revision\":{},\"createRevision\":{},\"lease\":0}}",
            change.key,
            base64(value),
            change.revision,
            change.created
        ),
        None => format!(
            "{{\"key\":\"{}\",\"revision\":{},\"removed\":true}}",
            change.key, change.revision
        ),
    }
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for place in 0..4 {
            if place <= chunk.len() {
                text.push(char::from(ALPHABET[(word >> (18 - 6 * place) & 63) as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
