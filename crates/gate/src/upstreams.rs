//! Applies what was read of the upstreams to the state of the process.

use bytes::Bytes;
use tsw_base::time::{Span, Timestamp};
use tsw_event::{emit, Event};
use tsw_flow::{
    history::History,
    owner::{self, Node},
    pool::Entry,
    registry::{Change, EraChange, Position},
};
use tsw_platform::{
    store::{Item, Items},
    upstream,
};
use tsw_route::Name;

use crate::{
    list::{self, List},
    state::State,
};

impl State {
    /// Applies upstreams read from the store or a peer, and returns whether they are of the current
    /// era or a later one. A whole list also removes the upstreams that it lacks.
    pub fn apply_upstreams(&self, items: &[Item], position: Position, kind: list::Kind) -> bool {
        let known = self.registry.borrow().position().revision;
        let hides_changes = self.hides_changes(items, position, kind);
        if !self.enter_era(position) {
            return false;
        }
        if hides_changes {
            emit(
                Event::ChangesHidden,
                &[("known", &known), ("revision", &position.revision)],
            );
            self.router.record_hidden_changes();
        }
        let accepting = self.apply_items(items, position);
        if kind == list::Kind::Whole {
            self.apply_list(items, position);
        }
        if kind == list::Kind::Difference {
            self.store_copy
                .borrow_mut()
                .forget_changes(position.revision);
        }
        self.registry.borrow_mut().advance(position.revision);
        // Other routers may have read the list in between.
        let registry = self.registry.borrow();
        let passed = accepting
            .iter()
            .filter(|entry| !registry.is_accepting(entry));
        self.router.record_passed_runs(passed);
        drop(registry);
        self.apply_entries();
        true
    }

    fn hides_changes(&self, items: &[Item], position: Position, kind: list::Kind) -> bool {
        let read = items.iter().map(|item| {
            let key: Name = item.key.as_str().into();
            (key, item.revision, item.value.is_some())
        });
        let read: Vec<(Name, u64, bool)> = read.collect();
        let read = read
            .iter()
            .map(|(key, revision, is_listed)| (key, *revision, *is_listed));
        kind.hides_changes(&self.registry.borrow(), position, read)
    }

    /// Applies what the store's history tells of the time before the start.
    pub fn apply_history(&self, era: Option<u64>, history: &History) {
        if self.registry.borrow().position().era != era {
            return;
        }
        let now = self.router.now();
        let mut registry = self.registry.borrow_mut();
        registry.record_history(now, era, history);
        drop(registry);
        let before = |age: Span| Timestamp::ZERO + now.since(Timestamp::ZERO + age);
        let History {
            departed,
            replaced,
            latest,
            steps,
            known_for,
            ..
        } = history;
        for past in departed.iter().chain(replaced).chain(latest) {
            self.router.record_software(before(past.age), &past.entry);
        }
        self.router.record_history(now, before(*known_for), steps);
        if *known_for > Span::ZERO {
            let known_ms = i64::try_from(known_for.as_millis()).unwrap_or(i64::MAX);
            self.router.metrics.history_ms.set(known_ms);
            self.router.set_software_complete();
            self.router.set_software_known_since(before(*known_for));
        }
        self.apply_entries();
    }

    /// Records the changes up to a list that the store's history shows, for other routers.
    pub fn record_changes(&self, after: u64, history: &Items, listed_at: u64) {
        let changes = history.items.iter().filter_map(|item| {
            let id = item.key.strip_prefix(upstream::PREFIX)?;
            let content = item.value.clone();
            // Peers need to know only that an entry that names no upstream is listed.
            let is_usable = |bytes: &Bytes| upstream::decode(id, bytes).is_ok();
            let content = content.map(|bytes| {
                if is_usable(&bytes) {
                    bytes
                } else {
                    Bytes::new()
                }
            });
            (item.revision <= listed_at).then(|| (id.into(), item.revision, content))
        });
        if self.registry.borrow().position().era == history.position.era {
            let mut store_copy = self.store_copy.borrow_mut();
            store_copy.record_history(after, listed_at, changes);
        }
    }

