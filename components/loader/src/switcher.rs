use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, ensure};
use dispatch::{Candidate, SwitchPlan, SwitchStep};
use domain::{EngineApi, Moment, Platform, WeightVersion, now};
use pieces::{Gatherer, Goal};
use serde_json::json;
use smol::{Task, Timer};
use telemetry::{Outcome, decision};
use transport::{spawn, within};

use crate::agent::Agent;

/// Pause between two looks at what is to be done.
const STEP_PAUSE: Duration = Duration::from_millis(100);
/// Time in which entries learn that the engine is about to switch.
const CLOSE_LAG: Duration = Duration::from_millis(60);
/// Longest time that an order may take to show in the engine's report.
const ORDER_LIMIT: Duration = Duration::from_secs(10);
/// Time after which an order that does not show has had no effect.
const NO_EFFECT: Duration = Duration::from_millis(600);
/// Pause between two looks at an engine that is loading.
const LOAD_PAUSE: Duration = Duration::from_millis(30);
/// Versions that are brought at the same time.
const VERSIONS: usize = 2;
/// Irrational step that spreads neighbours over the turns (the golden ratio).
const TURN_STEP: f64 = 0.618_033_988_75;

impl<P: Platform> Agent<P> {
    /// Brings declared versions to the engine.
    pub async fn bring(self: Arc<Self>) {
        let mut gathering: HashMap<WeightVersion, Task<()>> = HashMap::new();
        loop {
            let changed = self.feed.listen();
            let goals = self.goals();
            self.gather(&goals, &mut gathering);
            if let Err(e) = self.step(&goals).await {
                let fields = json!({ "error": format!("{e:#}") });
                decision("loader", "not loaded", Outcome::Failure, fields);
            }
            within(STEP_PAUSE, changed).await;
        }
    }

    /// The newest declared versions that the engine does not hold, in order.
    fn goals(&self) -> Vec<Goal> {
        let service = &self.place.service;
        let mut goals = self.feed.view(|v| Goal::newest(v, service, VERSIONS));
        if let Some(goal) = goals.first() {
            let held = self.held(&goal.model).unwrap_or(0);
            goals.retain(|g| g.version > held);
        }
        goals
    }

    /// Begins and ends the fetching of versions.
    fn gather(self: &Arc<Self>, goals: &[Goal], gathering: &mut HashMap<WeightVersion, Task<()>>) {
        // An engine that does not answer can take nothing.
        if self.report().is_none() {
            gathering.clear();
            return;
        }
        let wanted = |v: WeightVersion| goals.iter().any(|g| g.version == v);
        gathering.retain(|v, _| wanted(*v));
        self.shelf.depot.retain(wanted);
        for goal in goals {
            gathering.entry(goal.version).or_insert_with(|| {
                let gatherer = Gatherer::new(self.neighbours.clone(), goal.clone());
                let (shelf, goal) = (self.shelf.clone(), goal.clone());
                let restore = async move { shelf.restore(&goal.model, goal.version).await };
                spawn(gatherer.run(restore))
            });
        }
    }

    async fn step(&self, goals: &[Goal]) -> anyhow::Result<()> {
        let Some(report) = self.report() else {
            return Ok(());
        };
        let Some(first) = goals.first() else {
            self.adopt().await;
            return Ok(());
        };
        if report.busy {
            return Ok(());
        }
        let candidates: Vec<Candidate> = goals.iter().map(|g| self.candidate(g)).collect();
        let plan = SwitchPlan {
            bound: self.place.node.bounds.weight_rollout,
            turn: self.turn(first),
        };
        let goal = |v| goals.iter().find(|g| g.version == v);
        let step = plan.next(now(), self.held(&first.model), &candidates);
        self.set_closes(match step {
            SwitchStep::Prepare(_, turn) => Some(turn),
            SwitchStep::Load(_) | SwitchStep::Wait => None,
        });
        match step {
            SwitchStep::Wait => Ok(()),
            SwitchStep::Prepare(version, _) => match goal(version) {
                Some(goal) if !self.shelf.is_staged(&goal.model, version) => {
                    self.shelf.stage(&goal.model, version).await?;
                    Ok(())
                }
                _ => Ok(()),
            },
            SwitchStep::Load(version) => match goal(version) {
                Some(goal) => self.switch(goal).await,
                None => Ok(()),
            },
        }
    }

