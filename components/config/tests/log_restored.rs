//! Readers of a log that comes back from an older copy, which lacks its latest records and
//! gives their offsets out again.

mod fixture;

use config::{ConfigState, Record, Snapshot};
use fixture::{declaration_json, proposal};
use testkit::arbitrary::{Result, Unstructured};
use testkit::check_seeds;

#[derive(Default)]
struct TestLog {
    era: u64,
    records: Vec<Record>,
}

impl TestLog {
    fn propose(&mut self, id: &str, base: u64, limit: usize) {
        self.records
            .push(proposal(id, base, declaration_json(limit)));
    }

    /// Comes back from a copy with only the first `len` records.
    fn restore(&mut self, len: usize) {
        self.records.truncate(len);
        self.era += 1;
    }

    /// Reads the log to its end, as an entry does.
    fn read_by(&self, reader: &mut ConfigState) {
        reader.begin_era(self.era);
        let page: Vec<_> = (0..).zip(self.records.iter().cloned()).collect();
        let from = usize::try_from(reader.next_offset()).unwrap();
        let page = page.get(from..).unwrap_or_default();
        reader.apply_page(0, page).unwrap();
    }

    /// The same, and writes again what the log lacks.
    fn read_and_write_by(&mut self, reader: &mut ConfigState) {
        self.read_by(reader);
        if let Some(c) = reader.missing_checkpoint() {
            self.records.push(Record::Checkpoint(c));
        }
    }
}

/// Revision and text of the active configuration.
fn active(reader: &ConfigState) -> Option<(u64, &str)> {
    let current = reader.current()?;
    Some((current.revision, &current.text))
}

fn text_of(limit: usize) -> String {
    declaration_json(limit)
}

/// An entry that was ahead of the copy waited for offsets that were given out again, and
/// missed the changes in them.
#[test]
fn reader_ahead_of_the_copy_misses_later_changes() {
    let (mut log, mut reader) = (TestLog::default(), ConfigState::default());
    (1..=5).for_each(|n| log.propose(&format!("p{n}"), n - 1, 1));
    log.read_by(&mut reader);

    log.restore(2);
    log.read_and_write_by(&mut reader);
    log.propose("new", 5, 9);
    log.read_by(&mut reader);

    assert_eq!(active(&reader), Some((6, text_of(9).as_str())));
}

/// An entry that started after the restore served the configuration of the copy, which was
/// older than the one in force.
#[test]
fn configuration_in_force_is_lost_with_the_log() {
    let (mut log, mut reader) = (TestLog::default(), ConfigState::default());
    log.propose("p1", 0, 1);
    log.propose("p2", 1, 2);
    log.read_by(&mut reader);

    log.restore(1);
    log.read_and_write_by(&mut reader);
    let mut started = ConfigState::default();
    log.read_by(&mut started);

    assert_eq!(active(&started), Some((2, text_of(2).as_str())));
    assert_eq!(active(&reader), active(&started));
}

/// Two entries served different configurations with one revision: one remembered the lost
/// change, the other read the change that was accepted in its place.
#[test]
fn two_configurations_have_one_revision() {
    let (mut log, mut reader) = (TestLog::default(), ConfigState::default());
    log.propose("p1", 0, 1);
    log.propose("lost", 1, 2);
    log.read_by(&mut reader);

    log.restore(1);
    log.propose("again", 1, 3);
    let mut started = ConfigState::default();
    log.read_by(&mut started);
    log.read_and_write_by(&mut reader);
    log.read_by(&mut started);
    log.read_by(&mut reader);

    assert_eq!(active(&started), Some((3, text_of(3).as_str())));
    assert_eq!(active(&reader), active(&started));
}

/// A configuration from an entry that still read the lost records moved the reader past
/// the records that were written in their place.
#[test]
fn configuration_of_an_older_era_skips_records() {
    let (mut log, mut behind) = (TestLog::default(), ConfigState::default());
    (1..=3).for_each(|n| log.propose(&format!("p{n}"), n - 1, 1));
    log.read_by(&mut behind);

    log.restore(1);
    log.propose("new", 1, 7);
    let mut reader = ConfigState::default();
    log.read_by(&mut reader);
    reader.install(behind.current().unwrap().clone());
    log.propose("in place", 2, 8);
    log.propose("next", 3, 9);
    log.read_by(&mut reader);

    assert!(
        reader.verdict("in place").is_some(),
        "the record was skipped"
    );
    assert_eq!(active(&reader), Some((4, text_of(9).as_str())));
}

/// However often the log is restored, no reader returns to a lower revision, and once all
/// have read and written what the log lacked, they and a new reader agree.
#[test]
fn readers_agree_after_any_restores() {
    check_seeds(2000, |u| {
        let mut log = TestLog::default();
        let mut readers: Vec<ConfigState> = (0..3).map(|_| ConfigState::default()).collect();
        for step in 0..u.int_in_range(1..=60)? {
            let before: Vec<u64> = readers.iter().map(ConfigState::revision).collect();
            random_step(u, &mut log, &mut readers, step)?;
            let after: Vec<u64> = readers.iter().map(ConfigState::revision).collect();
            assert!(
                before.iter().zip(&after).all(|(b, a)| b <= a),
                "{before:?} {after:?}"
            );
        }
        for _ in 0..2 * readers.len() {
            readers.iter_mut().for_each(|r| log.read_and_write_by(r));
        }
        let mut started = ConfigState::default();
        log.read_by(&mut started);
        for reader in &mut readers {
            log.read_by(reader);
            assert_eq!(reader.missing_checkpoint(), None);
            assert_eq!(active(reader), active(&started));
        }
        Ok(())
    });
}

fn random_step(
    u: &mut Unstructured<'_>,
    log: &mut TestLog,
    readers: &mut [ConfigState],
    step: u32,
) -> Result<()> {
    let i = u.choose_index(readers.len())?;
    match u.int_in_range(0..=9)? {
        0..=2 => log.propose(
            &format!("p{step}"),
            readers[i].revision(),
            u.int_in_range(1..=9)?,
        ),
        3 => log.restore(u.int_in_range(0..=log.records.len())?),
        4 => {
            let snapshot: Option<Snapshot> = readers[i].current().cloned();
            let to = u.choose_index(readers.len())?;
            if let Some(snapshot) = snapshot {
                readers[to].install(snapshot);
            }
        }
        5 | 6 => log.read_by(&mut readers[i]),
        _ => log.read_and_write_by(&mut readers[i]),
    }
    Ok(())
}