    fn enter_era(&self, position: Position) -> bool {
        let now = self.router.now();
        let mut registry = self.registry.borrow_mut();
        let before = registry.position();
        let change = registry.enter_era(now, position.era);
        let fields: &[(&'static str, &dyn std::fmt::Display)] = &[
            ("from", &before.era.unwrap_or(0)),
            ("to", &position.era.unwrap_or(0)),
            ("known", &before.revision),
            ("revision", &position.revision),
        ];
        match change {
            EraChange::Same => {}
            EraChange::First => self.store_copy.borrow_mut().enter_era(position.era),
            EraChange::Restored => {
                self.store_copy.borrow_mut().enter_era(position.era);
                emit(Event::StoreRestored, fields);
                // The copy lacks what was written since, as if it had not been read meanwhile.
                self.read_since.set(self.read_since.get().map(|_| now));
            }
            EraChange::Older => emit(Event::StoreOutdated, fields),
        }
        change != EraChange::Older
    }

    /// Applies entries of upstreams from a read up to a position, and returns the changed ones that accept new requests.
    fn apply_items(&self, items: &[Item], position: Position) -> Vec<Entry> {
        let now = self.router.now();
        let mut accepting = Vec::new();
        let mut registry = self.registry.borrow_mut();
        let mut store_copy = self.store_copy.borrow_mut();
        for item in items {
            let Some(id) = item.key.strip_prefix(upstream::PREFIX) else {
                continue;
            };
            let key: Name = id.into();
            let entry = item
                .value
                .as_ref()
                .map(|bytes| match upstream::decode(id, bytes) {
                    Ok(entry) => Some(entry),
                    Err(error) => {
                        emit(Event::EntryRejected, &[("entry", &id), ("cause", &error)]);
                        None
                    }
                });
            // Peers need to know only that such an entry is listed.
            let is_unusable = matches!(entry, Some(None));
            let content = item.value.clone();
            let content = content.map(|bytes| if is_unusable { Bytes::new() } else { bytes });
            let before = registry
                .entry(&key)
                .map(|(entry, known)| (entry.clone(), known));
            let offered = entry.clone().flatten();
            let mut list = List {
                registry: &mut registry,
                copy: &mut store_copy,
            };
            let item_read = list::Item {
                key: key.clone(),
                revision: item.revision,
                entry,
                content: content.clone(),
            };
            let change = list.set(now, position, item_read);
            if let Some(entry) = &offered {
                // Even an entry that is ignored shows which software served until recently.
                self.router.record_software(now, entry);
            }
            // Heartbeats are not passed on to peers, unless one states that the upstream has become cold again.
            let is_colder = change != Change::Stale && self.record_cold(item, offered.as_ref());
            log_change(change, item.revision, before, offered.as_ref());
            if change == Change::Heartbeat && is_colder {
                store_copy.set_entry(key, item.revision, content);
            }
            let changed = offered.filter(|_| change == Change::Content);
            accepting.extend(changed.filter(|entry| !entry.leaving));
        }
        accepting
    }

    /// Records for how long the upstream of an entry is cold, and returns whether that is longer than known before.
    fn record_cold(&self, item: &Item, entry: Option<&Entry>) -> bool {
        let (Some(entry), Some(bytes)) = (entry, &item.value) else {
            return false;
        };
        let left = upstream::decode_cold(bytes);
        left > Span::ZERO && self.router.record_cold(entry, left)
    }

    /// Removes the entries that are missing from a complete list as of a position.
    fn apply_list(&self, items: &[Item], position: Position) {
        let keys: Vec<Name> = items
            .iter()
            .filter_map(|item| item.key.strip_prefix(upstream::PREFIX))
            .map(Name::from)
            .collect();
        let mut list = List {
            registry: &mut self.registry.borrow_mut(),
            copy: &mut self.store_copy.borrow_mut(),
        };
        list.retain(self.router.now(), position, &keys);
    }

    /// Passes the currently listed upstreams to the services.
    pub fn apply_entries(&self) {
        let now = self.router.now();
        let entries = self.registry.borrow_mut().entries(now);
        let kept = self.registry.borrow().kept();
        let mut roster = self.roster.borrow_mut();
        roster.me.ready = self.is_ready();
        let routers = roster.client_routers(now).into_iter().map(|member| Node {
            domain: member.domain.as_str().into(),
            name: member.host.as_str().into(),
        });
        let upstreams = entries.iter().map(|entry| Node {
            domain: entry.domain.clone(),
            name: entry.id.clone(),
        });
        let routers: Vec<Node> = routers.collect();
        let upstreams: Vec<Node> = upstreams.collect();
        let owned = owner::owned(&roster.me.host, &routers, &upstreams);
        drop(roster);
        for entry in &entries {
            self.router.record_software(now, entry);
        }
        self.router.set_entries(entries, &kept, owned);
        self.router
            .set_doubtful_runs(self.registry.borrow().doubtful_runs());
    }
}

/// Logs the effect of new content of an entry. Content that was read twice is not logged.
fn log_change(
    change: Change,
    revision: u64,
    known: Option<(Entry, Position)>,
    offered: Option<&Entry>,
) {
    let is_leaving = |entry: Option<&Entry>| entry.is_some_and(|entry| entry.leaving);
    let (known, position) = known.unzip();
    let known_revision = position.map_or(0, |position| position.revision);
    let number = |entry: &Entry| (entry.started_at, entry.seq);
    match (change, &known, offered) {
        (Change::Heartbeat, ..) => {}
        (Change::Stale, Some(before), Some(entry)) if number(before) != number(entry) => emit(
            Event::EntryIgnored,
            &[
                ("upstream", &entry.id),
                ("seq", &entry.seq),
                ("leaving", &entry.leaving),
                ("revision", &revision),
                ("known_seq", &before.seq),
                ("known_revision", &known_revision),
            ],
        ),
        (Change::Pending, Some(before), Some(entry)) => emit(
            Event::EntryIgnored,
            &[
                ("upstream", &entry.id),
                ("seq", &entry.seq),
                ("leaving", &entry.leaving),
                ("revision", &revision),
                ("known_seq", &before.seq),
                ("known_revision", &known_revision),
                ("cause", &"it may be of a run before"),
            ],
        ),
        (Change::Withheld, _, Some(entry)) => emit(
            Event::EntryIgnored,
            &[
                ("upstream", &entry.id),
                ("seq", &entry.seq),
                ("leaving", &entry.leaving),
                ("revision", &revision),
                ("cause", &"left before"),
            ],
        ),
        (Change::Content, None, Some(entry)) => emit(
            Event::UpstreamAdded,
            &[
                ("upstream", &entry.id),
                ("service", &entry.service),
                ("revision", &revision),
            ],
        ),
        (Change::Content, Some(entry), None) => emit(
            Event::UpstreamGone,
            &[("upstream", &entry.id), ("revision", &revision)],
        ),
        _ => {}
    }
    if change == Change::Content && is_leaving(offered) && !is_leaving(known.as_ref()) {
        if let Some(entry) = offered {
            emit(
                Event::UpstreamLeaving,
                &[("upstream", &entry.id), ("revision", &revision)],
            );
        }
    }
}
