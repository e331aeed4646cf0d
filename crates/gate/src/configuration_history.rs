//! Reads at the start which configurations were active before, since streams that clients resume may have begun
//! under them.

use std::{rc::Rc, time::Duration};

use tokio::time;
use tsw_event::{emit, Event};
use tsw_flow::registry::Position;
use tsw_platform::{
    configuration,
    store::{Error, Item, Items, Store},
};

use crate::state::State;

/// Maximum number of attempts.
const MAX_ATTEMPTS: u32 = 5;
/// Pause after a failed attempt.
const PAUSE: Duration = Duration::from_millis(300);
/// Highest era of a store that was not restored from a copy.
const FIRST_ERA: u64 = 1;

/// Reads and applies the configurations before a list.
pub async fn run(state: Rc<State>, list: Items) {
    let current = list
        .items
        .iter()
        .find(|item| item.key == configuration::KEY);
    // After a restore, the history lacks what the copy does not hold.
    let is_first_era = list.position.era.is_none_or(|era| era <= FIRST_ERA);
    let Some(current) = current.filter(|_| is_first_era) else {
        return;
    };
    let mut store = Store::new(state.settings.borrow().store);
    for _ in 0..MAX_ATTEMPTS {
        let cause = match read(&mut store, current, list.position).await {
            Ok(Some(items)) => {
                let contents = items.iter().filter_map(|item| item.value.as_ref());
                // What cannot be decoded was never active.
                let tables = contents.filter_map(|bytes| configuration::decode(bytes).ok());
                return state.router.record_past_tables(tables.collect());
            }
            Ok(None) => return report(current, &"the history does not show the one before"),
            Err(error) => error,
        };
        report(current, &cause);
        time::sleep(PAUSE).await;
    }
}

fn report(current: &Item, cause: &dyn std::fmt::Display) {
    emit(
        Event::ConfigurationHistoryUnavailable,
        &[("revision", &current.revision), ("cause", cause)],
    );
}

/// Returns the configurations that the store may have held since the oldest change of its history; `None` if the
/// history does not show one of them.
async fn read(
    store: &mut Store,
    current: &Item,
    position: Position,
) -> Result<Option<Vec<Item>>, Error> {
    if current.created == Some(current.revision) {
        return Ok(Some(Vec::new()));
    }
    if let Some(created) = current.created {
        match watch_from(store, created, position).await {
            Ok(items) => return Ok(Some(items)),
            Err(Error::Compacted) => {}
            Err(error) => return Err(error),
        }
    }
    match watch_from(store, current.revision, position).await {
        // It is older than all changes that the store keeps.
        Err(Error::Compacted) => Ok(Some(Vec::new())),
        Ok(_) => Ok(None),
        Err(error) => Err(error),
    }
}

/// Returns the changes of the configuration from a revision on.
async fn watch_from(
    store: &mut Store,
    revision: u64,
    position: Position,
) -> Result<Vec<Item>, Error> {
    let after = Position {
        revision: revision.saturating_sub(1),
        ..position
    };
    let items = store
        .watch(configuration::PREFIX, after, Duration::ZERO)
        .await?;
    let changes = items.items.into_iter();
    Ok(changes
        .filter(|item| item.key == configuration::KEY)
        .collect())
}
