//! Finds the first line of a log that cannot be trusted.

use std::{collections::BTreeMap, fmt};

use crate::{
    head::{Head, Receipt},
    key::Keys,
    line::{self, Line},
};

/// What is wrong with a line.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// The line is not there.
    Missing,
    /// The content of the line does not match its hash.
    Changed,
    /// The line is out of order or there twice.
    Reordered,
    /// The line has a matching hash, but the chain or a signature shows that the router did not
    /// write it.
    Forged,
    /// The text is not a line of a chain.
    Malformed,
}

/// The first line that cannot be trusted.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub struct Fault {
    /// What is wrong.
    pub kind: Kind,
    /// The chain, empty for [`Kind::Malformed`].
    pub chain: String,
    /// Number of the line in its chain; of the first such line where it cannot be told exactly.
    pub seq: u64,
    /// Line of the input at which it was noticed, from 1; 0 when noticed by a receipt.
    pub at: usize,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self.kind {
            Kind::Missing => "missing",
            Kind::Changed => "changed",
            Kind::Reordered => "out of order",
            Kind::Forged => "forged",
            Kind::Malformed => "not a record",
        };
        write!(f, "line {} of chain {} is {kind}", self.seq, self.chain)?;
        if self.at > 0 {
            write!(f, " (input line {})", self.at)?;
        }
        Ok(())
    }
}

/// What a log without fault holds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Summary {
    /// Chains.
    pub chains: usize,
    /// Lines.
    pub lines: usize,
    /// Heads that peers recorded and that match.
    pub heads: usize,
    /// Receipts that match.
    pub receipts: usize,
    /// Lines after the last head of their chain, which only receipts protect.
    pub unsigned: usize,
}

/// A line and its place in the input.
type Placed = (usize, Line);

/// Checks a log, which may hold lines of several chains in any interleaving.
///
/// # Errors
///
/// Returns the first fault: of the lines, then of the heads that they hold, then of the receipts.
///
/// ```
/// use tsw_audit::{verify, Chain, Fields, Keys, Signer};
/// use tsw_base::host;
///
/// let id = host::Id {
///     host: "r1".parse().unwrap(),
///     incarnation: host::Incarnation::new(1, 0),
/// };
/// let mut chain = Chain::new(id, Signer::from_bytes(&[7; 32]));
/// let first = chain.append(1, "start", Fields::new())?.to_json()?;
/// let second = chain.append(2, "stop", Fields::new())?.to_json()?;
/// let keys = Keys::default();
/// assert!(verify::log([first.as_str(), &second], &[], &keys).is_ok());
/// let fault = verify::log([second.as_str()], &[], &keys).unwrap_err();
/// assert_eq!((fault.kind, fault.seq), (verify::Kind::Missing, 1));
/// # Ok::<(), tsw_audit::Error>(())
/// ```
pub fn log<'a>(
    lines: impl IntoIterator<Item = &'a str>,
    receipts: &[Receipt],
    keys: &Keys,
) -> Result<Summary, Fault> {
    let mut chains: BTreeMap<String, Vec<Placed>> = BTreeMap::new();
    let mut summary = Summary::default();
    for (index, text) in lines.into_iter().enumerate() {
        let at = index + 1;
        let line = Line::parse(text).ok();
        let line = line.filter(|line| line::chain_id(&line.chain).is_ok());
        let line = line.ok_or_else(|| fault(Kind::Malformed, "", 0, at))?;
        // Another text for the same content, such as a repeated key, can mislead a reader.
        if line.to_json().ok().as_deref() != Some(text.trim_end()) {
            return Err(fault(Kind::Changed, &line.chain, line.seq, at));
        }
        chains
            .entry(line.chain.clone())
            .or_default()
            .push((at, line));
        summary.lines += 1;
    }
    summary.chains = chains.len();
    let faults = chains.values().filter_map(|lines| order(lines).err());
    if let Some(first) = faults.min_by_key(|fault| fault.at) {
        return Err(first);
    }
    summary.heads = check_heads(&chains, keys, &mut summary.unsigned)?;
    for receipt in receipts {
        check_receipt(&chains, receipt, keys)?;
        summary.receipts += 1;
    }
    Ok(summary)
}

