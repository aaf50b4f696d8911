use std::time::Duration;

use crate::part_set::PartSet;
use crate::{PrefixGuess, PromptPrefix};

/// Number of sets of an upstream's parts: 2 KiB for all, 2.2 MiB for 1,100 upstreams.
const SETS: u64 = 16;
/// Trust in an upstream whose guesses were right.
const FULL_TRUST: u32 = 256;
/// Smallest saving from which a guess is judged: what an entry cannot observe of an engine
/// varies by as much (`MARGIN` of the latency model).
const JUDGED_SAVING: Duration = Duration::from_millis(80);

/// What an engine probably holds of the prompts that this entry sent to it.
///
/// An engine that retains prompts evicts the least recently used parts first. A part
/// therefore counts as held until as many tokens as the engine retains have been written
/// since its last use.
#[derive(Debug, Clone)]
pub struct PrefixMemory {
    /// Parts by the remainder of their keys; empty until the first one.
    sets: Vec<PartSet>,
    /// Tokens written to the engine.
    written: u64,
    /// Share of the expected tokens that is relied on, of [`FULL_TRUST`].
    trust: u32,
}

impl Default for PrefixMemory {
    fn default() -> Self {
        PrefixMemory {
            sets: Vec::new(),
            written: 0,
            trust: FULL_TRUST,
        }
    }
}

impl PrefixMemory {
    /// Tokens at the beginning of a prompt that an engine retaining `capacity` tokens still
    /// holds, if the assumptions about it are right.
    pub fn held_tokens(&self, prefix: &PromptPrefix, capacity: u32) -> u32 {
        let oldest = self.written.saturating_sub(u64::from(capacity));
        let is_held = |key| {
            let set = self.sets.get(set_index(key));
            set.and_then(|s| s.used_at(key))
                .is_some_and(|used| used > oldest)
        };
        let parts = prefix.parts().iter().take_while(|p| is_held(p.id));
        parts.fold(0, |sum, p| sum.saturating_add(p.tokens))
    }

    /// The part of `tokens` that may be relied on, after earlier wrong guesses.
    pub fn trusted(&self, tokens: u32) -> u32 {
        let trusted = u64::from(tokens) * u64::from(self.trust) / u64::from(FULL_TRUST);
        u32::try_from(trusted).unwrap_or(tokens)
    }

    /// Records that a request had its first event `waited` after it was sent: its prompt was
    /// processed. `senders` entries are assumed to write as much to the engine. Returns
    /// whether the guess was right, if that can be told.
    pub fn record_prompt(
        &mut self,
        guess: &PrefixGuess,
        waited: Duration,
        senders: u32,
    ) -> Option<bool> {
        let judged = guess.saving >= JUDGED_SAVING;
        let right = judged.then(|| waited + guess.saving / 2 <= guess.first_token);
        match right {
            Some(true) => self.trust += (FULL_TRUST - self.trust).div_ceil(4),
            Some(false) => {
                // The engine lost more than these parts, which it holds again now.
                self.forget();
                self.trust /= 2;
            }
            None => {}
        }
        let prefilled = match right {
            Some(false) => guess.prompt_tokens,
            _ => guess.prefill_tokens(),
        };
        self.written += u64::from(prefilled) * u64::from(senders.max(1));
        for part in guess.prefix.parts() {
            self.touch(part.id);
        }
        right
    }

    /// Forgets all parts: the engine has lost its memory.
    pub fn forget(&mut self) {
        self.sets.clear();
    }

    /// Number of remembered parts.
    pub fn len(&self) -> usize {
        self.sets.iter().map(PartSet::len).sum()
    }

    /// Whether no part is remembered.
    pub fn is_empty(&self) -> bool {
        self.sets.is_empty()
    }

    fn touch(&mut self, key: u64) {
        let sets = usize::try_from(SETS).unwrap_or(1);
        self.sets.resize(sets, PartSet::default());
        if let Some(set) = self.sets.get_mut(set_index(key)) {
            set.touch(key, self.written + 1);
        }
    }
}

fn set_index(key: u64) -> usize {
    usize::try_from(key % SETS).unwrap_or_default()
}
