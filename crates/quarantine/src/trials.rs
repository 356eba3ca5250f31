//! Trial runs of requests on probation, one at a time over all VMs.
//!
//! A VM asks a judge before it sends a request that is on probation, or of which a part is.
//! [`TrialCoordinator`] is the judge's side: it allows one trial run of a request or part at a time,
//! and one at each upstream, so that of two suspect requests each is lost with an upstream of its
//! own. [`TrialClient`] is the side of the VM that asks. If no judge answers, a VM decides by itself.

use std::collections::BTreeMap;

use apricotdale_core::names::UpstreamName;
use serde::Deserialize;
use serde::Serialize;

use crate::fingerprint::Fingerprint;

/// Time after which a judge that has not answered is asked again.
const ANSWER_TIMEOUT_MS: u64 = 90;

/// Number of times that a judge is asked before the next one is.
const QUERIES_PER_JUDGE: u32 = 4;

/// Time for which another judge is asked after one did not answer.
const FALLBACK_JUDGE_MS: u64 = 3_000;

/// Time within which an allowed trial run must be sent.
const UNUSED_TRIAL_TTL_MS: u64 = 300;

/// Time after its deadline for which a trial run still counts as in progress.
const GRANT_SLACK_MS: u64 = 500;

/// Time for which a new judge allows nothing, since its predecessor may have allowed trial runs.
const NEW_JUDGE_PAUSE_MS: u64 = 1_500;

/// Pause after a lost trial run, in which its upstream's end is confirmed and judged.
const LOST_PAUSE_MS: u64 = 400;

/// Minimum pause before a VM asks again.
const MIN_PAUSE_MS: u64 = 50;

/// Pause per VM of the fleet before a VM asks again, if the product exceeds [`MIN_PAUSE_MS`].
const PAUSE_MS_PER_VM: u64 = 4;

/// Delay after which the end of a trial run is sent to the judge again.
const RESEND_END_MS: u64 = 300;

/// Number of requests for which trial runs are asked or allowed at once.
const MAX_TRIALS: usize = 1_024;

/// Question of a VM to a judge whether it may send a request on probation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialQuery {
    /// What is on probation: the request, parts of its prompt, or both, sorted.
    pub features: Vec<Fingerprint>,
    /// Upstream to which it would be sent.
    pub upstream: UpstreamName,
    /// Number of the trial run, unique at the VM that asks.
    pub number: u64,
    /// Time that the trial run may take.
    pub left_ms: u64,
}

/// Judge's answer to a [`TrialQuery`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialAnswer {
    /// Number of the trial run at the VM that asked.
    pub number: u64,
    /// Time after which to ask again, or `None` if the trial run may be sent.
    pub after_ms: Option<u64>,
}

/// Message to the judge that a trial run has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialEnd {
    /// Number of the trial run at the VM that had asked.
    pub number: u64,
    /// Whether the trial run was lost with its connection.
    pub is_lost: bool,
}

/// Decision whether a request may be sent now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Permit {
    /// The request may be sent: it is not on probation.
    Free,
    /// The request may be sent as a trial run.
    Trial {
        /// Upstream to send it to.
        upstream: UpstreamName,
        /// Number of the trial run at this VM.
        number: u64,
    },
    /// The request must wait, because another trial run is in progress or a judge has yet to
    /// answer.
    Wait,
}

/// Trial run that a judge has allowed.
#[derive(Clone, Debug)]
struct Grant {
    features: Vec<Fingerprint>,
    /// Upstream of the trial run, or `None` once it was lost.
    upstream: Option<UpstreamName>,
    until_ms: u64,
}

/// Judge's record of the trial runs that it has allowed, and its decisions on further ones.
#[derive(Clone, Debug, Default)]
pub(crate) struct TrialCoordinator {
    /// Time at which this VM became a judge, or `None` if it has not.
    since_ms: Option<u64>,
    /// Trial runs by the VM that asked and its number of the trial run.
    grants: BTreeMap<(u64, u64), Grant>,
}

impl TrialCoordinator {
    /// Records that this VM is a judge from now on.
    pub fn become_judge(&mut self, now_ms: u64) {
        self.since_ms.get_or_insert(now_ms);
    }

