use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use anyhow::ensure;
use dispatch::{SwitchPlan, SwitchReason, SwitchStep, VersionCandidate};
use domain::{
    EngineApi, EngineError, EngineSession, EngineStatus, LoadOrder, Moment, Platform,
    WeightVersion, millis, now,
};
use futures_lite::FutureExt;
use pieces::{Downloader, TargetVersion};
use serde_json::json;
use smol::{Task, Timer};
use telemetry::{Outcome, decision};
use transport::{spawn, with_timeout};

use crate::agent::Agent;
use crate::doubts::DoubtfulCall;

/// Longest interval between two steps.
const STEP_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest pause between two steps of which the first failed.
const MIN_STEP: Duration = Duration::from_millis(20);
/// Time that the notice of a switch takes to reach the entries.
const CLOSE_DELAY: Duration = Duration::from_millis(60);
/// Longest age of the oldest check of a staged piece when an order is sent. A piece
/// that turns bad is excused for 3 s; the rest is left for the engine to accept.
const MAX_CHECK_AGE: Duration = Duration::from_millis(2000);
/// Interval between checks of the pieces that an order may still load.
const REPAIR_INTERVAL: Duration = Duration::from_millis(1000);
/// Longest time from an order until the engine reports the version.
const LOAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time from an order after which an engine that is not loading has not accepted it.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(600);
/// Interval between reads of the report of an engine that is loading.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(30);
/// Maximum number of versions that are downloaded at the same time.
const MAX_VERSIONS: usize = 2;
/// Step between the positions of consecutive agents in the order of switches, modulo
/// 1. Multiples of the golden ratio modulo 1 are spread evenly.
const POSITION_STEP: f64 = 0.618_033_988_75;

impl<P: Platform> Agent<P> {
    /// Downloads declared versions, also while a call to the engine is pending.
    pub async fn download_versions(self: Arc<Self>) {
        let mut downloads: HashMap<WeightVersion, Task<()>> = HashMap::new();
        loop {
            let changed = self.feed.listen();
            self.update_downloads(&self.targets(), &mut downloads);
            with_timeout(STEP_INTERVAL, changed).await;
        }
    }

    /// Loads downloaded versions into the engine.
    pub async fn load_versions(self: Arc<Self>) {
        loop {
            let changed = self.feed.listen();
            let targets = self.targets();
            if let Err(e) = self.step(&targets).await {
                let fields = json!({ "error": format!("{e:#}") });
                decision("loader", "not loaded", Outcome::Failure, fields);
            }
            // Late in a release, turns are some tens of milliseconds apart.
            let turn = self.closes_at().map(|at| at.saturating_sub(now()));
            let pause = turn.map_or(STEP_INTERVAL, |t| t.clamp(MIN_STEP, STEP_INTERVAL));
            with_timeout(pause, changed).await;
        }
    }

    /// The newest declared versions that the engine does not hold, in ascending
    /// order.
    fn targets(&self) -> Vec<TargetVersion> {
        let service = &self.settings.service;
        let mut targets = self
            .feed
            .view(|v| TargetVersion::newest(v, service, MAX_VERSIONS));
        if let Some(target) = targets.first() {
            let held = self.held(&target.model).unwrap_or(0);
            targets.retain(|t| t.version > held);
        }
        targets
    }

    /// Starts the downloads of `targets` and cancels all others.
    fn update_downloads(
        self: &Arc<Self>,
        targets: &[TargetVersion],
        downloads: &mut HashMap<WeightVersion, Task<()>>,
    ) {
        // Pieces cannot be staged at an engine that does not respond.
        if self.report().is_none() {
            downloads.clear();
            return;
        }
        let wanted = |v: WeightVersion| targets.iter().any(|t| t.version == v);
        downloads.retain(|v, _| wanted(*v));
        // Pieces that an order may still load have to be staged again if they turn bad.
        let ordered = self.local.doubts.order().map(|t| t.version);
        self.local
            .cache
            .retain_versions(|v| wanted(v) || ordered == Some(v));
        for target in targets {
            downloads.entry(target.version).or_insert_with(|| {
                let downloader = Downloader::new(self.peers.clone(), target.clone());
                let (local, target) = (self.local.clone(), target.clone());
                let restore = async move { local.restore(&target.model, target.version).await };
                spawn(downloader.run(restore))
            });
        }
    }

