//! Routing policy by delayed load reports, corrected by this VM's own requests.

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use apricotdale_core::names::UpstreamName;
use apricotdale_core::policy::Candidate;
use apricotdale_core::policy::RouteRequest;
use apricotdale_core::policy::RoutingEvent;
use apricotdale_core::policy::RoutingPolicy;
use apricotdale_core::rendezvous;

use crate::group::Group;
use crate::options::Options;
use crate::prefix_history::PrefixHistory;
use crate::upstream_speeds::UpstreamSpeeds;

/// Routing policy that corrects delayed load reports and combines them with random choice.
///
/// It weighs the upstreams by their reports, draws a few of them at random, and chooses the one
/// with the fewest requests of this VM for its weight. Many VMs that read the same old report
/// therefore don't all send to the upstream that looked best in it. A request with a prompt prefix
/// is sent to an upstream that has probably cached the prefix, unless that upstream is much busier.
/// Upstreams whose outcomes differ from their group's are ejected and return by probes.
///
/// The times of reports have to be on the clock of `now_ms`. A report with a time in the future is
/// assumed to be [`Options::assumed_lag_ms`] old.
#[derive(Debug)]
pub struct CorrectedLoad {
    options: Options,
    group: Group,
    prefix_history: PrefixHistory,
    random: ChaCha8Rng,
}

impl CorrectedLoad {
    /// Returns the policy for one group of equal upstreams.
    pub fn new(options: Options) -> Self {
        Self {
            group: Group::new(options.clone()),
            prefix_history: PrefixHistory::new(options.prefix_entries, options.prefix_ttl_ms),
            random: ChaCha8Rng::seed_from_u64(options.seed),
            options,
        }
    }

    /// Returns the index of the chosen candidate, with the weights multiplied by the upstreams'
    /// speeds; `None` if no candidate should be used now.
    pub fn choose_by_speed(
        &mut self,
        now_ms: u64,
        request: &RouteRequest,
        candidates: &[Candidate],
        speeds: &UpstreamSpeeds,
    ) -> Option<usize> {
        if let Some(probe) = self.probe(now_ms, request, candidates) {
            return Some(probe);
        }
        let usable = self.usable(request, candidates);
        let weighted = self.weighted_candidates(now_ms, candidates, &usable, speeds);
        let drawn = self.draw(weighted.clone());
        let best = self.least_used(candidates, &drawn)?;
        let Some(prefix_hash) = request.prefix_hash else {
            return Some(best.index);
        };
        let cached = self.probably_cached(now_ms, prefix_hash, candidates, &weighted);
        Some(self.prefer_cached(best, cached, candidates))
    }

    /// Returns the indices of the best class of candidates: not tried and in service, else not
    /// tried, else in service, else all. If no candidate is in service, an ejected one may still
    /// answer, while a refusal never does.
    fn usable(&self, request: &RouteRequest, candidates: &[Candidate]) -> Vec<usize> {
        let mut classes = [const { Vec::new() }; 4];
        for (index, candidate) in candidates.iter().enumerate() {
            let tried = request.tried.contains(&candidate.upstream);
            let class = match (tried, self.group.is_in_service(&candidate.upstream)) {
                (false, true) => 0,
                (false, false) => 1,
                (true, true) => 2,
                (true, false) => 3,
            };
            classes[class].push(index);
        }
        let usable = classes.into_iter().find(|class| !class.is_empty());
        usable.unwrap_or_default()
    }

    /// Returns the index of a candidate that is due for a probe. A retried request is not used as a
    /// probe, because one upstream has already failed it.
    fn probe(
        &mut self,
        now_ms: u64,
        request: &RouteRequest,
        candidates: &[Candidate],
    ) -> Option<usize> {
        if !request.tried.is_empty() {
            return None;
        }
        let index_of = |name: &UpstreamName| {
            let mut candidates = candidates.iter();
            candidates.position(|candidate| candidate.upstream == *name)
        };
        let due = self
            .group
            .next_probe(now_ms, |name| index_of(name).is_some())?;
        index_of(&due)
    }

    fn is_in_own_zone(&self, candidate: &Candidate) -> bool {
        let own_zone = self.options.own_zone.as_ref();
        own_zone.is_none_or(|own_zone| candidate.zone == *own_zone)
    }

    /// Returns the usable candidates with their weights.
    fn weighted_candidates(
        &self,
        now_ms: u64,
        candidates: &[Candidate],
        usable: &[usize],
        speeds: &UpstreamSpeeds,
    ) -> Vec<WeightedCandidate> {
        let load = self.group.load();
        let weighted_candidates = |&index: &usize| {
            let candidate = &candidates[index];
            let zone = match self.is_in_own_zone(candidate) {
                true => 1.0,
                false => self.options.other_zone_weight,
            };
            let speed = speeds.factor(now_ms, &candidate.upstream);
            let weight = self.group.weight(now_ms, &candidate.upstream, load) * speed;
            WeightedCandidate {
                index,
                weight,
                speed,
                draw_weight: weight * zone,
            }
        };
        usable.iter().map(weighted_candidates).collect()
    }

