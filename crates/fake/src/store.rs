//! The key-value store of the users' platform, which routers only read.
//!
//! Calls: `GET /api/kv-key`, `GET /api/kv-range` and `GET /api/kv-watch`. Tests change its
//! contents and availability through [`Store`]. Every response names the era of its content: the
//! era rises by one whenever the store returns from a copy, after which it assigns the revisions of
//! the lost changes again.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use actix_http::{
    body::{BodyStream, MessageBody as _},
    header::{HeaderName, HeaderValue},
    StatusCode,
};
use base64::{engine::general_purpose::STANDARD, Engine as _};
use bytes::Bytes;
use futures_util::stream;
use serde_json::json;
use tokio::sync::Notify;

use crate::http::{self, Call, Error, Handler, HttpResponse, Server};

/// Maximum number of items in one page.
const PAGE_SIZE: usize = 50;
/// Size of the values from which on a page ends, in bytes.
const PAGE_BYTES: usize = 1 << 20;
/// Maximum duration of a watch.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// Header that names the era of the store.
const ERA: HeaderName = HeaderName::from_static("store-era");

/// How the store responds to calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// Normally.
    #[default]
    Up,
    /// With status 503.
    Busy,
    /// Not at all.
    Silent,
    /// With status 410 to each watch, as if the history were compacted before it.
    Compacting,
}

#[derive(Clone, Debug)]
struct Change {
    key: String,
    revision: u64,
    /// Revision at which the key was created.
    created: u64,
    /// Size of the value in bytes; `None` if the item was removed.
    size: Option<usize>,
    /// The change as JSON. It is encoded once, since that blocks the thread of a test for a second if
    /// there are many large values.
    json: Arc<str>,
}

impl Change {
    fn new(key: &str, revision: u64, created: u64, value: Option<&[u8]>) -> Self {
        let json = match value {
            Some(value) => json!({
                "key": key, "value": STANDARD.encode(value), "revision": revision,
                "createRevision": created, "lease": 0,
            }),
            None => json!({"key": key, "revision": revision, "removed": true}),
        };
        Self {
            key: key.to_owned(),
            revision,
            created,
            size: value.map(<[u8]>::len),
            json: json.to_string().into(),
        }
    }
}

fn array<'a>(changes: impl IntoIterator<Item = &'a Change>) -> String {
    let changes: Vec<&str> = changes.into_iter().map(|change| &*change.json).collect();
    format!("[{}]", changes.join(","))
}

/// The content of a [`Store`] at one moment, with its revision and its history.
#[derive(Clone, Debug)]
pub struct Copy {
    changes: Vec<Change>,
    compacted_revision: u64,
}

impl Copy {
    /// Returns the revision of the store when the copy was made.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.changes.len() as u64
    }

    /// Returns the keys that start with a prefix, sorted.
    #[must_use]
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let items = items(&self.changes, prefix).into_iter();
        items.map(|item| item.key).collect()
    }
}

/// Returns the current items whose keys start with a prefix, sorted by key.
fn items(changes: &[Change], prefix: &str) -> Vec<Change> {
    let mut items: Vec<Change> = Vec::new();
    for change in changes
        .iter()
        .filter(|change| change.key.starts_with(prefix))
    {
        items.retain(|item| item.key != change.key);
        items.push(change.clone());
    }
    items.retain(|item| item.size.is_some());
    items.sort_by(|a, b| a.key.cmp(&b.key));
    items
}

struct State {
    changes: RefCell<Vec<Change>>,
    /// Watches that start before this revision are refused.
    compacted_revision: Cell<u64>,
    /// Number of times that the store has returned from a copy, plus one.
    era: Cell<u64>,
    names_era: Cell<bool>,
    mode: Cell<Mode>,
    calls: Cell<u64>,
    changed: Notify,
}

impl Default for State {
    fn default() -> Self {
        Self {
            changes: RefCell::default(),
            compacted_revision: Cell::default(),
            era: Cell::new(1),
            names_era: Cell::new(true),
            mode: Cell::default(),
            calls: Cell::default(),
            changed: Notify::default(),
        }
    }
}

