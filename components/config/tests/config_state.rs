//! The state that the configuration log determines: scenarios, and a property over
//! random interleavings of appends, truncation and readers.

mod fixture;

use config::{ConfigState, Record, ReplayError, Snapshot, Verdict};
use fixture::{checkpoint, declaration_json, proposal};
use testkit::arbitrary::{Result, Unstructured};
use testkit::check_seeds;

/// Directives: `append`, `truncate`, `read`, `install`. Each reader has a
/// [`ConfigState`] of its own.
#[test]
fn scenarios() {
    let dir = format!("{}/../../scenarios/config", env!("CARGO_MANIFEST_DIR"));
    datadriven::walk(&dir, |file| {
        let mut log = TestLog::default();
        let mut readers: std::collections::BTreeMap<String, ConfigState> = Default::default();
        file.run(|case| match case.directive.as_str() {
            "append" => case.input.lines().map(|l| log.append_line(l)).collect(),
            "truncate" => {
                log.first = case.args["before"][0].parse().unwrap();
                String::new()
            }
            "read" => {
                let name = case.args["as"][0].clone();
                log.read_by(readers.entry(name).or_default())
            }
            "install" => {
                let from = readers[&case.args["from"][0]].current().unwrap().clone();
                let to = readers.entry(case.args["to"][0].clone()).or_default();
                format!("ahead={}\n", to.install(from))
            }
            other => panic!("directive {other} is not known"),
        })
    });
}

#[derive(Default)]
struct TestLog {
    first: u64,
    records: Vec<Record>,
}

impl TestLog {
    /// `proposal ID base=N limit=N` or `checkpoint as_of=N revision=N limit=N`;
    /// a limit of 0 makes the declaration invalid.
    fn append_line(&mut self, line: &str) -> String {
        let number = |name: &str| {
            line.split_whitespace()
                .find_map(|w| w.strip_prefix(name)?.strip_prefix('='))
                .map_or(0, |v| v.parse::<u64>().unwrap())
        };
        let text = declaration_json(usize::try_from(number("limit")).unwrap());
        let words: Vec<&str> = line.split_whitespace().collect();
        self.records.push(match words[0] {
            "proposal" => proposal(words[1], number("base"), text),
            "checkpoint" => checkpoint(number("as_of"), number("revision"), text),
            other => panic!("record {other} is not known"),
        });
        format!("{}: {}\n", self.records.len() - 1, words[0])
    }

    fn page(&self, from: u64) -> Vec<(u64, Record)> {
        (0..)
            .zip(self.records.iter().cloned())
            .filter(|(o, _)| *o >= from.max(self.first))
            .collect()
    }

    fn read_by(&self, reader: &mut ConfigState) -> String {
        let page = self.page(reader.next_offset());
        let result = reader.apply_page(self.first, &page);
        let mut out = String::new();
        if let Err(e) = result {
            out = format!("{e}\n");
        }
        for (_, record) in &page {
            if let Record::Proposal(p) = record
                && let Some(v) = reader.verdict(&p.id)
            {
                out += &format!("{}: {}\n", p.id, describe(v));
            }
        }
        out + &format!(
            "revision={} next={}\n",
            reader.revision(),
            reader.next_offset()
        )
    }
}

fn describe(v: &Verdict) -> String {
    match v {
        Verdict::Accepted { revision } => format!("accepted as {revision}"),
        Verdict::Conflict { current } => format!("conflict with {current}"),
        Verdict::Invalid { .. } => "invalid".to_owned(),
    }
}

/// A reader that starts late, pauses, or meets truncation and late checkpoints
/// either reports a gap or agrees with a reader of the complete log.
#[test]
fn reader_reports_a_gap_or_agrees_with_a_complete_reader() {
    check_seeds(400, |u| {
        let mut log = TestLog::default();
        let mut complete = ConfigState::default();
        let mut readers: Vec<ConfigState> = (0..3).map(|_| ConfigState::default()).collect();
        let mut snapshots: Vec<Snapshot> = Vec::new();
        for _ in 0..u.int_in_range(1..=60)? {
            random_step(u, &mut log, &mut complete, &mut readers, &mut snapshots)?;
        }
        Ok(())
    });
}

fn random_step(
    u: &mut Unstructured<'_>,
    log: &mut TestLog,
    complete: &mut ConfigState,
    readers: &mut [ConfigState],
    snapshots: &mut Vec<Snapshot>,
) -> Result<()> {
    match u.int_in_range(0..=9)? {
        0..=3 => {
            let stale = u.ratio(1, 3)?;
            let base = complete.revision().saturating_sub(u64::from(stale));
            let id = format!("p{}", u.int_in_range(0..=40)?);
            log.records.push(proposal(
                &id,
                base,
                declaration_json(u.int_in_range(0..=9)?),
            ));
        }
        4 => {
            // A checkpoint may be appended long after the state that it records.
            if !snapshots.is_empty() {
                let s = u.choose(snapshots)?;
                log.records
                    .push(checkpoint(s.as_of, s.revision, s.text.to_string()));
            }
        }
        5 => {
            let end = log.records.len() as u64;
            log.first = log.first.max(u.int_in_range(0..=end)?);
        }
        _ => {
            let i = u.choose_index(readers.len())?;
            let reader = &mut readers[i];
            let before = reader.revision();
            let page = log.page(reader.next_offset());
            match reader.apply_page(log.first, &page) {
                Ok(()) => assert_eq!(reader.current(), complete.current()),
                Err(ReplayError::Gap { .. }) => assert_eq!(reader.revision(), before),
            }
            assert!(reader.revision() >= before, "the revision decreased");
        }
    }
    let page = log.page(complete.next_offset());
    if complete.apply_page(0, &page).is_ok() {
        snapshots.extend(complete.current().cloned());
    }
    Ok(())
}
