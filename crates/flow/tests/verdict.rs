//! Guards against requests that run more often than they may, and against refusals that are not
//! true.

use proptest::prelude::*;
use tsw_flow::verdict::{Answer, Fault, Next, Tried};
use tsw_route::table::Kind;

const KINDS: [Kind; 4] = [
    Kind::Idempotent,
    Kind::NonIdempotent,
    Kind::Stream { resumable: true },
    Kind::Stream { resumable: false },
];
const FAULTS: [Fault; 4] = [
    Fault::Unreachable,
    Fault::NotRun,
    Fault::Failed,
    Fault::Broken,
];

proptest! {
    /// Follows a request through any series of faults until its final answer.
    #[test]
    fn any_series_of_faults_ends_in_a_true_answer_within_the_attempts(
        kind in prop::sample::select(&KINDS[..]),
        attempts in 1_u32..4,
        faults in prop::collection::vec(prop::sample::select(&FAULTS[..]), 20),
    ) {
        let mut tried = Tried::default();
        let mut ran = 0;
        let mut answer = None;
        for fault in faults {
            if matches!(fault, Fault::Failed | Fault::Broken) {
                ran += 1;
            }
            tried.note(fault);
            if let Next::Answer(given) = tried.next(kind, attempts, fault) {
                answer = Some(given);
                break;
            }
        }
        let answer = answer.expect("a final answer within 20 attempts");
        let most = if kind.may_repeat() { attempts } else { 1 };
        prop_assert!(ran <= most, "{ran} runs of {kind:?}");
        prop_assert_eq!(answer == Answer::NotRun, ran == 0);
    }
}

#[test]
fn failure_of_a_request_that_must_not_be_repeated_is_passed_on() {
    let mut tried = Tried::default();
    tried.note(Fault::Failed);
    let next = tried.next(Kind::NonIdempotent, 3, Fault::Failed);
    assert_eq!(next, Next::Answer(Answer::Failure));
}

#[test]
fn connection_that_was_not_made_does_not_use_the_retry_budget() {
    let mut tried = Tried::default();
    tried.note(Fault::Unreachable);
    assert_eq!(
        tried.next(Kind::NonIdempotent, 1, Fault::Unreachable),
        Next::Reconnect
    );
}
