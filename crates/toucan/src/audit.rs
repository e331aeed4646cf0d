//! The command `toucan audit`.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

use ed25519_dalek::{pkcs8::spki, pkcs8::DecodePublicKey as _, VerifyingKey};
use serde_json::Value;
use tsw_audit::{verify, PublicKeys, Receipt};
use tsw_base::name;

use crate::Outcome;

/// Start of every audit line. Its keys are sorted, so `chain` comes first.
const AUDIT_LINE_PREFIX: &str = "{\"chain\":";

/// Text that precedes an audit line in a text log: number and name of the event.
const TEXT_MARKER: &str = " 801 audit ";

/// Number and name of the event that contains an audit line in a JSON log. The number alone does not tell: older
/// routers stated the number of a grant under the same key.
const AUDIT_EVENT_NUMBER: u64 = 801;
const AUDIT_EVENT_NAME: &str = "audit";

/// An error that prevents the verification.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file or directory cannot be read.
    #[error("cannot read {}: {source}; give readable logs, keys and receipts", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A public key cannot be read.
    #[error("{} is not an Ed25519 public key in PEM form: {source}", path.display())]
    InvalidKey {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: spki::Error,
    },
    /// The name of a key file does not contain a valid host name.
    #[error("{} does not name a host: {source}; call it record-HOST.pub", path.display())]
    InvalidHost {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: name::Error,
    },
    /// The directory contains no key.
    #[error("no record-HOST.pub in {}; give the directory with the public record keys", path.display())]
    NoKeys {
        /// The directory.
        path: PathBuf,
    },
    /// A receipt cannot be read.
    #[error("{}:{line}: {source}", path.display())]
    InvalidReceipt {
        /// The file.
        path: PathBuf,
        /// Line in the file.
        line: usize,
        /// The cause.
        source: tsw_audit::Error,
    },
    /// The logs contain no audit line.
    #[error("the logs hold no audit record; give logs that were written at level info")]
    NoAuditLines,
}

/// An audit line and its location.
struct AuditLine<'a> {
    path: &'a Path,
    line_number: usize,
    text: String,
}

/// Verifies the audit lines in logs and prints the first fault or a summary.
pub fn run(files: &[PathBuf], keys: &Path, receipts: Option<&Path>) -> Result<Outcome, Error> {
    if files.is_empty() {
        eprintln!("toucan: nothing to verify; give the logs of the routers");
        return Ok(Outcome::Usage);
    }
    let keys = read_keys(keys)?;
    let receipts = match receipts {
        Some(path) => read_receipts(path)?,
        None => Vec::new(),
    };
    let mut audit_lines = Vec::new();
    for path in files {
        let text = read_file(path)?;
        for (index, line) in text.lines().enumerate() {
            audit_lines.extend(extract_audit_line(line).map(|text| AuditLine {
                path,
                line_number: index + 1,
                text,
            }));
        }
    }
    if audit_lines.is_empty() {
        return Err(Error::NoAuditLines);
    }
    let texts = audit_lines.iter().map(|line| line.text.as_str());
    match verify::log(texts, &receipts, &keys) {
        Ok(summary) => {
            let verify::Summary {
                chains,
                lines,
                heads,
                receipts,
                unsigned,
            } = summary;
            crate::print_line!(
                "{lines} records in {chains} chains are complete and unchanged; {heads} signed \
                 heads and {receipts} receipts match; {unsigned} records follow the last signed \
                 head of their chain"
            );
            Ok(Outcome::Success)
        }
        Err(fault) => {
            let located = fault
                .input_line
                .checked_sub(1)
                .and_then(|at| audit_lines.get(at));
            let verify::Fault {
                kind, chain, seq, ..
            } = &fault;
            let kind = fault_text(*kind);
            match located {
                Some(found) => {
                    let (path, line) = (found.path.display(), found.line_number);
                    crate::print_line!("{path}:{line}: record {seq} of chain {chain} {kind}");
                }
                None => {
                    crate::print_line!("record {seq} of chain {chain} {kind}, as a receipt shows")
                }
            }
            Ok(Outcome::Faults)
        }
    }
}

fn fault_text(kind: verify::FaultKind) -> &'static str {
    match kind {
        verify::FaultKind::Missing => "is missing",
        verify::FaultKind::Changed => "was changed",
        verify::FaultKind::Reordered => "is out of order or there twice",
        verify::FaultKind::Forged => "was not written by the router",
        verify::FaultKind::Malformed => "is not a record",
    }
}

fn read_file(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|source| Error::Read {
        path: path.to_owned(),
        source,
    })
}

/// Returns the audit line in a line of a log, or `None` for other events. An audit event without an
/// audit line is returned unchanged, so that the verification reports it as malformed.
fn extract_audit_line(line: &str) -> Option<String> {
    if line.starts_with(AUDIT_LINE_PREFIX) {
        return Some(line.to_owned());
    }
    if line.starts_with('{') {
        let value: Value = serde_json::from_str(line).ok()?;
        if value.get("message")?.as_str() != Some(AUDIT_EVENT_NAME) {
            return None;
        }
        let attributes = value.get("attributes")?;
        let number = attributes.get("number")?;
        let is_audit_event = number.as_u64() == Some(AUDIT_EVENT_NUMBER)
            || number.as_str() == Some(AUDIT_EVENT_NUMBER.to_string().as_str());
        if !is_audit_event {
            return None;
        }
        let fields = attributes.as_object()?.values().filter_map(Value::as_str);
        let mut candidates = fields.filter(|text| text.starts_with(AUDIT_LINE_PREFIX));
        return Some(candidates.next().unwrap_or(line).to_owned());
    }
    let (_, rest) = line.split_once(TEXT_MARKER)?;
    let start = rest.find(AUDIT_LINE_PREFIX);
    Some(start.map_or(line, |start| &rest[start..]).to_owned())
}

fn read_keys(directory: &Path) -> Result<PublicKeys, Error> {
    let read_error = |source| Error::Read {
        path: directory.to_owned(),
        source,
    };
    let mut keys = PublicKeys::default();
    let mut found = false;
    for entry in fs::read_dir(directory).map_err(read_error)? {
        let path = entry.map_err(read_error)?.path();
        let file = path.file_name().and_then(|name| name.to_str());
        let host = file.and_then(|file| file.strip_prefix("record-")?.strip_suffix(".pub"));
        let Some(host) = host else { continue };
        let host = host.parse().map_err(|source| Error::InvalidHost {
            path: path.clone(),
            source,
        })?;
        let key = VerifyingKey::from_public_key_pem(&read_file(&path)?);
        keys.insert(
            host,
            key.map_err(|source| Error::InvalidKey { path, source })?,
        );
        found = true;
    }
    match found {
        true => Ok(keys),
        false => Err(Error::NoKeys {
            path: directory.to_owned(),
        }),
    }
}

fn read_receipts(path: &Path) -> Result<Vec<Receipt>, Error> {
    let text = read_file(path)?;
    let lines = text.lines().enumerate();
    let lines = lines.filter(|(_, line)| !line.trim().is_empty());
    let receipts = lines.map(|(index, line)| {
        line.trim().parse().map_err(|source| Error::InvalidReceipt {
            path: path.to_owned(),
            line: index + 1,
            source,
        })
    });
    receipts.collect()
}
