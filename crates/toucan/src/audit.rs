//! `toucan audit`.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

use ed25519_dalek::{pkcs8::spki, pkcs8::DecodePublicKey as _, VerifyingKey};
use serde_json::Value;
use tsw_audit::{verify, PublicKeys, Receipt};
use tsw_base::name;

use crate::Outcome;

/// Start of every record: its keys are in alphabetical order.
const RECORD_START: &str = "{\"chain\":";

/// Mark of a record in a log in text form: number and name of the event.
const TEXT_MARK: &str = " 801 audit ";

/// Number of the event that holds a record, in a log in JSON form.
const EVENT_NUMBER: u64 = 801;

/// Why records cannot be verified.
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
    Key {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: spki::Error,
    },
    /// The name of a key file does not hold the name of a host.
    #[error("{} does not name a host: {source}; call it record-HOST.pub", path.display())]
    Host {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: name::Error,
    },
    /// The directory holds no key.
    #[error("no record-HOST.pub in {}; give the directory with the public record keys", path.display())]
    Keys {
        /// The directory.
        path: PathBuf,
    },
    /// A receipt cannot be read.
    #[error("{}:{line}: {source}", path.display())]
    Receipt {
        /// The file.
        path: PathBuf,
        /// Line in the file.
        line: usize,
        /// The cause.
        source: tsw_audit::Error,
    },
    /// The logs hold no record.
    #[error("the logs hold no audit record; give logs that were written at level info")]
    Empty,
}

/// A record and where it is.
struct Record<'a> {
    path: &'a Path,
    line: usize,
    text: String,
}

/// Verifies the records of logs and prints the first fault, or a summary.
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
    let mut records = Vec::new();
    for path in files {
        let text = read(path)?;
        for (index, line) in text.lines().enumerate() {
            records.extend(extract(line).map(|text| Record {
                path,
                line: index + 1,
                text,
            }));
        }
    }
    if records.is_empty() {
        return Err(Error::Empty);
    }
    let texts = records.iter().map(|record| record.text.as_str());
    match verify::log(texts, &receipts, &keys) {
        Ok(summary) => {
            let verify::Summary {
                chains,
                lines,
                heads,
                receipts,
                unsigned,
            } = summary;
            crate::say!(
                "{lines} records in {chains} chains are complete and unchanged; {heads} signed \
                 heads and {receipts} receipts match; {unsigned} records follow the last signed \
                 head of their chain"
            );
            Ok(Outcome::Success)
        }
        Err(fault) => {
            let place = fault
                .input_line
                .checked_sub(1)
                .and_then(|at| records.get(at));
            let verify::Fault {
                kind, chain, seq, ..
            } = &fault;
            let kind = describe(*kind);
            match place {
                Some(record) => {
                    let (path, line) = (record.path.display(), record.line);
                    crate::say!("{path}:{line}: record {seq} of chain {chain} {kind}");
                }
                None => crate::say!("record {seq} of chain {chain} {kind}, as a receipt shows"),
            }
            Ok(Outcome::Faults)
        }
    }
}

fn describe(kind: verify::FaultKind) -> &'static str {
    match kind {
        verify::FaultKind::Missing => "is missing",
        verify::FaultKind::Changed => "was changed",
        verify::FaultKind::Reordered => "is out of order or there twice",
        verify::FaultKind::Forged => "was not written by the router",
        verify::FaultKind::Malformed => "is not a record",
    }
}

fn read(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|source| Error::Read {
        path: path.to_owned(),
        source,
    })
}

/// Returns the record in a line of a log, if it holds one. A line that is marked as a record but
/// holds none is returned as it is, so that it counts as a fault.
fn extract(line: &str) -> Option<String> {
    if line.starts_with(RECORD_START) {
        return Some(line.to_owned());
    }
    if line.starts_with('{') {
        let value: Value = serde_json::from_str(line).ok()?;
        let attributes = value.get("attributes")?;
        let number = attributes.get("number")?;
        let is_audit = number.as_u64() == Some(EVENT_NUMBER)
            || number.as_str() == Some(EVENT_NUMBER.to_string().as_str());
        if !is_audit {
            return None;
        }
        let fields = attributes.as_object()?.values().filter_map(Value::as_str);
        let mut records = fields.filter(|text| text.starts_with(RECORD_START));
        return Some(records.next().unwrap_or(line).to_owned());
    }
    let (_, rest) = line.split_once(TEXT_MARK)?;
    let start = rest.find(RECORD_START);
    Some(start.map_or(line, |start| &rest[start..]).to_owned())
}

fn read_keys(directory: &Path) -> Result<PublicKeys, Error> {
    let fault = |source| Error::Read {
        path: directory.to_owned(),
        source,
    };
    let mut keys = PublicKeys::default();
    let mut found = false;
    for entry in fs::read_dir(directory).map_err(fault)? {
        let path = entry.map_err(fault)?.path();
        let file = path.file_name().and_then(|name| name.to_str());
        let host = file.and_then(|file| file.strip_prefix("record-")?.strip_suffix(".pub"));
        let Some(host) = host else { continue };
        let host = host.parse().map_err(|source| Error::Host {
            path: path.clone(),
            source,
        })?;
        let key = VerifyingKey::from_public_key_pem(&read(&path)?);
        keys.insert(host, key.map_err(|source| Error::Key { path, source })?);
        found = true;
    }
    match found {
        true => Ok(keys),
        false => Err(Error::Keys {
            path: directory.to_owned(),
        }),
    }
}

fn read_receipts(path: &Path) -> Result<Vec<Receipt>, Error> {
    let text = read(path)?;
    let lines = text.lines().enumerate();
    let lines = lines.filter(|(_, line)| !line.trim().is_empty());
    let receipts = lines.map(|(index, line)| {
        line.trim().parse().map_err(|source| Error::Receipt {
            path: path.to_owned(),
            line: index + 1,
            source,
        })
    });
    receipts.collect()
}
