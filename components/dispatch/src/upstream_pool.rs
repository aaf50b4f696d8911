use std::collections::HashMap;
use std::time::Duration;

use domain::{
    FailureDomainId, GateStatus, ModelId, Moment, RegionId, ServiceId, Upstream, UpstreamId,
    UpstreamState, WeightVersion,
};
use routing::AffinityTable;

use crate::{
    Acceptance, ConnectionBudget, LatencyModel, Ownership, PooledUpstream, PrefixGuess,
    PromptPrefix, ReservedRequest, UpstreamLoad, UpstreamOwners, WindowBudget,
};

/// Penalty of an upstream in another region, as a fraction of its slots. Links
/// between regions are narrow, so a near upstream may be this much busier.
const REMOTE_PENALTY: f64 = 0.45;
/// Penalty of an upstream in another failure domain of the region.
const DOMAIN_PENALTY: f64 = 0.05;
/// Penalty of an upstream that another entry owns.
const FOREIGN_PENALTY: f64 = 0.1;
/// Penalty for each second of expected time to first token.
const LATENCY_PENALTY: f64 = 4.0;
/// Largest penalty for the pace of an upstream. Without a bound, all entries would leave a
/// slow engine at the same moment and come back to it at the same moment.
const MAX_PACE_PENALTY: f64 = 0.3;
/// Prefill backlog, in tokens at the usual pace, up to which an upstream takes a request that is
/// already late.
const LATE_PREFILL: f64 = 1500.0;
/// Penalty of an upstream whose exchanges all fail.
const FAILURE_PENALTY: f64 = 2.0;
/// Penalty of an upstream that is still warming up after its start.
const COLD_PENALTY: f64 = 0.5;

/// Share of the shared tokens of a prompt, as a divisor, that a preferred upstream counts as
/// holding because of other entries. It is small, because some prompts are the first.
const PREFERRED_DIVISOR: u32 = 4;

/// Number of upstreams up to which a choice examines all of them.
const SMALL_FLEET: usize = 128;
/// Upstreams of the region that a choice samples in a larger fleet: the best of the sample
/// is close to the best of all, and entries with different samples do not all choose the
/// same.
const NEAR_SAMPLE: usize = 12;
/// Upstreams that it samples of all regions.
const FAR_SAMPLE: usize = 8;

/// What a request requires of an upstream.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Requirements {
    /// Regions that may serve it; empty for all.
    pub home_regions: Vec<RegionId>,
    /// Upstreams to which it was already sent.
    pub tried: Vec<UpstreamId>,
    /// Model that the upstream must hold.
    pub model: Option<ModelId>,
    /// Oldest acceptable weight version.
    pub min_weight_version: Option<WeightVersion>,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Parts of the prompt that an upstream may still hold.
    pub prefix: PromptPrefix,
    /// Expected number of output tokens, if the caller gives one.
    pub output_tokens: Option<u32>,
    /// Moment by which the first event is due; `None` if it can't be on time.
    pub due: Option<Moment>,
    /// Time to spare between the expected first event and that moment.
    pub margin: Duration,
    /// Request of a higher priority that must still be on time behind it.
    pub reserved: Option<ReservedRequest>,
}

impl Requirements {
    /// Raises the oldest acceptable version to the one that `in_force` returns for the
    /// model; returns whether it changed.
    pub fn raise_version(&mut self, in_force: impl Fn(&str) -> Option<WeightVersion>) -> bool {
        let required = self.model.as_deref().and_then(in_force);
        let raised = required > self.min_weight_version;
        if raised {
            self.min_weight_version = required;
        }
        raised
    }

    /// Whether the request excludes upstreams by region or by earlier attempts.
    pub fn is_restricted(&self) -> bool {
        !self.home_regions.is_empty() || !self.tried.is_empty()
    }
}

/// Outcome of a choice among the upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// Send the request to this upstream.
    Send(UpstreamId),
    /// Upstreams meet the requirements, but none can take the request now.
    Full,
    /// No upstream meets the requirements.
    NoMatch,
}