    /// Draws some candidates without replacement, and returns them in the order of the draw.
    fn draw(&mut self, mut weighted: Vec<WeightedCandidate>) -> Vec<WeightedCandidate> {
        let mut total: f64 = weighted.iter().map(|candidate| candidate.draw_weight).sum();
        let mut drawn = Vec::with_capacity(self.options.choices);
        while drawn.len() < self.options.choices.max(1) && !weighted.is_empty() {
            let mut point = self.random.random_range(0.0..=total.max(f64::EPSILON));
            let hit = weighted.iter().position(|candidate| {
                point -= candidate.draw_weight;
                point <= 0.0
            });
            let picked = weighted.swap_remove(hit.unwrap_or(0));
            total -= picked.draw_weight;
            drawn.push(picked);
        }
        drawn
    }

    /// Returns the drawn candidate with the fewest requests of this VM for its weight. Only these
    /// requests are known as of now. Among equal candidates the first one drawn is chosen, and the
    /// draw follows the weights.
    fn least_used(
        &self,
        candidates: &[Candidate],
        drawn: &[WeightedCandidate],
    ) -> Option<WeightedCandidate> {
        let used = |candidate: &&WeightedCandidate| {
            let upstream = &candidates[candidate.index];
            let zone = match self.is_in_own_zone(upstream) {
                true => 0.0,
                false => self.options.other_zone_pressure,
            };
            f64::from(self.group.local_requests(&upstream.upstream)) / candidate.weight + zone
        };
        let least = drawn
            .iter()
            .min_by(|left, right| used(left).total_cmp(&used(right)));
        least.copied()
    }

    /// Returns the usable candidates that have probably cached the prefix: those to which this VM
    /// has recently sent it, or else the one that all VMs prefer for it.
    fn probably_cached(
        &self,
        now_ms: u64,
        prefix_hash: u64,
        candidates: &[Candidate],
        weighted: &[WeightedCandidate],
    ) -> Vec<WeightedCandidate> {
        let name_of = |candidate: &WeightedCandidate| &candidates[candidate.index].upstream;
        let recent_upstreams: Vec<&UpstreamName> = self
            .prefix_history
            .recent_upstreams(now_ms, prefix_hash)
            .collect();
        let cached = weighted
            .iter()
            .filter(|candidate| recent_upstreams.contains(&name_of(candidate)));
        let cached: Vec<WeightedCandidate> = cached.copied().collect();
        if !cached.is_empty() {
            return cached;
        }
        let preferred_upstream = rendezvous::preferred(weighted.iter().map(name_of), &prefix_hash);
        let is_preferred_upstream =
            |candidate: &&WeightedCandidate| Some(name_of(candidate)) == preferred_upstream;
        weighted
            .iter()
            .find(is_preferred_upstream)
            .copied()
            .into_iter()
            .collect()
    }

    /// Returns the candidate for a request with a prefix. That is `best` if it has probably cached
    /// the prefix or if those that have are too busy, and else the least used of these.
    fn prefer_cached(
        &self,
        best: WeightedCandidate,
        cached: Vec<WeightedCandidate>,
        candidates: &[Candidate],
    ) -> usize {
        if cached.iter().any(|candidate| candidate.index == best.index) {
            return best.index;
        }
        let load = self.group.load();
        // A slow upstream takes longer to serve the requests that it has.
        let pressure = |candidate: &WeightedCandidate| {
            let upstream = &candidates[candidate.index].upstream;
            self.group.pressure(upstream, load) / candidate.speed
        };
        let max_pressure = pressure(&best) + self.options.affinity_pressure;
        let not_too_busy = cached
            .into_iter()
            .filter(|candidate| pressure(candidate) <= max_pressure);
        let not_too_busy: Vec<WeightedCandidate> = not_too_busy.collect();
        self.least_used(candidates, &not_too_busy)
            .map_or(best.index, |candidate| candidate.index)
    }
}

/// Candidate with its weights.
#[derive(Clone, Copy, Debug)]
struct WeightedCandidate {
    index: usize,
    /// Weight of its load and its speed.
    weight: f64,
    /// Factor of its speed in the weight.
    speed: f64,
    /// Weight with which it is drawn.
    draw_weight: f64,
}

impl RoutingPolicy for CorrectedLoad {
    fn learn(&mut self, now_ms: u64, event: RoutingEvent) {
        match event {
            RoutingEvent::Sent {
                upstream,
                prefix_hash,
            } => {
                self.group.sent(now_ms, &upstream);
                if let Some(prefix_hash) = prefix_hash {
                    self.prefix_history.sent(now_ms, prefix_hash, upstream);
                }
            }
            RoutingEvent::Ended {
                upstream,
                outcome,
                first_byte_ms,
            } => self.group.ended(now_ms, &upstream, outcome, first_byte_ms),
            RoutingEvent::Reported { upstream, report } => {
                self.group.reported(now_ms, &upstream, &report);
            }
            RoutingEvent::Removed { upstream } => self.group.remove(&upstream),
        }
    }

    fn choose(
        &mut self,
        now_ms: u64,
        request: &RouteRequest,
        candidates: &[Candidate],
    ) -> Option<usize> {
        self.choose_by_speed(now_ms, request, candidates, &UpstreamSpeeds::default())
    }
}
