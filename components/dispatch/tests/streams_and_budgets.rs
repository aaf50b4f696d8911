//! Events of streams and the retry budget.

mod fixture;

use dispatch::{EventSplitter, RetryBudget};
use fixture::{bounds, ms, start};
use testkit::check_seeds;

#[test]
fn stream_cut_anywhere_yields_complete_events_only() {
    let stream = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    check_seeds(200, |u| {
        let mut splitter = EventSplitter::default();
        let mut out = Vec::new();
        let mut rest = &stream[..u.choose_index(stream.len() + 1)?];
        let cut = rest.len();
        while !rest.is_empty() {
            let (part, later) = rest.split_at(1 + u.choose_index(rest.len())?);
            out.extend(splitter.push(part).unwrap_or_default());
            rest = later;
        }
        let complete = stream[..cut]
            .windows(2)
            .rposition(|w| w == b"\n\n")
            .map_or(0, |i| i + 2);
        assert_eq!(out, &stream[..complete]);
        let events = complete / 15;
        let last = (events > 0).then(|| events.to_string());
        assert_eq!(splitter.last_id().map(str::to_owned), last);
        Ok(())
    });
}

/// An event that was too long, and bytes that are no event, were passed on.
#[test]
fn junk_in_a_stream_is_not_returned() {
    let long = [b"data: ".as_slice(), &[b'x'; 80 << 10]].concat();
    for junk in [
        b"junk\n\n".as_slice(),
        b"\x00: a\r\n\r\n",
        b"data: \xff\n\n",
        &long,
    ] {
        let stream = [b"id: 1\ndata: a\n\n", junk, b"\n\nid: 2\ndata: b\n\n"].concat();
        check_seeds(50, |u| {
            let mut splitter = EventSplitter::default();
            let mut out = Vec::new();
            let mut rest = &stream[..];
            while !rest.is_empty() {
                let (part, later) = rest.split_at(1 + u.choose_index(rest.len())?);
                out.extend(splitter.push(part).unwrap_or_default());
                rest = later;
            }
            assert!(splitter.is_malformed());
            assert_eq!(out, b"id: 1\ndata: a\n\n");
            assert_eq!(splitter.last_id(), Some("1"));
            Ok(())
        });
    }
}

#[test]
fn comments_fields_and_versions_are_events() {
    let stream = b": c\n\ndata\n\nx-weight-versions: 3\nid: 4\ndata: a: b\r\n\r\n";
    let mut splitter = EventSplitter::default();

    let events = splitter.push(stream);

    assert_eq!(events.as_deref(), Some(stream.as_slice()));
    assert_eq!(splitter.last_id(), Some("4"));
}

#[test]
fn retries_of_all_entries_stay_within_the_budget() {
    let entries = 3;
    let mut budgets: Vec<_> = (0..entries).map(|_| RetryBudget::new(&bounds())).collect();
    let mut retries: Vec<u64> = Vec::new();

    for step in 0..30_000_u64 {
        let now = start() + ms(step);
        for budget in &mut budgets {
            if step % 20 == 0 {
                budget.record_request(now);
            }
            if budget.try_withdraw(now, entries) {
                retries.push(step);
            }
        }
    }

    // Any 10 s: 0.2 of 3 x 500 requests, and 100.
    let most = (0..20_000)
        .step_by(100)
        .map(|from| {
            retries
                .iter()
                .filter(|s| (from..from + 10_000).contains(*s))
                .count()
        })
        .max();
    assert!(most <= Some(400), "{most:?}");
    assert!(most >= Some(200), "{most:?}");
}
