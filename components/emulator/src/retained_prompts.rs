use std::collections::VecDeque;

use dispatch::PromptPrefix;

/// Parts of prompts that an engine retains after their requests, least recently used first.
#[derive(Debug, Default)]
pub struct RetainedPrompts {
    /// Key and tokens of each part.
    parts: VecDeque<(u64, u32)>,
    tokens: u32,
}

impl RetainedPrompts {
    /// Tokens of the beginning of a prompt that are retained; they become the most recently
    /// used.
    pub fn use_prefix(&mut self, prefix: &PromptPrefix) -> u32 {
        let mut held = 0;
        for part in prefix.parts() {
            let Some(index) = self.parts.iter().position(|(key, _)| *key == part.id) else {
                break;
            };
            let used = self.parts.remove(index);
            self.parts.extend(used);
            held += part.tokens;
        }
        held
    }

    /// Retains the parts of a prompt.
    pub fn insert(&mut self, prefix: &PromptPrefix) {
        for part in prefix.parts() {
            self.remove(part.id);
            self.parts.push_back((part.id, part.tokens));
            self.tokens += part.tokens;
        }
    }

    /// Evicts the least recently used parts until at most `limit` tokens are retained.
    pub fn evict_to(&mut self, limit: u32) {
        while self.tokens > limit
            && let Some((_, tokens)) = self.parts.pop_front()
        {
            self.tokens -= tokens;
        }
    }

    fn remove(&mut self, key: u64) {
        if let Some(index) = self.parts.iter().position(|(k, _)| *k == key)
            && let Some((_, tokens)) = self.parts.remove(index)
        {
            self.tokens -= tokens;
        }
    }
}
