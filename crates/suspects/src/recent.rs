//! Requests that were answered lately, so that the first crash of one finds
//! the callers that had it answered before.

use std::time::Duration;

use threadledge_types::Timestamp;

use crate::identity::{CallerId, RequestHash, RequestIdentity};

/// Requests that are remembered; a later one takes the place of an earlier one
/// with the same lowest bits. 32 bytes each.
const PLACES: usize = 1_024;
/// How long an answer tells something. After it the back ends may have become
/// others, which the same request may crash.
const REMEMBERED: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Debug)]
struct Answered {
    identity: RequestIdentity,
    at: Timestamp,
}

/// The latest answers.
#[derive(Debug, Default)]
pub(crate) struct Recent {
    places: Vec<Option<Answered>>,
}

impl Recent {
    pub(crate) fn answered(&mut self, at: Timestamp, identity: RequestIdentity) {
        if self.places.is_empty() {
            self.places.resize(PLACES, None);
        }
        let place = place(identity.request);
        self.places[place] = Some(Answered { identity, at });
    }

    /// Who had this request answered last, and when.
    pub(crate) fn find(
        &self,
        now: Timestamp,
        request: RequestHash,
    ) -> Option<(CallerId, Timestamp)> {
        let answered = self.places.get(place(request))?.as_ref()?;
        let same = answered.identity.request == request;
        let lately = now.since(answered.at) < REMEMBERED;
        (same && lately).then_some((answered.identity.caller, answered.at))
    }
}

fn place(request: RequestHash) -> usize {
    request.0 as usize % PLACES
}