/// The upstreams of one service and their state at one entry.
#[derive(Debug)]
pub struct UpstreamPool {
    service: ServiceId,
    upstreams: Vec<PooledUpstream>,
    indices: HashMap<UpstreamId, usize>,
    /// Indices of the upstreams by their tag.
    tags: HashMap<u32, usize>,
    /// Indices of the upstreams in the region of the entry.
    near: Vec<usize>,
    domain: FailureDomainId,
    region: RegionId,
    cold_budget: Option<WindowBudget>,
    connections: Option<ConnectionBudget>,
    latency_model: LatencyModel,
    entries: u32,
    /// Oldest versions that upstreams of other regions may be sent requests for.
    far_versions: Vec<(ModelId, WeightVersion)>,
    /// Preferred upstreams of prompt prefixes, as of the last assignment of owners. Indices
    /// that have changed since only cost a saving.
    affinity: AffinityTable,
}

impl UpstreamPool {
    /// An empty pool; `domain` and `region` are those of the entry.
    pub fn new(service: ServiceId, domain: FailureDomainId, region: RegionId) -> Self {
        UpstreamPool {
            service,
            upstreams: Vec::new(),
            indices: HashMap::new(),
            tags: HashMap::new(),
            near: Vec::new(),
            domain,
            region,
            cold_budget: None,
            connections: None,
            latency_model: LatencyModel::new(None),
            entries: 1,
            far_versions: Vec::new(),
            affinity: AffinityTable::default(),
        }
    }

    /// The service.
    pub fn service(&self) -> &ServiceId {
        &self.service
    }

    /// Sets the budget for the requests of a second to each cold upstream; `None` if they
    /// are not limited.
    pub fn set_cold_budget(&mut self, budget: Option<WindowBudget>) {
        self.cold_budget = budget;
    }

    /// Sets the budget for the connections to each upstream.
    pub fn set_connection_budget(&mut self, budget: Option<ConnectionBudget>) {
        self.connections = budget;
    }

    /// Sets the number of entries that send to these upstreams, this one included.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Sets the load of the upstream with tag `tag` from the other entries, if it is listed.
    pub fn set_others(&mut self, tag: u32, load: UpstreamLoad) {
        let index = self.tags.get(&tag);
        if let Some(pooled) = index.and_then(|i| self.upstreams.get_mut(*i)) {
            pooled.others = load;
        }
    }

    /// Sets which upstreams are owned by `entry`, which is this one.
    pub fn set_owners(&mut self, owners: &UpstreamOwners, entry: &str) {
        for pooled in &mut self.upstreams {
            pooled.ownership = owners.ownership(entry, pooled.tag);
            pooled.turn = owners.turn(entry, pooled.tag, &pooled.region);
        }
        self.update_affinity();
    }

    /// Updates which upstreams prompt prefixes prefer; costs a millisecond at 1,100 upstreams.
    fn update_affinity(&mut self) {
        self.affinity = match self.latency_model.prompt_cache() {
            0 => AffinityTable::default(),
            _ => {
                let keys = self.upstreams.iter().map(|u| u64::from(u.tag));
                AffinityTable::new(&keys.collect::<Vec<_>>())
            }
        };
    }

    /// Sets the oldest version of a model that upstreams of other regions may be sent requests
    /// for. It comes into force earlier there, since requests and their cancellations take
    /// longer.
    pub fn set_far_version(&mut self, model: &str, version: Option<WeightVersion>) {
        let known = self.far_versions.iter().position(|(m, _)| m == model);
        match (known, version) {
            (Some(index), Some(version)) => self.far_versions[index].1 = version,
            (Some(index), None) => drop(self.far_versions.swap_remove(index)),
            (None, Some(version)) => self.far_versions.push((model.into(), version)),
            (None, None) => {}
        }
    }

    /// Oldest version of a model that an upstream may be sent a request for.
    fn required_version(
        &self,
        pooled: &PooledUpstream,
        model: &str,
        needs: &Requirements,
    ) -> Option<WeightVersion> {
        if pooled.region == self.region {
            return needs.min_weight_version;
        }
        let far = self.far_versions.iter().find(|(m, _)| m == model);
        needs
            .min_weight_version
            .max(far.map(|(_, version)| *version))
    }

    /// Sets the latency model of the service.
    pub fn set_latency_model(&mut self, latency_model: LatencyModel) {
        self.latency_model = latency_model;
    }

    /// The latency model of the service.
    pub fn latency_model(&self) -> &LatencyModel {
        &self.latency_model
    }