    fn candidate(&self, goal: &Goal) -> Candidate {
        let held = self.shelf.depot.held(&goal.model, goal.version).len();
        Candidate {
            version: goal.version,
            since: goal.since,
            share: f64::from(held) / f64::from(goal.pieces.count.max(1)),
            ready: self
                .shelf
                .depot
                .complete_since(&goal.model, goal.version, goal.pieces.count),
        }
    }

    /// Place of the engine in the order of turns, 0 to 1. Neighbours in the
    /// order of addresses share a failure domain and are spread widely.
    fn turn(&self, goal: &Goal) -> f64 {
        let own = self.place.node.ip;
        let mut holders = self.neighbours.holders(goal);
        holders.retain(|h| !h.wide);
        let before = holders.iter().filter(|h| h.addr.ip() < own).count();
        let before = u32::try_from(before).unwrap_or(0);
        (f64::from(before) * TURN_STEP).fract()
    }

    /// Makes the pieces that the engine serves available to other agents.
    async fn adopt(&self) {
        let held = self.report().and_then(|r| r.models.first().cloned());
        let Some(held) = held else { return };
        if self.shelf.is_staged(&held.model, held.version) {
            return;
        }
        let service = &self.place.service;
        let goal = self.feed.view(|v| {
            let supply = v.supply(service)?;
            let (model, version) = (held.model.clone(), held.version);
            Some(Goal::new(supply, model, version, Moment::ZERO))
        });
        let Some(goal) = goal else { return };
        if let Some(digests) = self.neighbours.agreed_digests(&goal).await {
            self.shelf.depot.trust(&goal.model, goal.version, digests);
            self.shelf.note_staged(&goal.model, goal.version);
        }
    }

    /// Verifies everything that is staged and orders the engine to load it.
    async fn switch(&self, goal: &Goal) -> anyhow::Result<()> {
        if !self.shelf.is_staged(&goal.model, goal.version) {
            self.shelf.stage(&goal.model, goal.version).await?;
        }
        self.repair(goal).await?;
        self.set_switching(true).await;
        Timer::after(CLOSE_LAG).await;
        let result = self.order(goal).await;
        self.set_switching(false).await;
        result
    }

    /// Stages again what has turned bad.
    async fn repair(&self, goal: &Goal) -> anyhow::Result<()> {
        let mut wrong = 0;
        for number in 0..goal.pieces.count {
            let read = self.shelf.verified(&goal.model, goal.version, number);
            wrong += u32::from(read.await.is_none());
        }
        if wrong > 0 {
            let fields = json!({ "pieces": wrong, "version": goal.version });
            decision("loader", "staged pieces spoilt", Outcome::Failure, fields);
            self.shelf.forget_staged();
            anyhow::bail!("{wrong} staged pieces were spoilt; they are staged again");
        }
        Ok(())
    }

    async fn order(&self, goal: &Goal) -> anyhow::Result<()> {
        self.look().await;
        let report = self.report().context("the engine does not answer")?;
        let fields = json!({
            "model": goal.model, "version": goal.version, "sequence": report.sequence,
        });
        decision("loader", "order", Outcome::Change, fields);
        let engines = self.platform.engines();
        let (engine, sequence) = (self.place.engine, report.sequence);
        let ordered = engines.load(engine, &goal.model, goal.version, sequence);
        if let Err(e) = ordered.await {
            // It may have begun nevertheless; the engine's report decides.
            log::warn!("loader: order: {e}");
        }
        let begun = now();
        loop {
            self.look().await;
            let elapsed = now().saturating_sub(begun);
            if self.held(&goal.model) >= Some(goal.version) {
                let took = elapsed.as_secs_f64();
                let fields = json!({ "version": goal.version, "took_s": took });
                decision("loader", "loaded", Outcome::Change, fields);
                self.shelf.depot.drop_pieces(&goal.model, goal.version);
                return Ok(());
            }
            let busy = self.report().is_some_and(|r| r.busy);
            ensure!(busy || elapsed < NO_EFFECT, "the order had no effect");
            ensure!(
                elapsed < ORDER_LIMIT,
                "the engine does not report the version"
            );
            Timer::after(LOAD_PAUSE).await;
        }
    }
}
