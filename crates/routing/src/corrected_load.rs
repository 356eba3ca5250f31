//! The chosen routing policy.

use rand::RngExt;
use rand::SeedableRng;
use rand::seq::index;
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

/// `CorrectedLoad` is the chosen routing policy.
///
/// It corrects each lagging report by what this VM sent since, draws a few candidates at random and
/// takes the one of lowest cost. So many VMs that read the same old report don't all send to the
/// upstream that looked best in it. A prompt prefix goes where it is probably cached as long as
/// that upstream is not much busier. Upstreams whose outcomes stand out from their group are
/// ejected and come back by probes.
///
/// The times of reports have to be on the clock of `now_ms`; a time that can't be is taken as
/// [`Options::assumed_lag_ms`] old.
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

    /// Returns the indices of the candidates that may be used, best standing first: not tried and
    /// in service, else not tried, else in service, else all. With nobody in good standing a
    /// request to one in bad standing may still be answered; a refusal never is.
    fn usable(
        &mut self,
        now_ms: u64,
        request: &RouteRequest,
        candidates: &[Candidate],
    ) -> Vec<usize> {
        let outliers = &self.options.outliers;
        let mut classes = [const { Vec::new() }; 4];
        for (index, candidate) in candidates.iter().enumerate() {
            let upstream = self.group.upstream(now_ms, &candidate.upstream);
            upstream.standing.advance(now_ms, outliers);
            let tried = request.tried.contains(&candidate.upstream);
            let class = match (tried, upstream.standing.in_service()) {
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

    /// Returns a candidate that is due for a probe. A retried request is no probe: it has already
    /// met one bad upstream.
    fn probe(
        &mut self,
        now_ms: u64,
        request: &RouteRequest,
        candidates: &[Candidate],
    ) -> Option<usize> {
        if !request.tried.is_empty() {
            return None;
        }
        let outliers = &self.options.outliers;
        let due = candidates.iter().position(|candidate| {
            let upstream = self.group.upstream(now_ms, &candidate.upstream);
            upstream.standing.wants_probe(now_ms, outliers)
        })?;
        let upstream = self.group.upstream(now_ms, &candidates[due].upstream);
        upstream.standing.probe_offered(now_ms, outliers);
        Some(due)
    }

    fn is_near(&self, candidate: &Candidate) -> bool {
        let own_zone = self.options.own_zone.as_ref();
        own_zone.is_none_or(|own_zone| candidate.zone == *own_zone)
    }

    /// Draws some candidates of the own availability zone and as many of the others.
    fn draw(&mut self, candidates: &[Candidate], usable: &[usize]) -> Vec<usize> {
        let (near, far): (Vec<usize>, Vec<usize>) = usable
            .iter()
            .partition(|&&index| self.is_near(&candidates[index]));
        let mut drawn = Vec::with_capacity(2 * self.options.choices);
        for part in [near, far] {
            let count = self.options.choices.max(1).min(part.len());
            let picked = index::sample(&mut self.random, part.len(), count);
            drawn.extend(picked.iter().map(|place| part[place]));
        }
        drawn
    }

    fn cost(&self, now_ms: u64, candidate: &Candidate, mean: f64) -> f64 {
        let pressure = self.group.pressure(now_ms, &candidate.upstream, Some(mean));
        let slot = 1.0 / f64::from(self.options.default_slots.max(1));
        let zone = match self.is_near(candidate) {
            true => 0.0,
            false => self.options.other_zone_pressure,
        };
        (pressure + slot) * self.group.cost_factor(now_ms, &candidate.upstream) + zone
    }

    fn mean_pressure(&self, now_ms: u64, candidates: &[Candidate], usable: &[usize]) -> f64 {
        let pressures = usable.iter().map(|&index| {
            self.group
                .pressure(now_ms, &candidates[index].upstream, None)
        });
        pressures.sum::<f64>() / usable.len().max(1) as f64
    }

    /// Returns the usable candidates that have probably cached the prefix: the one this VM last
    /// sent it to, and the one that all VMs prefer for it.
    fn cached_at(
        &self,
        now_ms: u64,
        prefix_hash: u64,
        candidates: &[Candidate],
        usable: &[usize],
    ) -> Vec<usize> {
        let names = usable.iter().map(|&index| &candidates[index].upstream);
        let last = self.prefixes.last(now_ms, prefix_hash);
        let home = rendezvous::preferred(names, &prefix_hash);
        let index_of = |name: &UpstreamName| {
            let mut usable = usable.iter();
            usable.find(|&&index| candidates[index].upstream == *name)
        };
        let cached = [last, home].into_iter().flatten();
        cached.filter_map(index_of).copied().collect()
    }

    fn lowest_cost(
        &mut self,
        now_ms: u64,
        candidates: &[Candidate],
        drawn: &[usize],
        mean: f64,
    ) -> Option<(usize, f64)> {
        let mut lowest: Option<(usize, f64)> = None;
        for &index in drawn {
            let cost = self.cost(now_ms, &candidates[index], mean);
            let lower = match lowest {
                None => true,
                Some((_, least)) if cost == least => self.random.random_bool(0.5),
                Some((_, least)) => cost < least,
            };
            if lower {
                lowest = Some((index, cost));
            }
        }
        lowest
    }
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
        let usable = self.usable(now_ms, request, candidates);
        if let Some(probe) = self.probe(now_ms, request, candidates) {
            return Some(probe);
        }
        let mean = self.mean_pressure(now_ms, candidates, &usable);
        let drawn = self.draw(candidates, &usable);
        let (best, least) = self.lowest_cost(now_ms, candidates, &drawn, mean)?;
        let Some(prefix_hash) = request.prefix_hash else {
            return Some(best);
        };
        let most = least + self.options.affinity_pressure;
        let cached = self.cached_at(now_ms, prefix_hash, candidates, &usable);
        let near_enough = |index: &usize| self.cost(now_ms, &candidates[*index], mean) <= most;
        cached.into_iter().find(near_enough).or(Some(best))
    }
}
