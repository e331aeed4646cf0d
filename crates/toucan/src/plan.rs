//! The command `toucan plan`: where a request would go now, and why.

use serde::Deserialize;

use crate::{flags, operator};

/// An error of the command.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The router cannot be called or refuses the question.
    #[error(transparent)]
    Call(#[from] operator::Error),
    /// The response cannot be read.
    #[error("cannot read the response: {0}; use a router and a tool of the same version")]
    Response(#[from] serde_json::Error),
}

#[derive(Debug, Deserialize)]
struct Plan {
    service: String,
    decision: Decision,
    retry_after_ms: Option<u64>,
    team_served: f64,
    fair_share: Option<f64>,
    share_wait_ms: u64,
    kind: String,
    candidates: Vec<Candidate>,
}

#[derive(Debug, Deserialize)]
#[serde(tag = "do", rename_all = "lowercase")]
enum Decision {
    Start { upstream: String },
    Wait { ms: u64 },
    Refuse { cause: String },
}

#[derive(Debug, Deserialize)]
struct Candidate {
    upstream: String,
    domain: String,
    cost: Option<f64>,
    excluded: Option<String>,
    requests: u32,
    slots: u32,
    pending_tokens: u64,
    uncached_tokens: u64,
    slowness: f64,
}

/// Asks a router and prints its answer.
pub fn run(flags: &flags::Plan) -> Result<(), Error> {
    let numbers = [
        ("toucan-tokens", flags.tokens),
        ("toucan-output", flags.output),
    ];
    let numbers = numbers.map(|(name, number)| (name, number.map(|number| number.to_string())));
    let texts = [
        ("toucan-host", Some(flags.host.clone())),
        ("toucan-path", Some(flags.path.clone())),
        ("toucan-team", flags.team.clone()),
        ("toucan-parts", flags.parts.clone()),
    ];
    let fields = texts.into_iter().chain(numbers);
    let fields = fields.filter_map(|(name, text)| text.map(|text| (name, text)));
    let body = operator::read(flags.address, "/plan", &fields.collect::<Vec<_>>())?;
    if flags.json {
        let value: serde_json::Value = serde_json::from_slice(&body)?;
        print_line!("{}", serde_json::to_string_pretty(&value)?);
        return Ok(());
    }
    print(&serde_json::from_slice(&body)?);
    Ok(())
}

fn print(plan: &Plan) {
    match &plan.decision {
        Decision::Start { upstream } => print_line!("{}: starts at {upstream}", plan.service),
        Decision::Wait { ms } => {
            print_line!("{}: waits at the router for up to {ms} ms", plan.service)
        }
        Decision::Refuse { cause } => print_line!("{}: refused, {cause}", plan.service),
    }
    if let Some(after) = plan.retry_after_ms {
        print_line!("its client is asked to come back after {after} ms or more");
    }
    match plan.fair_share {
        Some(share) => print_line!(
            "team: {:.0} of {share:.0} served, below its share in {} ms; its kind is {}",
            plan.team_served,
            plan.share_wait_ms,
            plan.kind
        ),
        None => print_line!(
            "team: {:.0} served, there is enough for all",
            plan.team_served
        ),
    }
    for candidate in &plan.candidates {
        let cost = match (&candidate.cost, &candidate.excluded) {
            (Some(cost), _) => format!("cost {cost:.2}"),
            (None, Some(reason)) => reason.clone(),
            (None, None) => "excluded".to_owned(),
        };
        print_line!(
            "  {} in {}: {cost}; {} of {} slots, {} tokens pending, {} to read, {:.2} times as slow",
            candidate.upstream,
            candidate.domain,
            candidate.requests,
            candidate.slots,
            candidate.pending_tokens,
            candidate.uncached_tokens,
            candidate.slowness
        );
    }
}
