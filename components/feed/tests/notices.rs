//! Notices between processes of different versions.

use std::net::SocketAddr;

use compact_str::CompactString;
use feed::{EngineNotice, Notice};
use serde::{Deserialize, Serialize};

/// Notices of processes that do not know the pace of an engine.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum OlderNotice {
    Engine(OlderEngineNotice),
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct OlderEngineNotice {
    engine: SocketAddr,
    #[serde(rename = "born")]
    started_ms: u64,
    switching: bool,
    #[serde(rename = "closes_in")]
    switch_in_ms: Option<u32>,
    held: Vec<(CompactString, u64)>,
}

fn notice(pace: Option<u16>) -> EngineNotice {
    EngineNotice {
        engine: SocketAddr::from(([127, 0, 0, 1], 9000)),
        started_ms: 7,
        switching: false,
        switch_in_ms: Some(300),
        held: vec![("m".into(), 2)],
        pace,
    }
}

fn older_notice() -> OlderEngineNotice {
    OlderEngineNotice {
        engine: SocketAddr::from(([127, 0, 0, 1], 9000)),
        started_ms: 7,
        switching: false,
        switch_in_ms: Some(300),
        held: vec![("m".into(), 2)],
    }
}

/// In a mixed fleet, entries of the older version would reject each notice of a newer loader,
/// and send to engines that are closed for a switch.
#[test]
fn older_processes_read_a_notice_with_a_pace() {
    for pace in [None, Some(250)] {
        let bytes = Notice::Engine(notice(pace)).encode().unwrap();

        let read: OlderNotice = rmp_serde::from_slice(&bytes).unwrap();

        assert_eq!(read, OlderNotice::Engine(older_notice()), "{pace:?}");
    }
}

#[test]
fn notice_of_an_older_process_has_no_pace() {
    let bytes = rmp_serde::to_vec(&OlderNotice::Engine(older_notice())).unwrap();

    let read: Notice = rmp_serde::from_slice(&bytes).unwrap();

    assert_eq!(read, Notice::Engine(notice(None)));
}

#[test]
fn pace_survives_the_datagram() {
    for pace in [None, Some(250)] {
        let sent = Notice::Engine(notice(pace));

        let read: Notice = rmp_serde::from_slice(&sent.encode().unwrap()).unwrap();

        assert_eq!(read, sent);
    }
}
