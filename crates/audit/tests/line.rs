//! The canonical text of a line.

use serde_json::json;
use tsw_audit::{canonical, Chain, Fields, Signer};
use tsw_base::host;

/// Guards against a line whose text or hash input differs from its canonical JSON, so that other
/// programs could not verify the chain.
#[test]
fn text_is_canonical() {
    let id = host::Id {
        host: "r1".parse().unwrap(),
        incarnation: host::Incarnation::new(1, 0),
    };
    let mut chain = Chain::new(id, Signer::from_bytes(&[7; 32]));
    let cases = [
        json!({}),
        json!({ "team": "counter", "request": "a\"b\\\n\u{1}é" }),
        json!({ "z": [1, { "b": null, "a": true }], "seq": 3, "A": -2 }),
    ];
    for fields in cases {
        let fields: Fields = fields.as_object().cloned().unwrap();
        let line = chain.append(1_000, "rejected \"x\"", fields).unwrap();
        let whole = serde_json::to_value(&line).unwrap();
        assert_eq!(line.to_json().unwrap(), canonical::text(&whole).unwrap());
        let mut content = whole.as_object().cloned().unwrap();
        content.remove("hash");
        let mut hasher = blake3::Hasher::new();
        hasher.update(line.prev.as_bytes());
        hasher.update(canonical::text(&content.into()).unwrap().as_bytes());
        assert_eq!(line.hash, hasher.finalize().to_hex().to_string());
    }
}
