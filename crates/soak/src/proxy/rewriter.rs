//! Replacement of strings in forwarded bytes by others of the same length. A
//! string that is split between two reads is not replaced.

/// Pairs of strings: as the client's side uses it, and as the target's side
/// does.
#[derive(Clone, Debug, Default)]
pub struct Rewriter {
    pairs: Vec<(String, String)>,
}

impl Rewriter {
    /// Creates a rewriter for the pairs. Pairs of different lengths are
    /// ignored.
    pub fn new(pairs: impl IntoIterator<Item = (String, String)>) -> Self {
        let pairs = pairs.into_iter();
        let same_length = pairs.filter(|(client, target)| client.len() == target.len());
        Rewriter {
            pairs: same_length.collect(),
        }
    }

    /// Replaces the client's strings by the target's in bytes sent to the
    /// target.
    pub(super) fn rewrite_forward(&self, bytes: &mut [u8]) {
        for (client, target) in &self.pairs {
            replace(bytes, client.as_bytes(), target.as_bytes());
        }
    }

    /// Replaces the target's strings by the client's in bytes sent to the
    /// client.
    pub(super) fn rewrite_backward(&self, bytes: &mut [u8]) {
        for (client, target) in &self.pairs {
            replace(bytes, target.as_bytes(), client.as_bytes());
        }
    }
}

fn replace(bytes: &mut [u8], from: &[u8], to: &[u8]) {
    let mut start = 0;
    while start + from.len() <= bytes.len() {
        let candidate = &mut bytes[start..start + from.len()];
        if candidate == from {
            candidate.copy_from_slice(to);
            start += from.len();
        } else {
            start += 1;
        }
    }
}
