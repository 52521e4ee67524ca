//! A set of small integers below a fixed bound.

const WORD_BITS: usize = u64::BITS as usize;

/// A set of indexes below a fixed bound, one bit each.
#[derive(Clone, Debug, Default)]
pub struct BitSet {
    words: Vec<u64>,
}

impl BitSet {
    /// An empty set for indexes below `bound`.
    pub fn with_bound(bound: usize) -> Self {
        Self {
            words: vec![0; bound.div_ceil(WORD_BITS)],
        }
    }

    /// Adds `index`.
    pub fn insert(&mut self, index: usize) {
        self.words[index / WORD_BITS] |= 1 << (index % WORD_BITS);
    }

    /// Removes `index`.
    pub fn remove(&mut self, index: usize) {
        self.words[index / WORD_BITS] &= !(1 << (index % WORD_BITS));
    }

    /// The members in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        self.words.iter().enumerate().flat_map(|(at, &word)| {
            std::iter::successors((word != 0).then_some(word), |rest| {
                let next = rest & (rest - 1);
                (next != 0).then_some(next)
            })
            .map(move |rest| at * WORD_BITS + rest.trailing_zeros() as usize)
        })
    }

    /// The members in descending order.
    pub fn iter_descending(&self) -> impl Iterator<Item = usize> + '_ {
        self.words.iter().enumerate().rev().flat_map(|(at, &word)| {
            std::iter::successors((word != 0).then_some(word), |&rest| {
                let next = rest & !(1 << (WORD_BITS - 1 - rest.leading_zeros() as usize));
                (next != 0).then_some(next)
            })
            .map(move |rest| at * WORD_BITS + WORD_BITS - 1 - rest.leading_zeros() as usize)
        })
    }
}
