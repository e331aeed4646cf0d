//! Connections of clients.

use std::{cell::Cell, io, rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{tcp::ReadHalf, TcpStream},
    time,
};
use tsw_event::{emit, Event};
use tsw_http::{
    body,
    connection::{self, Connection},
    head,
};
use tsw_relay::{
    local_response::LocalResponse,
    request::Request,
    responder::Responder,
    run::{self, Outcome},
};
use tsw_route::table::Limits;

use crate::{
    accept,
    gate::{Gate, Phase},
};

/// Longest pause within a body.
const BODY_PAUSE: Duration = Duration::from_secs(10);
/// Bytes that a client may send ahead while its request runs.
const MAX_AHEAD: usize = 65_536;
/// Time for which a connection is read after an answer that was given before the whole request
/// was read. Closing it at once could destroy the answer on its way.
const LINGER: Duration = Duration::from_millis(500);

/// Counts a request or a connection while it lives.
struct Counted<'a>(&'a Cell<usize>);

impl<'a> Counted<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// What a client sent next.
enum Next {
    Request(head::Request),
    Fault(LocalResponse),
    End,
}

/// Serves the requests on a connection until it ends.
///
/// # Errors
///
/// Returns an error if the connection broke.
pub async fn serve(gate: Rc<Gate>, stream: TcpStream) -> io::Result<()> {
    let _open = Counted::new(&gate.clients);
    let mut connection = Connection::accepted(stream);
    let mut first = true;
    loop {
        let limits = gate
            .router
            .table()
            .map_or(Limits::default(), |table| table.limits);
        let head = match next(&gate, &mut connection, &limits).await? {
            Next::Request(head) => head,
            Next::Fault(own) => return refuse(&gate, connection, own).await,
            Next::End => return Ok(()),
        };
        gate.reuse.note(std::mem::take(&mut first));
        if !answer(&gate, &mut connection, head, &limits).await? {
            return Ok(());
        }
    }
}

/// Waits for the head of the next request.
async fn next(gate: &Gate, connection: &mut Connection, limits: &Limits) -> io::Result<Next> {
    let mut phase = gate.phase.subscribe();
    let mut begun = None;
    loop {
        match head::Request::take(&mut connection.buffer, limits.head_bytes) {
            Ok(Some(head)) => return Ok(Next::Request(head)),
            Ok(None) => {}
            Err(head::Error::TooLong { .. }) => {
                return Ok(Next::Fault(LocalResponse::HeadTooLarge))
            }
            Err(_) => return Ok(Next::Fault(LocalResponse::Malformed)),
        }
        let idle = connection.buffer.is_empty();
        let until = if idle {
            time::Instant::now() + limits.idle_timeout
        } else {
            *begun.get_or_insert_with(|| time::Instant::now() + limits.head_timeout)
        };
        tokio::select! {
            read = connection.fill() => {
                if read? == 0 {
                    return Ok(Next::End);
                }
            }
            () = time::sleep_until(until) => {
                return Ok(if idle { Next::End } else { Next::Fault(LocalResponse::RequestTimeout) });
            }
            _ = phase.wait_for(|phase| *phase == Phase::Closing), if idle => {
                // A request that has arrived is answered; closing would destroy it.
                if !connection.has_unread_bytes() || connection.fill().await? == 0 {
                    return Ok(Next::End);
                }
            }
        }
    }
}

/// Answers a request that cannot be understood, and closes the connection.
async fn refuse(gate: &Gate, mut connection: Connection, own: LocalResponse) -> io::Result<()> {
    emit(Event::Refused, &[("cause", &own)]);
    let head = head::Request {
        method: Bytes::from_static(b"GET"),
        target: Bytes::from_static(b"/"),
        http10: false,
        fields: tsw_http::field::Fields::default(),
    };
    let (_, writer) = connection.stream.split();
    let mut responder = Responder::new(writer, &head, true);
    run::send_local_response(&gate.router, &mut responder, None, own).await?;
    linger(&mut connection).await;
    Ok(())
}

/// Reads what a client still sends after an early answer.
async fn linger(connection: &mut Connection) {
    let rest = async {
        // The end or a fault of the connection is what is waited for.
        let _ = connection.stream.shutdown().await;
        while connection.fill().await.is_ok_and(|read| read > 0) {
            connection.buffer.clear();
        }
    };
    let _ = time::timeout(LINGER, rest).await;
}

