//! Guards against data loss in encoding, and against malformed frames that crash a router or decode
//! as messages.

use std::sync::Arc;

use bytes::BytesMut;
use proptest::prelude::*;
use tsw_base::{host, name, time};
use tsw_grant::message as grant;
use tsw_wire::{frame, message};

fn id(host: &str, number: u64) -> host::Id {
    host::Id {
        host: host.parse().expect("a valid name"),
        incarnation: host::Incarnation::new(number >> 16, number as u16),
    }
}

fn name_strategy() -> impl Strategy<Value = String> {
    "[a-z][a-z0-9-]{0,20}"
}

fn message_strategy() -> impl Strategy<Value = message::Message> {
    let hello =
        (name_strategy(), any::<u64>(), any::<u16>()).prop_map(|(host, number, version)| {
            message::Message::Hello(message::Hello {
                version,
                id: id(&host, number),
                domain: host.parse().expect("a valid name"),
            })
        });
    let fetch = (any::<u64>(), any::<u64>())
        .prop_map(|(bundle, hosts)| message::Message::Fetch(message::Fetch { bundle, hosts }));
    let bundle = (
        any::<u64>(),
        proptest::collection::vec(any::<u8>(), 0..2_000),
    )
        .prop_map(|(revision, content)| {
            message::Message::Bundle(message::Bundle {
                revision,
                content: Arc::from(content),
            })
        });
    let demand = (
        name_strategy(),
        any::<u64>(),
        proptest::collection::vec((name_strategy(), any::<u32>(), any::<u64>()), 0..20),
    )
        .prop_map(|(service, seq, lines)| {
            message::Message::Demand(grant::Demand {
                service: service.parse().expect("a valid name"),
                seq,
                latest_grant: None,
                lines: lines
                    .into_iter()
                    .map(|(team, waiting, micros)| grant::DemandLine {
                        team: team.parse().expect("a valid name"),
                        class: grant::Class::ALL[waiting as usize % 4],
                        waiting,
                        oldest: time::Span::from_micros(micros),
                        newest: time::Span::ZERO,
                    })
                    .collect(),
            })
        });
    prop_oneof![hello, fetch, bundle, demand]
}

proptest! {
    #[test]
    fn messages_round_trip(original in proptest::collection::vec(message_strategy(), 1..8)) {
        let mut buffer = BytesMut::new();
        for message in &original {
            frame::encode(message, &mut buffer)?;
        }
        for message in &original {
            let header = buffer.split_to(frame::HEADER_BYTES);
            let len = frame::body_length(header.as_ref().try_into()?)?;
            prop_assert_eq!(&frame::decode(&buffer.split_to(len))?, message);
        }
        prop_assert!(buffer.is_empty());
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(body in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = frame::decode(&body);
    }

    #[test]
    fn truncated_or_extended_bodies_are_refused(message in message_strategy(), cut in 1_usize..40) {
        let mut buffer = BytesMut::new();
        frame::encode(&message, &mut buffer)?;
        let body = &buffer[frame::HEADER_BYTES..];
        let truncated = &body[..body.len() - cut.min(body.len())];
        prop_assert!(frame::decode(truncated).is_err());
        let extended = [body, &[0; 3]].concat();
        let refused = matches!(
            frame::decode(&extended),
            Err(frame::Error::TrailingBytes { bytes: 3 })
        );
        prop_assert!(refused);
    }
}

#[test]
fn body_lengths_outside_the_limits_are_refused() {
    assert!(matches!(
        frame::body_length([0; 4]),
        Err(frame::Error::Empty)
    ));
    assert!(matches!(
        frame::body_length([0xff; 4]),
        Err(frame::Error::TooLarge { .. })
    ));
    let limit = u32::try_from(frame::MAX_BODY_BYTES).expect("fits");
    assert!(frame::body_length(limit.to_be_bytes()).is_ok());
}

#[test]
fn oversized_message_leaves_the_buffer_unchanged() {
    let message = message::Message::Bundle(message::Bundle {
        revision: 1,
        content: Arc::from(vec![0; frame::MAX_BODY_BYTES + 1]),
    });
    let mut buffer = BytesMut::from(&b"before"[..]);
    assert!(matches!(
        frame::encode(&message, &mut buffer),
        Err(frame::Error::TooLarge { .. })
    ));
    assert_eq!(&buffer[..], b"before");
}

#[test]
fn names_are_validated_when_decoded() {
    // Received names appear in logs and metrics, so decoding must reject invalid
    // characters.
    let valid: name::Host = "r1".parse().expect("a valid name");
    let hello = message::Message::Hello(message::Hello {
        version: message::VERSION,
        id: id(valid.as_str(), 1),
        domain: "d1".parse().expect("a valid name"),
    });
    let mut buffer = BytesMut::new();
    frame::encode(&hello, &mut buffer).expect("fits");
    let mut body = buffer[frame::HEADER_BYTES..].to_vec();
    let offset = body
        .windows(2)
        .position(|pair| pair == b"r1")
        .expect("holds the name");
    body[offset] = b'\n';
    assert!(matches!(
        frame::decode(&body),
        Err(frame::Error::InvalidMessage(_))
    ));
}