    /// Takes the next step of the switch to one of `targets`, if any is due.
    async fn step(&self, targets: &[TargetVersion]) -> anyhow::Result<()> {
        let Some(report) = self.report() else {
            return Ok(());
        };
        if let Some(ordered) = self.local.doubts.order() {
            // The same order, sent again, shows whether the first was accepted: the
            // engine accepts one of the two.
            return match report.busy {
                true => Ok(()),
                false => self.switch(&ordered).await,
            };
        }
        let Some(first) = targets.first() else {
            self.set_closes_at(None);
            self.record_planned(None);
            self.share_loaded().await;
            return Ok(());
        };
        if report.busy {
            return Ok(());
        }
        let candidates: Vec<VersionCandidate> = targets.iter().map(|t| self.candidate(t)).collect();
        let plan = SwitchPlan {
            bound: self.settings.node.bounds.weight_rollout,
            position: self.position(first),
        };
        let target = |v| targets.iter().find(|t| t.version == v);
        let (moment, held) = (now(), self.held(&first.model));
        let step = plan.next(moment, held, &candidates);
        let reason = plan.reason(moment, held, &candidates, step);
        self.log_step(moment, &plan, &candidates, step, reason);
        self.set_closes_at(match step {
            SwitchStep::Prepare(_, switch_at) => Some(switch_at),
            SwitchStep::Load(_) | SwitchStep::Wait => None,
        });
        match step {
            SwitchStep::Wait => Ok(()),
            SwitchStep::Prepare(version, _) => match target(version) {
                Some(target) if !self.local.is_staged(&target.model, version) => {
                    self.local.stage(&target.model, version).await?;
                    Ok(())
                }
                _ => Ok(()),
            },
            SwitchStep::Load(version) => match target(version) {
                Some(target) => {
                    self.switch(target).await?;
                    let reason = reason.name();
                    metrics::counter!("turmerichold_switches_total", "reason" => reason)
                        .increment(1);
                    Ok(())
                }
                None => Ok(()),
            },
        }
    }

    /// Logs a step of the plan that differs from the last one, and sets the gauges by which a
    /// release is followed.
    fn log_step(
        &self,
        now: Moment,
        plan: &SwitchPlan,
        candidates: &[VersionCandidate],
        step: SwitchStep,
        reason: SwitchReason,
    ) {
        let Some(oldest) = candidates.first() else {
            return;
        };
        let (version, turn) = match step {
            SwitchStep::Prepare(version, at) => (version, Some(at)),
            SwitchStep::Load(version) => (version, None),
            SwitchStep::Wait => (oldest.version, None),
        };
        let bound = oldest.declared_at + plan.bound;
        let left = bound.as_secs_f64() - now.as_secs_f64();
        metrics::gauge!("turmerichold_switch_time_left_seconds").set(left);
        metrics::gauge!("turmerichold_pieces_held_ratio").set(oldest.fraction);
        if !self.record_planned(Some((reason, version))) {
            return;
        }
        let fields = json!({
            "version": version,
            "reason": reason.name(),
            "position": plan.position,
            "turn_in_ms": turn.map(|at| millis(at.saturating_sub(now))),
            "left_s": left,
            "pieces": candidates.iter().map(|c| (c.version, c.fraction)).collect::<Vec<_>>(),
        });
        decision("loader", "switch planned", Outcome::Change, fields);
    }

    fn candidate(&self, target: &TargetVersion) -> VersionCandidate {
        let held = self.local.cache.held(&target.model, target.version).len();
        VersionCandidate {
            version: target.version,
            declared_at: target.declared_at,
            fraction: f64::from(held) / f64::from(target.pieces.count.max(1)),
            complete_since: self.local.cache.complete_since(
                &target.model,
                target.version,
                target.pieces.count,
            ),
        }
    }

    /// Position of the engine in the order of switches, 0 to 1. Agents with
    /// consecutive addresses share a failure domain, so their positions are spread
    /// widely.
    fn position(&self, target: &TargetVersion) -> f64 {
        let own = self.settings.node.ip;
        let mut holders = self.peers.holders(target);
        holders.retain(|h| !h.is_entry);
        let before = holders.iter().filter(|h| h.addr.ip() < own).count();
        let before = u32::try_from(before).unwrap_or(0);
        (f64::from(before) * POSITION_STEP).fract()
    }

    /// Makes the pieces that the engine has loaded available to peers.
    async fn share_loaded(&self) {
        let held = self.report().and_then(|r| r.models.first().cloned());
        let Some(held) = held else { return };
        if self.local.is_staged(&held.model, held.version) {
            return;
        }
        let service = &self.settings.service;
        let target = self.feed.view(|v| {
            let source = v.source(service)?;
            let (model, version) = (held.model.clone(), held.version);
            Some(TargetVersion::new(source, model, version, Moment::ZERO))
        });
        let Some(target) = target else { return };
        if let Some(digests) = self.peers.agreed_digests(&target).await {
            self.local
                .cache
                .trust_digests(&target.model, target.version, digests);
            self.local.mark_staged(&target.model, target.version);
        }
    }

