use std::time::Duration;

use dispatch::{Seat, SeatLoad, Verdict};
use domain::{Platform, ServiceId, now};
use feed::{EngineNotice, EntryNotice};
use serde_json::json;
use std::sync::Arc;
use telemetry::{Outcome, decision};

use super::Desk;
use super::state::Peer;
use crate::hold::Hold;

/// What a desk hears and tells: of exchanges, of other entries, of engines.
impl<P: Platform> Desk<P> {
    /// Records what became of an exchange.
    pub fn note<R>(&self, hold: &Hold<P>, record: impl FnOnce(&mut Seat) -> R) -> Option<R> {
        let mut state = self.state();
        let seats = &mut state.services.get_mut(&hold.service)?.intake.seats;
        let seat = seats.seat(&hold.target.id)?;
        (seat.upstream.started_ms == hold.born).then(|| record(seat))
    }

    /// Whether a request may be sent, for all that is known of crashes.
    pub fn verdict(&self, fingerprint: u64) -> Verdict {
        self.state().crashes.check(now(), fingerprint)
    }

    /// Records a broken exchange.
    pub fn broke(&self, hold: &Hold<P>, fingerprint: u64) {
        let mut state = self.state();
        let charged = state.crashes.broke(now(), crash_key(hold), fingerprint);
        state.charge(charged);
    }

    /// Records that an upstream refused a connection.
    pub fn refused(&self, hold: &Hold<P>) {
        let mut state = self.state();
        let charged = state.crashes.refused(now(), crash_key(hold));
        state.charge(charged);
    }

    /// Records an answered request.
    pub fn answered(&self, hold: &Hold<P>, fingerprint: u64) {
        let mut state = self.state();
        state.crashes.answered(now(), crash_key(hold), fingerprint);
    }

    /// What the other entries are told.
    pub fn notice(&self, start: u64) -> EntryNotice {
        let mut state = self.state();
        state.notices += 1;
        let demand = state.demand.told(now());
        let seats = state.services.values().flat_map(|s| s.intake.seats.iter());
        let loads = seats
            .filter(|s| s.own.requests > 0)
            .map(|s| {
                let requests = u16::try_from(s.own.requests).unwrap_or(u16::MAX);
                let unread = u32::try_from(s.own.unread).unwrap_or(u32::MAX);
                (s.tag, requests, unread)
            })
            .collect();
        EntryNotice {
            vm: self.node.vm.clone(),
            region: self.node.region.clone(),
            demand,
            start,
            number: state.notices,
            loads,
            crashes: state.charged.clone(),
        }
    }

    /// Takes over what another entry tells.
    pub fn entry_notice(self: &Arc<Self>, notice: EntryNotice) {
        if notice.vm == self.node.vm {
            return;
        }
        let mut state = self.state();
        let now = now();
        let order = (notice.start, notice.number);
        if let Some(peer) = state.peers.get(&notice.vm) {
            if (peer.start, peer.number) >= order {
                return;
            }
        } else {
            decision(
                "desk",
                "entry heard",
                Outcome::Change,
                json!({ "entry": notice.vm }),
            );
            state.unshared = true;
        }
        for fingerprint in notice.crashes {
            if !state.charged.contains(&fingerprint) {
                state.crashes.told(now, fingerprint);
                state.keep_charged(fingerprint);
            }
        }
        let load = |(tag, requests, unread): (u32, u16, u32)| {
            let (requests, unread) = (u32::from(requests), u64::from(unread));
            (tag, SeatLoad { requests, unread })
        };
        let loads = notice.loads.into_iter().map(load);
        let known = state.peers.get(&notice.vm);
        if known.is_some_and(|p| p.demand != notice.demand) {
            state.unshared = true;
        }
        let peer = Peer {
            region: notice.region,
            demand: notice.demand,
            start: notice.start,
            number: notice.number,
            heard: now,
            loads: loads.collect(),
        };
        state.peers.insert(notice.vm, peer);
        state.share_loads();
        drop(state);
        self.pump_waiting();
    }

    pub(super) fn pump_waiting(self: &Arc<Self>) {
        let names: Vec<ServiceId> = {
            let state = self.state();
            let busy = state
                .services
                .iter()
                .filter(|(_, s)| !s.intake.room.is_empty());
            busy.map(|(n, _)| n.clone()).collect()
        };
        names.iter().for_each(|n| self.pump(n));
    }

    /// Takes over what an agent tells of its engine.
    pub fn engine_notice(self: &Arc<Self>, notice: EngineNotice) {
        let mut state = self.state();
        for service in state.services.values_mut() {
            for seat in service.intake.seats.iter_mut() {
                if seat.upstream.addr != notice.engine
                    || seat.upstream.started_ms != notice.started_ms
                {
                    continue;
                }
                if seat.switching != notice.switching {
                    let fields = json!({
                        "upstream": seat.upstream.id, "switching": notice.switching,
                    });
                    decision("desk", "engine", Outcome::Change, fields);
                }
                seat.switching = notice.switching;
                let closes = notice.switch_in_ms.map(|m| Duration::from_millis(m.into()));
                seat.closes = closes.map(|c| now() + c);
                let held = notice.held.iter().map(|(m, v)| domain::HeldModel {
                    model: m.clone(),
                    version: *v,
                });
                // The list lags behind the agent's word.
                seat.upstream.models = held.collect();
            }
        }
        drop(state);
        self.pump_waiting();
    }
}

fn crash_key<P: Platform>(hold: &Hold<P>) -> u64 {
    u64::from(hold.tag)
}
