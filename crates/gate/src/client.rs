//! Client connections.

use std::{cell::Cell, fmt::Display, io, rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{tcp::ReadHalf, TcpStream},
    time,
};
use tsw_event::{
    contained::{self, Panicked},
    emit, Event,
};
use tsw_http::{
    body,
    connection::{self, Connection},
    head,
};
use tsw_platform::client_request;
use tsw_relay::{
    local_response::LocalResponse,
    memory,
    request::Request,
    responder::{Progress, Responder},
    run::{self, Outcome},
};

use crate::{
    arrival::{Eviction, Wait},
    authorize::{self, Denied},
    origin_sync, request_body,
    state::{Phase, State},
};

/// Maximum time for writing a response that the router generates itself, to a client that does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size in bytes of pipelined data buffered while a request runs. The rest waits in the buffers of the operating
/// systems. A client that sends more ahead is noticed to have left only at the next write.
const MAX_PIPELINED: usize = 4_096;
/// Name under which heads that are still arriving take memory. No team has it, since names are not empty.
const ARRIVING: &str = "";
/// Time for which a connection is still read after a response that was sent before the whole
/// request was read. Closing it immediately could reset the connection before the client reads the
/// response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Increments a counter of requests or connections until it is dropped.
struct CountGuard<'a>(&'a Cell<usize>);

impl<'a> CountGuard<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Serves the requests on a connection until it is closed.
///
/// # Errors
///
/// Returns an error if the connection fails.
pub async fn serve(state: Rc<State>, stream: TcpStream) -> io::Result<()> {
    let Some(_open) = state.clients.open(state.max_clients()) else {
        return Ok(());
    };
    let mut connection = Connection::accepted(stream);
    let mut first = true;
    loop {
        let wait = state.clients.wait();
        let arrived = tokio::select! {
            arrived = wait_for_request(&state, &mut connection) => arrived?,
            _ = state.evicted(&wait) => false,
        };
        if !arrived {
            return Ok(());
        }
        let _in_flight = CountGuard::new(&state.in_flight);
        wait.record_part();
        let mut share = state.router.memory.share(ARRIVING.into());
        let head = tokio::select! {
            head = read_head(&state, &mut connection, &mut share) => head,
            _ = state.evicted(&wait) => return Ok(()),
        };
        let head = match head {
            Ok(Ok(head)) => head,
            Ok(Err(response)) => return refuse(&state, connection, response).await,
            Err(error) => {
                log_lost(&connection, None, &error);
                return Err(error);
            }
        };
        drop(share);
        state.reuse.record(std::mem::take(&mut first));
        // The state of a request in progress is large; a connection that waits does not hold it.
        let served = Box::pin(serve_request(&state, &mut connection, head, wait));
        if !served.await? {
            return Ok(());
        }
        release_buffer(&mut connection);
    }
}

/// Frees the buffer of a connection that waits for its next request.
fn release_buffer(connection: &mut Connection) {
    if connection.buffer.is_empty() {
        connection.buffer = BytesMut::new();
    }
}

/// Waits until a request begins to arrive. Returns false if the connection is closed instead.
async fn wait_for_request(state: &State, connection: &mut Connection) -> io::Result<bool> {
    let mut phase = state.phase.subscribe();
    let idle_since = time::Instant::now();
    while connection.buffer.is_empty() {
        // An idle connection needs no buffer.
        let arrives = async {
            connection.stream.readable().await?;
            connection.fill().await
        };
        let deadline = idle_since + state.limits().idle_timeout;
        let closes = tokio::select! {
            read = arrives => {
                if read? == 0 {
                    return Ok(false);
                }
                false
            }
            // The active configuration may have raised the timeout meanwhile.
            () = time::sleep_until(deadline) => {
                idle_since + state.limits().idle_timeout <= deadline
            }
            _ = phase.wait_for(|phase| *phase == Phase::Closing) => true,
        };
        // Data that has already arrived is read: closing now would reset the connection and lose the
        // request.
        if closes && (!connection.has_unread_bytes() || connection.fill().await? == 0) {
            return Ok(false);
        }
    }
    Ok(true)
}

