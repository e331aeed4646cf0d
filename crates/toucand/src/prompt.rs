//! Divides the prompts of calls into parts that other prompts may have as well.

use std::borrow::Cow;

use fastcdc::v2020::FastCDC;
use serde::Deserialize;
use tsw_base::name;
use tsw_poison::Fingerprint;
use xxhash_rust::xxh3;

/// Length in bytes from which a line is divided further.
const LONG_LINE_BYTES: usize = 1_024;
/// Minimum, average and maximum length in bytes of the pieces of a long line.
const PIECE_BYTES: (usize, usize, usize) = (64, 256, 1_024);

#[derive(Deserialize)]
struct Body<'a> {
    #[serde(borrow)]
    prompt: Cow<'a, str>,
}

/// Returns the fingerprints of the parts of the prompt in a body; none if the body has no prompt.
///
/// The callers do not state the parts. Each line is one; long lines are divided where their content
/// determines it, so that equal passages of different lines are divided alike.
///
/// ```
/// let service = "reviews".parse()?;
/// let parts = |prompt: &str| toucand::prompt::parts(&service, prompt.as_bytes());
/// let first = parts(r#"{"prompt":"Be brief.\nFirst question?"}"#);
/// let second = parts(r#"{"prompt":"Second question?\nBe brief.","max_tokens":5}"#);
/// assert_eq!((first.len(), second.len()), (2, 2));
/// assert_eq!(first[0], second[1]);
/// assert!(parts("no JSON").is_empty());
/// # Ok::<(), tsw_base::name::Error>(())
/// ```
#[must_use]
pub fn parts(service: &name::Service, body: &[u8]) -> Vec<Fingerprint> {
    let Ok(Body { prompt }) = serde_json::from_slice(body) else {
        return Vec::new();
    };
    let service = service.as_str().as_bytes();
    let mut parts = Vec::new();
    let mut push = |part: &[u8]| {
        parts.push(Fingerprint::of_part(service, xxh3::xxh3_64(part)));
    };
    let lines = prompt
        .lines()
        .map(str::trim)
        .filter(|line| !line.is_empty());
    for line in lines.map(str::as_bytes) {
        if line.len() < LONG_LINE_BYTES {
            push(line);
            continue;
        }
        let (min, average, max) = PIECE_BYTES;
        for piece in FastCDC::new(line, min, average, max) {
            push(&line[piece.offset..piece.offset + piece.length]);
        }
    }
    parts
}
