//! Loading of the token that authenticates the router to the platform's
//! services.

use std::path::{Path, PathBuf};

use thiserror::Error;
use threadledge_object_api::TransportSettings;

use crate::settings::Settings;

/// Maximum size of a token, in bytes. It must fit into the head of a request to
/// the platform.
const MAX_TOKEN_BYTES: usize = 4_096;

/// Error of loading a token file. No message includes any part of the token.
#[derive(Debug, Error)]
pub enum TokenError {
    /// The file cannot be read.
    #[error("the token file {} cannot be read ({cause}); correct 'platform-token-file'", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The underlying error.
        cause: std::io::Error,
    },
    /// The file holds no token.
    #[error("the token file {} is empty; write the token into it", .0.display())]
    Empty(PathBuf),
    /// The content is too long or cannot be sent in a header.
    #[error(
        "the token file {} holds more than one word of at most 4096 visible ASCII letters; write the token alone into it",
        .0.display()
    )]
    NotAToken(PathBuf),
}

/// Returns the transport settings for the platform's services, with the token
/// that the settings refer to.
///
/// # Errors
///
/// Fails if the settings name a token file that cannot be used.
pub fn platform_transport(settings: &Settings) -> Result<TransportSettings, TokenError> {
    let token = match &settings.platform_token_file {
        Some(path) => Some(read_token(path)?),
        None => None,
    };
    Ok(TransportSettings {
        token,
        ..Default::default()
    })
}

/// Reads a token from a file. Surrounding white space is removed.
///
/// # Errors
///
/// Fails if the file cannot be read or does not hold a valid token.
pub fn read_token(path: &Path) -> Result<String, TokenError> {
    let text = std::fs::read_to_string(path).map_err(|cause| TokenError::Unreadable {
        path: path.to_owned(),
        cause,
    })?;
    let token = text.trim();
    if token.is_empty() {
        return Err(TokenError::Empty(path.to_owned()));
    }
    let is_visible = token.bytes().all(|byte| byte.is_ascii_graphic());
    if !is_visible || token.len() > MAX_TOKEN_BYTES {
        return Err(TokenError::NotAToken(path.to_owned()));
    }
    Ok(token.to_owned())
}
