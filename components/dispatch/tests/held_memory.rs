//! Which exchanges get memory when many hold some.

use std::net::{IpAddr, Ipv4Addr};

use dispatch::{HeldMemory, MemoryHolder, MemoryLimits, NoMemory};

const LIMITS: MemoryLimits = MemoryLimits {
    total: 1000,
    per_address: 400,
    per_account: 500,
};

fn holder(address: u8, account: &str) -> MemoryHolder {
    MemoryHolder {
        address: Some(IpAddr::V4(Ipv4Addr::new(10, 0, 0, address))),
        account: Some(account.into()),
    }
}

/// A limit below that of a single body would refuse it for ever.
#[test]
fn only_exchange_is_not_limited() {
    let mut memory = HeldMemory::new(LIMITS);

    let first = memory.reserve(&holder(1, "a"), 0, 900);
    let grown = memory.reserve(&holder(1, "a"), 900, 900);

    assert_eq!((first, grown), (Ok(()), Ok(())));
}

/// Few long bodies took all memory, and short ones were refused.
#[test]
fn long_bodies_leave_room_for_short_ones() {
    let mut memory = HeldMemory::new(LIMITS);
    for (address, account) in [(1, "x"), (2, "y"), (3, "z")] {
        memory.reserve(&holder(address, account), 0, 200).unwrap();
    }

    let long = memory.reserve(&holder(4, "b"), 0, 250);
    let short = memory.reserve(&holder(5, "b"), 0, 20);

    assert_eq!((long, short), (Err(NoMemory::Total), Ok(())));
}

/// One client took the memory of all others.
#[test]
fn address_and_account_have_a_share() {
    let mut memory = HeldMemory::new(LIMITS);
    for _ in 0..40 {
        memory.reserve(&holder(1, "a"), 0, 10).unwrap();
    }
    let address = memory.reserve(&holder(1, "b"), 0, 10);
    for _ in 0..10 {
        memory.reserve(&holder(2, "a"), 0, 10).unwrap();
    }
    let account = memory.reserve(&holder(3, "a"), 0, 10);
    let other = memory.reserve(&holder(3, "b"), 0, 10);

    assert_eq!(address, Err(NoMemory::Address));
    assert_eq!((account, other), (Err(NoMemory::Account), Ok(())));
}

/// Bytes that stay counted after their release would close the process for good.
#[test]
fn released_bytes_can_be_held_again() {
    let mut memory = HeldMemory::new(LIMITS);
    for round in 0..100 {
        for address in 1..=4 {
            let reserved = memory.reserve(&holder(address, "a"), 0, 100);
            assert_eq!(reserved, Ok(()), "round {round}");
        }
        for address in 1..=4 {
            memory.release(&holder(address, "a"), 100);
        }
    }

    assert_eq!(memory.held(), 0);
}

/// A refused reservation that counts would lower what is left with each attempt.
#[test]
fn refused_reservation_holds_nothing() {
    let mut memory = HeldMemory::new(LIMITS);
    memory.reserve(&holder(1, "a"), 0, 400).unwrap();

    for _ in 0..100 {
        let refused = memory.reserve(&holder(2, "b"), 0, 400);
        assert_eq!(refused, Err(NoMemory::Total));
    }

    assert_eq!(memory.held(), 400);
}
