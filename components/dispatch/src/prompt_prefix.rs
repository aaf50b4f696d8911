use domain::PromptPart;

/// Most parts of a prompt that are considered; longer lists come from callers whose parts
/// nobody shares, and each part costs a search in each choice.
const MAX_PARTS: usize = 8;

/// The parts of a prompt that an engine may still hold, in order, shared ones first.
///
/// The id of each part is a hash of the model, the part and all parts before it: an engine
/// reuses a part only behind the same beginning.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptPrefix {
    parts: Vec<PromptPart>,
}

impl PromptPrefix {
    /// The prefix of a prompt for `model` with these parts. A part without tokens ends it,
    /// because its length is unknown.
    pub fn new(model: Option<&str>, parts: &[PromptPart]) -> Self {
        let mut key = fleet::id_hash(model.unwrap_or_default());
        let known = parts.iter().take_while(|p| p.tokens > 0).take(MAX_PARTS);
        let chained = known.map(|part| {
            key = fleet::mix(key, part.id);
            PromptPart {
                id: key,
                tokens: part.tokens,
            }
        });
        PromptPrefix {
            parts: chained.collect(),
        }
    }

    /// Its parts.
    pub fn parts(&self) -> &[PromptPart] {
        &self.parts
    }

    /// Id and total tokens of the parts that other requests may share: all but the last.
    pub fn shared(&self) -> Option<(u64, u32)> {
        let (_, shared) = self.parts.split_last()?;
        let tokens = shared
            .iter()
            .fold(0, |n: u32, p| n.saturating_add(p.tokens));
        shared.last().map(|part| (part.id, tokens))
    }
}
