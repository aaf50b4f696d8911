use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use dispatch::FleetView;
use domain::{Moment, Platform, millis, now};
use http::Method;
use transport::{fetch, within};

use crate::Feed;
use crate::peers::{PEER_FRESH, PEER_LIMIT};
use crate::targets_messages::{GOALS_PATH, TargetsRequest, TargetsResponse};

/// Longest time for which an entry holds a question: an agent whose entry is
/// frozen loses this much of the time in which a version has to be in force.
const GOALS_WAIT: Duration = Duration::from_secs(2);
/// Longest answer, in bytes.
const GOALS_LIMIT: usize = 64 << 10;

/// How agents learn of declared versions: from an entry that holds their
/// question until it has news. Answers the configuration with many routes, of
/// which agents need next to nothing: read by each of them it fills the lines
/// between regions for seconds.
impl<P: Platform> Feed<P> {
    /// Asks near entries; false when none has a current answer.
    pub(crate) async fn ask_goals(&self) -> bool {
        let mut entries = self.near_entries();
        entries.truncate(2);
        let mut wait = GOALS_WAIT;
        for addr in entries {
            match self.goals_of(addr, wait).await {
                Ok(true) => return true,
                Ok(false) => {}
                Err(e) => log::info!("feed: entry {addr} told no versions: {e:#}"),
            }
            // The next one is asked for what was missed meanwhile.
            wait = Duration::ZERO;
        }
        false
    }

    /// Entries of the own region in random order, then the others.
    pub(crate) fn near_entries(&self) -> Vec<SocketAddr> {
        let members = self.members();
        let near = |addr: &SocketAddr| {
            let member = members.iter().find(|m| m.addr == *addr);
            member.is_some_and(|m| m.region == self.node.region)
        };
        let mut entries = self.peers();
        fastrand::shuffle(&mut entries);
        entries.sort_by_cached_key(|addr| !near(addr));
        entries
    }

    async fn goals_of(&self, addr: SocketAddr, wait: Duration) -> anyhow::Result<bool> {
        let asked = now();
        let question = self.view(|v| TargetsRequest {
            newest: newest(v),
            supplies: v.supplies().to_vec(),
            plan: v.supplied(),
            wait: millis(wait),
        });
        let body = Bytes::from(rmp_serde::to_vec(&question)?);
        let limit = wait + PEER_LIMIT;
        let post = Method::POST;
        let answer = fetch(&self.pool, addr, post, GOALS_PATH, body, limit, GOALS_LIMIT).await?;
        anyhow::ensure!(answer.status == 200, "status {}", answer.status);
        let goals: TargetsResponse = rmp_serde::from_slice(&answer.body)?;
        let fresh = goals.age.map(Duration::from_millis);
        self.learn_goals(asked, goals);
        Ok(fresh.is_some_and(|age| age < PEER_FRESH))
    }

    fn learn_goals(&self, asked: Moment, goals: TargetsResponse) {
        // Ages count from when the entry answered, at the earliest.
        let answered = asked + Duration::from_millis(goals.held);
        let mut changes = Vec::new();
        let mut news = false;
        {
            let mut state = self.state();
            for (model, versions) in goals.declared {
                for (version, age) in versions {
                    let since = |age| answered.saturating_sub(Duration::from_millis(age));
                    let at = age.map_or(Duration::ZERO, since);
                    changes.extend(state.view.declare(model.clone(), version, at));
                    state.view.declared_elsewhere(&model, &[(version, at)]);
                }
            }
            if goals.plan > 0 {
                news = state.view.supplies_elsewhere(goals.plan, goals.supplies);
            }
        }
        self.tell(changes);
        if news {
            self.changed();
        }
    }

    /// Answers an agent once there is news for it, or its wait is over.
    pub(crate) async fn goals(&self, question: &TargetsRequest) -> TargetsResponse {
        let begun = now();
        let limit = Duration::from_millis(question.wait).min(GOALS_WAIT);
        loop {
            let changed = self.listen();
            let held = now().saturating_sub(begun);
            let news = self.view(|v| has_news(v, question));
            if news || held >= limit {
                return self.goals_now(held);
            }
            within(limit.saturating_sub(held), changed).await;
        }
    }

    fn goals_now(&self, held: Duration) -> TargetsResponse {
        let now = now();
        let (_, confirmed) = self.config_age();
        self.view(|v| {
            // Agents plan their switches by the same time as entries.
            let age = |at| millis(now.saturating_sub(v.counts_from(at)));
            let known = |at: Moment| (!at.is_zero()).then(|| age(at));
            let ages =
                |list: &[(u64, Moment)]| list.iter().map(|(v, at)| (*v, known(*at))).collect();
            let declared = v.all_declared();
            TargetsResponse {
                declared: declared.map(|(m, list)| (m.clone(), ages(list))).collect(),
                supplies: v.supplies().to_vec(),
                plan: v.supplied(),
                age: confirmed.map(millis),
                held: millis(held),
            }
        })
    }
}

fn newest(view: &FleetView) -> Vec<(domain::ModelId, u64)> {
    let declared = view.all_declared();
    let last = |(m, list): (&domain::ModelId, &[(u64, Moment)])| Some((m.clone(), list.last()?.0));
    declared.filter_map(last).collect()
}

fn has_news(view: &FleetView, question: &TargetsRequest) -> bool {
    let known = |model: &str| {
        let found = question.newest.iter().find(|(m, _)| m == model);
        found.map_or(0, |(_, v)| *v)
    };
    let newer = newest(view).iter().any(|(m, v)| *v > known(m));
    newer || (view.supplied() > question.plan && view.supplies() != question.supplies)
}
