//! Assignment of upstreams to entries.

use std::collections::HashMap;

use fleet::{Member, Role, VmState, subset};

fn members(role: Role, prefix: &str, count: usize) -> Vec<Member> {
    (0..count)
        .map(|i| Member {
            vm: format!("{prefix}-{i}").into(),
            role,
            addr: ([127, 0, 0, 1], 1).into(),
            failure_domain: format!("domain-{}", i % 11).into(),
            region: "fife".into(),
            service: "menu-helper".into(),
            state: VmState::Live,
        })
        .collect()
}

fn entries(count: usize) -> Vec<Member> {
    members(Role::Entry, "entry", count)
}

fn upstreams(count: usize) -> Vec<Member> {
    members(Role::Upstream, "vm", count)
}

fn assigned(entry: &str, entries: &[Member], upstreams: &[Member]) -> Vec<String> {
    let entries: Vec<&Member> = entries.iter().collect();
    let upstreams: Vec<&Member> = upstreams.iter().collect();
    let chosen = subset(entry, &entries, &upstreams);
    chosen.iter().map(|m| m.vm.to_string()).collect()
}

#[test]
fn every_entry_is_assigned_all_upstreams_of_a_small_service() {
    assert_eq!(assigned("entry-0", &entries(3), &upstreams(15)).len(), 15);
    assert_eq!(assigned("entry-0", &entries(390), &upstreams(3)).len(), 3);
}

#[test]
fn every_upstream_is_assigned_to_eight_entries() {
    let (entries, upstreams) = (entries(78), upstreams(220));
    let mut entry_counts: HashMap<String, usize> = HashMap::new();
    let mut sizes = Vec::new();

    for e in &entries {
        let chosen = assigned(&e.vm, &entries, &upstreams);
        sizes.push(chosen.len());
        for vm in chosen {
            *entry_counts.entry(vm).or_default() += 1;
        }
    }

    assert_eq!(entry_counts.len(), 220);
    assert!(entry_counts.values().all(|&n| n == 8), "{entry_counts:?}");
    let (least, most) = (sizes.iter().min().unwrap(), sizes.iter().max().unwrap());
    assert!(*least >= 8 && *most <= 45, "{least} to {most}");
}

#[test]
fn a_subset_spreads_over_failure_domains() {
    let (entries, upstreams) = (entries(78), upstreams(220));
    let domains: HashMap<String, String> = upstreams
        .iter()
        .map(|m| (m.vm.to_string(), m.failure_domain.to_string()))
        .collect();

    for e in &entries {
        let chosen = assigned(&e.vm, &entries, &upstreams);
        let mut counts: HashMap<&str, usize> = HashMap::new();
        for vm in &chosen {
            *counts.entry(&domains[vm]).or_default() += 1;
        }
        let most = counts.values().max().unwrap();
        assert!(*most * 2 <= chosen.len() + 2, "{}: {counts:?}", e.vm);
    }
}

#[test]
fn a_leaving_upstream_changes_only_subsets_that_contain_it() {
    let (entries, all) = (entries(40), upstreams(400));
    let fewer: Vec<Member> = all.iter().filter(|m| m.vm != "vm-7").cloned().collect();

    for e in &entries {
        let mut before = assigned(&e.vm, &entries, &all);
        let after = assigned(&e.vm, &entries, &fewer);
        before.retain(|vm| vm != "vm-7");
        assert_eq!(before, after, "{}", e.vm);
    }
}
