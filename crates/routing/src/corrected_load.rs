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

use crate::affinity::PrefixMemory;
use crate::group::Group;
use crate::options::Options;

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
    prefixes: PrefixMemory,
    random: ChaCha8Rng,
}

impl CorrectedLoad {
    /// Returns the policy for one group of equal upstreams.
    pub fn new(options: Options) -> Self {
        Self {
            group: Group::new(options.clone()),
            prefixes: PrefixMemory::new(options.prefix_entries, options.prefix_ttl_ms),
            random: ChaCha8Rng::seed_from_u64(options.seed),
            options,
        }
    }

    /// Returns the indices of the best class of candidates: not tried and in service, else not
    /// tried, else in service, else all. If no candidate is in service, an ejected one may still
    /// answer, while a refusal never does.
    fn usable(&self, request: &RouteRequest, candidates: &[Candidate]) -> Vec<usize> {
        let mut classes = [const { Vec::new() }; 4];
        for (place, candidate) in candidates.iter().enumerate() {
            let tried = request.tried.contains(&candidate.upstream);
            let class = match (tried, self.group.in_service(&candidate.upstream)) {
                (false, true) => 0,
                (false, false) => 1,
                (true, true) => 2,
                (true, false) => 3,
            };
            classes[class].push(place);
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
        let place_of = |name: &UpstreamName| {
            let mut candidates = candidates.iter();
            candidates.position(|candidate| candidate.upstream == *name)
        };
        let due = self
            .group
            .next_probe(now_ms, |name| place_of(name).is_some())?;
        place_of(&due)
    }

    fn is_near(&self, candidate: &Candidate) -> bool {
        let own_zone = self.options.own_zone.as_ref();
        own_zone.is_none_or(|own_zone| candidate.zone == *own_zone)
    }

    /// Returns the usable candidates with their weights.
    fn weigh(&self, now_ms: u64, candidates: &[Candidate], usable: &[usize]) -> Vec<Weighed> {
        let load = self.group.load();
        let weigh = |&place: &usize| {
            let candidate = &candidates[place];
            let zone = match self.is_near(candidate) {
                true => 1.0,
                false => self.options.other_zone_weight,
            };
            let weight = self.group.weight(now_ms, &candidate.upstream, load);
            Weighed {
                place,
                weight,
                odds: weight * zone,
            }
        };
        usable.iter().map(weigh).collect()
    }

    /// Draws some candidates without replacement, and returns them in the order of the draw.
    fn draw(&mut self, mut weighed: Vec<Weighed>) -> Vec<Weighed> {
        let mut all: f64 = weighed.iter().map(|candidate| candidate.odds).sum();
        let mut drawn = Vec::with_capacity(self.options.choices);
        while drawn.len() < self.options.choices.max(1) && !weighed.is_empty() {
            let mut point = self.random.random_range(0.0..=all.max(f64::EPSILON));
            let hit = weighed.iter().position(|candidate| {
                point -= candidate.odds;
                point <= 0.0
            });
            let picked = weighed.swap_remove(hit.unwrap_or(0));
            all -= picked.odds;
            drawn.push(picked);
        }
        drawn
    }

    /// Returns the drawn candidate with the fewest requests of this VM for its weight. Only these
    /// requests are known as of now. Among equal candidates the first one drawn is chosen, and the
    /// draw follows the weights.
    fn least_used(&self, candidates: &[Candidate], drawn: &[Weighed]) -> Option<usize> {
        let used = |candidate: &&Weighed| {
            let upstream = &candidates[candidate.place];
            let zone = match self.is_near(upstream) {
                true => 0.0,
                false => self.options.other_zone_pressure,
            };
            f64::from(self.group.own(&upstream.upstream)) / candidate.weight + zone
        };
        let least = drawn
            .iter()
            .min_by(|left, right| used(left).total_cmp(&used(right)));
        least.map(|candidate| candidate.place)
    }

    /// Returns the usable candidates that have probably cached the prefix: those to which this VM
    /// has recently sent it, or else the one that all VMs prefer for it.
    fn cached_at(
        &self,
        now_ms: u64,
        prefix_hash: u64,
        candidates: &[Candidate],
        weighed: &[Weighed],
    ) -> Vec<Weighed> {
        let name_of = |candidate: &Weighed| &candidates[candidate.place].upstream;
        let recent: Vec<&UpstreamName> = self.prefixes.recent(now_ms, prefix_hash).collect();
        let cached = weighed
            .iter()
            .filter(|candidate| recent.contains(&name_of(candidate)));
        let cached: Vec<Weighed> = cached.copied().collect();
        if !cached.is_empty() {
            return cached;
        }
        let home = rendezvous::preferred(weighed.iter().map(name_of), &prefix_hash);
        let is_home = |candidate: &&Weighed| Some(name_of(candidate)) == home;
        weighed.iter().find(is_home).copied().into_iter().collect()
    }

    /// Returns the candidate for a request with a prefix. That is `best` if it has probably cached
    /// the prefix or if those that have are too busy, and else the least used of these.
    fn cached_or(&self, best: usize, cached: Vec<Weighed>, candidates: &[Candidate]) -> usize {
        if cached.iter().any(|candidate| candidate.place == best) {
            return best;
        }
        let load = self.group.load();
        let pressure = |place: usize| self.group.pressure(&candidates[place].upstream, load);
        let most = pressure(best) + self.options.affinity_pressure;
        let bearable = cached
            .into_iter()
            .filter(|candidate| pressure(candidate.place) <= most);
        let bearable: Vec<Weighed> = bearable.collect();
        self.least_used(candidates, &bearable).unwrap_or(best)
    }
}

/// Candidate with the weight of its load and the weight with which it is drawn.
#[derive(Clone, Copy, Debug)]
struct Weighed {
    place: usize,
    weight: f64,
    odds: f64,
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
                    self.prefixes.sent(now_ms, prefix_hash, upstream);
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
        if let Some(probe) = self.probe(now_ms, request, candidates) {
            return Some(probe);
        }
        let usable = self.usable(request, candidates);
        let weighed = self.weigh(now_ms, candidates, &usable);
        let drawn = self.draw(weighed.clone());
        let best = self.least_used(candidates, &drawn)?;
        let Some(prefix_hash) = request.prefix_hash else {
            return Some(best);
        };
        let cached = self.cached_at(now_ms, prefix_hash, candidates, &weighed);
        Some(self.cached_or(best, cached, candidates))
    }
}
