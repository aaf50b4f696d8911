use std::collections::HashMap;
use std::net::IpAddr;

use compact_str::CompactString;
use derive_more::{Display, Error};

/// Memory that a process may hold for its callers and upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryLimits {
    /// Most bytes over all exchanges.
    pub total: usize,
    /// Most bytes for the exchanges of one caller address.
    pub per_address: usize,
    /// Most bytes for the exchanges of one client account.
    pub per_account: usize,
}

/// For whom bytes are held.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MemoryHolder {
    /// Address of the caller.
    pub address: Option<IpAddr>,
    /// Account of the caller, once it is known.
    pub account: Option<CompactString>,
}

/// Why further bytes may not be held.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum NoMemory {
    /// The exchange would hold more than is left over for all others.
    #[display("total")]
    Total,
    /// The address would hold more than its share.
    #[display("address")]
    Address,
    /// The account would hold more than its share.
    #[display("account")]
    Account,
}

impl NoMemory {
    /// Short name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            NoMemory::Total => "memory",
            NoMemory::Address => "memory of address",
            NoMemory::Account => "memory of account",
        }
    }
}

/// Decides how many bytes are held, and for whom.
///
/// An exchange may hold as much as is left over for others, so that a few long bodies leave
/// room for many short ones. The only exchange that holds anything is not limited: the limits
/// of the configuration bound a single request.
#[derive(Debug)]
pub struct HeldMemory {
    limits: MemoryLimits,
    held: usize,
    addresses: HashMap<IpAddr, usize>,
    accounts: HashMap<CompactString, usize>,
}

impl HeldMemory {
    /// Nothing is held at first.
    pub fn new(limits: MemoryLimits) -> Self {
        HeldMemory {
            limits,
            held: 0,
            addresses: HashMap::new(),
            accounts: HashMap::new(),
        }
    }

    /// Bytes that are held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Reserves `added` bytes for an exchange that holds `own` bytes; nothing is reserved on
    /// failure.
    pub fn reserve(
        &mut self,
        holder: &MemoryHolder,
        own: usize,
        added: usize,
    ) -> Result<(), NoMemory> {
        self.check(holder, own, added)?;
        self.held = self.held.saturating_add(added);
        if let Some(address) = holder.address {
            *self.addresses.entry(address).or_default() += added;
        }
        if let Some(account) = &holder.account {
            *self.accounts.entry(account.clone()).or_default() += added;
        }
        Ok(())
    }

    /// Releases bytes that were reserved for the same holder.
    pub fn release(&mut self, holder: &MemoryHolder, bytes: usize) {
        self.held = self.held.saturating_sub(bytes);
        if let Some(address) = &holder.address {
            subtract(&mut self.addresses, address, bytes);
        }
        if let Some(account) = &holder.account {
            subtract(&mut self.accounts, account, bytes);
        }
    }

    fn check(&self, holder: &MemoryHolder, own: usize, added: usize) -> Result<(), NoMemory> {
        let others = self.held.saturating_sub(own);
        if added == 0 || others == 0 {
            return Ok(());
        }
        let wanted = own.saturating_add(added);
        let left = self.limits.total.saturating_sub(others);
        // At most half of what the others leave, so that as much is left over again.
        if wanted > left / 2 {
            return Err(NoMemory::Total);
        }
        let address = holder.address.and_then(|a| self.addresses.get(&a));
        if exceeds(address, own, added, self.limits.per_address) {
            return Err(NoMemory::Address);
        }
        let account = holder.account.as_ref().and_then(|a| self.accounts.get(a));
        if exceeds(account, own, added, self.limits.per_account) {
            return Err(NoMemory::Account);
        }
        Ok(())
    }
}

/// Whether a holder that holds `held` bytes, `own` of them for the same exchange, exceeds its
/// share. Its only exchange does not.
fn exceeds(held: Option<&usize>, own: usize, added: usize, share: usize) -> bool {
    let held = held.copied().unwrap_or_default();
    held > own && held.saturating_add(added) > share
}

fn subtract<K: std::hash::Hash + Eq>(held: &mut HashMap<K, usize>, key: &K, bytes: usize) {
    if let Some(left) = held.get_mut(key) {
        *left = left.saturating_sub(bytes);
        if *left == 0 {
            held.remove(key);
        }
    }
}
