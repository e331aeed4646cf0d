//! Responses according to a behaviour.

use std::{io, time::Duration};

use tokio::{io::AsyncWriteExt, time};
use tsw_http::connection::Connection;

use super::{
    refusal,
    request::{reset_on_close, wait_for_close},
    stream, Arrival, Behaviour, Report, State, CRASH_DOWNTIME,
};

/// Pause before an event, and before a crash, of a response that crashes on a request.
pub(super) const EVENT_PAUSE: Duration = Duration::from_millis(20);

fn plain_response(id: &str, length: Option<usize>, body: &str) -> String {
    let length = length.map_or(String::new(), |length| {
        format!("Content-Length: {length}\r\n")
    });
    format!("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: of-{id}\r\n{length}\r\n{body}")
}

/// Sends what the upstream says of itself. It is no request of a client, so that no behaviour applies. Returns
/// whether the connection can be used for another request.
pub(super) async fn report(state: &State, connection: &mut Connection) -> io::Result<bool> {
    let status = match state.report.get() {
        Report::Given => "200 OK",
        Report::Late(pause) => {
            time::sleep(pause).await;
            "200 OK"
        }
        Report::NotFound => "404 Not Found",
        Report::Busy => "503 Service Unavailable",
        Report::Silent => {
            wait_for_close(connection).await;
            return Ok(false);
        }
        Report::Reset => {
            reset_on_close(connection);
            return Ok(false);
        }
    };
    let mut report = serde_json::json!({"stage": "both", "running": 0});
    if let Some(born) = state.born.get() {
        report["born"] = born.into();
    }
    write_json(connection, status, &report).await?;
    Ok(true)
}

/// Sends the prompt parts that the upstream keeps, if it states them. No behaviour applies to that either.
pub(super) async fn kept_parts(state: &State, connection: &mut Connection) -> io::Result<()> {
    if !state.states_parts.get() {
        return write_json(connection, "404 Not Found", &serde_json::json!({})).await;
    }
    let arrivals = state.arrivals.borrow().clone();
    let kept = arrivals.iter().skip(state.lost_prompts.get());
    let prompts = kept.filter_map(|arrival| arrival.head.fields.text("Prompt-Prefix"));
    let parts = prompts.flat_map(|prompt| prompt.split(','));
    let parts = parts.filter_map(|part| part.split_once(':'));
    let held: Vec<_> = parts
        .map(|(id, tokens)| serde_json::json!(["", id, tokens.parse::<u64>().ok(), "m"]))
        .collect();
    let list = serde_json::json!({"epoch": 1, "next": held.len(), "held": held});
    write_json(connection, "200 OK", &list).await
}

async fn write_json(
    connection: &mut Connection,
    status: &str,
    body: &serde_json::Value,
) -> io::Result<()> {
    let body = body.to_string();
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let text = head + &body;
    connection.stream.write_all(text.as_bytes()).await
}

/// Crashes after a pause, in which what was sent arrives.
async fn crash(state: &State) -> io::Result<bool> {
    time::sleep(EVENT_PAUSE).await;
    state.crash(CRASH_DOWNTIME);
    std::future::pending().await
}