    /// Adds an upstream or updates its record. A new start under the same id
    /// resets its load and failures.
    pub fn upsert(&mut self, now: Moment, upstream: &Upstream, region: &str, tag: u32) {
        match self.indices.get(&upstream.id) {
            Some(index) if self.upstreams[*index].upstream.started_ms == upstream.started_ms => {
                self.upstreams[*index].update(now, upstream.clone());
            }
            Some(index) => {
                self.upstreams[*index] = PooledUpstream::new(now, upstream.clone(), region, tag)
            }
            None => {
                let index = self.upstreams.len();
                self.indices.insert(upstream.id.clone(), index);
                self.tags.insert(tag, index);
                if *region == self.region {
                    self.near.push(index);
                }
                self.upstreams
                    .push(PooledUpstream::new(now, upstream.clone(), region, tag));
            }
        }
    }

    /// Removes an upstream.
    pub fn remove(&mut self, id: &str) {
        let Some(index) = self.indices.remove(id) else {
            return;
        };
        let removed = self.upstreams.swap_remove(index);
        self.tags.remove(&removed.tag);
        if let Some(moved) = self.upstreams.get(index) {
            self.indices.insert(moved.upstream.id.clone(), index);
            self.tags.insert(moved.tag, index);
        }
        let upstreams = self.upstreams.iter().enumerate();
        let near = upstreams.filter(|(_, u)| u.region == self.region);
        self.near = near.map(|(index, _)| index).collect();
    }

