//! Verification of unchanged logs, and of logs with each kind of tampering.

use proptest::prelude::*;
use serde_json::json;
use tsw_audit::{
    line, verify, Chain, FaultKind, Fields, Head, Line, PublicKeys, Receipt, Signer, Summary,
};
use tsw_base::{
    host,
    time::{Span, Timestamp},
};

fn id(host: &str) -> host::Id {
    host::Id {
        host: host.parse().unwrap(),
        incarnation: host::Incarnation::new(1, 0),
    }
}

fn fields(number: u64) -> Fields {
    json!({ "request": format!("q{number}"), "team": "counter", "slots": number })
        .as_object()
        .cloned()
        .unwrap()
}

/// A log of two routers that record each other's heads, and a receipt for each request of the
/// first.
struct Log {
    lines: Vec<Line>,
    receipts: Vec<Receipt>,
    keys: PublicKeys,
}

impl Log {
    /// Writes `count` request lines at each router, and exchanges heads after every fourth.
    fn new(count: u64) -> Self {
        let mut keys = PublicKeys::default();
        let mut chains = Vec::new();
        for (number, host) in ["r1", "r2"].into_iter().enumerate() {
            let signer = Signer::from_bytes(&[number as u8 + 1; 32]);
            keys.insert(host.parse().unwrap(), signer.public_key());
            chains.push(Chain::new(id(host), signer));
        }
        let mut log = Self {
            lines: Vec::new(),
            receipts: Vec::new(),
            keys,
        };
        for number in 1..=count {
            for chain in &mut chains {
                let line = chain.append(number, "dispatched", fields(number)).unwrap();
                if line.chain.starts_with("r1") {
                    log.receipts.push(chain.receipt(&line));
                }
                log.lines.push(line);
            }
            if number % 4 == 0 {
                let now = Timestamp::ZERO + Span::from_secs(number);
                let heads: Vec<Option<Head>> = chains.iter_mut().map(|c| c.due_head(now)).collect();
                for (own, head) in heads.into_iter().enumerate() {
                    let peer = &mut chains[1 - own];
                    let line = peer.append_peer_head(number, &head.unwrap()).unwrap();
                    log.lines.push(line);
                }
            }
        }
        log
    }

    fn verify(&self) -> Result<Summary, verify::Fault> {
        let texts: Vec<String> = self.lines.iter().map(|l| l.to_json().unwrap()).collect();
        verify::log(texts.iter().map(String::as_str), &self.receipts, &self.keys)
    }

    fn fault_without_receipts(mut self) -> (FaultKind, String, u64) {
        self.receipts.clear();
        let fault = self.verify().unwrap_err();
        (fault.kind, fault.chain, fault.seq)
    }

    fn position(&self, chain: &str, seq: u64) -> usize {
        let chain = id(chain).to_string();
        let found = self.lines.iter();
        let mut found = found.enumerate();
        let found = found.find(|(_, line)| line.chain == chain && line.seq == seq);
        found.expect("line in the log").0
    }

    /// Changes a line and recomputes its hash and those of all later lines of its chain, which
    /// needs no private key.
    fn forge_from(&mut self, chain: &str, seq: u64) {
        let chain = id(chain).to_string();
        let mut last: Option<String> = None;
        for line in &mut self.lines {
            if line.chain != chain || line.seq < seq {
                continue;
            }
            match last {
                None => {
                    line.fields.insert("team".into(), json!("other"));
                }
                Some(last) => line.prev = last,
            }
            line.hash = line.digest().unwrap();
            last = Some(line.hash.clone());
        }
    }
}

/// Guards against an unchanged log that fails verification.
#[test]
fn a_sound_log_is_accepted() {
    let summary = Log::new(10).verify().unwrap();
    assert_eq!((summary.chains, summary.lines), (2, 24));
    assert_eq!((summary.heads, summary.receipts), (4, 10));
}

/// Guards against a removed line that is not detected.
#[test]
fn a_removed_line_is_missing() {
    let mut log = Log::new(10);
    log.lines.remove(log.position("r1", 3));
    let fault = log.verify().unwrap_err();
    assert_eq!((fault.kind, fault.seq), (FaultKind::Missing, 3));
    assert_eq!(fault.chain, id("r1").to_string());
}

/// Guards against a truncated chain that passes. The peer's chain holds a head of a later line.
#[test]
fn a_cut_off_end_is_missing() {
    let mut log = Log::new(8);
    let chain = id("r1").to_string();
    log.lines
        .retain(|line| line.chain != chain || line.seq <= 5);
    let found = log.fault_without_receipts();
    assert_eq!(found, (FaultKind::Missing, chain, 6));
}