impl State {
    fn revision(&self) -> u64 {
        self.changes.borrow().len() as u64
    }

    fn range(&self, call: &Call) -> HttpResponse {
        let after = call.param("after").unwrap_or_default();
        let prefix = call.param("pathPrefix").unwrap_or_default();
        let mut items = items(&self.changes.borrow(), &prefix);
        items.retain(|item| item.key > after);
        let mut bytes = 0;
        let fit = items.iter().take_while(|item| {
            let fits = bytes < PAGE_BYTES;
            bytes += item.size.unwrap_or(0);
            fits
        });
        let fit = fit.count().min(PAGE_SIZE);
        let more = items.len() > fit;
        items.truncate(fit);
        let (items, revision) = (array(&items), self.revision());
        let body = format!("{{\"items\":{items},\"hasMore\":{more},\"asOf\":{revision}}}");
        http::json_text(StatusCode::OK, body)
    }

    fn key(&self, call: &Call) -> HttpResponse {
        let key = call.param("key").unwrap_or_default();
        let items = items(&self.changes.borrow(), &key);
        match items.into_iter().find(|item| item.key == key) {
            Some(item) => http::json_text(StatusCode::OK, item.json.to_string()),
            None => http::error_response(StatusCode::NOT_FOUND, &"no such key"),
        }
    }

    async fn watch(&self, call: &Call) -> HttpResponse {
        let after = call.number("after").unwrap_or(0);
        let prefix = call.param("pathPrefix").unwrap_or_default();
        let wait = Duration::from_millis(call.number("waitMs").unwrap_or(0)).min(MAX_WAIT);
        let deadline = actix_rt::time::Instant::now() + wait;
        let era = self.era.get();
        loop {
            if self.era.get() != era {
                return cut();
            }
            let is_compacting = self.mode.get() == Mode::Compacting;
            if is_compacting || after < self.compacted_revision.get() || after > self.revision() {
                return http::error_response(StatusCode::GONE, &"the history is gone");
            }
            let changed = self.changed.notified();
            let events: Vec<Change> = {
                let changes = self.changes.borrow();
                let new = changes
                    .iter()
                    .filter(|change| change.revision > after && change.key.starts_with(&prefix));
                new.cloned().collect()
            };
            let expired = actix_rt::time::Instant::now() >= deadline;
            if !events.is_empty() || expired {
                let (events, revision) = (array(&events), self.revision());
                let body = format!("{{\"events\":{events},\"asOf\":{revision}}}");
                return http::json_text(StatusCode::OK, body);
            }
            tokio::select! {
                () = changed => {}
                () = actix_rt::time::sleep_until(deadline) => {}
            }
        }
    }
}

/// The key-value store of the users' platform.
pub struct Store {
    state: Rc<State>,
    server: Server,
}