/// Answers one request and returns whether the connection may be used further.
async fn answer(
    gate: &Rc<Gate>,
    connection: &mut Connection,
    head: head::Request,
    limits: &Limits,
) -> io::Result<bool> {
    let _flight = Counted::new(&gate.in_flight);
    let table = gate.router.table();
    let checked = accept::check(&head, table.as_ref(), rand::random());
    let body = match read_body(connection, &head, limits).await? {
        Ok(body) => body,
        Err(own) => {
            let (_, writer) = connection.stream.split();
            let mut responder = Responder::new(writer, &head, true);
            emit(Event::Refused, &[("cause", &own)]);
            run::send_local_response(&gate.router, &mut responder, None, own).await?;
            linger(connection).await;
            return Ok(false);
        }
    };
    let arrived = gate.router.now();
    let closing = gate.closes_after_answer();
    let (mut reader, writer) = connection.stream.split();
    let mut responder = Responder::new(writer, &head, closing);
    if gate.reuse.is_rare() {
        responder.close_if_not_run();
    }
    let allowed = match checked {
        Ok(allowed) => allowed,
        Err(denied) => {
            let id = denied.id.as_deref();
            let version = table.as_ref().map_or(0, |table| table.version);
            emit(
                Event::Refused,
                &[
                    ("request", &id.unwrap_or("-")),
                    ("cause", &denied.own),
                    ("version", &version),
                ],
            );
            run::send_local_response(&gate.router, &mut responder, id, denied.own).await?;
            return Ok(responder.is_reusable());
        }
    };
    let http10 = head.http10;
    let request = Rc::new(allowed.request(head, body, arrived));
    let end = tokio::select! {
        end = run::run(&gate.router, &request, &mut responder) => end,
        () = left(&mut reader, &mut connection.buffer) => {
            disconnected(gate, &request);
            return Ok(false);
        }
    };
    match end {
        Ok(Outcome::Complete) => Ok(responder.is_reusable()),
        Ok(Outcome::Truncated) => {
            if http10 {
                // The end of the connection is the end of the answer for such a client.
                connection::reset_on_close(&connection.stream)?;
            }
            Ok(false)
        }
        Err(error) => {
            disconnected(gate, &request);
            Err(error)
        }
    }
}

fn disconnected(gate: &Gate, request: &Request) {
    let since = gate.router.now().since(request.arrived);
    emit(
        Event::Disconnected,
        &[("request", &request.id), ("after_us", &since.as_micros())],
    );
    let labels = [&*request.service, "disconnected"];
    gate.router
        .metrics
        .requests
        .with_label_values(&labels)
        .inc();
}

/// Returns when the client has closed its connection.
async fn left(reader: &mut ReadHalf<'_>, buffer: &mut BytesMut) {
    while buffer.len() < MAX_AHEAD {
        match reader.read_buf(buffer).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
    std::future::pending().await
}

/// Reads the body of a request; the inner error is the answer to a body that is refused.
async fn read_body(
    connection: &mut Connection,
    head: &head::Request,
    limits: &Limits,
) -> io::Result<Result<Bytes, LocalResponse>> {
    let length = match head.length() {
        Ok(body::Length::Exact(bytes)) if bytes > limits.body_bytes as u64 => {
            return Ok(Err(LocalResponse::BodyTooLarge));
        }
        Ok(length) => length,
        Err(_) => return Ok(Err(LocalResponse::Malformed)),
    };
    if head.fields.contains_token("expect", "100-continue") && connection.buffer.is_empty() {
        let interim = b"HTTP/1.1 100 Continue\r\n\r\n";
        connection.stream.write_all(interim).await?;
    }
    match length {
        body::Length::Exact(bytes) => {
            let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
            read_exact(connection, bytes).await
        }
        _ => read_framed(connection, body::Decoder::new(length), limits).await,
    }
}

/// Reads a body of known length, without a copy of its bytes.
async fn read_exact(
    connection: &mut Connection,
    bytes: usize,
) -> io::Result<Result<Bytes, LocalResponse>> {
    while connection.buffer.len() < bytes {
        let missing = bytes - connection.buffer.len();
        if let Err(own) = more(connection, missing).await? {
            return Ok(Err(own));
        }
    }
    Ok(Ok(connection.buffer.split_to(bytes).freeze()))
}

/// Reads a body in chunks.
async fn read_framed(
    connection: &mut Connection,
    mut decoder: body::Decoder,
    limits: &Limits,
) -> io::Result<Result<Bytes, LocalResponse>> {
    let mut body = BytesMut::new();
    loop {
        match decoder.take(&mut connection.buffer) {
            Ok(Some(data)) if body.len() + data.len() > limits.body_bytes => {
                return Ok(Err(LocalResponse::BodyTooLarge));
            }
            Ok(Some(data)) => body.extend_from_slice(&data),
            Ok(None) if decoder.is_done() => return Ok(Ok(body.freeze())),
            Ok(None) => {
                if let Err(own) = more(connection, 0).await? {
                    return Ok(Err(own));
                }
            }
            Err(_) => return Ok(Err(LocalResponse::Malformed)),
        }
    }
}

/// Reads more of a body, of which so many bytes are known to come; the inner error is the answer
/// to a client that sends nothing for too long.
async fn more(
    connection: &mut Connection,
    expected: usize,
) -> io::Result<Result<(), LocalResponse>> {
    match time::timeout(BODY_PAUSE, connection.fill_with_capacity(expected)).await {
        Ok(Ok(0)) => Err(io::ErrorKind::UnexpectedEof.into()),
        Ok(read) => read.map(|_| Ok(())),
        Err(_) => Ok(Err(LocalResponse::RequestTimeout)),
    }
}