    /// An upstream by its id.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut PooledUpstream> {
        let index = self.indices.get(id)?;
        self.upstreams.get_mut(*index)
    }

    /// All upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &PooledUpstream> {
        self.upstreams.iter()
    }

    /// All upstreams, mutable.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut PooledUpstream> {
        self.upstreams.iter_mut()
    }

    /// Chooses the upstream with the lowest score among those that can take the
    /// request; load, distance and failures add to the score. Of a large fleet, it examines
    /// a sample, mostly of the entry's region, and all if none of the sample can take the
    /// request. `evacuated` returns whether a failure domain is out of service.
    pub fn choose(
        &self,
        now: Moment,
        needs: &Requirements,
        evacuated: impl Fn(&str) -> bool,
    ) -> Choice {
        if self.upstreams.len() > SMALL_FLEET {
            let preferred = self.preferred(&needs.prefix).into_iter().flatten();
            let sample = self.sample().chain(preferred);
            let choice = self.best(now, needs, &evacuated, sample);
            if let Choice::Send(_) = choice {
                return choice;
            }
        }
        self.best(now, needs, &evacuated, self.upstreams.iter())
    }

    /// Records that a request is sent to the upstream `id`, as [`choose`](Self::choose)
    /// advised. Returns what is assumed about its prompt, if the upstreams retain prompts.
    pub fn record_send(
        &mut self,
        now: Moment,
        id: &str,
        needs: &Requirements,
    ) -> Option<PrefixGuess> {
        let guess = self.guess(now, id, needs);
        let prefill = guess.as_ref().map(PrefixGuess::prefill_tokens);
        let pooled = self.get_mut(id)?;
        pooled.record_send(now, prefill.unwrap_or(needs.prompt_tokens));
        guess
    }

    /// Records that the first event of a request arrived `waited` after it was sent to the
    /// upstream `id`. Returns whether the guess was right, if that can be told.
    pub fn record_prompt(
        &mut self,
        id: &str,
        guess: &PrefixGuess,
        waited: Duration,
    ) -> Option<bool> {
        let entries = self.entries;
        let pooled = self.get_mut(id)?;
        let senders = match pooled.ownership {
            Ownership::Own => 1,
            Ownership::Shared | Ownership::Foreign => entries,
        };
        pooled.prefixes.record_prompt(guess, waited, senders)
    }

    fn guess(&self, now: Moment, id: &str, needs: &Requirements) -> Option<PrefixGuess> {
        let cache = self.latency_model.prompt_cache();
        if cache == 0 || needs.prefix.parts().is_empty() {
            return None;
        }
        let pooled = self.upstreams.get(*self.indices.get(id)?)?;
        let held = pooled.prefixes.held_tokens(&needs.prefix, cache);
        let held = held.min(needs.prompt_tokens);
        let backlog = pooled.load(now, self.entries).prefill_tokens;
        let first_token = |prompt| self.latency_model.first_token(backlog, prompt);
        let (full, rest) = (needs.prompt_tokens, needs.prompt_tokens - held);
        Some(PrefixGuess {
            prefix: needs.prefix.clone(),
            prompt_tokens: full,
            saved_tokens: pooled.prefixes.trusted(held),
            first_token: first_token(full),
            saving: first_token(full).saturating_sub(first_token(rest)),
        })
    }

    /// Prompt tokens that an upstream is expected not to prefill.
    fn saved_tokens(&self, pooled: &PooledUpstream, needs: &Requirements) -> u32 {
        let cache = self.latency_model.prompt_cache();
        if cache == 0 || needs.prefix.parts().is_empty() {
            return 0;
        }
        let mut held = pooled.prefixes.held_tokens(&needs.prefix, cache);
        if let Some((_, tokens)) = needs.prefix.shared()
            && held < tokens / PREFERRED_DIVISOR
            && self.prefers(&needs.prefix, pooled)
        {
            held = tokens / PREFERRED_DIVISOR;
        }
        pooled.prefixes.trusted(held.min(needs.prompt_tokens))
    }

    fn prefers(&self, prefix: &PromptPrefix, pooled: &PooledUpstream) -> bool {
        let mut preferred = self.preferred(prefix).into_iter().flatten();
        preferred.any(|p| p.tag == pooled.tag)
    }

    /// The upstreams that the shared parts of a prompt prefer.
    fn preferred(&self, prefix: &PromptPrefix) -> [Option<&PooledUpstream>; 2] {
        let Some((key, _)) = prefix.shared() else {
            return [None; 2];
        };
        let indices = self.affinity.preferred(key);
        indices.map(|index| self.upstreams.get(index))
    }

    /// Random upstreams, most of them in the region of the entry.
    fn sample(&self) -> impl Iterator<Item = &PooledUpstream> {
        let near = (0..NEAR_SAMPLE).filter_map(|_| fastrand::choice(&self.near).copied());
        let all = (0..FAR_SAMPLE).map(|_| fastrand::usize(..self.upstreams.len()));
        near.chain(all).filter_map(|i| self.upstreams.get(i))
    }

    /// When the upstreams that meet the requirements accept a request. `evacuated` returns
    /// whether a failure domain is out of service.
    pub fn acceptance(
        &self,
        now: Moment,
        needs: &Requirements,
        evacuated: impl Fn(&str) -> bool,
    ) -> Acceptance {
        let mut acceptance = Acceptance::NoMatch;
        for pooled in &self.upstreams {
            if evacuated(&pooled.upstream.failure_domain) || !self.meets_needs(pooled, needs) {
                continue;
            }
            acceptance = match (pooled.gate.status(now), acceptance) {
                (GateStatus::Open, _) => return Acceptance::Now,
                (GateStatus::ClosedUntil(at), Acceptance::From(first)) => {
                    Acceptance::From(at.min(first))
                }
                (GateStatus::ClosedUntil(at), _) => Acceptance::From(at),
                (GateStatus::Closed, Acceptance::NoMatch) => Acceptance::Never,
                (GateStatus::Closed, known) => known,
            };
        }
        acceptance
    }

    /// Whether any upstream may serve the request, now or once it has loaded other weights.
    pub fn may_serve(&self, needs: &Requirements, evacuated: impl Fn(&str) -> bool) -> bool {
        let may_serve = |pooled: &PooledUpstream| {
            !evacuated(&pooled.upstream.failure_domain) && is_candidate(pooled, needs)
        };
        self.upstreams.iter().any(may_serve)
    }

    fn best<'a>(
        &self,
        now: Moment,
        needs: &Requirements,
        evacuated: &impl Fn(&str) -> bool,
        upstreams: impl Iterator<Item = &'a PooledUpstream>,
    ) -> Choice {
        let mut best: Option<(f64, &PooledUpstream)> = None;
        let mut matched = false;
        for pooled in upstreams {
            if evacuated(&pooled.upstream.failure_domain) || !self.meets_needs(pooled, needs) {
                continue;
            }
            if pooled.gate.is_closed() {
                continue;
            }
            matched = true;
            if let Some(score) = self.score_in_time(now, pooled, needs)
                && best.is_none_or(|(lowest, _)| score < lowest)
            {
                best = Some((score, pooled));
            }
        }
        match best {
            Some((_, pooled)) => Choice::Send(pooled.upstream.id.clone()),
            None if matched => Choice::Full,
            None => Choice::NoMatch,
        }
    }

    /// Score of an upstream that has capacity and serves the request in time.
    fn score_in_time(
        &self,
        now: Moment,
        pooled: &PooledUpstream,
        needs: &Requirements,
    ) -> Option<f64> {
        let load = pooled.load(now, self.entries);
        if !self.has_capacity(now, pooled, load) {
            return None;
        }
        let slowdown = pooled.pace.slowdown(now);
        let (backlog, prompt) = (load.prefill_tokens, needs.prompt_tokens);
        let first_token = self.latency_model.first_token_at(slowdown, backlog, prompt);
        let in_time = match needs.due {
            Some(due) => now + first_token + needs.margin <= due,
            // A late request must not delay others.
            None => load.prefill_tokens as f64 * slowdown <= LATE_PREFILL,
        };
        let stays_open = || {
            let generation = self.latency_model.generation(slowdown, needs.output_tokens);
            pooled.stays_open_until(now, now + first_token + generation)
        };
        let leaves_room = needs.reserved.is_none_or(|reserved| {
            let backlog = backlog + u64::from(prompt);
            reserved.fits_behind(&self.latency_model, slowdown, backlog)
        });
        let usable = in_time && leaves_room && (pooled.closes_at.is_none() || stays_open());
        usable.then(|| {
            // A request is not admitted on a guess, so only the score counts what may be saved.
            let prefilled = prompt.saturating_sub(self.saved_tokens(pooled, needs));
            let usual = self.latency_model.first_token(backlog, prefilled);
            let paced = self
                .latency_model
                .first_token_at(slowdown, backlog, prefilled);
            let delay =
                (paced.saturating_sub(usual).as_secs_f64() * LATENCY_PENALTY).min(MAX_PACE_PENALTY);
            self.score(now, pooled, load, usual) + delay
        })
    }

    fn meets_needs(&self, pooled: &PooledUpstream, needs: &Requirements) -> bool {
        let held = needs.model.as_ref().is_none_or(|m| {
            let held = pooled.upstream.models.iter().find(|h| h.model == *m);
            let required = self.required_version(pooled, m, needs);
            held.is_some_and(|h| required.is_none_or(|w| h.version >= w))
        });
        held && is_candidate(pooled, needs)
    }

    fn has_capacity(&self, now: Moment, pooled: &PooledUpstream, load: UpstreamLoad) -> bool {
        let slots = pooled.upstream.slots;
        let slots = self.connections.map_or(slots, |b| b.requests(slots));
        let slots = pooled.paced_slots(now, slots);
        if load.requests >= pooled.capacity(slots) {
            return false;
        }
        let cold = pooled.is_cold(now)
            && self.cold_budget.as_ref().is_some_and(|budget| {
                let share = budget.share(u64::from(pooled.tag));
                !pooled.allows_cold_send(now, share)
            });
        let limited = !pooled.allows_limited_send(now);
        pooled.is_open(now) && pooled.is_in_turn(now) && !cold && !limited
    }

    fn score(
        &self,
        now: Moment,
        pooled: &PooledUpstream,
        load: UpstreamLoad,
        first_token: Duration,
    ) -> f64 {
        let mut score = f64::from(load.requests) / f64::from(pooled.upstream.slots.max(1));
        score += first_token.as_secs_f64() * LATENCY_PENALTY;
        if pooled.region != self.region {
            score += REMOTE_PENALTY;
        } else if pooled.upstream.failure_domain != self.domain {
            score += DOMAIN_PENALTY;
        }
        if pooled.ownership == Ownership::Foreign {
            score += FOREIGN_PENALTY;
        }
        if pooled.is_cold(now) {
            score += COLD_PENALTY;
        }
        // Random noise keeps entries from all choosing the same upstream.
        score + pooled.failure_rate * FAILURE_PENALTY + fastrand::f64() * 0.06
    }
}

/// Whether an upstream may serve the request if it holds the weights: it is not leaving, is
/// in a home region, and has not been tried.
fn is_candidate(pooled: &PooledUpstream, needs: &Requirements) -> bool {
    let home = needs.home_regions.is_empty() || needs.home_regions.contains(&pooled.region);
    pooled.upstream.state == UpstreamState::Ready
        && home
        && !needs.tried.contains(&pooled.upstream.id)
}
