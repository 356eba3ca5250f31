//! Arrivals in the simulation: requests that VMs admit or refuse, and what refusals must keep to.

use std::cmp::Reverse;

use apricotdale_admission::RankDecision;
use rand::RngExt;

use super::FREE_PRESSURE;
use super::MAX_TRIES;
use super::Planted;
use super::ROWS_TTL_MS;
use super::RankFleet;
use super::Request;
use super::Retry;
use super::SERVICE;
use super::STEP_MS;

impl RankFleet {
    pub(super) fn arrive(&mut self) {
        let alive: Vec<usize> = (0..self.vms.len())
            .filter(|vm| self.vms[*vm].is_alive)
            .collect();
        let mut arrivals: Vec<Retry> = Vec::new();
        for rank in 0..self.options.offered.len() {
            let per_step =
                self.options.offered[rank] * self.capacity_per_s() * STEP_MS as f64 / 1_000.0;
            // Sum of many rare arrivals, which is close to a Poisson distribution.
            for _ in 0..20 {
                let part = per_step / 20.0;
                let arrived = part as u32 + u32::from(self.random.random_bool(part.fract()));
                for _ in 0..arrived {
                    arrivals.push(Retry {
                        rank: rank as u8,
                        id_hash: self.random.random(),
                        tries: 0,
                    });
                }
            }
        }
        while let Some(entry) = self.retries.first_entry() {
            if entry.key().0 > self.now_ms {
                break;
            }
            arrivals.push(entry.remove());
        }
        while !arrivals.is_empty() {
            let index = self.random.random_range(0..arrivals.len());
            let request = arrivals.swap_remove(index);
            let vm = alive[self.random.random_range(0..alive.len())];
            self.handle_arrival(vm, request);
        }
    }

    pub(super) fn handle_arrival(&mut self, index: usize, request: Retry) {
        let now_ms = self.now_ms;
        let Retry {
            rank,
            id_hash,
            tries,
        } = request;
        let at = usize::from(rank);
        let vm = &mut self.vms[index];
        vm.arrived[at] += 1;
        let age_ms = vm.heard_ms.map(|heard_ms| now_ms - heard_ms);
        let decide_ms = match (self.options.planted, vm.heard_ms) {
            (Planted::StaleKept, Some(heard_ms)) => heard_ms,
            _ => now_ms,
        };
        let decision = vm.admission.decide(decide_ms, SERVICE, rank, id_hash);
        let is_told = age_ms.is_some_and(|age_ms| age_ms <= ROWS_TTL_MS);
        let bucket = self.buckets.last_mut().expect("a bucket");
        bucket.arrivals[at] += 1;
        bucket.retries[at] += u64::from(tries > 0);
        match decision {
            RankDecision::Admit => {
                vm.waiting[at] += 1;
                bucket.admitted_retries[at] += u64::from(tries > 0);
                match is_told {
                    true => bucket.admitted[at] += 1,
                    false => bucket.untold += 1,
                }
                let overtakes = self.most_urgent_refused.is_some_and(|it| it < rank);
                bucket.overtaking += u64::from(is_told && overtakes);
                self.next_number += 1;
                self.waiting.push(Reverse(Request {
                    rank,
                    number: self.next_number,
                    vm: index,
                }));
            }
            RankDecision::Refuse { retry_after_ms } => {
                bucket.refused[at] += 1;
                let most_urgent = self.most_urgent_refused.map_or(rank, |it| it.min(rank));
                self.most_urgent_refused = Some(most_urgent);
                if self.options.has_retries && tries + 1 < MAX_TRIES {
                    let retry = Retry {
                        tries: tries + 1,
                        ..request
                    };
                    self.next_number += 1;
                    let at = (now_ms + retry_after_ms, self.next_number);
                    self.retries.insert(at, retry);
                }
                self.check_refusal(age_ms);
            }
        }
    }

    pub(super) fn check_refusal(&mut self, age_ms: Option<u64>) {
        if age_ms.is_none_or(|age_ms| age_ms > ROWS_TTL_MS) {
            self.violate("a VM refuses that has heard nothing");
        }
        if self.options.offered.len() == 1 {
            self.violate("refused with one rank");
        }
        let requests = self.vms.iter().filter_map(|vm| vm.peaks.front());
        let requests: u32 = requests.map(|(_, requests)| *requests).sum();
        let pressure = f64::from(requests) / f64::from(self.options.slots);
        if pressure < FREE_PRESSURE {
            self.violate(&format!("refused at a pressure of at most {pressure:.2}"));
        }
    }
}
