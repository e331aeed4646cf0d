//! Verifies a log and finds its first line that cannot be trusted.

use std::{collections::BTreeMap, fmt};

use crate::{
    head::{Head, Receipt},
    key::PublicKeys,
    line::{self, Line},
};

/// What is wrong with a line.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum FaultKind {
    /// The line is missing.
    Missing,
    /// The content of the line does not match its hash, or its text is not canonical.
    Changed,
    /// The line is out of order or repeated.
    Reordered,
    /// The hash of the line matches its content, but other lines of the chain, a head or a receipt
    /// show that the router did not write it. Also reported for a line that records a head without
    /// a valid signature, and for the line of a receipt without one.
    Forged,
    /// The text is not a line of a chain.
    Malformed,
}

/// The first line that cannot be trusted.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub struct Fault {
    /// What is wrong.
    pub kind: FaultKind,
    /// The chain, empty for [`FaultKind::Malformed`].
    pub chain: String,
    /// Number of the line in its chain. If only a range of lines is known to hold the fault, the
    /// first line of the range.
    pub seq: u64,
    /// Line of the input at which the fault was detected, from 1; 0 if a receipt revealed it.
    pub input_line: usize,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self.kind {
            FaultKind::Missing => "missing",
            FaultKind::Changed => "changed",
            FaultKind::Reordered => "out of order",
            FaultKind::Forged => "forged",
            FaultKind::Malformed => "not a record",
        };
        write!(f, "line {} of chain {} is {kind}", self.seq, self.chain)?;
        if self.input_line > 0 {
            write!(f, " (input line {})", self.input_line)?;
        }
        Ok(())
    }
}

/// Contents of a log without faults.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Summary {
    /// Number of chains.
    pub chains: usize,
    /// Number of lines.
    pub lines: usize,
    /// Number of heads recorded by peers. All of them match.
    pub heads: usize,
    /// Number of receipts. All of them match.
    pub receipts: usize,
    /// Number of lines after the last recorded head of their chain. Only receipts protect them.
    pub unsigned: usize,
}

/// A line and its number in the input, from 1.
type NumberedLine = (usize, Line);

/// Verifies a log, which may hold the lines of several chains in any interleaving.
///
/// # Errors
///
/// Returns the first fault: of the lines, then of the heads recorded in them, then of the receipts.
///
/// ```
/// use tsw_audit::{verify, Chain, Fields, PublicKeys, Signer};
/// use tsw_base::host;
///
/// let id = host::Id {
///     host: "r1".parse().unwrap(),
///     incarnation: host::Incarnation::new(1, 0),
/// };
/// let mut chain = Chain::new(id, Signer::from_bytes(&[7; 32]));
/// let first = chain.append(1, "start", Fields::new())?.to_json()?;
/// let second = chain.append(2, "stop", Fields::new())?.to_json()?;
/// let keys = PublicKeys::default();
/// assert!(verify::log([first.as_str(), &second], &[], &keys).is_ok());
/// let fault = verify::log([second.as_str()], &[], &keys).unwrap_err();
/// assert_eq!((fault.kind, fault.seq), (verify::FaultKind::Missing, 1));
/// # Ok::<(), tsw_audit::Error>(())
/// ```
pub fn log<'a>(
    lines: impl IntoIterator<Item = &'a str>,
    receipts: &[Receipt],
    keys: &PublicKeys,
) -> Result<Summary, Fault> {
    let mut chains: BTreeMap<String, Vec<NumberedLine>> = BTreeMap::new();
    let mut summary = Summary::default();
    for (index, text) in lines.into_iter().enumerate() {
        let input_line = index + 1;
        let line = Line::parse(text).ok();
        let line = line.filter(|line| line::parse_chain_id(&line.chain).is_ok());
        let line = line.ok_or_else(|| fault(FaultKind::Malformed, "", 0, input_line))?;
        // Reject text that is not canonical: a repeated key, for example, can show a reader content
        // other than that which was hashed.
        if line.to_json().ok().as_deref() != Some(text.trim_end()) {
            return Err(fault(FaultKind::Changed, &line.chain, line.seq, input_line));
        }
        chains
            .entry(line.chain.clone())
            .or_default()
            .push((input_line, line));
        summary.lines += 1;
    }
    summary.chains = chains.len();
    let faults = chains.values().filter_map(|lines| check_order(lines).err());
    if let Some(first) = faults.min_by_key(|fault| fault.input_line) {
        return Err(first);
    }
    summary.heads = check_heads(&chains, keys, &mut summary.unsigned)?;
    for receipt in receipts {
        check_receipt(&chains, receipt, keys)?;
        summary.receipts += 1;
    }
    Ok(summary)
}