    /// Decides on a trial run. Returns `None` if it is allowed, or the time after which to ask
    /// again. The same question may come several times.
    pub fn decide(
        &mut self,
        now_ms: u64,
        asker: u64,
        query: &TrialQuery,
        vms: usize,
    ) -> Option<u64> {
        let pause_ms = MIN_PAUSE_MS.max(PAUSE_MS_PER_VM * vms as u64);
        let begin_ms = self.since_ms.unwrap_or(now_ms) + NEW_JUDGE_PAUSE_MS;
        if vms > 1 && now_ms < begin_ms {
            return Some(pause_ms.max(begin_ms - now_ms));
        }
        self.grants.retain(|_, grant| now_ms < grant.until_ms);
        if self.grants.contains_key(&(asker, query.number)) {
            return None;
        }
        let is_taken = |grant: &Grant| {
            grant.upstream.as_ref() == Some(&query.upstream)
                || grant.features.iter().any(|it| query.features.contains(it))
        };
        if self.grants.len() >= MAX_TRIALS || self.grants.values().any(is_taken) {
            return Some(pause_ms);
        }
        let grant = Grant {
            features: query.features.clone(),
            upstream: Some(query.upstream.clone()),
            until_ms: now_ms + query.left_ms + GRANT_SLACK_MS,
        };
        self.grants.insert((asker, query.number), grant);
        None
    }

    /// Records the end of a trial run.
    pub fn end_grant(&mut self, now_ms: u64, asker: u64, end: &TrialEnd) {
        let key = (asker, end.number);
        let Some(grant) = self.grants.get_mut(&key).filter(|it| it.upstream.is_some()) else {
            return;
        };
        if end.is_lost {
            grant.upstream = None;
            grant.until_ms = now_ms + LOST_PAUSE_MS;
        } else {
            self.grants.remove(&key);
        }
    }
}

/// State of the next trial run of a request, at the VM that asks for it.
#[derive(Clone, Debug)]
enum TrialState {
    Queried {
        query: TrialQuery,
        queries_sent: u32,
        next_ms: u64,
    },
    Denied {
        until_ms: u64,
    },
    Allowed {
        query: TrialQuery,
        until_ms: u64,
    },
    Sent {
        number: u64,
    },
}

impl TrialState {
    /// Returns the number of the trial run that a judge has allowed or may have allowed.
    fn number(&self) -> Option<u64> {
        match self {
            Self::Queried { query, .. } | Self::Allowed { query, .. } => Some(query.number),
            Self::Sent { number } => Some(*number),
            Self::Denied { .. } => None,
        }
    }
}

/// Messages that are due and what else has changed.
#[derive(Clone, Debug, Default)]
pub(crate) struct DueTrials {
    pub trial_queries: Vec<TrialQuery>,
    pub ends: Vec<TrialEnd>,
    /// Questions that no judge has answered.
    pub unanswered: Vec<TrialQuery>,
    /// Whether a request that had to wait may be sent now.
    pub may_continue: bool,
}

/// Asks judges for the trial runs of one VM.
#[derive(Clone, Debug, Default)]
pub(crate) struct TrialClient {
    /// States by the features on probation of the request that is to be sent.
    states: BTreeMap<Vec<Fingerprint>, TrialState>,
    next_number: u64,
    /// Ends of trial runs that are to be sent to the judge, and when.
    ends: Vec<(u64, TrialEnd)>,
    /// Index of the judge that is asked.
    judge: usize,
    judge_until_ms: u64,
}

impl TrialClient {
    /// Returns the index of the judge that is asked.
    pub fn judge(&self) -> usize {
        self.judge
    }

    /// Returns whether a request with these features on probation has to wait for a judge or for a
    /// trial run in progress.
    pub fn must_wait(&self, features: &[Fingerprint]) -> bool {
        let state = self.states.get(features);
        state.is_some_and(|state| !matches!(state, TrialState::Allowed { .. }))
    }

    /// Decides whether a request on probation may be sent, and schedules a question to a judge if
    /// not.
    pub fn permit(
        &mut self,
        now_ms: u64,
        features: Vec<Fingerprint>,
        upstream: &UpstreamName,
        left_ms: u64,
    ) -> Permit {
        match self.states.get(&features) {
            Some(TrialState::Allowed { query, .. }) => {
                let (upstream, number) = (query.upstream.clone(), query.number);
                self.states.insert(features, TrialState::Sent { number });
                Permit::Trial { upstream, number }
            }
            None if self.states.len() < MAX_TRIALS => {
                self.next_number += 1;
                let query = TrialQuery {
                    features: features.clone(),
                    upstream: upstream.clone(),
                    number: self.next_number,
                    left_ms,
                };
                let state = TrialState::Queried {
                    query,
                    queries_sent: 0,
                    next_ms: now_ms,
                };
                self.states.insert(features, state);
                Permit::Wait
            }
            _ => Permit::Wait,
        }
    }