impl Store {
    /// Listens on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub async fn bind() -> Result<Self, Error> {
        let state = Rc::new(State::default());
        let shared = state.clone();
        let handler: Handler = Rc::new(move |call| {
            let state = shared.clone();
            Box::pin(async move { respond(&state, &call).await })
        });
        let server = Server::bind(SocketAddr::from(([127, 0, 0, 1], 0)), handler).await?;
        Ok(Self { state, server })
    }

    /// Listens on a free loopback port with the content of a copy, in the first era. Routers of different stores then
    /// name the same content by the same position.
    ///
    /// ```
    /// # actix_rt::System::new().block_on(async {
    /// use tsw_fake::store::Store;
    /// let store = Store::bind().await?;
    /// store.set("a", Some(b"1"));
    /// let other = Store::bind_copy(&store.copy()).await?;
    /// assert_eq!((other.revision(), other.era()), (1, 1));
    /// # Ok::<(), tsw_fake::http::Error>(())
    /// # }).unwrap();
    /// ```
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub async fn bind_copy(copy: &Copy) -> Result<Self, Error> {
        let store = Self::bind().await?;
        store.state.changes.replace(copy.changes.clone());
        store.state.compacted_revision.set(copy.compacted_revision);
        Ok(store)
    }

    /// Returns the address for routers.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Writes an item, or removes it if there is no value.
    pub fn set(&self, key: &str, value: Option<&[u8]>) {
        let revision = self.state.revision() + 1;
        let mut changes = self.state.changes.borrow_mut();
        let before = changes.iter().rfind(|change| change.key == key);
        let before = before.filter(|change| change.size.is_some());
        let created = before.map_or(revision, |change| change.created);
        changes.push(Change::new(key, revision, created, value));
        drop(changes);
        self.state.changed.notify_waiters();
    }

    /// Copies the content, the revision and the history.
    #[must_use]
    pub fn copy(&self) -> Copy {
        Copy {
            changes: self.state.changes.borrow().clone(),
            compacted_revision: self.state.compacted_revision.get(),
        }
    }

    /// Returns from a copy: the content, the revision and the history become those of the copy, and
    /// the era rises by one. The revisions after that of the copy are assigned again. The
    /// connections of waiting watches are closed without a response; they may be watching from a
    /// revision that the store no longer has, which is refused with status 410 until the revision
    /// has been assigned again.
    ///
    /// ```
    /// # actix_rt::System::new().block_on(async {
    /// use tsw_fake::store::Store;
    /// let store = Store::bind().await?;
    /// store.set("a", Some(b"1"));
    /// let copy = store.copy();
    /// store.set("a", Some(b"2"));
    /// store.restore(&copy);
    /// assert_eq!((store.copy().revision(), store.era()), (1, 2));
    /// # Ok::<(), tsw_fake::http::Error>(())
    /// # }).unwrap();
    /// ```
    pub fn restore(&self, copy: &Copy) {
        self.state.changes.replace(copy.changes.clone());
        self.state.compacted_revision.set(copy.compacted_revision);
        self.state.era.set(self.state.era.get() + 1);
        self.state.changed.notify_waiters();
    }

    /// Returns the era, which starts at 1.
    #[must_use]
    pub fn era(&self) -> u64 {
        self.state.era.get()
    }

    /// Changes whether responses name the era, as they do at first. A store of an older platform
    /// does not.
    pub fn set_names_era(&self, names_era: bool) {
        self.state.names_era.set(names_era);
    }

    /// Compacts the history: watches that start before the current revision are refused with status
    /// 410.
    pub fn compact(&self) {
        self.state.compacted_revision.set(self.state.revision());
        self.state.changed.notify_waiters();
    }

    /// Discards the history up to a revision, as [`Store::compact`] does up to the current one.
    pub fn compact_up_to(&self, revision: u64) {
        let compacted = self.state.compacted_revision.get();
        self.state.compacted_revision.set(compacted.max(revision));
    }

    /// Returns the current revision.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.state.revision()
    }

    /// Returns the number of calls so far.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.state.calls.get()
    }

    /// Changes how the store responds to calls.
    pub fn set_mode(&self, mode: Mode) {
        self.state.mode.set(mode);
        self.state.changed.notify_waiters();
    }
}

async fn respond(state: &State, call: &Call) -> HttpResponse {
    state.calls.set(state.calls.get() + 1);
    let era = state.era.get();
    let mut response = match state.mode.get() {
        Mode::Up | Mode::Compacting => read(state, call).await,
        Mode::Busy => http::error_response(StatusCode::SERVICE_UNAVAILABLE, &"busy"),
        Mode::Silent => std::future::pending().await,
    };
    if state.era.get() == era && state.mode.get() == Mode::Silent {
        std::future::pending().await
    }
    if state.names_era.get() {
        let era = HeaderValue::from(state.era.get());
        response.headers_mut().insert(ERA, era);
    }
    response
}

async fn read(state: &State, call: &Call) -> HttpResponse {
    match call.path.as_str() {
        "/api/kv-key" => state.key(call),
        "/api/kv-range" => state.range(call),
        "/api/kv-watch" => state.watch(call).await,
        _ => http::not_found(call),
    }
}

/// Returns a response whose body fails before the head is sent, which closes the connection.
fn cut() -> HttpResponse {
    let failure = io::Error::other("the store has returned from a copy");
    let body = BodyStream::new(stream::iter([Err::<Bytes, _>(failure)]));
    HttpResponse::new(StatusCode::OK).set_body(body.boxed())
}
