//! Streams of events.

use std::{io, time::Duration};

use tokio::{io::AsyncWriteExt, time};
use tsw_http::connection::Connection;

use super::{
    request::{reset_on_close, wait_for_close},
    response::EVENT_PAUSE,
    Arrival, Behaviour, State,
};

/// Pause between two chunks of a stream that makes no progress.
const TRICKLE_PAUSE: Duration = Duration::from_millis(100);

pub(super) fn head(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: of-{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
}

fn unframed_head(id: &str) -> String {
    head(id).replace("Transfer-Encoding: chunked\r\n", "")
}

/// Returns whether a part of the prompt other than the last has an identifier.
pub(super) fn has_shared_part(arrival: &Arrival, id: &str) -> bool {
    let parts = arrival
        .head
        .fields
        .text("Prompt-Prefix")
        .unwrap_or_default();
    let ids = parts.split(',').filter_map(|part| part.split(':').next());
    let ids: Vec<&str> = ids.collect();
    ids.split_last()
        .is_some_and(|(_, shared)| shared.contains(&id))
}

/// Returns the number of the first event that a request has not received yet.
fn first_event(arrival: &Arrival) -> u64 {
    let last = arrival.head.fields.text("Last-Event-Id");
    last.and_then(|last| last.parse().ok())
        .map_or(0, |last: u64| last + 1)
}

fn event(version: Option<&str>, number: u64) -> String {
    let version = version.map_or(String::new(), |version| format!("{version} "));
    format!("id: {number}\ndata: {version}piece {number}\n\n")
}

pub(super) async fn send_unframed(
    state: &State,
    connection: &mut Connection,
    arrival: &Arrival,
    id: &str,
    (behaviour, events): (Behaviour, u64),
) -> io::Result<bool> {
    let version = state.version.borrow().clone();
    let mut text = state.with_fields(&unframed_head(id));
    for number in first_event(arrival)..events {
        text.push_str(&event(version.as_deref(), number));
        if matches!(behaviour, Behaviour::UnframedCrashStream(_)) {
            connection.stream.write_all(text.as_bytes()).await?;
            text.clear();
            time::sleep(EVENT_PAUSE).await;
        }
    }
    if matches!(behaviour, Behaviour::UnframedCutStream(_)) {
        text.push_str(&format!("id: {events}\nda"));
    }
    connection.stream.write_all(text.as_bytes()).await?;
    Ok(false)
}

/// Sends the head and the events of a stream without its end.
pub(super) async fn send_unfinished(
    state: &State,
    connection: &mut Connection,
    arrival: &Arrival,
    id: &str,
    (behaviour, events): (Behaviour, u64),
) -> io::Result<()> {
    let first = first_event(arrival);
    let version = state.version.borrow().clone();
    let is_unframed = matches!(behaviour, Behaviour::SlowUnframedStream(..));
    let head = if is_unframed {
        unframed_head(id)
    } else {
        head(id)
    };
    let head = state.with_fields(&head);
    connection.stream.write_all(head.as_bytes()).await?;
    for number in first..events {
        let event = event(version.as_deref(), number);
        match behaviour {
            Behaviour::SlowStream(_, pause) | Behaviour::SlowUnframedStream(_, pause) => {
                time::sleep(pause).await;
            }
            Behaviour::PausedStream(_, at, pause) if at == number => time::sleep(pause).await,
            _ => {}
        }
        state.wait_for_thaw().await;
        let text = if is_unframed {
            event
        } else {
            format!("{:x}\r\n{event}\r\n", event.len())
        };
        connection.stream.write_all(text.as_bytes()).await?;
    }
    Ok(())
}

pub(super) async fn send(
    state: &State,
    connection: &mut Connection,
    arrival: &Arrival,
    id: &str,
    (behaviour, events): (Behaviour, u64),
) -> io::Result<bool> {
    send_unfinished(state, connection, arrival, id, (behaviour, events)).await?;
    match behaviour {
        Behaviour::ResetStream(_) => {
            let partial_event = format!("id: {events}\nda");
            let chunk = format!("{:x}\r\n{partial_event}\r\n", partial_event.len());
            connection.stream.write_all(chunk.as_bytes()).await?;
            actix_rt::time::sleep(Duration::from_millis(50)).await;
            reset_on_close(connection);
            Ok(false)
        }
        Behaviour::Trickle(_) | Behaviour::TrickleComments(_) => {
            let chunk = if matches!(behaviour, Behaviour::Trickle(_)) {
                "1\r\nx\r\n"
            } else {
                "4\r\n: \n\n\r\n"
            };
            while connection.stream.write_all(chunk.as_bytes()).await.is_ok() {
                actix_rt::time::sleep(TRICKLE_PAUSE).await;
            }
            state.abandoned.borrow_mut().push(id.to_owned());
            Ok(false)
        }
        Behaviour::Stall(_) => {
            wait_for_close(connection).await;
            state.abandoned.borrow_mut().push(id.to_owned());
            Ok(false)
        }
        Behaviour::SlowUnframedStream(..) => Ok(false),
        _ => {
            connection.stream.write_all(b"0\r\n\r\n").await?;
            Ok(true)
        }
    }
}
