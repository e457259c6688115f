//! The paths as which a back end may understand the path of a request.
//!
//! Routers judge a path as it was sent. Back ends may decode it, resolve `.` and
//! `..` in it, merge slashes and take backslashes for slashes, in any
//! combination.

use std::borrow::Cow;

/// Which percent-encoded bytes a back end decodes before it splits the path.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Decoding {
    Nothing,
    AllButSeparators,
    All,
}

/// Returns the readings of `path` beside the one as it was sent; none for paths
/// that can be read in one way only.
pub fn path_readings(path: &str) -> Vec<String> {
    let mut readings = Vec::new();
    if !has_other_readings(path) {
        return readings;
    }
    for decoding in [Decoding::Nothing, Decoding::AllButSeparators, Decoding::All] {
        let decoded = decode(path, decoding);
        for backslashes in [false, true] {
            let split = match backslashes {
                true => Cow::Owned(decoded.replace('\\', "/")),
                false => Cow::Borrowed(decoded.as_str()),
            };
            let resolved = resolve(&split, false);
            let merged_after = merge_slashes(&resolved);
            for reading in [resolve(&split, true), merged_after, resolved] {
                if reading != path && !readings.contains(&reading) {
                    readings.push(reading);
                }
            }
        }
    }
    readings
}

fn has_other_readings(path: &str) -> bool {
    path.contains(['%', '\\']) || path.contains("/.") || path.contains("//")
}

/// Decodes percent-encoded bytes once. Bytes that are not UTF-8 afterwards are
/// replaced; no route names them.
fn decode(path: &str, decoding: Decoding) -> String {
    let mut decoded = Vec::with_capacity(path.len());
    let mut rest = path.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        let byte = match decoding {
            Decoding::Nothing => None,
            Decoding::AllButSeparators => encoded_byte(rest).filter(|byte| !b"/\\".contains(byte)),
            Decoding::All => encoded_byte(rest),
        };
        decoded.push(byte.unwrap_or(*first));
        rest = match byte {
            Some(_) => &rest[3..],
            None => after,
        };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Returns the byte that `%` and two hexadecimal digits at the start of `text`
/// stand for.
fn encoded_byte(text: &[u8]) -> Option<u8> {
    let digit = |byte: u8| char::from(byte).to_digit(16);
    let [b'%', high, low, ..] = text else {
        return None;
    };
    u8::try_from(digit(*high)? * 16 + digit(*low)?).ok()
}

/// Drops empty segments except the last.
fn merge_slashes(path: &str) -> String {
    let mut merged = String::with_capacity(path.len());
    for part in path.split_inclusive('/') {
        if part != "/" || !merged.ends_with('/') {
            merged.push_str(part);
        }
    }
    merged
}

/// Resolves `.` and `..`, and drops empty segments if `merges` is set.
fn resolve(path: &str, merges: bool) -> String {
    let mut kept: Vec<&str> = Vec::new();
    let mut segments = path.split('/').skip(1).peekable();
    while let Some(segment) = segments.next() {
        let is_last = segments.peek().is_none();
        match segment {
            "." | ".." => {
                if segment == ".." {
                    kept.pop();
                }
                if is_last {
                    kept.push("");
                }
            }
            "" if merges && !is_last => {}
            _ => kept.push(segment),
        }
    }
    format!("/{}", kept.join("/"))
}
