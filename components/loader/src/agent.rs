use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use domain::{AgentSettings, EngineApi, EngineStatus, Moment, Platform, WeightVersion, now};
use feed::{EngineNotice, Feed, Notice, NoticeSocket};
use pieces::Neighbours;
use serde_json::json;
use smol::Timer;
use telemetry::{Outcome, decision};

use crate::shelf::Shelf;

/// Pause between two looks at the engine, which cost nothing from its own VM.
const LOOK_PAUSE: Duration = Duration::from_millis(150);
/// Pause between two notices to entries while nothing changes.
const NOTICE_PAUSE: Duration = Duration::from_millis(900);
/// Pause between two notices to entries while a switch is announced.
const CLOSING_PAUSE: Duration = Duration::from_millis(300);

/// What one process knows of its engine and of other agents.
pub struct Agent<P: Platform> {
    pub(crate) platform: P,
    pub(crate) place: AgentSettings,
    pub(crate) feed: Arc<Feed<P>>,
    pub(crate) shelf: Arc<Shelf<P::Engines>>,
    pub(crate) neighbours: Arc<Neighbours<P>>,
    post: Arc<NoticeSocket>,
    status: Mutex<Status>,
}

#[derive(Debug, Default)]
struct Status {
    report: Option<EngineStatus>,
    switching: bool,
    closes: Option<Moment>,
    told: Option<(EngineNotice, Moment)>,
}

impl<P: Platform> Agent<P> {
    /// An agent at `place`.
    pub fn new(
        platform: P,
        place: AgentSettings,
        feed: Arc<Feed<P>>,
        shelf: Arc<Shelf<P::Engines>>,
        post: Arc<NoticeSocket>,
    ) -> Self {
        let depot = shelf.depot.clone();
        let node = place.node.clone();
        let neighbours = Neighbours::new(
            platform.clone(),
            node,
            false,
            feed.clone(),
            depot,
            post.clone(),
        );
        Agent {
            platform,
            place,
            feed,
            shelf,
            neighbours: Arc::new(neighbours),
            post,
            status: Mutex::default(),
        }
    }

    /// Looks at the engine again and again and tells the entries.
    pub async fn watch(self: Arc<Self>) {
        loop {
            self.look().await;
            self.tell().await;
            self.feed.expire_upstreams();
            Timer::after(LOOK_PAUSE).await;
        }
    }

    /// Reads the engine's report.
    pub async fn look(&self) {
        let report = self.platform.engines().status(self.place.engine).await;
        let mut status = self.status();
        match report {
            Ok(report) => {
                let born = status.report.as_ref().map(|r| r.started_ms);
                if born.is_some_and(|b| b != report.started_ms) {
                    // What was staged may be gone with the former start.
                    self.shelf.forget_staged();
                    let fields = json!({ "born": report.started_ms });
                    decision("loader", "engine restarted", Outcome::Change, fields);
                }
                status.report = Some(report);
            }
            Err(e) => {
                if status.report.take().is_some() {
                    let fields = json!({ "error": e.to_string() });
                    decision("loader", "engine lost", Outcome::Change, fields);
                }
            }
        }
    }

    /// What the engine last said of itself; none while it does not answer.
    pub fn report(&self) -> Option<EngineStatus> {
        self.status().report.clone()
    }

    /// Version of a model that the engine holds.
    pub fn held(&self, model: &str) -> Option<WeightVersion> {
        let status = self.status();
        let models = status.report.iter().flat_map(|r| r.models.iter());
        let versions = models.filter(|h| h.model == model).map(|h| h.version);
        versions.max()
    }

    /// Marks the engine as closed for an order, or open again, and tells it.
    pub async fn set_switching(&self, switching: bool) {
        self.status().switching = switching;
        self.tell().await;
    }

    /// Announces when the engine is closed for an order.
    pub fn set_closes(&self, closes: Option<Moment>) {
        self.status().closes = closes;
    }

    /// Tells the entries what the engine holds and whether it takes work.
    async fn tell(&self) {
        let Some(notice) = self.due_notice() else {
            return;
        };
        let to: Vec<SocketAddr> = self.feed.members().iter().map(|m| m.addr).collect();
        self.post.send(&Notice::Engine(notice), &to).await;
    }

    fn due_notice(&self) -> Option<EngineNotice> {
        let mut status = self.status();
        let report = status.report.as_ref()?;
        let held = report.models.iter();
        let notice = EngineNotice {
            engine: self.place.engine,
            started_ms: report.started_ms,
            switching: status.switching || report.busy,
            switch_in_ms: None,
            held: held.map(|h| (h.model.clone(), h.version)).collect(),
        };
        let now = now();
        let told = status.told.as_ref();
        let pause = match status.closes {
            Some(_) => CLOSING_PAUSE,
            None => NOTICE_PAUSE,
        };
        if told.is_some_and(|(n, at)| *n == notice && now < *at + pause) {
            return None;
        }
        status.told = Some((notice.clone(), now));
        let left = status.closes.map(|c| c.saturating_sub(now).as_millis());
        Some(EngineNotice {
            switch_in_ms: left.map(|l| u32::try_from(l).unwrap_or(u32::MAX)),
            ..notice
        })
    }

    /// Hears what other processes hold.
    pub async fn hear(self: Arc<Self>) {
        loop {
            if let Notice::Pieces(notice) = self.post.receive().await {
                self.neighbours.hear(notice);
            }
        }
    }

    fn status(&self) -> MutexGuard<'_, Status> {
        self.status.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
