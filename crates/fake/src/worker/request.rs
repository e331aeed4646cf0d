//! Requests on a connection, and the end of one.

use std::io;

use bytes::{Bytes, BytesMut};
use tsw_http::{body, connection::Connection, head};

/// Maximum size of a request head in bytes.
const MAX_HEAD_BYTES: usize = 65_536;

/// Reads the head of a request, or returns nothing if the connection ends first.
pub(super) async fn read_head(connection: &mut Connection) -> io::Result<Option<head::Request>> {
    loop {
        if let Some(head) =
            head::Request::take(&mut connection.buffer, MAX_HEAD_BYTES).map_err(io::Error::other)?
        {
            return Ok(Some(head));
        }
        if connection.fill().await? == 0 {
            return Ok(None);
        }
    }
}

/// Reads the body of a request, or returns nothing if the connection ends first.
pub(super) async fn read_body(
    connection: &mut Connection,
    head: &head::Request,
) -> io::Result<Option<Bytes>> {
    let mut decoder = body::Decoder::new(head.length().map_err(io::Error::other)?);
    let mut body = BytesMut::new();
    while !decoder.is_done() {
        match decoder
            .take(&mut connection.buffer)
            .map_err(io::Error::other)?
        {
            Some(data) => body.extend_from_slice(&data),
            None if decoder.is_done() => {}
            None if connection.fill().await? == 0 => return Ok(None),
            None => {}
        }
    }
    Ok(Some(body.freeze()))
}

/// Waits until the router closes the connection.
pub(super) async fn wait_for_close(connection: &mut Connection) {
    while connection.fill().await.is_ok_and(|read| read > 0) {}
}

/// Makes the connection send a reset when it is closed.
pub(super) fn reset_on_close(connection: &Connection) {
    let socket = tsw_http::connection::reset_on_close(&connection.stream);
    socket.unwrap_or_else(|error| log::warn!("cannot set up the reset of a connection: {error}"));
}
