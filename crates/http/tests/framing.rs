//! Guards against bytes of a peer that end the process, that are read differently when they arrive in
//! other pieces, or that are held without a bound.

use bytes::{BufMut, BytesMut};
use proptest::prelude::*;
use tsw_http::{body, head};

/// Most bytes of a head in these tests.
const MAX_HEAD: usize = 512;
/// Bytes that a decoder may hold back while it waits for more: the longest trailer and its end.
const MAX_HELD: usize = 8_192 + 2;

/// Bytes that often are a part of a message.
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

/// Decodes a body that arrives in pieces of so many bytes; returns its data, whether it is malformed,
/// and what is left.
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
            assert!(buffer.len() <= MAX_HELD, "{} bytes are held", buffer.len());
        }
    }
    (data, false, buffer.to_vec())
}

proptest! {
    #[test]
    fn heads_are_the_same_however_they_arrive(bytes in message(), step in 1usize..9) {
        let mut whole = BytesMut::from(&bytes[..]);
        let expected = head::Request::take(&mut whole, MAX_HEAD);
        let mut buffer = BytesMut::new();
        let mut found = Ok(None);
        for piece in bytes.chunks(step) {
            buffer.put_slice(piece);
            found = head::Request::take(&mut buffer, MAX_HEAD);
            if !matches!(found, Ok(None)) {
                break;
            }
        }
        prop_assert_eq!(&found, &expected);
        let _ = head::Response::take(&mut BytesMut::from(&bytes[..]), MAX_HEAD);
        if let Ok(Some(head)) = found {
            let _ = head.length();
        }
    }

    #[test]
    fn bodies_are_the_same_however_they_arrive(bytes in message(), step in 1usize..9) {
        for length in [body::Length::Chunked, body::Length::Exact(7), body::Length::UntilClose] {
            let whole = decode(length, &bytes, bytes.len().max(1));
            prop_assert_eq!(decode(length, &bytes, step), whole);
        }
    }

    #[test]
    fn chunks_carry_the_data_and_leave_what_follows(
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
