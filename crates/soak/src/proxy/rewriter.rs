//! Replacement of strings in forwarded bytes by others of the same length.

use super::Direction;

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

    /// Replaces the strings of the sender's side by the receiver's.
    fn rewrite(&self, bytes: &mut [u8], direction: Direction) {
        for (client, target) in &self.pairs {
            match direction {
                Direction::There => replace(bytes, client.as_bytes(), target.as_bytes()),
                Direction::Back => replace(bytes, target.as_bytes(), client.as_bytes()),
            }
        }
    }

    /// Number of bytes at the end that may be the beginning of a string of the
    /// sender's side.
    fn incomplete_suffix(&self, bytes: &[u8], direction: Direction) -> usize {
        let starts = self.pairs.iter().map(|(client, target)| match direction {
            Direction::There => client.as_bytes(),
            Direction::Back => target.as_bytes(),
        });
        let longest = starts.map(|text| {
            let lengths = (1..text.len()).rev();
            lengths
                .filter(|length| bytes.ends_with(&text[..*length]))
                .max()
                .unwrap_or(0)
        });
        longest.max().unwrap_or(0)
    }
}

/// Bytes of one direction of a connection that wait for more, because a string
/// may be split between two reads.
#[derive(Debug, Default)]
pub(super) struct RewriteBuffer {
    bytes: Vec<u8>,
}

impl RewriteBuffer {
    /// Takes bytes that were read. Returns those that can be forwarded.
    pub(super) fn pass(
        &mut self,
        read: &[u8],
        rewriter: &Rewriter,
        direction: Direction,
    ) -> Vec<u8> {
        self.bytes.extend_from_slice(read);
        let incomplete = rewriter.incomplete_suffix(&self.bytes, direction);
        let kept = self.bytes.split_off(self.bytes.len() - incomplete);
        let mut complete = std::mem::replace(&mut self.bytes, kept);
        rewriter.rewrite(&mut complete, direction);
        complete
    }

    /// Returns what is left once the sender has closed the connection.
    pub(super) fn finish(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.bytes)
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
