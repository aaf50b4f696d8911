//! Limits on requests that upstreams name for all entries together.

mod fixture;

use std::collections::VecDeque;

use dispatch::{LimitStatement, RateLimit, RateShare};
use domain::Moment;
use fixture::{ms, start};
use testkit::check_seeds;

const UPSTREAM: u64 = 77;
/// Steps of the simulation, in milliseconds.
const STEP_MS: u64 = 10;
/// Time from a request to its response, and to the notice of either at other entries.
const RESPONSE_MS: u64 = 200;
const NOTICE_MS: u64 = 60;
/// Time after which entries drop one that is silent.
const SILENCE_MS: u64 = 1500;

struct Entry {
    limit: RateLimit,
    hash: u64,
    has_load: bool,
    /// Requests come from this moment on.
    load_from_ms: u64,
    /// Not running in this span, in milliseconds; afterwards it starts anew.
    gone: Option<(u64, u64)>,
}

impl Entry {
    fn is_running(&self, at_ms: u64) -> bool {
        self.gone
            .is_none_or(|(from, to)| !(from..to).contains(&at_ms))
    }

    /// Whether the others count it as running.
    fn is_listed(&self, at_ms: u64) -> bool {
        let Some((from, to)) = self.gone else {
            return true;
        };
        !(from + SILENCE_MS..to + NOTICE_MS).contains(&at_ms)
    }
}

/// Entries before one upstream, which names a rate until `ends_ms`.
struct Simulation {
    entries: Vec<Entry>,
    rate: f64,
    ends_ms: u64,
    /// Moment, entry and moment of the response, in milliseconds.
    sent: Vec<(u64, usize)>,
    /// Statements on their way: moment of arrival, entry, rate, statement made to it.
    statements: VecDeque<(u64, usize, LimitStatement, bool)>,
}

fn at(ms_since_start: u64) -> Moment {
    start() + ms(ms_since_start)
}

fn entries(count: usize, rate: f64) -> Vec<Entry> {
    let entry = |i: usize| Entry {
        limit: RateLimit::new(at(0), rate, at(0), true),
        hash: fleet::id_hash(&format!("edge-{i}")),
        has_load: true,
        load_from_ms: 0,
        gone: None,
    };
    (0..count).map(entry).collect()
}

impl Simulation {
    fn new(entries: Vec<Entry>, rate: f64, ends_ms: u64) -> Self {
        fastrand::seed(1);
        Simulation {
            entries,
            rate,
            ends_ms,
            sent: Vec::new(),
            statements: VecDeque::new(),
        }
    }

    fn run(&mut self, time_ms: u64) {
        for now_ms in (0..time_ms).step_by(STEP_MS as usize) {
            self.step(now_ms);
        }
    }

    fn step(&mut self, now_ms: u64) {
        while self.statements.front().is_some_and(|s| s.0 <= now_ms) {
            let Some((_, entry, statement, is_own)) = self.statements.pop_front() else {
                break;
            };
            self.entries[entry]
                .limit
                .update(at(now_ms), statement, is_own);
        }
        let listed: Vec<bool> = self.entries.iter().map(|e| e.is_listed(now_ms)).collect();
        for i in 0..self.entries.len() {
            if !self.entries[i].is_running(now_ms) {
                continue;
            }
            if self.entries[i].gone.is_some_and(|(_, to)| to == now_ms) {
                let limit = RateLimit::new(at(now_ms), self.rate, at(now_ms), false);
                self.entries[i].limit = limit;
            }
            self.share(i, now_ms, &listed);
            let in_flight = self.in_flight(i, now_ms);
            let entry = &mut self.entries[i];
            let has_load = entry.has_load && entry.load_from_ms <= now_ms;
            if has_load && entry.limit.allows(at(now_ms), in_flight) {
                entry.limit.record_send(at(now_ms));
                self.sent.push((now_ms, i));
                self.state(i, now_ms + RESPONSE_MS);
            }
        }
    }

    fn share(&mut self, entry: usize, now_ms: u64, listed: &[bool]) {
        let entries = self.entries.iter().zip(listed);
        let entries = entries.filter(|(_, listed)| **listed);
        let mut hashes: Vec<u64> = entries.map(|(e, _)| e.hash).collect();
        let own = self.entries[entry].hash;
        if !hashes.contains(&own) {
            hashes.push(own);
        }
        let limit = &mut self.entries[entry].limit;
        let total = limit.total_rate(at(now_ms)).unwrap_or(1000.0);
        let share = RateShare::new(total, UPSTREAM, own, &hashes);
        limit.set_share(at(now_ms), share, hashes.len());
    }

    /// Requests that the upstream has, as far as `entry` knows.
    fn in_flight(&self, entry: usize, now_ms: u64) -> u32 {
        let known = self.sent.iter().rev().filter(|(sent_ms, by)| {
            let lag_ms = if *by == entry { 0 } else { NOTICE_MS };
            now_ms < *sent_ms + RESPONSE_MS + lag_ms && *sent_ms + lag_ms <= now_ms
        });
        known.take(100).count() as u32
    }

    /// The upstream states its limit to an entry, which tells the others.
    fn state(&mut self, entry: usize, at_ms: u64) {
        let rate = (at_ms < self.ends_ms).then_some(self.rate);
        let statement = LimitStatement {
            rate,
            at: at(at_ms),
        };
        for i in 0..self.entries.len() {
            let lag_ms = if i == entry { 0 } else { NOTICE_MS };
            self.statements
                .push_back((at_ms + lag_ms, i, statement, i == entry));
        }
        self.statements.make_contiguous().sort_by_key(|s| s.0);
    }