    /// Records the answer of a judge. Returns whether a trial run may be sent.
    pub fn record_answer(&mut self, now_ms: u64, answer: &TrialAnswer) -> bool {
        let queried = self.states.values_mut().find_map(|state| match state {
            TrialState::Queried { query, .. } if query.number == answer.number => {
                Some((query.clone(), state))
            }
            _ => None,
        });
        let Some((query, state)) = queried else {
            let is_known = self
                .states
                .values()
                .any(|it| it.number() == Some(answer.number));
            if answer.after_ms.is_none() && !is_known {
                self.schedule_unused_end(now_ms, answer.number);
            }
            return false;
        };
        *state = match answer.after_ms {
            None => TrialState::Allowed {
                query,
                until_ms: now_ms + UNUSED_TRIAL_TTL_MS,
            },
            Some(after_ms) => TrialState::Denied {
                until_ms: now_ms + after_ms,
            },
        };
        answer.after_ms.is_none()
    }

    /// Records that a trial run has ended.
    pub fn end_trial(&mut self, now_ms: u64, number: u64, is_lost: bool) {
        let mut states = self.states.values_mut();
        let sent = states.find(|it| matches!(it, TrialState::Sent { number: it } if *it == number));
        if let Some(state) = sent {
            // The judge has to receive the end of this trial run before it is asked for the next.
            *state = TrialState::Denied {
                until_ms: now_ms + MIN_PAUSE_MS,
            };
            self.schedule_end(now_ms, TrialEnd { number, is_lost });
        }
    }

    /// Removes the states of requests with a feature that is no longer on probation. Trial runs in
    /// progress continue.
    pub fn forget(&mut self, now_ms: u64, feature: &Fingerprint) {
        let forgotten = self.states.extract_if(.., |features, state| {
            features.contains(feature) && !matches!(state, TrialState::Sent { .. })
        });
        let forgotten: Vec<u64> = forgotten.filter_map(|(_, state)| state.number()).collect();
        for number in forgotten {
            self.schedule_unused_end(now_ms, number);
        }
    }

    /// Schedules the end of a trial run that a judge has allowed, or may have, and that is not sent.
    fn schedule_unused_end(&mut self, now_ms: u64, number: u64) {
        let is_lost = false;
        self.schedule_end(now_ms, TrialEnd { number, is_lost });
    }

    fn schedule_end(&mut self, now_ms: u64, end: TrialEnd) {
        self.ends.push((now_ms, end));
        self.ends.push((now_ms + RESEND_END_MS, end));
    }

    /// Returns when something is due, or `u64::MAX` if nothing is.
    pub fn next_ms(&self) -> u64 {
        let states = self.states.values().map(|state| match state {
            TrialState::Queried { next_ms, .. } => *next_ms,
            TrialState::Denied { until_ms } | TrialState::Allowed { until_ms, .. } => *until_ms,
            TrialState::Sent { .. } => u64::MAX,
        });
        let ends = self.ends.iter().map(|(at_ms, _)| *at_ms);
        states.chain(ends).min().unwrap_or(u64::MAX)
    }

    /// Returns what is due. `judges` is the number of judges.
    pub fn due(&mut self, now_ms: u64, judges: usize) -> DueTrials {
        let mut due = DueTrials::default();
        if self.judge >= judges || self.judge_until_ms <= now_ms {
            self.judge = 0;
        }
        let mut use_next_judge = false;
        for state in self.states.values_mut() {
            match state {
                TrialState::Queried {
                    query,
                    queries_sent,
                    next_ms,
                } if *next_ms <= now_ms => {
                    use_next_judge |= *queries_sent > 0 && *queries_sent % QUERIES_PER_JUDGE == 0;
                    let max_queries = judges as u32 * QUERIES_PER_JUDGE;
                    match *queries_sent < max_queries {
                        true => due.trial_queries.push(query.clone()),
                        false => due.unanswered.push(query.clone()),
                    }
                    *queries_sent += 1;
                    *next_ms = now_ms + ANSWER_TIMEOUT_MS;
                }
                _ => {}
            }
        }
        if use_next_judge && judges > 0 {
            self.judge = (self.judge + 1) % judges;
            self.judge_until_ms = now_ms + FALLBACK_JUDGE_MS;
        }
        let mut unused = Vec::new();
        self.states.retain(|_, state| match state {
            TrialState::Denied { until_ms } if *until_ms <= now_ms => {
                due.may_continue = true;
                false
            }
            TrialState::Allowed { query, until_ms } if *until_ms <= now_ms => {
                unused.push(query.number);
                due.may_continue = true;
                false
            }
            _ => true,
        });
        for number in unused {
            self.schedule_unused_end(now_ms, number);
        }
        let ends = self.ends.extract_if(.., |(at_ms, _)| *at_ms <= now_ms);
        due.ends.extend(ends.map(|(_, end)| end));
        due
    }
}
