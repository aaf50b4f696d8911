/// Bits of a sequence number that hold the offset.
const OFFSET_BITS: u32 = 40;

/// Position of an appended record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Era of the log in which it was appended.
    pub era: u64,
    /// Offset in its stream.
    pub offset: u64,
}

impl Position {
    /// A number that is higher than that of any earlier record of the stream, including
    /// those that a restored log has lost.
    pub fn sequence(self) -> u64 {
        (self.era << OFFSET_BITS).saturating_add(self.offset)
    }
}
