use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dispatch::{StartId, SwitchReason, upstream_start, upstream_tag};
use domain::{
    AgentSettings, EngineApi, EngineError, EngineStatus, Moment, Pace, Platform, Upstream,
    UpstreamId, WeightVersion, now,
};
use feed::{EngineNotice, Feed, Notice, NoticeSocket};
use pieces::Peers;
use serde_json::json;
use smol::Timer;
use telemetry::{Outcome, decision};

use crate::local_pieces::LocalPieces;

/// Interval between reads of the engine's report, which are cheap on its own VM.
const POLL_INTERVAL: Duration = Duration::from_millis(150);
/// Interval between notices to entries while nothing changes.
const NOTICE_INTERVAL: Duration = Duration::from_millis(900);
/// The same while a switch to another version is announced.
const CLOSING_NOTICE_INTERVAL: Duration = Duration::from_millis(300);

/// Change of the engine's pace, in percent of the usual time, of which the entries are told
/// at once. Less changes their expected times by less than their margin.
const PACE_CHANGE: u16 = 25;

/// Watches the engine, informs the entries about it, and loads declared versions.
pub struct Agent<P: Platform> {
    pub(crate) platform: P,
    pub(crate) settings: AgentSettings,
    pub(crate) feed: Arc<Feed<P>>,
    pub(crate) local: Arc<LocalPieces<P::Engines>>,
    pub(crate) peers: Arc<Peers<P>>,
    notice_socket: Arc<NoticeSocket>,
    status: Mutex<Status>,
}

#[derive(Debug, Default)]
struct Status {
    /// The engine's last report; none while it does not respond.
    report: Option<EngineStatus>,
    /// Start of the engine in its last report, also while it does not respond.
    started_ms: Option<u64>,
    /// Id of the start of the engine that was last recorded in the store.
    recorded: Option<(u64, UpstreamId)>,
    /// Start of the engine that has announced its end, if one has.
    leaving: Option<u64>,
    /// When the entries were last told of it.
    leaving_sent: Option<Moment>,
    /// The engine is closed for a switch.
    switching: bool,
    /// When the engine will be closed for a switch.
    closes_at: Option<Moment>,
    /// The last step of the plan for switches that was logged.
    planned: Option<(SwitchReason, WeightVersion)>,
    /// The last notice, without its countdown, and when it was sent.
    last_notice: Option<(EngineNotice, Moment)>,
}

impl Status {
    /// Records that the engine with this start has announced its end.
    fn record_leaving(&mut self, started_ms: u64) {
        if self.leaving.replace(started_ms) != Some(started_ms) {
            self.leaving_sent = None;
            let fields = json!({ "born": started_ms });
            decision("loader", "engine leaving", Outcome::Change, fields);
        }
    }
}

impl<P: Platform> Agent<P> {
    /// An agent with `settings`.
    pub fn new(
        platform: P,
        settings: AgentSettings,
        feed: Arc<Feed<P>>,
        local: Arc<LocalPieces<P::Engines>>,
        notice_socket: Arc<NoticeSocket>,
    ) -> Self {
        let cache = local.cache.clone();
        let node = settings.node.clone();
        let peers = Peers::new(
            platform.clone(),
            node,
            false,
            feed.clone(),
            cache,
            notice_socket.clone(),
        );
        Agent {
            platform,
            settings,
            feed,
            local,
            peers: Arc::new(peers),
            notice_socket,
            status: Mutex::default(),
        }
    }

    /// Polls the engine's report and notifies the entries.
    pub async fn watch(self: Arc<Self>) {
        loop {
            self.read_report().await;
            self.notify_entries().await;
            self.feed.expire_upstreams();
            Timer::after(POLL_INTERVAL).await;
        }
    }

    /// Reads the engine's report.
    pub async fn read_report(&self) {
        let report = self.platform.engines().status(self.settings.engine).await;
        self.record_report(report);
    }

    /// Records the engine's report, or that it did not respond.
    pub(crate) fn record_report(&self, report: Result<EngineStatus, EngineError>) {
        let started_ms = report.as_ref().ok().map(|r| r.started_ms);
        let id = started_ms.and_then(|s| self.engine_id(s).map(|id| (s, id)));
        let mut status = self.status();
        status.recorded = id.or(status.recorded.take());
        match report {
            Ok(report) => {
                if report.leaving {
                    status.record_leaving(report.started_ms);
                }
                self.local.doubts.settle(&report);
                let previous_start = status.started_ms.replace(report.started_ms);
                if previous_start.is_some_and(|p| p != report.started_ms) {
                    // Pieces may have been lost in the restart.
                    self.local.clear_staged();
                    let fields = json!({ "born": report.started_ms });
                    decision("loader", "engine restarted", Outcome::Change, fields);
                }
                status.report = Some(report);
            }
            Err(e) => {
                if let (EngineError::Refused { leaving: true, .. }, Some(started_ms)) =
                    (&e, status.started_ms)
                {
                    status.record_leaving(started_ms);
                }
                if status.report.take().is_some() {
                    let fields = json!({ "error": e.to_string() });
                    decision("loader", "engine lost", Outcome::Change, fields);
                }
            }
        }
    }