/// Responds to a request. Returns whether the connection can be used for another request.
pub(super) async fn respond(
    state: &State,
    connection: &mut Connection,
    arrival: &Arrival,
    id: &str,
    behaviour: Behaviour,
) -> io::Result<bool> {
    let body = format!("answer to {id}");
    let complete = plain_response(id, Some(body.len()), &body);
    let (text, keep_alive) = match behaviour {
        Behaviour::Plain | Behaviour::RepeatedNotRun(_) | Behaviour::EarlyRepeatedNotRun => {
            (complete, true)
        }
        Behaviour::LatePlain(pause) => {
            time::sleep(pause).await;
            (complete, true)
        }
        Behaviour::PausedPlain(length, pause) => {
            let half = "x".repeat(length / 2);
            let start = plain_response(id, Some(2 * half.len()), &half);
            connection.stream.write_all(start.as_bytes()).await?;
            time::sleep(pause).await;
            (half, true)
        }
        Behaviour::UnframedCrash(bytes) => {
            let text = plain_response(id, None, &"x".repeat(bytes));
            let text = state.with_fields(&text);
            connection.stream.write_all(text.as_bytes()).await?;
            return crash(state).await;
        }
        Behaviour::Unframed => (plain_response(id, None, &body), false),
        Behaviour::UnframedReset => (plain_response(id, None, &body), false),
        Behaviour::Truncated => (plain_response(id, Some(body.len() + 9), &body), false),
        Behaviour::CutHead(bytes) => {
            let head = complete.len() - body.len();
            (complete[..bytes.min(head - 1)].to_owned(), false)
        }
        Behaviour::Bytes(text) => (text.replace("{id}", id), true),
        Behaviour::ExtraResponse => (
            format!("{complete}{}", plain_response("other", Some(5), "wrong")),
            true,
        ),
        Behaviour::ForeignResponse => (
            format!("{}{complete}", plain_response("other", Some(5), "wrong")),
            true,
        ),
        Behaviour::NotRun => (refusal::response(&format!("Attempt-Id: {id}\r\n")), true),
        Behaviour::OtherUpstream => {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            (text, true)
        }
        Behaviour::UnidentifiedNotRun => (format!("{}{complete}", refusal::response("")), true),
        Behaviour::ForeignThenUnidentifiedNotRun => {
            let foreign = plain_response("other", Some(5), "wrong");
            let refusal = refusal::response("");
            (format!("{foreign}{refusal}{complete}"), true)
        }
        Behaviour::UnidentifiedFailure => {
            let failure = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\nfail";
            (format!("{failure}{complete}"), true)
        }
        Behaviour::Failure => {
            let text = format!(
                "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: {id}\r\nServer-Stamp: of-{id}\r\nContent-Length: 4\r\n\r\nfail"
            );
            (text, true)
        }
        Behaviour::ResetOnBody(body, events) if arrival.body != body.as_bytes() => {
            let behaviour = Behaviour::Stream(events);
            return stream::send(state, connection, arrival, id, (behaviour, events)).await;
        }
        Behaviour::Reset | Behaviour::ResetOnBody(..) => {
            reset_on_close(connection);
            return Ok(false);
        }
        Behaviour::CrashOnPart(part, events) => {
            if !stream::has_shared_part(arrival, part) {
                let behaviour = Behaviour::Stream(events);
                return stream::send(state, connection, arrival, id, (behaviour, events)).await;
            }
            let head = stream::head(id);
            connection.stream.write_all(head.as_bytes()).await?;
            state.crash(CRASH_DOWNTIME);
            return std::future::pending().await;
        }
        Behaviour::CrashOnBody(body, events, others) => {
            let behaviour = |events| (Behaviour::SlowStream(events, EVENT_PAUSE), events);
            if !arrival.body.starts_with(body.as_bytes()) {
                return stream::send(state, connection, arrival, id, behaviour(others)).await;
            }
            if events > 0 {
                stream::send_unfinished(state, connection, arrival, id, behaviour(events)).await?;
            }
            return crash(state).await;
        }
        Behaviour::Silent => {
            wait_for_close(connection).await;
            state.abandoned.borrow_mut().push(id.to_owned());
            return Ok(false);
        }
        Behaviour::Endless(endless) => {
            let (start, repeated) = endless.start_and_repeated(id);
            connection.stream.write_all(start.as_bytes()).await?;
            loop {
                connection.stream.write_all(repeated.as_bytes()).await?;
            }
        }
        Behaviour::UnframedStream(events) | Behaviour::UnframedCutStream(events) => {
            return stream::send_unframed(state, connection, arrival, id, (behaviour, events))
                .await;
        }
        Behaviour::UnframedCrashStream(events) => {
            stream::send_unframed(state, connection, arrival, id, (behaviour, events)).await?;
            return crash(state).await;
        }
        Behaviour::Stream(events)
        | Behaviour::ResetStream(events)
        | Behaviour::Stall(events)
        | Behaviour::Trickle(events)
        | Behaviour::TrickleComments(events)
        | Behaviour::PausedStream(events, ..)
        | Behaviour::SlowStream(events, _)
        | Behaviour::SlowUnframedStream(events, _) => {
            return stream::send(state, connection, arrival, id, (behaviour, events)).await;
        }
    };
    let text = match behaviour {
        Behaviour::CutHead(_) | Behaviour::Bytes(_) => text,
        _ => state.with_fields(&text),
    };
    connection.stream.write_all(text.as_bytes()).await?;
    if behaviour == Behaviour::UnframedReset {
        // A reset discards data in flight, so the router is given time to read the body first.
        actix_rt::time::sleep(Duration::from_millis(50)).await;
        reset_on_close(connection);
    }
    Ok(keep_alive)
}