/// Guards against a log that passes although a whole chain was removed.
#[test]
fn a_removed_chain_is_missing() {
    let mut log = Log::new(8);
    let chain = id("r1").to_string();
    log.lines.retain(|line| line.chain != chain);
    let found = log.fault_without_receipts();
    assert_eq!(found, (FaultKind::Missing, chain, 1));
}

/// Guards against a removed line after the last head that is not detected. The caller has a receipt
/// for it.
#[test]
fn a_receipt_shows_a_missing_last_line() {
    let mut log = Log::new(9);
    let chain = id("r1").to_string();
    let last = log.lines.iter().filter(|line| line.chain == chain).count();
    log.lines.remove(log.position("r1", last as u64));
    let fault = log.verify().unwrap_err();
    assert_eq!((fault.kind, fault.seq), (FaultKind::Missing, last as u64));
}

/// Guards against a changed field, time, event or previous hash that is not detected, and a fault
/// that names another line.
#[test]
fn a_changed_line_is_named() {
    let changes: [fn(&mut Line); 4] = [
        |line| {
            line.fields.insert("team".into(), json!("other"));
        },
        |line| line.time += 1,
        |line| line.event = "rejected".into(),
        |line| line.prev = line::genesis_hash("x"),
    ];
    for change in changes {
        let mut log = Log::new(10);
        let index = log.position("r1", 6);
        change(&mut log.lines[index]);
        let fault = log.verify().unwrap_err();
        assert_eq!((fault.kind, fault.seq), (FaultKind::Changed, 6));
        assert_eq!(fault.input_line, index + 1);
    }
}

/// Guards against a repeated JSON key, which can show a reader content other than that which was
/// hashed.
#[test]
fn a_repeated_key_is_a_change() {
    let log = Log::new(1);
    let text = log.lines[0].to_json().unwrap();
    let doubled = text.replace("\"team\":", "\"team\":\"other\",\"team\":");
    assert!(Line::parse(&doubled).is_ok());
    let fault = verify::log([doubled.as_str()], &[], &log.keys).unwrap_err();
    assert_eq!((fault.kind, fault.seq), (FaultKind::Changed, 1));
}

/// Guards against swapped lines that are not detected.
#[test]
fn exchanged_lines_are_out_of_order() {
    let mut log = Log::new(10);
    let (a, b) = (log.position("r1", 2), log.position("r1", 3));
    log.lines.swap(a, b);
    let fault = log.verify().unwrap_err();
    assert_eq!((fault.kind, fault.seq), (FaultKind::Reordered, 3));
}

/// Guards against a repeated line that is not detected.
#[test]
fn a_repeated_line_is_out_of_order() {
    let mut log = Log::new(10);
    let index = log.position("r1", 2);
    let line = log.lines[index].clone();
    log.lines.push(line);
    let fault = log.verify().unwrap_err();
    assert_eq!((fault.kind, fault.seq), (FaultKind::Reordered, 2));
}

/// Guards against a changed line with a recomputed hash that is not detected. The next line holds
/// the original hash.
#[test]
fn a_line_with_a_new_hash_is_forged() {
    let mut log = Log::new(10);
    let index = log.position("r1", 6);
    let line = &mut log.lines[index];
    line.fields.insert("team".into(), json!("other"));
    line.hash = line.digest().unwrap();
    let found = log.fault_without_receipts();
    assert_eq!(found, (FaultKind::Forged, id("r1").to_string(), 6));
}

/// Guards against a chain that was rewritten from some line on and passes. The head in the peer's
/// chain differs; the first line that may be forged is the one after the last head that matches.
#[test]
fn a_rewritten_end_is_forged() {
    let mut log = Log::new(10);
    log.forge_from("r1", 7);
    let found = log.fault_without_receipts();
    assert_eq!(found, (FaultKind::Forged, id("r1").to_string(), 5));
}

/// Guards against a rewritten line after the last head that is not detected. The caller's receipt
/// differs.
#[test]
fn a_receipt_shows_a_rewritten_last_line() {
    let mut log = Log::new(9);
    log.forge_from("r1", 11);
    let fault = log.verify().unwrap_err();
    assert_eq!((fault.kind, fault.seq), (FaultKind::Forged, 11));
}

/// Guards against accepting a recorded head that was changed without the private key.
#[test]
fn a_head_with_a_wrong_signature_is_forged() {
    let mut log = Log::new(4);
    let index = log.lines.iter().position(|line| line.event == "head");
    let index = index.unwrap();
    let line = &mut log.lines[index];
    line.fields.insert("hash".into(), json!("00"));
    line.hash = line.digest().unwrap();
    let (chain, seq) = (line.chain.clone(), line.seq);
    let found = log.fault_without_receipts();
    assert_eq!(found, (FaultKind::Forged, chain, seq));
}

