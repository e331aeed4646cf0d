//! Tests of the division of prompts into parts.

use std::collections::BTreeSet;

use rand::{rngs::StdRng, Rng as _, SeedableRng as _};
use toucand::prompt;
use tsw_poison::Fingerprint;

fn parts(prompt: &str) -> BTreeSet<Fingerprint> {
    let service = "reviews".parse().expect("a valid name");
    let body = serde_json::json!({"prompt": prompt, "max_tokens": 5}).to_string();
    prompt::parts(&service, body.as_bytes())
        .into_iter()
        .collect()
}

fn text(rng: &mut StdRng, bytes: usize) -> String {
    let words = ["net ", "mesh ", "cistern ", "tank ", "fog ", "yield "];
    let mut text = String::new();
    while text.len() < bytes {
        text.push_str(words[rng.gen_range(0..words.len())]);
    }
    text
}

/// Guards against a passage that crashes engines and is not recognized, because it stands at different
/// places of long lines.
#[test]
fn passage_of_different_long_lines_is_divided_alike() {
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let passage = text(&mut rng, 4_096);
        let mut line = || {
            let (before, after) = (rng.gen_range(0..3_000), rng.gen_range(0..3_000));
            format!(
                "{}{passage}{}",
                text(&mut rng, before),
                text(&mut rng, after)
            )
        };
        let (first, second) = (parts(&line()), parts(&line()));
        let shared = first.intersection(&second).count();
        assert!(shared >= 3, "seed {seed}: {shared} parts are shared");
    }
}

/// Guards against parts that differ because of line ends, indentation or JSON escapes.
#[test]
fn lines_are_recognized_whatever_surrounds_them() {
    let first = parts("Be brief.\r\n  The \"north\" net\n\nQuestion one?");
    let second = parts("\tThe \"north\" net\nQuestion two?\nBe brief.");
    assert_eq!(first.intersection(&second).count(), 2);
    assert_eq!((first.len(), second.len()), (3, 3));
}
