//! Reads the audit lines that routers write to their log files.

use std::{fs, path::Path};

use serde::Deserialize;
use tsw_audit::{verify, Line, PublicKeys, Signer};

use crate::{history, plan};

/// Message of a log event that carries an audit line.
const AUDIT_MESSAGE: &str = "audit";

#[derive(Deserialize)]
struct LogEvent {
    message: String,
    attributes: Attributes,
}

#[derive(Deserialize)]
struct Attributes {
    #[serde(default)]
    line: String,
}

/// An audit record of a router about a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AuditRecord {
    /// Host name of the router.
    pub router: String,
    /// Name of the event.
    pub event: String,
    /// Request id.
    pub request: String,
}

/// Audit records of all routers of a plan.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AuditLog {
    /// Records about requests.
    pub records: Vec<AuditRecord>,
    /// Errors of the verification of the logs.
    pub faults: Vec<String>,
}

impl AuditLog {
    /// Reads and verifies the logs of all routers in `directory`. The result has no records when
    /// the log level of the routers excludes audit lines.
    #[must_use]
    pub fn read(directory: &Path, plan: &plan::FleetPlan) -> Self {
        let mut keys = PublicKeys::default();
        for router in &plan.routers {
            let pem = fs::read_to_string(directory.join(format!("record-{}.key", router.host)));
            let signer = pem.ok().and_then(|pem| Signer::from_pem(&pem).ok());
            if let (Some(signer), Ok(host)) = (signer, router.host.parse()) {
                keys.insert(host, signer.public_key());
            }
        }
        let mut audit = Self::default();
        let mut lines = Vec::new();
        for router in &plan.routers {
            let path = directory.join(format!("{}.log", router.host));
            let events: Vec<LogEvent> = history::read_json_lines(&path).unwrap_or_default();
            for event in events
                .into_iter()
                .filter(|event| event.message == AUDIT_MESSAGE)
            {
                if let Ok(parsed) = Line::parse(&event.attributes.line) {
                    let request = parsed.fields.get("request").and_then(|r| r.as_str());
                    audit.records.extend(request.map(|request| AuditRecord {
                        router: router.host.clone(),
                        event: parsed.event.clone(),
                        request: request.to_owned(),
                    }));
                }
                lines.push(event.attributes.line);
            }
        }
        let verified = verify::log(lines.iter().map(String::as_str), &[], &keys);
        audit.faults.extend(verified.err().map(|f| f.to_string()));
        audit
    }
}
