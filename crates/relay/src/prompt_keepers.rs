//! Finds out which upstreams keep the prompt of a stream that no router remembers.
//!
//! The upstream that began the stream has read its prompt, the last part of which belongs to the stream or its session. A version is derived
//! from the list, which a router that began the stream may not have followed: while the store answers no router, all keep an older list. If
//! upstreams keep that part, but none of the derived version, the derivation is contradicted. A part that is kept proves nothing: other
//! streams of a session have read it as well. Neither does one that nobody keeps, since parts are evicted.

use std::{cell::RefCell, rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::future;
use indexmap::{IndexMap, IndexSet};
use tokio::{sync::watch, time};
use tsw_base::time::{Span, Timestamp};
use tsw_event::{contained, emit, Event};
use tsw_flow::{
    origin::{Origin, Software},
    pool::Choice,
    service::Service,
};
use tsw_route::Name;

use crate::{request::Request, router::Router};

/// Time limit of the question.
const TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which an answer is used. Streams that are resumed have begun some time before.
const LIFETIME: Span = Span::from_secs(1);
/// Maximum number of upstreams that are asked. Those of larger services would have to answer too many routers.
const MAX_UPSTREAMS: usize = 64;

/// Identifiers of the parts that an upstream keeps, if it has stated them.
type Stated = Option<Rc<IndexSet<u64>>>;

/// The latest question to an upstream.
struct Question {
    at: Timestamp,
    answer: watch::Receiver<Option<Stated>>,
}

/// What runs of upstreams, by name and start, have stated of the prompt parts that they keep.
#[derive(Default)]
pub(crate) struct KeptParts(RefCell<IndexMap<(Name, u64), Question>>);

impl Router {
    /// Returns whether some upstreams keep the prompt of the stream that a request resumes, but none that runs the software of an origin.
    pub(crate) async fn is_contradicted(
        self: &Rc<Self>,
        request: &Request,
        origin: &Origin,
    ) -> bool {
        let parts = request.prompt.as_ref().map(|prompt| &prompt.parts);
        let Some(part) = parts.and_then(|parts| parts.last()) else {
            return false;
        };
        let listed = |service: &mut Service| service.pool.listed().collect();
        let listed: Vec<(Choice, Software)> = self
            .with_service(&origin.service, listed)
            .unwrap_or_default();
        let is_only = listed.iter().all(|(_, found)| *found == origin.software);
        if is_only || listed.len() > MAX_UPSTREAMS {
            return false;
        }
        let questions = listed.iter().map(|(choice, found)| async move {
            let kept = self.kept_parts(&origin.service, choice).await;
            (*found == origin.software, kept)
        });
        let answers = future::join_all(questions).await;
        let answered = answers.iter().filter(|(_, kept)| kept.is_some()).count();
        let keeps = |kept: &Stated| kept.as_ref().is_some_and(|kept| kept.contains(&part.id));
        let count = |of_same: bool| {
            let keepers = answers.iter().filter(|(_, kept)| keeps(kept));
            keepers.filter(|(is_same, _)| *is_same == of_same).count()
        };
        let (same, others) = (count(true), count(false));
        emit(
            Event::PromptKeepers,
            &[
                ("request", &request.id),
                ("software", &origin.software),
                ("asked", &answers.len()),
                ("answered", &answered),
                ("keepers", &same),
                ("others", &others),
            ],
        );
        same == 0 && others > 0
    }

    /// Returns the prompt parts that an upstream keeps, if it states them.
    async fn kept_parts(self: &Rc<Self>, service: &Name, choice: &Choice) -> Stated {
        let mut answer = self.parts_question(service, choice);
        let answer = answer.wait_for(Option::is_some).await;
        answer.ok().and_then(|answer| answer.clone()).flatten()
    }

    fn parts_question(
        self: &Rc<Self>,
        service: &Name,
        choice: &Choice,
    ) -> watch::Receiver<Option<Stated>> {
        let now = self.now();
        let mut questions = self.kept_parts.0.borrow_mut();
        questions.retain(|_, question| now.since(question.at) <= LIFETIME);
        let key = (choice.id.clone(), choice.started_at);
        if let Some(question) = questions.get(&key) {
            return question.answer.clone();
        }
        let (sender, answer) = watch::channel(None);
        let question = Question {
            at: now,
            answer: answer.clone(),
        };
        questions.insert(key, question);
        let (router, service, choice) = (self.clone(), service.clone(), choice.clone());
        // It goes on if the client of the request that asked leaves.
        actix_rt::spawn(contained::run(async move {
            let question = router.protocol.parts_question(&choice);
            let answer = time::timeout(TIMEOUT, router.ask(&service, &choice, &question)).await;
            let parts = answer.ok().flatten().filter(|(head, _)| head.status == 200);
            let parts = parts.and_then(|(_, body): (_, Bytes)| router.protocol.kept_parts(&body));
            sender.send_replace(Some(
                parts.map(|parts| Rc::new(parts.into_iter().collect())),
            ));
        }));
        answer
    }
}
