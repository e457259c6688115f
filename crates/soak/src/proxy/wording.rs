//! Words that a proxy exchanges in what passes, one for another of the same
//! length. One that is divided between two reads stays as it is.

/// Pairs of words: as the caller's side says it, and as the target's does.
#[derive(Clone, Debug, Default)]
pub struct Wording {
    pairs: Vec<(String, String)>,
}

impl Wording {
    /// Exchanges the words of each pair. Pairs of different lengths are left
    /// out.
    pub fn new(pairs: impl IntoIterator<Item = (String, String)>) -> Self {
        let pairs = pairs.into_iter();
        let same = pairs.filter(|(near, far)| near.len() == far.len());
        Wording {
            pairs: same.collect(),
        }
    }

    /// Words what the caller sent as the target's side says it.
    pub(super) fn there(&self, bytes: &mut [u8]) {
        for (near, far) in &self.pairs {
            replace(bytes, near.as_bytes(), far.as_bytes());
        }
    }

    /// Words what the target sent as the caller's side says it.
    pub(super) fn back(&self, bytes: &mut [u8]) {
        for (near, far) in &self.pairs {
            replace(bytes, far.as_bytes(), near.as_bytes());
        }
    }
}

fn replace(bytes: &mut [u8], word: &[u8], other: &[u8]) {
    let mut from = 0;
    while from + word.len() <= bytes.len() {
        let place = &mut bytes[from..from + word.len()];
        if place == word {
            place.copy_from_slice(other);
            from += word.len();
        } else {
            from += 1;
        }
    }
}
