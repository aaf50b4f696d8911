//! Encoding and decoding of the messages between processes.

use std::time::Duration;

use config::{Snapshot, VmId};
use protocol::{
    Availability, Crash, Heartbeat, HeartbeatReply, Load, Progress, Refusal, RunRequest, Settle,
    SettleReply, Ticket, UpstreamResponse,
};
use testkit::check_seeds;

fn run() -> RunRequest {
    RunRequest {
        id: "entry-1-2".into(),
        ticket: ticket(),
        method: "POST".into(),
        path: "/orders?x=1".into(),
        media_type: "application/json".into(),
        account: "parents".into(),
        idempotent: false,
        priority: 3,
        remaining: Duration::from_millis(1500),
        fingerprint: 99,
        suspect: true,
        body: vec![0, 1, 255],
    }
}

fn ticket() -> Ticket {
    Ticket {
        incarnation: u64::MAX,
        issued_ms: 5,
    }
}

fn reply() -> HeartbeatReply {
    HeartbeatReply {
        vm: "vm-1".into(),
        ticket: ticket(),
        availability: Availability::OutOfService,
        load: Load {
            limit: 4,
            in_flight: 3,
            service_us: 2,
        },
        revision: 8,
        progress: Some(Progress {
            version: "1".into(),
            verified: 1,
            total: 2,
            origin_bytes: 3,
            peer_bytes: 4,
            serving: None,
        }),
        crashes: vec![Crash {
            id: "vm-1-7-1".into(),
            fingerprints: vec![1, u64::MAX],
        }],
        retry_after: None,
    }
}

/// The fields of a reply in releases that know no pauses.
type EarlierReply = (
    VmId,
    Ticket,
    Availability,
    Load,
    u64,
    Option<Progress>,
    Vec<Crash>,
);

/// The reply has one more field only while the upstream is paused.
#[test]
fn earlier_releases_cannot_read_replies_of_upstreams_without_a_pause() {
    let paused = HeartbeatReply {
        availability: Availability::Paused,
        retry_after: Some(Duration::from_millis(1500)),
        ..reply()
    };

    let bytes = wire::encode(&reply()).unwrap();
    let earlier: EarlierReply = wire::decode(&bytes).unwrap();
    let bytes = wire::encode(&earlier).unwrap();
    let back: HeartbeatReply = wire::decode(&bytes).unwrap();
    let paused_bytes = wire::encode(&paused).unwrap();
    let paused_back: HeartbeatReply = wire::decode(&paused_bytes).unwrap();

    assert_eq!(format!("{back:?}"), format!("{:?}", reply()));
    assert_eq!(format!("{paused_back:?}"), format!("{paused:?}"));
}

#[test]
fn messages_round_trip() {
    let bytes = wire::encode(&run()).unwrap();
    let back: RunRequest = wire::decode(&bytes).unwrap();
    assert_eq!(format!("{back:?}"), format!("{:?}", run()));

    let bytes = wire::encode(&reply()).unwrap();
    let back: HeartbeatReply = wire::decode(&bytes).unwrap();
    assert_eq!(format!("{back:?}"), format!("{:?}", reply()));

    let answered = SettleReply::Answered(UpstreamResponse {
        status: 200,
        media_type: "a/b".into(),
        body: vec![9; 300],
    });
    let bytes = wire::encode(&answered).unwrap();
    assert_eq!(wire::decode::<SettleReply>(&bytes).unwrap(), answered);

    let snapshot = Snapshot {
        revision: 3,
        as_of: 9,
        text: "{}".into(),
        era: 2,
    };
    let bytes = wire::encode(&snapshot).unwrap();
    assert_eq!(wire::decode::<Snapshot>(&bytes).unwrap(), snapshot);
}

/// An agent of an earlier release could not read the configuration of an upgraded entry.
#[test]
fn snapshot_of_the_first_era_has_a_further_field() {
    let text: std::sync::Arc<str> = "{}".into();
    let snapshot = Snapshot {
        revision: 3,
        as_of: 9,
        text: text.clone(),
        era: 0,
    };

    let bytes = wire::encode(&snapshot).unwrap();

    assert_eq!(bytes, wire::encode(&(3_u64, 9_u64, text)).unwrap());
    assert_eq!(wire::decode::<Snapshot>(&bytes).unwrap(), snapshot);
}

#[test]
fn a_load_round_trips_through_its_header() {
    let load = reply().load;

    assert_eq!(load.to_string().parse::<Load>().unwrap(), load);
    assert!("1 2".parse::<Load>().is_err());
    assert!("1 2 x".parse::<Load>().is_err());
}

#[test]
fn decoding_corrupt_messages_never_panics() {
    check_seeds(2000, |u| {
        let mut bytes = wire::encode(&run()).unwrap();
        for _ in 0..u.int_in_range(1..=8)? {
            let i = u.choose_index(bytes.len())?;
            bytes[i] = u.arbitrary()?;
        }
        let _ = wire::decode::<RunRequest>(&bytes);
        let _ = wire::decode::<HeartbeatReply>(&bytes);
        let _ = wire::decode::<Heartbeat>(&bytes);
        let _ = wire::decode::<Settle>(&bytes);
        let _ = wire::decode::<SettleReply>(&bytes);
        let _ = wire::decode::<Refusal>(&bytes);
        let _ = wire::decode::<Snapshot>(&bytes);
        Ok(())
    });
}
