//! How calls of the control traffic fail.

use std::net::SocketAddr;

use http_types::Response;

use crate::body::BodyFault;
use crate::convert::ConvertError;
use crate::pool::{ExchangeError, ExchangeFault, Stage};

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// No connection, or nothing was sent on it.
    #[error("could not reach {address} ({source}); see whether it runs and is reachable")]
    Connect {
        /// The peer.
        address: SocketAddr,
        /// What failed.
        source: ExchangeError,
    },
    /// The exchange broke after some of the request may have been received.
    #[error("the call broke ({0}); read the state back before sending it again")]
    Broken(ExchangeError),
    /// No complete answer within the time allowed.
    #[error("no complete answer from {address} in time; allow more time or look for what is slow")]
    Timeout {
        /// The peer.
        address: SocketAddr,
        /// Whether any byte of the request may have reached the peer.
        sent: bool,
    },
    /// The peer answered with a status other than 2xx.
    #[error(
        "{address} answered with status {code}; its body names the cause: {}",
        String::from_utf8_lossy(body)
    )]
    Status {
        /// The peer.
        address: SocketAddr,
        /// The status.
        code: u16,
        /// The answer's body.
        body: Vec<u8>,
    },
    /// The answer's body is not the JSON expected.
    #[error(
        "the answer is not the JSON expected ({0}); see whether both sides run the same version"
    )]
    Body(#[source] serde_json::Error),
    /// The answer is larger than the settings allow.
    #[error(
        "the answer of {address} is larger than {limit} bytes; ask for less or raise the limit"
    )]
    ResponseTooLarge {
        /// The peer.
        address: SocketAddr,
        /// The limit.
        limit: u64,
    },
    /// The request cannot be expressed.
    #[error(transparent)]
    Request(#[from] RequestError),
}

/// The request cannot be expressed; nothing was sent.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// The path is not valid.
    #[error("'{0}' is not a path; write /path?query")]
    Path(String),
    /// The body cannot be written as JSON.
    #[error("the body cannot be written as JSON ({0}); mend its type")]
    Json(#[from] serde_json::Error),
    /// The request has a part that async-h1 cannot send.
    #[error(transparent)]
    Convert(#[from] ConvertError),
}

impl ClientError {
    /// Whether the peer may have received, and so carried out, the request.
    pub fn may_have_been_received(&self) -> bool {
        match self {
            ClientError::Connect { .. } | ClientError::Request(_) => false,
            ClientError::Timeout { sent, .. } => *sent,
            ClientError::Broken(_)
            | ClientError::Status { .. }
            | ClientError::Body(_)
            | ClientError::ResponseTooLarge { .. } => true,
        }
    }

    /// Whether the call was not made because every connection that this
    /// client may have to the peer is in use.
    pub fn is_pool_exhausted(&self) -> bool {
        match self {
            ClientError::Connect { source, .. } => {
                matches!(source.fault, ExchangeFault::NoConnectionFree)
            }
            _ => false,
        }
    }

    /// Status and body, if the peer answered with a status other than 2xx.
    pub fn error_response(&self) -> Option<(u16, &[u8])> {
        match self {
            ClientError::Status { code, body, .. } => Some((*code, body)),
            _ => None,
        }
    }

    pub(crate) fn from_exchange(error: ExchangeError) -> Self {
        let sent = error.stage.may_have_been_received();
        match error.fault {
            ExchangeFault::DeadlinePassed => ClientError::Timeout {
                address: error.address,
                sent,
            },
            _ if sent => ClientError::Broken(error),
            _ => ClientError::Connect {
                address: error.address,
                source: error,
            },
        }
    }

    pub(crate) fn from_body(address: SocketAddr, error: std::io::Error) -> Self {
        let fault = match BodyFault::from_io_error(&error) {
            Some(BodyFault::TooSlow) => return ClientError::late(address),
            Some(BodyFault::Truncated) => ExchangeFault::Truncated,
            Some(fault) => ExchangeFault::Malformed(fault.to_string()),
            None => ExchangeFault::Io(error),
        };
        ClientError::Broken(ExchangeError {
            address,
            stage: Stage::ResponseBody,
            fault,
        })
    }

    pub(crate) fn late(address: SocketAddr) -> Self {
        ClientError::Timeout {
            address,
            sent: true,
        }
    }

    pub(crate) fn status(address: SocketAddr, response: &Response, body: Vec<u8>) -> Self {
        ClientError::Status {
            address,
            code: u16::from(response.status()),
            body,
        }
    }
}
