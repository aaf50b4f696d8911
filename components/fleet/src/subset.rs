use std::collections::BTreeMap;

use crate::{Member, rank_order};

/// The members that `owner` shall know, at most `size`, spread over failure domains.
///
/// Every member is in about as many subsets as any other, and a member that
/// leaves changes only the subsets that held it.
pub fn subset<'a>(owner: &str, members: &[&'a Member], size: usize) -> Vec<&'a Member> {
    let mut domains: BTreeMap<&str, Vec<&'a Member>> = BTreeMap::new();
    for m in members {
        domains.entry(&m.failure_domain).or_default().push(m);
    }
    for list in domains.values_mut() {
        rank_order(owner, list, |m| &m.vm);
    }
    let mut chosen = Vec::with_capacity(size.min(members.len()));
    for round in 0.. {
        let before = chosen.len();
        for list in domains.values() {
            if chosen.len() == size {
                return chosen;
            }
            chosen.extend(list.get(round));
        }
        if chosen.len() == before {
            break;
        }
    }
    chosen
}
