//! Guards against requests that are run more often than allowed, and against final responses
//! that claim "not run" for a request that may have been.

use proptest::prelude::*;
use tsw_flow::retry::{Attempts, FailureKind, FinalResponse, NextStep};
use tsw_route::table::Kind;

const KINDS: [Kind; 4] = [
    Kind::Idempotent,
    Kind::NonIdempotent,
    Kind::Stream { resumable: true },
    Kind::Stream { resumable: false },
];
const FAILURES: [FailureKind; 4] = [
    FailureKind::Unreachable,
    FailureKind::NotRun,
    FailureKind::Failed,
    FailureKind::Broken,
];

proptest! {
    /// Applies an arbitrary series of failures to a request until its final response.
    #[test]
    fn any_series_of_faults_ends_in_a_correct_answer_within_the_attempt_limit(
        kind in prop::sample::select(&KINDS[..]),
        attempts in 1_u32..4,
        failures in prop::collection::vec(prop::sample::select(&FAILURES[..]), 20),
    ) {
        let mut counts = Attempts::default();
        let mut ran = 0;
        let mut response = None;
        for failure in failures {
            if matches!(failure, FailureKind::Failed | FailureKind::Broken) {
                ran += 1;
            }
            counts.record(failure);
            if let NextStep::Respond(given) = counts.next_step(kind, attempts, failure) {
                response = Some(given);
                break;
            }
        }
        let response = response.expect("a final response within 20 attempts");
        let max_runs = if kind.may_repeat() { attempts } else { 1 };
        prop_assert!(ran <= max_runs, "{ran} runs of {kind:?}");
        prop_assert_eq!(response == FinalResponse::NotRun, ran == 0);
    }
}

#[test]
fn error_response_to_a_non_idempotent_request_is_passed_on() {
    let mut counts = Attempts::default();
    counts.record(FailureKind::Failed);
    let next = counts.next_step(Kind::NonIdempotent, 3, FailureKind::Failed);
    assert_eq!(next, NextStep::Respond(FinalResponse::Failure));
}

#[test]
fn failed_connection_does_not_use_the_retry_budget() {
    let mut counts = Attempts::default();
    counts.record(FailureKind::Unreachable);
    assert_eq!(
        counts.next_step(Kind::NonIdempotent, 1, FailureKind::Unreachable),
        NextStep::Reconnect
    );
}
