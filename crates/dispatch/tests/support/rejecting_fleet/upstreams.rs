//! Upstreams of the model: what arrives there, what they reject, and when they are down.

use std::collections::VecDeque;

use apricotdale_core::names::UpstreamName;
use apricotdale_dispatch::RateLimit;
use rand::RngExt;

use super::BINDING_MS;
use super::CHECK_MS;
use super::FIRST_BYTE_MS;
use super::Fleet;
use super::LISTING_MS;
use super::RATE_BOUNDS;
use super::RUN_MS;
use super::SLOTS;
use super::Step;
use super::Upstream;

impl Fleet {
    /// Returns the most requests and checks that reached an upstream in the window of rate limits.
    pub fn most_arrived(&self) -> usize {
        let most = self.upstreams.iter().map(|it| it.most_arrived);
        most.max().unwrap_or(0)
    }

    /// Returns the most requests that an upstream rejected in a second while the limit was binding.
    pub fn most_rejected(&self) -> usize {
        let most = self.upstreams.iter().map(|it| it.most_rejected);
        most.max().unwrap_or(0)
    }

    pub(super) fn add_upstream(&mut self) {
        self.upstreams.push(Upstream {
            run: 0,
            is_down: false,
            running: 0,
            slots: SLOTS,
            late_until_ms: 0,
            rest_until_ms: 0,
            arrived_ms: VecDeque::new(),
            most_arrived: 0,
            silent_until_ms: 0,
            rejected_ms: VecDeque::new(),
            most_rejected: 0,
        });
    }

    pub(super) fn fail_upstream(&mut self, index: usize, down_ms: u64) {
        let upstream = &mut self.upstreams[index];
        if !upstream.is_down {
            upstream.is_down = true;
            upstream.running = 0;
            upstream.run += 1;
            let step = Step::IsBack { upstream: index };
            self.schedule(down_ms, step);
        }
    }

    /// Writes the entry of an upstream's present run, which the VMs read one after the other.
    pub(super) fn list(&mut self, index: usize) {
        for vm in 0..self.vms.len() {
            let after_ms = self.random.random_range(1..LISTING_MS);
            let run = self.vms[vm].run;
            let step = Step::Lists {
                vm,
                run,
                upstream: index,
            };
            self.schedule(after_ms, step);
        }
    }

    pub(super) fn limit(&self) -> Option<RateLimit> {
        let is_stated = self.now_ms >= self.stated_from_ms;
        is_stated.then(|| RateLimit::from_per_s(self.options.per_s).expect("a rate"))
    }

    pub(super) fn arrive(
        &mut self,
        vm: usize,
        run: u64,
        key: u64,
        name: UpstreamName,
        sent_ms: u64,
        is_check: bool,
    ) {
        let (now_ms, limit) = (self.now_ms, self.limit());
        let of_name = |(index, it): (usize, &Upstream)| Upstream::name(index, it.run) == name;
        let index = self.upstreams.iter().enumerate().position(of_name);
        // A request to a process that has ended is lost.
        let Some(index) = index.filter(|index| !self.upstreams[*index].is_down) else {
            return;
        };
        let silent_until_ms = self.upstreams[index].silent_until_ms;
        if now_ms < silent_until_ms {
            let arrives = Step::Arrives {
                vm,
                run,
                key,
                name,
                sent_ms,
                is_check,
            };
            return self.schedule(silent_until_ms - now_ms, arrives);
        }
        let upstream = &mut self.upstreams[index];
        upstream.arrived_ms.push_back(now_ms);
        let rests = now_ms < upstream.rest_until_ms;
        let is_rejection = rests || upstream.running >= upstream.slots;
        let mut after_ms = self.random.random_range(1..5);
        // The operators don't count what VMs send just after they have all restarted.
        let sender = &self.vms[vm];
        let is_counted = !sender.started_untold || now_ms >= sender.started_ms + BINDING_MS;
        if is_rejection {
            if is_counted && !rests {
                upstream.rejected_ms.push_back(now_ms);
            }
            if upstream.late_until_ms > now_ms {
                after_ms = self.random.random_range(1..800);
            }
        } else {
            upstream.running += 1;
            after_ms += if is_check { CHECK_MS } else { FIRST_BYTE_MS };
        }
        let running = upstream.running;
        let process = upstream.run;
        let answers = match is_check {
            true => Step::CheckAnswers {
                vm,
                run,
                key,
                is_rejection,
            },
            false => Step::Answers {
                vm,
                run,
                key,
                name,
                sent_ms,
                running,
                is_rejection,
                limit,
            },
        };
        self.schedule(after_ms, answers);
        if !is_rejection {
            let ends = Step::Ends {
                upstream: index,
                run: process,
                is_check,
            };
            self.schedule(if is_check { CHECK_MS } else { RUN_MS }, ends);
        }
    }

    pub(super) fn count_rejections(&mut self) {
        // Nobody can know what an upstream that is silent will state.
        let first_stated_ms = self.first_stated_ms.unwrap_or(u64::MAX - BINDING_MS);
        let (now_ms, binds_ms) = (self.now_ms, first_stated_ms + BINDING_MS);
        for upstream in &mut self.upstreams {
            let arrived_ms = &mut upstream.arrived_ms;
            let is_old = |at_ms: &u64| at_ms + RATE_BOUNDS.window_ms <= now_ms;
            while arrived_ms.front().is_some_and(is_old) {
                arrived_ms.pop_front();
            }
            upstream.most_arrived = upstream.most_arrived.max(arrived_ms.len());
            let rejected_ms = &mut upstream.rejected_ms;
            while rejected_ms
                .front()
                .is_some_and(|at_ms| at_ms + 1_000 <= now_ms)
            {
                rejected_ms.pop_front();
            }
            if now_ms >= binds_ms {
                upstream.most_rejected = upstream.most_rejected.max(rejected_ms.len());
            }
        }
    }
}
