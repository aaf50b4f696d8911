use std::collections::HashMap;
use std::time::Duration;

use async_channel::Sender;
use dispatch::{
    CrashWatch, Demand, Intake, Party, RepeatBudget, Returners, Room, RoomRules, SeatLoad, Seats,
    Shares,
};
use domain::{FailureDomainId, Moment, NodeSettings, Platform, RegionId, ServiceId, VmId};
use serde_json::json;
use telemetry::{Outcome, decision};

use crate::hold::Hold;

/// Most requests of a service that wait at one entry.
const ROOM_PLACES: usize = 256;
/// An entry that has not been heard of for this long is gone.
const PEER_SILENCE: Duration = Duration::from_millis(1500);
/// Crashes told to other entries again and again.
const CRASHES_TOLD: usize = 16;

/// Another entry, as it last told of itself.
pub struct Peer {
    pub(super) region: RegionId,
    pub(super) demand: u16,
    pub(super) start: u64,
    pub(super) number: u64,
    pub(super) heard: Moment,
    pub(super) loads: HashMap<u32, SeatLoad>,
}

/// What is known and waiting of one service.
pub struct Service<P: Platform> {
    pub(super) intake: Intake,
    pub(super) tickets: HashMap<u64, Sender<Hold<P>>>,
    pub(super) budget: RepeatBudget,
}

/// The state of a desk.
pub struct State<P: Platform> {
    pub(super) services: HashMap<ServiceId, Service<P>>,
    pub(super) peers: HashMap<VmId, Peer>,
    pub(super) returners: Returners,
    pub(super) crashes: CrashWatch,
    pub(super) charged: Vec<u64>,
    pub(super) notices: u64,
    pub(super) demand: Demand,
    /// Own demand when upstreams were last shared out.
    pub(super) shared_demand: u16,
    /// Entries or upstreams have changed since upstreams were shared out.
    pub(super) unshared: bool,
}

impl<P: Platform> State<P> {
    pub(super) fn service(&mut self, name: &ServiceId, node: &NodeSettings) -> &mut Service<P> {
        self.services
            .entry(name.clone())
            .or_insert_with(|| Service {
                intake: Intake::new(
                    Seats::new(
                        name.clone(),
                        node.failure_domain.clone(),
                        node.region.clone(),
                    ),
                    Room::new(RoomRules {
                        places: ROOM_PLACES,
                    }),
                ),
                tickets: HashMap::new(),
                budget: RepeatBudget::new(&node.bounds),
            })
    }

    pub(super) fn forget_silent(&mut self, now: Moment) {
        let silent = |p: &Peer| now.saturating_sub(p.heard) > PEER_SILENCE;
        let before = self.peers.len();
        self.peers.retain(|vm, p| {
            if silent(p) {
                decision(
                    "desk",
                    "entry silent",
                    Outcome::Change,
                    json!({ "entry": vm }),
                );
            }
            !silent(p)
        });
        if before != self.peers.len() {
            self.unshared = true;
            self.share_loads();
        }
    }

    pub(super) fn share_loads(&mut self) {
        let entries = u32::try_from(self.peers.len() + 1).unwrap_or(u32::MAX);
        for service in self.services.values_mut() {
            service.intake.seats.set_entries(entries);
            for seat in service.intake.seats.iter_mut() {
                let told = self.peers.values().filter_map(|p| p.loads.get(&seat.tag));
                let sum = |a: SeatLoad, b: &SeatLoad| SeatLoad {
                    requests: a.requests + b.requests,
                    unread: a.unread + b.unread,
                };
                seat.others = told.fold(SeatLoad::default(), sum);
            }
        }
    }

    /// Shares the upstreams out to the entries anew if either have changed.
    pub(super) fn share_out(
        &mut self,
        now: Moment,
        node: &NodeSettings,
        evacuated: impl Fn(&FailureDomainId) -> bool,
    ) {
        let demand = self.demand.told(now);
        let changed = std::mem::replace(&mut self.shared_demand, demand) != demand;
        if !std::mem::take(&mut self.unshared) && !changed {
            return;
        }
        let peers = self.peers.iter().map(|(vm, p)| Party {
            vm: vm.clone(),
            region: p.region.clone(),
            demand: p.demand,
        });
        let own = Party {
            vm: node.vm.clone(),
            region: node.region.clone(),
            demand,
        };
        let entries: Vec<Party> = peers.chain([own]).collect();
        for service in self.services.values_mut() {
            let seats = &mut service.intake.seats;
            let usable = seats
                .iter()
                .filter(|s| !evacuated(&s.upstream.failure_domain));
            let upstreams: Vec<(u32, RegionId)> =
                usable.map(|s| (s.tag, s.region.clone())).collect();
            seats.set_shares(&Shares::new(&entries, &upstreams), &node.vm);
        }
    }

    pub(super) fn charge(&mut self, charged: Vec<u64>) {
        for fingerprint in charged {
            let fields = json!({ "fingerprint": format!("{fingerprint:016x}") });
            decision("desk", "crash charged", Outcome::Change, fields);
            self.keep_charged(fingerprint);
        }
    }

    pub(super) fn keep_charged(&mut self, fingerprint: u64) {
        if self.charged.len() >= CRASHES_TOLD {
            self.charged.remove(0);
        }
        self.charged.push(fingerprint);
    }
}
