//! Reads the bodies of client requests, and takes memory from the account of the process before it is used.

use std::{io, time::Duration};

use bytes::{Bytes, BytesMut};
use tokio::{io::AsyncWriteExt, time};
use tsw_base::time::Span;
use tsw_http::{
    body,
    connection::{self, Connection},
    head,
};
use tsw_relay::{
    local_response::{LocalResponse, Refusal},
    memory,
};
use tsw_route::table::Limits;

use crate::state::State;

/// Maximum time without new data while a request body is read.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time for the body of a request. A client that sends a little now and then is not timed out by
/// [`BODY_TIMEOUT`].
const MAX_BODY_TIME: Duration = Duration::from_secs(60);
/// Bytes of memory that a header field takes beside its text: the fields are copied for the upstream.
const FIELD_BYTES: usize = 2 * std::mem::size_of::<tsw_http::field::Field>();
/// Memory of the state of a request in progress and of its response, in bytes.
const REQUEST_BYTES: usize = 24_576;
/// Memory of the text of a head in relation to its length: it stays in the buffer in which it arrived, which may be up to
/// twice as long, and is written to the upstream.
const HEAD_FACTOR: usize = 3;
/// Maximum number of bytes of a body that are read at once, before they are counted.
const MAX_BODY_READ: usize = 16_384;
/// Number of stalled connections that are closed at once for one request that finds no memory.
const MAX_EVICTED: usize = 8;
/// Response to a request whose body finds no memory. Bodies that are being sent take a moment.
pub const OUT_OF_MEMORY: LocalResponse =
    LocalResponse::NotRun(Refusal::Memory, Span::from_millis(500));

/// Returns the capacity that a buffer may have after the next read, which doubles it if it is nearly full.
#[must_use]
pub fn capacity_after_read(buffer: &BytesMut) -> usize {
    if buffer.capacity() - buffer.len() >= connection::MIN_READ_BYTES {
        buffer.capacity()
    } else {
        (buffer.capacity() * 2).max(buffer.len() + connection::MIN_READ_BYTES)
    }
}

/// Returns the memory that the heads in a buffer take at most once they are parsed, in bytes; 0 if none is complete.
///
/// ```
/// use tsw_gate::request_body::parsed_bytes;
/// assert_eq!(parsed_bytes(b"GET / HTTP/1.1\r\nA: b\r\n"), 0);
/// assert!(parsed_bytes(b"GET / HTTP/1.1\r\nA: b\r\n\r\n") > 100);
/// ```
#[must_use]
pub fn parsed_bytes(buffer: &[u8]) -> usize {
    let has_end = |end: &[u8]| buffer.windows(end.len()).any(|bytes| bytes == end);
    if !has_end(b"\n\r\n") && !has_end(b"\n\n") {
        return 0;
    }
    let lines = buffer.iter().filter(|byte| **byte == b'\n').count();
    REQUEST_BYTES + lines * FIELD_BYTES
}

/// Takes memory for what a request buffers. If there is too little, connections that have waited long for the rest of a
/// request are closed.
pub async fn take_memory(state: &State, share: &mut memory::Share, bytes: usize) -> bool {
    for _ in 0..MAX_EVICTED {
        if share.resize(bytes).is_ok() {
            return true;
        }
        if !state.clients.evict_stalled() {
            return false;
        }
        // The connection returns its memory when its task runs.
        tokio::task::yield_now().await;
    }
    share.resize(bytes).is_ok()
}

