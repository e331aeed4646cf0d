//! The audit lines that routers exported through their logs.

use std::{fs, path::Path};

use serde::Deserialize;
use tsw_audit::{verify, Line, PublicKeys, Signer};

use crate::{history, plan};

/// Message of a log line that holds an audit line.
const AUDIT: &str = "audit";

#[derive(Deserialize)]
struct Logged {
    message: String,
    attributes: Attributes,
}

#[derive(Deserialize)]
struct Attributes {
    #[serde(default)]
    line: String,
}

/// What a router recorded about a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// The router.
    pub router: String,
    /// The event.
    pub event: String,
    /// The request.
    pub request: String,
}

/// Audit lines of all routers of a run.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Records {
    /// Lines about requests.
    pub records: Vec<Record>,
    /// Logs that do not pass verification, with the reason.
    pub faults: Vec<String>,
}

impl Records {
    /// Reads and verifies the logs of all routers in the directory of a run. There are no records
    /// when the routers did not log them.
    #[must_use]
    pub fn read(directory: &Path, fleet: &plan::Fleet) -> Self {
        let mut keys = PublicKeys::default();
        for router in &fleet.routers {
            let pem = fs::read_to_string(directory.join(format!("record-{}.key", router.host)));
            let signer = pem.ok().and_then(|pem| Signer::from_pem(&pem).ok());
            if let (Some(signer), Ok(host)) = (signer, router.host.parse()) {
                keys.insert(host, signer.public_key());
            }
        }
        let mut found = Self::default();
        let mut all = Vec::new();
        for router in &fleet.routers {
            let path = directory.join(format!("{}.log", router.host));
            let logged: Vec<Logged> = history::read(&path).unwrap_or_default();
            for line in logged.into_iter().filter(|line| line.message == AUDIT) {
                if let Ok(parsed) = Line::parse(&line.attributes.line) {
                    let request = parsed.fields.get("request").and_then(|r| r.as_str());
                    found.records.extend(request.map(|request| Record {
                        router: router.host.clone(),
                        event: parsed.event.clone(),
                        request: request.to_owned(),
                    }));
                }
                all.push(line.attributes.line);
            }
        }
        let verified = verify::log(all.iter().map(String::as_str), &[], &keys);
        found.faults.extend(verified.err().map(|f| f.to_string()));
        found
    }
}