    /// Stages a version if necessary, verifies it and loads it into the engine.
    async fn switch(&self, target: &TargetVersion) -> anyhow::Result<()> {
        if !self.local.is_staged(&target.model, target.version) {
            self.local.stage(&target.model, target.version).await?;
        }
        let verified_at = self.verify_staged(target).await?;
        ensure!(
            now() < verified_at + MAX_CHECK_AGE,
            "the verification took too long; the pieces will be verified again"
        );
        self.set_switching(true).await;
        Timer::after(CLOSE_DELAY).await;
        let result = self.order(target, verified_at).await;
        self.set_switching(false).await;
        result
    }

    /// Verifies all staged pieces of a version and returns the moment of the oldest
    /// check. Wrong pieces are an error, and the version is staged again in the next
    /// step.
    async fn verify_staged(&self, target: &TargetVersion) -> anyhow::Result<Moment> {
        let verified_at = now();
        let mut wrong = 0;
        for number in 0..target.pieces.count {
            let read = self
                .local
                .read_verified(&target.model, target.version, number);
            wrong += u32::from(read.await.is_none());
        }
        if wrong > 0 {
            let fields = json!({ "pieces": wrong, "version": target.version });
            decision("loader", "staged pieces spoilt", Outcome::Failure, fields);
            self.local.clear_staged();
            anyhow::bail!(
                "{wrong} staged pieces have a wrong digest; the version will be staged again"
            );
        }
        Ok(verified_at)
    }

    /// Returns once an order that was sent to an engine with status `before` can no longer
    /// be accepted, or has been. Until then its pieces are kept good: the engine loads
    /// them as they are when it accepts the order.
    async fn guard_order(&self, target: &TargetVersion, before: &EngineStatus) {
        let mut checked_at = now();
        loop {
            Timer::after(LOAD_POLL_INTERVAL).await;
            self.read_report().await;
            let is_open = |r: EngineStatus| {
                r.started_ms == before.started_ms && r.sequence <= before.sequence
            };
            if !self.report().is_none_or(is_open) {
                return;
            }
            if now() >= checked_at + REPAIR_INTERVAL {
                checked_at = now();
                let repaired = self.local.repair(&target.model, target.version).await;
                if let Err(e) = repaired {
                    log::warn!("loader: version {} not repaired: {e}", target.version);
                }
            }
        }
    }

    /// Orders the engine to load a version whose pieces were verified at `verified_at`
    /// or later, and waits until it reports the version.
    async fn order(&self, target: &TargetVersion, verified_at: Moment) -> anyhow::Result<()> {
        let engines = self.platform.engines();
        let mut session = engines.connect(self.settings.engine).await?;
        let report = session.status().clone();
        self.record_report(Ok(report.clone()));
        // The report may show a restart, in which verified pieces were lost.
        ensure!(
            self.local.is_staged(&target.model, target.version),
            "the engine restarted; the version will be staged again"
        );
        self.local
            .ensure_undisturbed(&target.model, target.version)?;
        let fields = json!({
            "model": target.model, "version": target.version, "sequence": report.sequence,
            "born": report.started_ms,
            "verified_ms_ago": millis(now().saturating_sub(verified_at)),
        });
        decision("loader", "order", Outcome::Change, fields);
        let called_at = now();
        let id = self.engine_id(report.started_ms);
        let ordered = session.load(LoadOrder {
            id: id.as_deref(),
            model: &target.model,
            version: target.version,
            sequence: report.sequence,
            send_by: verified_at + MAX_CHECK_AGE,
        });
        let call = DoubtfulCall::Order(Box::new(target.clone()));
        let call = self.local.doubts.begin(call, &report);
        let settled = async {
            self.guard_order(target, &report).await;
            Ok(())
        };
        let ordered = ordered.or(settled).await;
        match &ordered {
            Err(EngineError::NoResponse { .. }) => drop(call),
            _ => call.settle(),
        }
        if let Err(e @ EngineError::NotSent { .. }) = ordered {
            return Err(e.into());
        }
        if let Err(e) = ordered {
            // The engine may have accepted the order nevertheless, which its report shows.
            log::warn!(
                "loader: order to load version {} failed after {} ms: {e}",
                target.version,
                millis(now().saturating_sub(called_at))
            );
        }
        let ordered_at = now();
        loop {
            self.read_report().await;
            let elapsed = now().saturating_sub(ordered_at);
            if self.held(&target.model) >= Some(target.version) {
                let took = elapsed.as_secs_f64();
                let fields = json!({ "version": target.version, "took_s": took });
                decision("loader", "loaded", Outcome::Change, fields);
                self.local.cache.drop_pieces(&target.model, target.version);
                return Ok(());
            }
            let busy = self.report().is_some_and(|r| r.busy);
            ensure!(
                busy || elapsed < ACCEPT_TIMEOUT,
                "the engine did not accept the order"
            );
            ensure!(
                elapsed < LOAD_TIMEOUT,
                "the engine does not report the version"
            );
            Timer::after(LOAD_POLL_INTERVAL).await;
        }
    }
}
