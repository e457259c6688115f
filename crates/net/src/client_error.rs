//! Errors of control traffic calls.

use std::net::SocketAddr;

use http_types::Response;

use crate::body::BodyFault;
use crate::convert::ConvertError;
use crate::pool::{ExchangeError, ExchangeFault, Stage};
use crate::status;

/// Error of a call.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// No connection could be opened, or nothing was sent on it.
    #[error("could not connect to {address} ({source}); check that it is running and reachable")]
    Connect {
        /// Address of the peer.
        address: SocketAddr,
        /// Cause of the failure.
        source: ExchangeError,
    },
    /// The exchange failed after the peer may have received part of the
    /// request.
    #[error(
        "the call failed and may have been received ({0}); read the state back before sending it again"
    )]
    Broken(ExchangeError),
    /// No complete response arrived within the timeout.
    #[error(
        "no complete response from {address} within the timeout; raise the timeout or find out what is slow"
    )]
    Timeout {
        /// Address of the peer.
        address: SocketAddr,
        /// Whether any byte of the request may have reached the peer.
        sent: bool,
    },
    /// The peer responded with a status other than 2xx.
    #[error(
        "{address} responded with status {code}; the body names the cause: {}",
        String::from_utf8_lossy(body)
    )]
    Status {
        /// Address of the peer.
        address: SocketAddr,
        /// Status code.
        code: u16,
        /// Response body.
        body: Vec<u8>,
    },
    /// The response body is not the expected JSON.
    #[error(
        "the response is not the expected JSON ({0}); check that both sides run the same version"
    )]
    Body(#[source] serde_json::Error),
    /// The response is larger than the settings allow.
    #[error(
        "the response of {address} is larger than {limit} bytes; request less or raise the limit"
    )]
    ResponseTooLarge {
        /// Address of the peer.
        address: SocketAddr,
        /// Limit in bytes.
        limit: u64,
    },
    /// The request could not be built.
    #[error(transparent)]
    Request(#[from] RequestError),
}

/// The request could not be built; nothing was sent.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// The path is not valid.
    #[error("'{0}' is not a path; write /path?query")]
    Path(String),
    /// The body cannot be serialized as JSON.
    #[error("the body cannot be serialized as JSON ({0}); correct its type")]
    Json(#[from] serde_json::Error),
    /// The request contains something that async-h1 cannot send.
    #[error(transparent)]
    Convert(#[from] ConvertError),
}

impl ClientError {
    /// Whether the peer may have received, and therefore executed, the request.
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

    /// Whether the call was not made because all connections that this client
    /// may have to the peer are in use.
    pub fn is_pool_exhausted(&self) -> bool {
        match self {
            ClientError::Connect { source, .. } => {
                matches!(source.fault, ExchangeFault::NoConnectionFree)
            }
            _ => false,
        }
    }

    /// Returns status and body if the peer responded with a status other than
    /// 2xx.
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
            Some(BodyFault::TooSlow) => return ClientError::timed_out(address),
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

    pub(crate) fn timed_out(address: SocketAddr) -> Self {
        ClientError::Timeout {
            address,
            sent: true,
        }
    }

    pub(crate) fn status(address: SocketAddr, response: &Response, body: Vec<u8>) -> Self {
        ClientError::Status {
            address,
            code: status::code(response),
            body,
        }
    }
}