fn fault(kind: FaultKind, chain: &str, seq: u64, input_line: usize) -> Fault {
    Fault {
        kind,
        chain: chain.to_owned(),
        seq,
        input_line,
    }
}

/// Checks the hashes and the order of the lines of one chain.
fn check_order(lines: &[NumberedLine]) -> Result<(), Fault> {
    let mut previous_hash = lines
        .first()
        .map(|(_, line)| line::genesis_hash(&line.chain))
        .unwrap_or_default();
    for (expected, (input_line, line)) in (1..).zip(lines) {
        let fail = |kind, seq| Err(fault(kind, &line.chain, seq, *input_line));
        if line.digest().ok().as_ref() != Some(&line.hash) {
            return fail(FaultKind::Changed, line.seq);
        }
        if line.seq < expected {
            let repeated = lines.iter().any(|(other, earlier)| {
                other < input_line && earlier.seq == line.seq && earlier.hash == line.hash
            });
            let kind = if repeated {
                FaultKind::Reordered
            } else {
                FaultKind::Forged
            };
            return fail(kind, line.seq);
        }
        if line.seq > expected {
            let found_later = lines
                .iter()
                .any(|(other, later)| other > input_line && later.seq == expected);
            return if found_later {
                fail(FaultKind::Reordered, line.seq)
            } else {
                fail(FaultKind::Missing, expected)
            };
        }
        if line.prev != previous_hash {
            // The hash of this line is right but covers another previous line, so the previous line
            // is reported as forged.
            return fail(FaultKind::Forged, (line.seq - 1).max(1));
        }
        previous_hash.clone_from(&line.hash);
    }
    Ok(())
}

/// Checks the recorded heads against the chains and returns their number. Adds the number of lines
/// after the last head of each chain to `unsigned`.
fn check_heads(
    chains: &BTreeMap<String, Vec<NumberedLine>>,
    keys: &PublicKeys,
    unsigned: &mut usize,
) -> Result<usize, Fault> {
    let mut heads: Vec<(usize, &Line, Option<Head>)> = chains
        .values()
        .flatten()
        .filter(|(_, line)| line.event == line::HEAD_EVENT)
        .map(|(input_line, line)| (*input_line, line, Head::from_fields(&line.fields)))
        .collect();
    heads.sort_by_key(|(input_line, _, head)| (head.as_ref().map(|head| head.seq), *input_line));
    let mut last_signed: BTreeMap<String, u64> = BTreeMap::new();
    for (input_line, holder, head) in &heads {
        let valid = head.as_ref().filter(|head| head.verify(keys).is_ok());
        let Some(head) = valid else {
            return Err(fault(
                FaultKind::Forged,
                &holder.chain,
                holder.seq,
                *input_line,
            ));
        };
        let chain = head.chain.to_string();
        let last_verified = last_signed.get(&chain).copied().unwrap_or(0);
        check_line(
            chains,
            &chain,
            head.seq,
            &head.hash,
            last_verified,
            *input_line,
        )?;
        last_signed.insert(chain, head.seq);
    }
    for (chain, lines) in chains {
        let last = last_signed.get(chain).copied().unwrap_or(0);
        *unsigned += lines.len().saturating_sub(last as usize);
    }
    Ok(heads.len())
}

/// Checks that a chain has the line that a head or receipt names. `last_verified` is the number of
/// the last line that is known to be genuine.
fn check_line(
    chains: &BTreeMap<String, Vec<NumberedLine>>,
    chain: &str,
    seq: u64,
    hash: &str,
    last_verified: u64,
    input_line: usize,
) -> Result<(), Fault> {
    let lines = chains.get(chain).map_or(&[][..], Vec::as_slice);
    if seq == 0 {
        return Ok(());
    }
    match lines.get(seq as usize - 1) {
        None => Err(fault(
            FaultKind::Missing,
            chain,
            lines.len() as u64 + 1,
            input_line,
        )),
        Some((_, line)) if line.hash != hash => Err(fault(
            FaultKind::Forged,
            chain,
            last_verified + 1,
            input_line,
        )),
        Some(_) => Ok(()),
    }
}

fn check_receipt(
    chains: &BTreeMap<String, Vec<NumberedLine>>,
    receipt: &Receipt,
    keys: &PublicKeys,
) -> Result<(), Fault> {
    let chain = receipt.chain.to_string();
    if receipt.verify(keys).is_err() {
        return Err(fault(FaultKind::Forged, &chain, receipt.seq, 0));
    }
    // Heads are not considered here, so the line of the receipt is the first that is known to be
    // wrong.
    let last_verified = receipt.seq.saturating_sub(1);
    check_line(chains, &chain, receipt.seq, &receipt.hash, last_verified, 0)
}