fn fault(kind: Kind, chain: &str, seq: u64, at: usize) -> Fault {
    Fault {
        kind,
        chain: chain.to_owned(),
        seq,
        at,
    }
}

/// Checks that the lines of one chain follow each other.
fn order(lines: &[Placed]) -> Result<(), Fault> {
    let mut last = lines
        .first()
        .map(|(_, line)| line::genesis(&line.chain))
        .unwrap_or_default();
    for (expected, (at, line)) in (1..).zip(lines) {
        let wrong = |kind, seq| Err(fault(kind, &line.chain, seq, *at));
        if line.digest().ok().as_ref() != Some(&line.hash) {
            return wrong(Kind::Changed, line.seq);
        }
        if line.seq < expected {
            let known = lines.iter().any(|(other, known)| {
                other < at && known.seq == line.seq && known.hash == line.hash
            });
            let kind = if known { Kind::Reordered } else { Kind::Forged };
            return wrong(kind, line.seq);
        }
        if line.seq > expected {
            let later = lines
                .iter()
                .any(|(other, later)| other > at && later.seq == expected);
            return if later {
                wrong(Kind::Reordered, line.seq)
            } else {
                wrong(Kind::Missing, expected)
            };
        }
        if line.prev != last {
            // This line continues another one than the line before it.
            return wrong(Kind::Forged, (line.seq - 1).max(1));
        }
        last.clone_from(&line.hash);
    }
    Ok(())
}

/// Checks the heads that the lines hold against the chains; returns how many match.
fn check_heads(
    chains: &BTreeMap<String, Vec<Placed>>,
    keys: &Keys,
    unsigned: &mut usize,
) -> Result<usize, Fault> {
    let mut heads: Vec<(usize, &Line, Option<Head>)> = chains
        .values()
        .flatten()
        .filter(|(_, line)| line.event == line::HEAD_EVENT)
        .map(|(at, line)| (*at, line, Head::from_fields(&line.fields)))
        .collect();
    heads.sort_by_key(|(at, _, head)| (head.as_ref().map(|head| head.seq), *at));
    let mut signed: BTreeMap<String, u64> = BTreeMap::new();
    for (at, holder, head) in &heads {
        let sound = head.as_ref().filter(|head| head.verify(keys).is_ok());
        let Some(head) = sound else {
            return Err(fault(Kind::Forged, &holder.chain, holder.seq, *at));
        };
        let chain = head.chain.to_string();
        let before = signed.get(&chain).copied().unwrap_or(0);
        check_line(chains, &chain, head.seq, &head.hash, before, *at)?;
        signed.insert(chain, head.seq);
    }
    for (chain, lines) in chains {
        let last = signed.get(chain).copied().unwrap_or(0);
        *unsigned += lines.len().saturating_sub(last as usize);
    }
    Ok(heads.len())
}

/// Checks that a chain has the line that a signature names. `before` is the last line known to be
/// genuine.
fn check_line(
    chains: &BTreeMap<String, Vec<Placed>>,
    chain: &str,
    seq: u64,
    hash: &str,
    before: u64,
    at: usize,
) -> Result<(), Fault> {
    let lines = chains.get(chain).map_or(&[][..], Vec::as_slice);
    if seq == 0 {
        return Ok(());
    }
    match lines.get(seq as usize - 1) {
        None => Err(fault(Kind::Missing, chain, lines.len() as u64 + 1, at)),
        Some((_, line)) if line.hash != hash => Err(fault(Kind::Forged, chain, before + 1, at)),
        Some(_) => Ok(()),
    }
}

fn check_receipt(
    chains: &BTreeMap<String, Vec<Placed>>,
    receipt: &Receipt,
    keys: &Keys,
) -> Result<(), Fault> {
    let chain = receipt.chain.to_string();
    if receipt.verify(keys).is_err() {
        return Err(fault(Kind::Forged, &chain, receipt.seq, 0));
    }
    // Without a head before it, the line itself is the first that is known to be wrong.
    let before = receipt.seq.saturating_sub(1);
    check_line(chains, &chain, receipt.seq, &receipt.hash, before, 0)
}
