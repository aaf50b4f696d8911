/// Pieces of a version, by number.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PieceSet {
    words: Vec<u64>,
}

impl PieceSet {
    /// The set of the pieces before `count`.
    pub fn full(count: u32) -> Self {
        let mut set = PieceSet::default();
        (0..count).for_each(|p| set.insert(p));
        set
    }

    /// Adds a piece.
    pub fn insert(&mut self, piece: u32) {
        let (word, bit) = place(piece);
        if self.words.len() <= word {
            self.words.resize(word + 1, 0);
        }
        self.words[word] |= 1 << bit;
    }

    /// Removes a piece.
    pub fn remove(&mut self, piece: u32) {
        let (word, bit) = place(piece);
        if let Some(w) = self.words.get_mut(word) {
            *w &= !(1 << bit);
        }
    }

    /// Whether it contains a piece.
    pub fn contains(&self, piece: u32) -> bool {
        let (word, bit) = place(piece);
        self.words.get(word).is_some_and(|w| w & (1 << bit) != 0)
    }

    /// Pieces in the set.
    pub fn len(&self) -> u32 {
        self.words.iter().map(|w| w.count_ones()).sum()
    }

    /// True without pieces.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The set as it is sent: bit `n % 64` of word `n / 64` stands for piece `n`.
    pub fn words(&self) -> &[u64] {
        &self.words
    }
}

impl From<Vec<u64>> for PieceSet {
    fn from(words: Vec<u64>) -> Self {
        PieceSet { words }
    }
}

fn place(piece: u32) -> (usize, u32) {
    (
        usize::try_from(piece / 64).unwrap_or(usize::MAX),
        piece % 64,
    )
}
