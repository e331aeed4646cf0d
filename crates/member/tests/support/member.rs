//! Builds the members of a test fleet.

use tsw_member::roster::Member;

/// Returns the member with a number. The members are spread over three failure domains.
pub fn member(number: usize) -> Member {
    let [.., high, low] = number.to_be_bytes();
    let address = |port| ([10, 0, high, low], port).into();
    Member {
        host: format!("r{number}"),
        domain: format!("d{}", number % 3),
        incarnation: 1,
        heartbeat: 1,
        client: address(1),
        gossip: address(2),
        control: address(3),
        processor: 250,
        ready: true,
        reads_store: true,
        read_for_ms: 0,
        version: 0,
        revision: 0,
        era: None,
    }
}
