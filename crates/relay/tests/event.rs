//! Guards against events that are lost, joined or forwarded in part when the bytes of a stream arrive
//! in different pieces.

use proptest::prelude::*;
use tsw_relay::event::Splitter;

fn stream_bytes() -> impl Strategy<Value = Vec<u8>> {
    let piece = prop::sample::select(vec![
        &b"id: 1\n"[..],
        b"id:2\r\n",
        b"data: x\n",
        b": comment\n",
        b"\n",
        b"\r\n",
        b"\r",
        b"\n\n",
        b"x",
    ]);
    prop::collection::vec(piece, 0..40).prop_map(|pieces| pieces.concat())
}

fn split(bytes: &[u8], step: usize) -> (Vec<Vec<u8>>, Vec<u8>) {
    let mut splitter = Splitter::default();
    let mut events = Vec::new();
    for piece in bytes.chunks(step) {
        splitter.add(piece).expect("below the maximum length");
        while let Some(event) = splitter.take() {
            events.push(event.bytes.to_vec());
        }
    }
    (events, splitter.take_rest().to_vec())
}

proptest! {
    #[test]
    fn events_do_not_depend_on_chunk_sizes(bytes in stream_bytes(), step in 1usize..9) {
        let (events, rest) = split(&bytes, step);
        let (whole, whole_rest) = split(&bytes, bytes.len().max(1));
        prop_assert_eq!(&events, &whole);
        prop_assert_eq!(&rest, &whole_rest);
        let all: Vec<u8> = events.concat().into_iter().chain(rest).collect();
        prop_assert_eq!(all, bytes);
    }
}

#[test]
fn event_above_maximum_length_is_rejected() {
    let mut splitter = Splitter::default();
    let endless = vec![b'x'; 4_096];
    let added = (0..1_000).map(|_| splitter.add(&endless));
    assert!(added.into_iter().any(|added| added.is_err()));
}
