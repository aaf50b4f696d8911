/// Set of pieces of a version, by number.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PieceSet {
    words: Vec<u64>,
}

impl PieceSet {
    /// The set of all pieces with numbers below `count`.
    pub fn full(count: u32) -> Self {
        let mut set = PieceSet::default();
        (0..count).for_each(|p| set.insert(p));
        set
    }

    /// Adds a piece.
    pub fn insert(&mut self, piece: u32) {
        let (word, bit) = word_and_bit(piece);
        if self.words.len() <= word {
            self.words.resize(word + 1, 0);
        }
        self.words[word] |= 1 << bit;
    }

    /// Removes a piece.
    pub fn remove(&mut self, piece: u32) {
        let (word, bit) = word_and_bit(piece);
        if let Some(w) = self.words.get_mut(word) {
            *w &= !(1 << bit);
        }
    }

    /// Whether a piece is in the set.
    pub fn contains(&self, piece: u32) -> bool {
        let (word, bit) = word_and_bit(piece);
        self.words.get(word).is_some_and(|w| w & (1 << bit) != 0)
    }

    /// Number of pieces in the set.
    pub fn len(&self) -> u32 {
        self.words.iter().map(|w| w.count_ones()).sum()
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The set as it is sent to peers: bit `n % 64` of word `n / 64` is piece `n`.
    pub fn words(&self) -> &[u64] {
        &self.words
    }
}

impl From<Vec<u64>> for PieceSet {
    fn from(words: Vec<u64>) -> Self {
        PieceSet { words }
    }
}

fn word_and_bit(piece: u32) -> (usize, u32) {
    (
        usize::try_from(piece / 64).unwrap_or(usize::MAX),
        piece % 64,
    )
}