/// Guards against accepting a receipt that a caller forged or changed, and against errors in
/// parsing receipts.
#[test]
fn a_changed_receipt_is_forged() {
    let mut log = Log::new(4);
    let text = log.receipts[0].to_string();
    assert_eq!(text.parse::<Receipt>().unwrap(), log.receipts[0]);
    let receipts = log.receipts.clone();
    log.receipts[0].seq = 2;
    let fault = log.verify().unwrap_err();
    assert_eq!((fault.kind, fault.input_line), (FaultKind::Forged, 0));
    // The receipt names an existing line but has the signature of another receipt.
    log.receipts.clone_from(&receipts);
    log.receipts[0].signature.clone_from(&receipts[1].signature);
    let fault = log.verify().unwrap_err();
    assert_eq!(
        (fault.kind, fault.seq, fault.input_line),
        (FaultKind::Forged, 1, 0)
    );
    for wrong in [
        "",
        "receipt r1@1 1 00",
        "head r1@1 1 00 00",
        "receipt r1 1 00 00",
    ] {
        assert!(wrong.parse::<Receipt>().is_err(), "{wrong:?}");
    }
}

/// Guards against accepting heads and receipts of a host whose public key the verifier does not
/// have.
#[test]
fn an_unknown_key_is_refused() {
    let mut log = Log::new(4);
    log.keys = PublicKeys::default();
    assert_eq!(log.verify().unwrap_err().kind, FaultKind::Forged);
}

/// Guards against text that is not a line and is skipped.
#[test]
fn other_text_is_malformed() {
    let fault = verify::log(["{}"], &[], &PublicKeys::default()).unwrap_err();
    assert_eq!((fault.kind, fault.input_line), (FaultKind::Malformed, 1));
}

/// Guards against accepting numbers whose text is not unique, and nesting that exhausts the stack.
#[test]
fn fields_without_canonical_form_leave_the_chain_unchanged() {
    let mut chain = Chain::new(id("r1"), Signer::from_bytes(&[1; 32]));
    let mut bad = fields(1);
    bad.insert("share".into(), json!(0.5));
    assert!(chain.append(1, "x", bad).is_err());
    let mut deep = json!(1);
    for _ in 0..20 {
        deep = json!([deep]);
    }
    let mut bad = fields(1);
    bad.insert("deep".into(), deep);
    assert!(chain.append(1, "x", bad).is_err());
    assert_eq!(chain.append(1, "x", fields(1)).unwrap().seq, 1);
}

/// Guards against heads that are signed too rarely, and idle routers that exchange heads for ever.
#[test]
fn a_head_is_due_after_a_second_or_256_lines() {
    let mut chain = Chain::new(id("r1"), Signer::from_bytes(&[1; 32]));
    let at = |millis| Timestamp::ZERO + Span::from_millis(millis);
    assert_eq!(chain.due_head(at(5_000)), None);
    chain.append(1, "x", fields(1)).unwrap();
    assert!(chain.due_head(at(5_000)).is_some());
    chain.append(1, "x", fields(1)).unwrap();
    assert_eq!(chain.due_head(at(5_999)), None);
    assert!(chain.due_head(at(6_000)).is_some());
    for _ in 0..255 {
        chain.append(1, "x", fields(1)).unwrap();
    }
    assert_eq!(chain.due_head(at(6_001)), None);
    chain.append(1, "x", fields(1)).unwrap();
    let head = chain.due_head(at(6_002)).unwrap();
    chain.append_peer_head(1, &head).unwrap();
    assert_eq!(chain.due_head(at(60_000)), None);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    /// Guards against a change of a single byte of the exported text that is not detected, up to
    /// the last head.
    #[test]
    fn any_changed_byte_is_noticed(line in 0..20_usize, place in any::<prop::sample::Index>(),
                                   byte in 32..127_u8) {
        let log = Log::new(8);
        let mut texts: Vec<String> = log.lines.iter().map(|l| l.to_json().unwrap()).collect();
        let mut bytes = texts[line].clone().into_bytes();
        let place = place.index(bytes.len());
        prop_assume!(bytes[place] != byte);
        bytes[place] = byte;
        texts[line] = String::from_utf8(bytes).unwrap();
        let result = verify::log(texts.iter().map(String::as_str), &[], &log.keys);
        prop_assert!(result.is_err() || texts[line].trim_end() == log.lines[line].to_json().unwrap());
    }

    /// Guards against any set of removed lines that is not detected, up to the last line with a
    /// receipt. The line after it holds the peer's last head, and nothing covers that line yet.
    #[test]
    fn any_removed_lines_are_noticed(keep in prop::collection::vec(any::<bool>(), 9)) {
        let mut log = Log::new(8);
        let all = log.lines.len();
        let mut keep = keep.into_iter();
        log.lines.retain(|line| !line.chain.starts_with("r1") || keep.next().unwrap_or(true));
        let removed = log.lines.len() < all;
        prop_assert_eq!(log.verify().is_err(), removed);
    }
}
