//! Tells whether a response answers the request that was sent last.
//!
//! HTTP/1.1 pairs requests and responses by their order alone. A peer that
//! answers a request twice puts all later pairs of the connection off by one,
//! unless responses name the request that they answer.

use http_types::Response;

use super::carried::{CarriedRequests, RequestIdentity};

/// How responses name the request that they answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ResponseIds {
    /// They do not.
    #[default]
    None,
    /// By this header, which a peer may omit. A response without it passes.
    Optional(&'static str),
    /// By this header. A response without it answers the only request that its
    /// connection has carried, or proves nothing.
    Required(&'static str),
}

impl ResponseIds {
    fn header(self) -> Option<&'static str> {
        match self {
            ResponseIds::None => None,
            ResponseIds::Optional(header) | ResponseIds::Required(header) => Some(header),
        }
    }

    pub(super) fn are_required(self) -> bool {
        matches!(self, ResponseIds::Required(_))
    }
}

/// Why a response cannot be passed on as that of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Unpaired {
    /// It names another request.
    #[error("it names another request")]
    OtherRequest,
    /// It names no request, and the connection had carried another one before.
    #[error("it names no request, and may answer an earlier one")]
    NoRequest,
    /// It answers an earlier request of the connection again, and cannot be
    /// passed over.
    #[error("it answers an earlier request again")]
    Repeated,
}

/// Number of repeated responses to earlier requests that were read ahead of the
/// response that has this extension.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PassedOver(pub usize);

/// What a response head shows about the request that it answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// It answers the request.
    Due,
    /// It answers the request, the only one that the connection has carried. A
    /// second response could not be told from that of a later request.
    DueWithoutId,
    /// It answers an earlier request of the connection again.
    Repeated,
    /// It cannot be passed on.
    Unpaired(Unpaired),
}

/// What a connection knows of its requests when a response arrives.
#[derive(Debug)]
pub(super) struct Pairing {
    pub(super) ids: ResponseIds,
    /// The request that was sent last; `None` if it has no id.
    pub(super) request: Option<RequestIdentity>,
    /// The requests that the connection had carried before.
    pub(super) earlier: CarriedRequests,
}

impl Pairing {
    pub(super) fn judge(&self, response: &Response) -> Verdict {
        let Some(header) = self.ids.header() else {
            return Verdict::Due;
        };
        let named = response.header(header);
        let named = named.map(|values| RequestIdentity::of(values.last().as_str()));
        match named {
            Some(named) if Some(named) == self.request => Verdict::Due,
            Some(named) => match self.earlier.find(named) {
                Some(earlier) if !earlier.bodiless => Verdict::Repeated,
                Some(_) => Verdict::Unpaired(Unpaired::Repeated),
                None => Verdict::Unpaired(Unpaired::OtherRequest),
            },
            None if !self.ids.are_required() => Verdict::Due,
            None if self.earlier.is_empty() => Verdict::DueWithoutId,
            None => Verdict::Unpaired(Unpaired::NoRequest),
        }
    }
}
