//! Extracts the key of a request from the place that its route names.

use std::borrow::Cow;

use threadledge_types::NotRunReason;
use threadledge_types::objects::KeySource;

use crate::head::RequestHead;

/// Returns the bytes of the request's key.
///
/// # Errors
///
/// `MissingKey` when the key is absent or empty; `Malformed` when its
/// percent-encoding is invalid, or when a query parameter occurs twice with
/// different values: the back end might read the other value than the router,
/// and then two owners would serve one key.
pub fn extract_key<'a>(
    source: &KeySource,
    head: &RequestHead<'a>,
) -> Result<Cow<'a, [u8]>, NotRunReason> {
    let key = match source {
        KeySource::Header(name) => header_value(name, head)?,
        KeySource::PathSegment(number) => path_segment(*number, head.path)?,
        KeySource::QueryParameter(name) => query_parameter(name, head.query)?,
    };
    if key.is_empty() {
        return Err(NotRunReason::MissingKey);
    }
    Ok(key)
}

fn header_value<'a>(name: &str, head: &RequestHead<'a>) -> Result<Cow<'a, [u8]>, NotRunReason> {
    let value = head.headers.header(name).ok_or(NotRunReason::MissingKey)?;
    Ok(Cow::Borrowed(value.trim().as_bytes()))
}

fn path_segment(number: u32, path: &str) -> Result<Cow<'_, [u8]>, NotRunReason> {
    let path = path.strip_prefix('/').unwrap_or(path);
    let segment = path
        .split('/')
        .nth(number as usize)
        .ok_or(NotRunReason::MissingKey)?;
    percent_decode(segment, Plus::Literal)
}

fn query_parameter<'a>(name: &str, query: Option<&'a str>) -> Result<Cow<'a, [u8]>, NotRunReason> {
    let mut found: Option<Cow<'a, [u8]>> = None;
    for pair in query.unwrap_or_default().split('&') {
        let (raw_name, raw_value) = pair.split_once('=').unwrap_or((pair, ""));
        if !is_parameter(raw_name, name) {
            continue;
        }
        let value = percent_decode(raw_value, Plus::Space)?;
        match &found {
            Some(earlier) if *earlier != value => return Err(NotRunReason::Malformed),
            _ => found = Some(value),
        }
    }
    found.ok_or(NotRunReason::MissingKey)
}

fn is_parameter(raw_name: &str, name: &str) -> bool {
    if raw_name == name {
        return true;
    }
    percent_decode(raw_name, Plus::Space).is_ok_and(|decoded| *decoded == *name.as_bytes())
}

/// How a `+` is decoded.
#[derive(Clone, Copy, PartialEq)]
enum Plus {
    /// As a literal `+`, in paths.
    Literal,
    /// As a space, in queries. A back end that reads it literally still
    /// receives both spellings from the same owner.
    Space,
}

fn percent_decode(text: &str, plus: Plus) -> Result<Cow<'_, [u8]>, NotRunReason> {
    let bytes = text.as_bytes();
    let is_plain = |byte: &u8| *byte != b'%' && (plus == Plus::Literal || *byte != b'+');
    if bytes.iter().all(is_plain) {
        return Ok(Cow::Borrowed(bytes));
    }
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut rest = bytes;
    while let Some((&byte, after)) = rest.split_first() {
        rest = after;
        match byte {
            b'%' => {
                let (high, low) = hex_pair(rest).ok_or(NotRunReason::Malformed)?;
                decoded.push(high << 4 | low);
                rest = &rest[2..];
            }
            b'+' if plus == Plus::Space => decoded.push(b' '),
            other => decoded.push(other),
        }
    }
    Ok(Cow::Owned(decoded))
}

fn hex_pair(bytes: &[u8]) -> Option<(u8, u8)> {
    let digit = |byte: u8| (byte as char).to_digit(16).map(|value| value as u8);
    let high = digit(*bytes.first()?)?;
    let low = digit(*bytes.get(1)?)?;
    Some((high, low))
}