    /// Most requests of all entries in 4 s.
    fn most(&self) -> usize {
        let times: Vec<u64> = self.sent.iter().map(|(at_ms, _)| *at_ms).collect();
        let in_window = |end: u64| {
            let recent = times.iter().filter(|t| **t <= end && **t + 4000 > end);
            recent.count()
        };
        times.iter().map(|t| in_window(*t)).max().unwrap_or(0)
    }

    fn sent_between(&self, from_ms: u64, to_ms: u64) -> usize {
        let sent = self.sent.iter().map(|(at_ms, _)| *at_ms);
        sent.filter(|t| (from_ms..to_ms).contains(t)).count()
    }
}

/// Requests that an upstream may get in 4 s.
fn allowed(rate: f64) -> usize {
    (1.5 * 4.0 * rate + 5.0).ceil() as usize
}

/// Each entry kept the limit for itself, or rounded its share up to a whole request.
#[test]
fn requests_of_all_entries_stay_within_the_limit() {
    for count in [1, 3, 5, 12, 48] {
        for rate in [0.0, 0.1, 0.5, 1.0, 1.8, 6.0, 25.0] {
            let mut simulation = Simulation::new(entries(count, rate), rate, u64::MAX);

            simulation.run(12_000);

            let (most, sent) = (simulation.most(), simulation.sent.len());
            assert!(most <= allowed(rate), "{count} entries, {rate}: {most}");
            let expected = (rate * 12.0 * 0.8) as usize;
            assert!(sent + 1 >= expected, "{count} entries, {rate}: only {sent}");
        }
    }
}

/// Each entry had a request saved up when the load began.
#[test]
fn load_that_begins_everywhere_at_once_stays_within_the_limit() {
    for rate in [0.1, 1.0, 6.0] {
        let mut entries = entries(48, rate);
        entries.iter_mut().for_each(|e| e.load_from_ms = 8000);
        let mut simulation = Simulation::new(entries, rate, u64::MAX);

        simulation.run(16_000);

        let most = simulation.most();
        assert!(most <= allowed(rate), "{rate}: {most}");
    }
}

#[test]
fn limit_holds_for_entries_that_come_and_go() {
    check_seeds(60, |u| {
        let rate = *u.choose(&[0.2, 0.7, 1.8, 4.0])?;
        let count = u.int_in_range(2..=12)?;
        let mut entries = entries(count, rate);
        for entry in &mut entries {
            let from = u.int_in_range(100..=900)? * STEP_MS;
            let length = u.int_in_range(5..=300)? * STEP_MS;
            entry.gone = u.ratio(1, 2)?.then_some((from, from + length));
            entry.has_load = u.ratio(2, 3)?;
        }
        let mut simulation = Simulation::new(entries, rate, u64::MAX);

        simulation.run(16_000);

        let most = simulation.most();
        assert!(most <= allowed(rate), "{count} entries, {rate}: {most}");
        Ok(())
    });
}

/// The entries that share the limit have no requests for the upstream, and the others
/// wait for news of it.
#[test]
fn end_of_the_need_is_noticed_by_an_entry_without_a_share() {
    let rate = 0.2;
    let mut entries = entries(12, rate);
    let hashes: Vec<u64> = entries.iter().map(|e| e.hash).collect();
    for entry in &mut entries {
        entry.has_load = RateShare::new(rate, UPSTREAM, entry.hash, &hashes).rate == 0.0;
    }
    let mut simulation = Simulation::new(entries, rate, 1000);

    simulation.run(20_000);

    assert!(simulation.sent_between(15_000, 20_000) > 100);
    assert!(simulation.sent_between(0, 6_000) <= allowed(rate));
}

#[test]
fn end_of_the_need_is_noticed_though_little_is_sent() {
    for rate in [0.0, 0.1, 1.0] {
        let mut simulation = Simulation::new(entries(3, rate), rate, 5000);

        simulation.run(30_000);

        let late = simulation.sent_between(25_000, 30_000);
        assert!(late > 100, "{rate}: {late} requests");
    }
}

/// After the need all entries returned at once, and the upstream was in need again.
#[test]
fn requests_return_step_by_step_after_the_need() {
    let mut simulation = Simulation::new(entries(12, 2.0), 2.0, 5000);

    simulation.run(20_000);

    let first = simulation.sent.iter().find(|(at_ms, _)| *at_ms > 5000);
    let noticed = first.map_or(0, |(at_ms, _)| at_ms + RESPONSE_MS);
    assert!(simulation.sent_between(noticed, noticed + 500) <= 10);
}

#[test]
fn older_statement_does_not_replace_a_newer_one() {
    let mut limit = RateLimit::new(at(100), 2.0, at(100), true);
    let statement = |rate, at_ms| LimitStatement {
        rate,
        at: at(at_ms),
    };

    limit.update(at(300), statement(None, 300), true);
    limit.update(at(310), statement(Some(2.0), 200), false);

    assert_eq!(limit.named_rate(), None);
    limit.update(at(400), statement(Some(3.0), 390), false);
    assert_eq!(limit.named_rate(), Some(3.0));
}
