//! Guards against input that makes the parser panic, that is parsed differently when it arrives in
//! different pieces, or that is buffered without a limit.

use bytes::{BufMut, BytesMut};
use proptest::prelude::*;
use tsw_http::{body, head};

/// Maximum length of a head in these tests.
const MAX_HEAD_BYTES: usize = 512;
/// Maximum number of bytes that a decoder may leave in the buffer while it waits for more: the longest
/// trailer line and its CRLF.
const MAX_BUFFERED: usize = 8_192 + 2;

/// Generates valid and invalid pieces of messages, and random bytes.
fn piece() -> impl Strategy<Value = Vec<u8>> {
    let known = prop::sample::select(vec![
        &b"GET / HTTP/1.1\r\n"[..],
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"Content-Length: 5\r\n",
        b"Content-Length: 18446744073709551616\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"\r\n",
        b"\r\n\r\n",
        b"5\r\nwhole\r\n",
        b"0\r\n\r\n",
        b"ffffffffffffffff\r\n",
        b"5;extension=\"\r\n",
        b"\0",
    ]);
    prop_oneof![
        3 => known.prop_map(<[u8]>::to_vec),
        1 => prop::collection::vec(any::<u8>(), 0..40),
    ]
}

fn message() -> impl Strategy<Value = Vec<u8>> {
    prop::collection::vec(piece(), 0..12).prop_map(|pieces| pieces.concat())
}

/// Decodes a body that arrives in pieces of `step` bytes. Returns its data, whether it is malformed, and
/// the bytes that remain in the buffer.
fn decode(length: body::Length, bytes: &[u8], step: usize) -> (Vec<u8>, bool, Vec<u8>) {
    let (mut decoder, mut buffer) = (body::Decoder::new(length), BytesMut::new());
    let mut data = Vec::new();
    for piece in bytes.chunks(step) {
        buffer.put_slice(piece);
        loop {
            match decoder.take(&mut buffer) {
                Ok(Some(more)) => data.extend_from_slice(&more),
                Ok(None) => break,
                Err(_) => return (data, true, Vec::new()),
            }
        }
        if !decoder.is_done() {
            assert!(
                buffer.len() <= MAX_BUFFERED,
                "{} bytes are buffered",
                buffer.len()
            );
        }
    }
    (data, false, buffer.to_vec())
}

proptest! {
    #[test]
    fn heads_do_not_depend_on_chunk_sizes(bytes in message(), step in 1usize..9) {
        let mut whole = BytesMut::from(&bytes[..]);
        let expected = head::Request::take(&mut whole, MAX_HEAD_BYTES);
        let mut buffer = BytesMut::new();
        let mut found = Ok(None);
        for piece in bytes.chunks(step) {
            buffer.put_slice(piece);
            found = head::Request::take(&mut buffer, MAX_HEAD_BYTES);
            if !matches!(found, Ok(None)) {
                break;
            }
        }
        prop_assert_eq!(&found, &expected);
        let _ = head::Response::take(&mut BytesMut::from(&bytes[..]), MAX_HEAD_BYTES);
        if let Ok(Some(head)) = found {
            let _ = head.length();
        }
    }

    #[test]
    fn bodies_do_not_depend_on_chunk_sizes(bytes in message(), step in 1usize..9) {
        for length in [body::Length::Chunked, body::Length::Exact(7), body::Length::UntilClose] {
            let whole = decode(length, &bytes, bytes.len().max(1));
            prop_assert_eq!(decode(length, &bytes, step), whole);
        }
    }

    #[test]
    fn chunked_body_is_decoded_and_following_bytes_are_left(
        chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..30), 0..8),
        rest in prop::collection::vec(any::<u8>(), 0..9),
        step in 1usize..9,
    ) {
        let mut bytes = Vec::new();
        for chunk in &chunks {
            bytes.extend_from_slice(format!("{:x};x=y\r\n", chunk.len()).as_bytes());
            bytes.extend_from_slice(chunk);
            bytes.extend_from_slice(b"\r\n");
        }
        bytes.extend_from_slice(b"0\r\nTrailer: x\r\n\r\n");
        bytes.extend_from_slice(&rest);
        let (data, malformed, left) = decode(body::Length::Chunked, &bytes, step);
        prop_assert!(!malformed);
        prop_assert_eq!(data, chunks.concat());
        prop_assert_eq!(left, rest);
    }
}