/// Reads the body of a request, and takes memory for all that the request holds until it is answered. The inner error is the
/// response to a body that is refused.
///
/// # Errors
///
/// Returns an error if the connection fails.
pub async fn read(
    state: &State,
    connection: &mut Connection,
    head: &head::Request,
    share: &mut memory::Share,
) -> io::Result<Result<Bytes, LocalResponse>> {
    // The parsed head stays until the request is answered.
    let fields = head.fields.iter();
    let head_bytes = fields
        .map(|field| FIELD_BYTES + HEAD_FACTOR * (field.name.len() + field.value.len()))
        .sum::<usize>()
        + REQUEST_BYTES;
    if !take_memory(state, share, head_bytes).await {
        return Ok(Err(OUT_OF_MEMORY));
    }
    let limits = state.limits();
    let reading = read_within(state, connection, head, &limits, (share, head_bytes));
    match time::timeout(MAX_BODY_TIME, reading).await {
        Ok(body) => body,
        Err(_) => Ok(Err(LocalResponse::RequestTimeout)),
    }
}

async fn read_within(
    state: &State,
    connection: &mut Connection,
    head: &head::Request,
    limits: &Limits,
    memory: (&mut memory::Share, usize),
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
            read_exact(state, connection, bytes, memory).await
        }
        _ => {
            let decoder = body::Decoder::new(length);
            read_chunked(state, connection, decoder, limits, memory).await
        }
    }
}

/// Reads a body of known length without copying its bytes.
async fn read_exact(
    state: &State,
    connection: &mut Connection,
    bytes: usize,
    (share, head_bytes): (&mut memory::Share, usize),
) -> io::Result<Result<Bytes, LocalResponse>> {
    let missing = bytes.saturating_sub(connection.buffer.len());
    if missing > 0 {
        // Reserved at once: a buffer that grows is copied, and leaves gaps in the heap. What is reserved takes no memory
        // before bytes arrive.
        connection.buffer.reserve(missing);
    }
    while connection.buffer.len() < bytes {
        let buffered = (connection.buffer.len() + MAX_BODY_READ).min(bytes);
        if !take_memory(state, share, head_bytes + buffered).await {
            return Ok(Err(OUT_OF_MEMORY));
        }
        let most = (bytes - connection.buffer.len()).min(MAX_BODY_READ);
        if let Err(response) = read_more(connection, most).await? {
            return Ok(Err(response));
        }
    }
    Ok(Ok(connection.buffer.split_to(bytes).freeze()))
}

/// Reads a body with chunked transfer encoding.
async fn read_chunked(
    state: &State,
    connection: &mut Connection,
    mut decoder: body::Decoder,
    limits: &Limits,
    (share, head_bytes): (&mut memory::Share, usize),
) -> io::Result<Result<Bytes, LocalResponse>> {
    let mut body = BytesMut::new();
    loop {
        match decoder.take(&mut connection.buffer) {
            Ok(Some(data)) if body.len() + data.len() > limits.body_bytes => {
                return Ok(Err(LocalResponse::BodyTooLarge));
            }
            Ok(Some(data)) => {
                if body.capacity() - body.len() < data.len() {
                    // Both buffers exist while the bytes are copied.
                    let grown = (body.capacity() * 2).max(body.len() + data.len());
                    let buffered = body.capacity() + grown + connection.buffer.capacity();
                    if !take_memory(state, share, head_bytes + buffered).await {
                        return Ok(Err(OUT_OF_MEMORY));
                    }
                    body.reserve(grown - body.len());
                }
                body.extend_from_slice(&data);
            }
            Ok(None) if decoder.is_done() => return Ok(Ok(body.freeze())),
            Ok(None) => {
                if let Err(response) = read_more(connection, MAX_BODY_READ).await? {
                    return Ok(Err(response));
                }
            }
            Err(_) => return Ok(Err(LocalResponse::Malformed)),
        }
    }
}

/// Reads at most `most` bytes more of a body. The inner error is
/// the response to a client that sends no data within [`BODY_TIMEOUT`].
async fn read_more(
    connection: &mut Connection,
    most: usize,
) -> io::Result<Result<(), LocalResponse>> {
    match time::timeout(BODY_TIMEOUT, connection.fill_at_most(most)).await {
        Ok(Ok(0)) => Err(io::ErrorKind::UnexpectedEof.into()),
        Ok(read) => read.map(|_| Ok(())),
        Err(_) => Ok(Err(LocalResponse::RequestTimeout)),
    }
}