    /// The engine's last report; none while it does not respond.
    pub fn report(&self) -> Option<EngineStatus> {
        self.status().report.clone()
    }

    /// Id under which this start of the engine is recorded in the store; none while it
    /// is not.
    pub(crate) fn engine_id(&self, started_ms: u64) -> Option<UpstreamId> {
        let is_engine =
            |u: &&Upstream| u.addr == self.settings.engine && u.started_ms == started_ms;
        self.feed
            .view(|v| v.upstreams().find(is_engine).map(|u| u.id.clone()))
    }

    /// Newest version of a model that the engine holds.
    pub fn held(&self, model: &str) -> Option<WeightVersion> {
        let status = self.status();
        let models = status.report.iter().flat_map(|r| r.models.iter());
        let versions = models.filter(|h| h.model == model).map(|h| h.version);
        versions.max()
    }

    /// Marks the engine as closed for a switch or as open, and notifies the entries.
    pub async fn set_switching(&self, switching: bool) {
        self.status().switching = switching;
        metrics::gauge!("turmerichold_engine_switching").set(f64::from(u8::from(switching)));
        self.notify_entries().await;
    }

    /// Sets when the engine will be closed for a switch.
    pub fn set_closes_at(&self, closes_at: Option<Moment>) {
        self.status().closes_at = closes_at;
    }

    /// Records the step of the plan for a version, or that there is none; returns whether it is
    /// another one than the last.
    pub(crate) fn record_planned(&self, planned: Option<(SwitchReason, WeightVersion)>) -> bool {
        let mut status = self.status();
        std::mem::replace(&mut status.planned, planned) != planned
    }

    /// When the engine will be closed for a switch.
    pub(crate) fn closes_at(&self) -> Option<Moment> {
        self.status().closes_at
    }

    /// Sends the entries a notice of what the engine holds and whether it accepts
    /// requests, if one is due.
    async fn notify_entries(&self) {
        let leaving = self.due_leaving().map(|start| Notice::Leaving(vec![start]));
        let notices = leaving
            .into_iter()
            .chain(self.due_notice().map(Notice::Engine));
        let to = || -> Vec<SocketAddr> { self.feed.members().iter().map(|m| m.addr).collect() };
        for notice in notices {
            self.notice_socket.send(&notice, &to()).await;
        }
    }

    /// The start of the engine, if it has announced its end and the entries have to be
    /// told now.
    fn due_leaving(&self) -> Option<StartId> {
        let mut status = self.status();
        let leaving = status.leaving?;
        let (_, id) = status.recorded.as_ref().filter(|(s, _)| *s == leaving)?;
        let start = upstream_start(upstream_tag(id), leaving);
        let now = now();
        if status
            .leaving_sent
            .is_some_and(|at| now < at + NOTICE_INTERVAL)
        {
            return None;
        }
        status.leaving_sent = Some(now);
        Some(start)
    }

    fn due_notice(&self) -> Option<EngineNotice> {
        let mut status = self.status();
        let report = status.report.as_ref()?;
        let held = report.models.iter();
        let notice = EngineNotice {
            engine: self.settings.engine,
            started_ms: report.started_ms,
            switching: status.switching || report.busy,
            switch_in_ms: None,
            held: held.map(|h| (h.model.clone(), h.version)).collect(),
            pace: report.pace.map(Pace::percent),
        };
        let now = now();
        let interval = match status.closes_at {
            Some(_) => CLOSING_NOTICE_INTERVAL,
            None => NOTICE_INTERVAL,
        };
        let last = status.last_notice.as_ref();
        if last.is_some_and(|(n, at)| is_known(n, &notice) && now < *at + interval) {
            return None;
        }
        status.last_notice = Some((notice.clone(), now));
        let remaining = status
            .closes_at
            .map(|at| at.saturating_sub(now).as_millis());
        Some(EngineNotice {
            switch_in_ms: remaining.map(|r| u32::try_from(r).unwrap_or(u32::MAX)),
            ..notice
        })
    }

    /// Receives notices of the pieces that peers hold.
    pub async fn receive_notices(self: Arc<Self>) {
        loop {
            if let Notice::Pieces(notice) = self.notice_socket.receive().await {
                self.peers.record_notice(notice);
            }
        }
    }

    fn status(&self) -> MutexGuard<'_, Status> {
        self.status.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether the entries know from the notice `last` what `notice` says, except for small
/// changes of the pace.
fn is_known(last: &EngineNotice, notice: &EngineNotice) -> bool {
    let usual = Pace::USUAL.percent();
    let paces = [last, notice].map(|n| n.pace.unwrap_or(usual));
    let same_pace = paces[0].abs_diff(paces[1]) < PACE_CHANGE;
    let without_pace = EngineNotice {
        pace: last.pace,
        ..notice.clone()
    };
    same_pace && *last == without_pace
}