/// Reads the head of a request that has begun to arrive. The inner error is the response to a head
/// that is refused.
async fn read_head(
    state: &State,
    connection: &mut Connection,
    share: &mut memory::Share,
) -> io::Result<Result<head::Request, LocalResponse>> {
    let limits = state.limits();
    let deadline = time::Instant::now() + limits.head_timeout;
    loop {
        // Parsed fields take several times the memory of their text, so that they are counted before they are parsed.
        let parsed = request_body::parsed_bytes(&connection.buffer);
        if parsed > 0 {
            let bytes = connection.buffer.capacity() + parsed;
            if !request_body::take_memory(state, share, bytes).await {
                return Ok(Err(request_body::OUT_OF_MEMORY));
            }
        }
        match head::Request::take(&mut connection.buffer, limits.head_bytes) {
            Ok(Some(head)) => return Ok(Ok(head)),
            Ok(None) => {}
            Err(head::Error::TooLong { .. } | head::Error::TooManyFields { .. }) => {
                return Ok(Err(LocalResponse::HeadTooLarge));
            }
            Err(_) => return Ok(Err(LocalResponse::Malformed)),
        }
        if !request_body::take_memory(
            state,
            share,
            request_body::capacity_after_read(&connection.buffer),
        )
        .await
        {
            return Ok(Err(request_body::OUT_OF_MEMORY));
        }
        let read = match time::timeout_at(deadline, connection.fill()).await {
            Ok(read) => read?,
            Err(_) if connection.has_unread_bytes() => connection.fill().await?,
            Err(_) => return Ok(Err(LocalResponse::RequestTimeout)),
        };
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

/// Responds to a request whose head is invalid, and closes the connection.
async fn refuse(
    state: &State,
    mut connection: Connection,
    response: LocalResponse,
) -> io::Result<()> {
    emit(Event::Refused, &[("cause", &response)]);
    connection.buffer = BytesMut::new();
    let head = head::Request {
        method: Bytes::from_static(b"GET"),
        target: Bytes::from_static(b"/"),
        http10: false,
        fields: tsw_http::field::Fields::default(),
    };
    let (_, writer) = connection.stream.split();
    let mut responder = Responder::new(writer, &head, true);
    let writing = run::send_local_response(&state.router, &mut responder, None, response);
    time::timeout(WRITE_TIMEOUT, writing).await??;
    linger(&mut connection).await;
    Ok(())
}

/// Reads and discards what a client still sends after an early response.
async fn linger(connection: &mut Connection) {
    let rest = async {
        // Errors are ignored, since the connection is closed in any case.
        let _ = connection.stream.shutdown().await;
        while connection.fill().await.is_ok_and(|read| read > 0) {
            connection.buffer.clear();
        }
    };
    let _ = time::timeout(LINGER_TIMEOUT, rest).await;
}

/// Serves one request and returns whether the connection can be reused.
async fn serve_request(
    state: &Rc<State>,
    connection: &mut Connection,
    head: head::Request,
    wait: Wait,
) -> io::Result<bool> {
    let table = state.router.table();
    let checked = authorize::check(&head, table.as_ref());
    let allowed = match checked {
        Ok(allowed) => allowed,
        Err(denied) => {
            let version = table.as_ref().map_or(0, |table| table.version);
            let denied = deny(state, connection, &head, &denied, version);
            let (is_reusable, has_whole_body) = time::timeout(WRITE_TIMEOUT, denied).await??;
            // No account counts the head, so that it must not stay while the client is waited for.
            drop(head);
            if !has_whole_body {
                linger(connection).await;
            }
            return Ok(is_reusable);
        }
    };
    let mut share = state.router.memory.share(allowed.team_name());
    let body = tokio::select! {
        body = request_body::read(state, connection, &head, &mut share) => body,
        reason = state.evicted(&wait) => match reason {
            Eviction::Connections => return Ok(false),
            Eviction::Memory => Ok(Err(request_body::OUT_OF_MEMORY)),
        },
    };
    drop(wait);
    let body = match body {
        Ok(Ok(body)) => body,
        Err(error) => {
            log_lost(connection, Some(&head), &error);
            return Err(error);
        }
        Ok(Err(response)) => {
            // What has arrived of the body is returned before the response is written.
            connection.buffer = BytesMut::new();
            drop(share);
            let (_, writer) = connection.stream.split();
            let mut responder = Responder::new(writer, &head, true);
            emit(Event::Refused, &[("cause", &response)]);
            responder.close_after_response();
            let writing = run::send_local_response(&state.router, &mut responder, None, response);
            time::timeout(WRITE_TIMEOUT, writing).await??;
            drop(responder);
            drop(head);
            linger(connection).await;
            return Ok(false);
        }
    };
    let arrived = state.router.now();
    let closing = state.closes_after_response();
    let (mut reader, writer) = connection.stream.split();
    let mut responder = Responder::new(writer, &head, closing);
    if state.reuse.is_rare() {
        responder.close_if_not_run();
    }
    let http10 = head.http10;
    let mut request = allowed.into_request(head, body, arrived);
    state.router.bind_known(&mut request);
    let is_closed = tokio::select! {
        () = origin_sync::bind(state, &mut request) => false,
        () = client_closed(&mut reader, &mut connection.buffer) => true,
    };
    if is_closed {
        log_disconnect(state, &request);
        return Ok(false);
    }
    let request = Rc::new(request);
    let end = tokio::select! {
        end = contained::run(run::run(&state.router, &request, &mut responder)) => end,
        () = client_closed(&mut reader, &mut connection.buffer) => {
            log_disconnect(state, &request);
            return Ok(false);
        }
    };
    let end = match end {
        Ok(end) => end,
        Err(Panicked) => return respond_after_panic(state, &request, &mut responder).await,
    };
    match end {
        Ok(Outcome::Complete) => Ok(responder.is_reusable()),
        Ok(Outcome::Truncated) => {
            if http10 {
                // For an HTTP/1.0 client, the end of the connection marks the end of the response.
                // A reset shows that the response is incomplete.
                connection::reset_on_close(&connection.stream)?;
            }
            Ok(false)
        }
        Err(error) => {
            log_disconnect(state, &request);
            Err(error)
        }
    }
}

/// Answers a request that is denied, without reading a body that has not arrived yet. Returns whether the
/// connection can be reused, and whether the body had arrived.
async fn deny(
    state: &State,
    connection: &mut Connection,
    head: &head::Request,
    denied: &Denied,
    version: u64,
) -> io::Result<(bool, bool)> {
    let id = denied.id.as_deref();
    emit(
        Event::Refused,
        &[
            ("request", &id.unwrap_or("-")),
            ("cause", &denied.response),
            ("version", &version),
        ],
    );
    let has_whole_body = match head.length() {
        Ok(body::Length::Exact(bytes)) => skip_arrived(connection, bytes),
        _ => false,
    };
    let close = !has_whole_body || state.closes_after_response();
    let (_, writer) = connection.stream.split();
    let mut responder = Responder::new(writer, head, close);
    if state.reuse.is_rare() {
        responder.close_if_not_run();
    }
    run::send_local_response(&state.router, &mut responder, id, denied.response).await?;
    Ok((responder.is_reusable(), has_whole_body))
}

/// Discards a body if all of it has arrived, and returns whether it has.
fn skip_arrived(connection: &mut Connection, bytes: u64) -> bool {
    let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
    let has_arrived = connection.buffer.len() >= bytes;
    if has_arrived {
        drop(connection.buffer.split_to(bytes));
    }
    has_arrived
}

/// Responds to a request whose task panicked, and closes the connection. The request may have run.
async fn respond_after_panic(
    state: &State,
    request: &Request,
    responder: &mut Responder<'_>,
) -> io::Result<bool> {
    responder.close_after_response();
    if responder.progress() == Progress::NotStarted {
        let response = LocalResponse::OutcomeUnknown;
        run::send_local_response(&state.router, responder, Some(&request.id), response).await?;
    }
    Ok(false)
}

/// Logs that a connection ended before a request was read, of which the head may be known.
fn log_lost(connection: &Connection, head: Option<&head::Request>, cause: impl Display) {
    let parsed = head.map(client_request::parse);
    let id = parsed.and_then(|parsed| parsed.id);
    emit(
        Event::RequestLost,
        &[
            ("request", &id.as_deref().unwrap_or("-")),
            ("cause", &cause),
            ("received", &connection.buffer.len()),
        ],
    );
}

fn log_disconnect(state: &State, request: &Request) {
    let elapsed = state.router.now().since(request.arrived);
    emit(
        Event::Disconnected,
        &[("request", &request.id), ("after_us", &elapsed.as_micros())],
    );
    let labels = [&*request.service, "disconnected"];
    state
        .router
        .metrics
        .requests
        .with_label_values(&labels)
        .inc();
}

/// Waits until the client closes its connection.
async fn client_closed(reader: &mut ReadHalf<'_>, buffer: &mut BytesMut) {
    while buffer.len() < MAX_PIPELINED {
        match reader.read_buf(buffer).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
    std::future::pending().await
}
