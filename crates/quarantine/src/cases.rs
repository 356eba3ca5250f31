//! Crash cases: the crashes that count against a request or against a prompt part.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::collections::HashSet;

use apricotdale_core::names::UpstreamName;

use crate::blocks::Blocks;
use crate::crashes::Crash;
use crate::crashes::CrashLog;
use crate::crashes::LostCopies;
use crate::features::RequestFeatures;
use crate::fingerprint::CallerHash;
use crate::fingerprint::Fingerprint;
use crate::options::Options;
use crate::reports::CaseCrash;
use crate::reports::CaseRow;

/// Crash that counts against a feature.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CaseEvent {
    pub upstream: UpstreamName,
    pub at_ms: u64,
    /// Whether a request was in progress there that is known to crash upstreams, and that this
    /// feature does not account for.
    pub is_explained: bool,
    /// Whether other upstreams crashed at the same time, as those of one rack do.
    pub is_in_group: bool,
    /// Number of copies that were lost.
    pub copies: u32,
    /// Number of these copies that were trial runs.
    pub trials: u32,
    /// Number of these trial runs whose request matches no block of parts.
    pub unmatched_trials: u32,
}

impl CaseEvent {
    /// Returns whether nothing else than a request explains the crash.
    pub fn is_unexplained(&self) -> bool {
        !self.is_explained && !self.is_in_group
    }
}

/// All crashes that count against a request or a prompt part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CrashCase {
    pub feature: Fingerprint,
    pub is_part: bool,
    pub caller: CallerHash,
    /// Features that all lost requests with this feature have, itself included, sorted.
    pub common: Vec<Fingerprint>,
    /// Whether a request with the feature was answered within the time that is remembered.
    pub was_answered: bool,
    /// Number of upstreams with a lost trial run that tells this feature from others: the request
    /// was lost for the first time, nothing else of it that not all lost requests share was under
    /// suspicion, and no request with a rarer part on probation was in progress there.
    pub distinct_trials: u32,
    /// Crashes in order of time.
    pub crashes: Vec<CaseEvent>,
}

impl CrashCase {
    /// Returns the crashes without another explanation.
    pub fn unexplained(&self) -> impl Iterator<Item = &CaseEvent> {
        self.crashes.iter().filter(|crash| crash.is_unexplained())
    }

    /// Returns the number of lost trial runs.
    pub fn trials(&self) -> u32 {
        self.crashes.iter().map(|crash| crash.trials).sum()
    }

    /// Returns the number of crashes with a lost trial run that no known block explains.
    pub fn unexplained_trials(&self) -> usize {
        let crashes = self.crashes.iter().filter(|crash| !crash.is_explained);
        crashes.filter(|crash| crash.unmatched_trials > 0).count()
    }

    /// Returns the features that a block of this case consists of: the request if all crashes were
    /// under the same one, or else the parts that all requests have in common. `requests` are all
    /// features that are no parts.
    pub fn blocked_features(&self, requests: &HashSet<Fingerprint>) -> Vec<Fingerprint> {
        match self.common.iter().find(|it| requests.contains(it)) {
            _ if !self.is_part => vec![self.feature],
            Some(request) => vec![*request],
            None => self.common.clone(),
        }
    }

    /// Returns the times of the crashes that count for probation. Crashes within
    /// [`Options::group_ms`] of each other count as one.
    fn moments(&self, options: &Options) -> Vec<u64> {
        let crashes = self.crashes.iter().filter(|crash| !crash.is_explained);
        let mut moments: Vec<u64> = Vec::new();
        let mut last_ms = 0;
        for crash in crashes {
            if moments.is_empty() || crash.at_ms > last_ms + options.group_ms {
                moments.push(crash.at_ms);
            }
            last_ms = crash.at_ms;
        }
        moments
    }

    /// Returns since when an answer ends the probation, or `None` if the case does not meet the
    /// limits for probation.
    ///
    /// Copies of a request count, and crashes. Requests with a popular part are lost with every
    /// upstream, so that for parts only crashes at different times count.
    pub fn probation_since_ms(&self, options: &Options) -> Option<u64> {
        if self.is_part {
            let moments = self.moments(options);
            let first = moments.len().checked_sub(options.probation_crashes)?;
            return moments.get(first).copied();
        }
        let copies: u32 = self.crashes.iter().map(|crash| crash.copies).sum();
        let is_met = self.crashes.len() >= options.probation_crashes
            || copies >= options.probation_copies
            || self.trials() > 0;
        self.crashes.last().filter(|_| is_met).map(|it| it.at_ms)
    }

    /// Returns whether this part, and not the one of another case, may be the cause of all crashes
    /// since the other one was last answered. Parts that all lost requests share are no others.
    fn explains_as_much(&self, other: &Self, options: &Options) -> bool {
        let from_ms = |case: &Self| case.crashes.first().map(|crash| crash.at_ms);
        // The crash of the trial run itself counts, too.
        let is_suspect = self.moments(options).len() > options.probation_crashes;
        is_suspect && !other.common.contains(&self.feature) && from_ms(self) <= from_ms(other)
    }

    /// Returns whether this part is on probation and all lost requests with it have that of another
    /// case, but not the reverse. The other part is under all crashes that this one causes, so that
    /// further ones of it tell nothing. The same part for a single model is not rarer.
    fn is_rarer_suspect(&self, other: &Self, options: &Options) -> bool {
        self.is_part
            && self.common.contains(&other.feature)
            && !other.common.contains(&self.feature)
            && !self.feature.is_same_part(&other.feature)
            && self.moments(options).len() >= options.probation_crashes
    }

    /// Returns the crashes without a known explanation that were under no rarer part on probation.
    pub fn telling_crashes<'a>(
        &'a self,
        cases: &'a [Self],
        options: &Options,
    ) -> impl Iterator<Item = &'a CaseEvent> {
        let rarer = cases.iter();
        let rarer = rarer.filter(|it| it.is_rarer_suspect(self, options));
        let claimed: HashSet<&UpstreamName> = rarer
            .flat_map(|it| &it.crashes)
            .map(|crash| &crash.upstream)
            .collect();
        let crashes = self.crashes.iter().filter(|crash| !crash.is_explained);
        crashes.filter(move |crash| !claimed.contains(&crash.upstream))
    }

    /// Returns the case as it is stored.
    pub fn row(&self, now_ms: u64) -> CaseRow {
        let crashes = self.crashes.iter().map(|crash| CaseCrash {
            upstream: crash.upstream.clone(),
            ago_ms: now_ms.saturating_sub(crash.at_ms),
            copies: crash.copies,
            trials: crash.trials,
        });
        let parts = self
            .common
            .iter()
            .filter(|it| self.is_part || **it != self.feature);
        CaseRow {
            fingerprint: self.feature,
            caller: self.caller,
            parts: parts.copied().collect(),
            crashes: crashes.collect(),
        }
    }
}

/// Crash with the requests that were in progress, and what is known about them.
struct JudgedCrash<'a> {
    upstream: &'a UpstreamName,
    crash: &'a Crash,
    is_in_group: bool,
    /// Requests that match known blocks, with the features that account for the crash.
    known: Vec<(Fingerprint, Vec<Fingerprint>)>,
    /// Requests that were lost with other upstreams, too, according to their blocks.
    lost_elsewhere: HashSet<Fingerprint>,
}

impl<'a> JudgedCrash<'a> {
    fn new(
        log: &CrashLog,
        upstream: &'a UpstreamName,
        crash: &'a Crash,
        blocks: &Blocks,
        options: &Options,
    ) -> Self {
        let mut known = Vec::new();
        let mut lost_elsewhere = HashSet::new();
        for (request, loss) in &crash.suspects {
            let features = loss.features(*request);
            for block in blocks.matching(&features) {
                // A request that was blocked at once, since a part of it was under suspicion, may
                // have been lost beside the cause.
                let is_of_request = block.features == [*request];
                if is_of_request && block.upstreams.iter().any(|it| it != upstream) {
                    lost_elsewhere.insert(*request);
                }
                if is_of_request && block.upstreams.len() < options.unexplained_crashes {
                    continue;
                }
                // A blocked request was blamed as a whole, so that each of its parts may be the
                // cause.
                let accounts_for = match block.features.as_slice() {
                    [only] if only == request => features.all().copied().collect(),
                    features => features.to_vec(),
                };
                known.push((*request, accounts_for));
            }
        }
        Self {
            upstream,
            crash,
            is_in_group: log.is_in_group(crash, options),
            known,
            lost_elsewhere,
        }
    }

    /// Returns whether a request matches a block of parts.
    fn has_blocked_parts(&self, request: &Fingerprint) -> bool {
        let mut known = self.known.iter();
        known.any(|(it, accounts_for)| it == request && !accounts_for.contains(request))
    }

    fn is_explained_for(&self, feature: &Fingerprint) -> bool {
        let mut known = self.known.iter();
        known.any(|(_, accounts_for)| !accounts_for.contains(feature))
    }
}

/// Returns the number of [`CrashCase::distinct_trials`] of each part that has any.
fn distinct_trials(
    crashes: &[JudgedCrash<'_>],
    cases: &HashMap<Fingerprint, CrashCase>,
    options: &Options,
) -> HashMap<Fingerprint, u32> {
    let mut counts: HashMap<Fingerprint, u32> = HashMap::new();
    for judged in crashes {
        // All requests at an upstream are lost together, so that its end counts once.
        let mut told: HashSet<Fingerprint> = HashSet::new();
        let beside: HashSet<&Fingerprint> = judged
            .crash
            .suspects
            .values()
            .flat_map(|it| &it.parts)
            .collect();
        let is_claimed = |case: &CrashCase| {
            let mut beside = beside.iter().filter_map(|it| cases.get(*it));
            beside.any(|other| other.is_rarer_suspect(case, options))
        };
        let trials = judged.crash.suspects.iter();
        let trials = trials
            .filter(|(request, loss)| loss.copies().trials > 0 && !loss.is_stored_part(request));
        for (request, loss) in trials.filter(|(request, _)| !judged.has_blocked_parts(request)) {
            let is_first = cases
                .get(request)
                .is_some_and(|case| case.crashes.len() == 1)
                && !judged.lost_elsewhere.contains(request);
            let parts: Vec<&CrashCase> = loss.parts.iter().filter_map(|it| cases.get(it)).collect();
            for case in parts.iter().filter(|_| is_first) {
                let mut others = parts.iter();
                if !others.any(|other| other.explains_as_much(case, options)) && !is_claimed(case) {
                    told.insert(case.feature);
                }
            }
        }
        for feature in told {
            *counts.entry(feature).or_default() += 1;
        }
    }
    counts
}

impl LostCopies {
    /// Returns whether this is what the store holds about a part, and no request. It counts for the
    /// case of that part only, since each of the other parts has a stored case of its own.
    fn is_stored_part(&self, feature: &Fingerprint) -> bool {
        self.parts.binary_search(feature).is_ok()
    }

    pub(crate) fn features(&self, request: Fingerprint) -> RequestFeatures {
        RequestFeatures {
            request,
            parts: self.parts.as_slice().into(),
        }
    }
}

impl CrashLog {
    /// Returns the cases of all requests and prompt parts under some crashes, the one that is most
    /// likely their cause first. Known blocks explain the crashes under requests that they match.
    pub fn cases(
        &self,
        is_counted: impl Fn(&Crash) -> bool,
        options: &Options,
        blocks: &Blocks,
    ) -> Vec<CrashCase> {
        let settled = self.crashes.iter().filter(|(_, crash)| is_counted(crash));
        let mut crashes: Vec<JudgedCrash> = settled
            .map(|(upstream, crash)| JudgedCrash::new(self, upstream, crash, blocks, options))
            .collect();
        crashes.sort_by_key(|it| it.crash.at_ms);
        let mut cases: HashMap<Fingerprint, CrashCase> = HashMap::new();
        for judged in &crashes {
            let suspects = judged.crash.suspects.iter();
            let (stored, requests): (Vec<_>, Vec<_>) =
                suspects.partition(|(feature, loss)| loss.is_stored_part(feature));
            for (request, loss) in requests {
                let features = loss.features(*request);
                for feature in features.all() {
                    self.add_to_case(&mut cases, judged, &features, feature, loss);
                }
            }
            for (part, loss) in stored {
                self.add_to_case(&mut cases, judged, &loss.features(*part), part, loss);
            }
        }
        for (feature, count) in distinct_trials(&crashes, &cases, options) {
            if let Some(case) = cases.get_mut(&feature) {
                case.distinct_trials = count;
            }
        }
        let mut cases: Vec<CrashCase> = cases.into_values().collect();
        cases.sort_by_key(|case| {
            let unexplained = case.unexplained().count();
            (
                case.was_answered,
                Reverse((
                    case.distinct_trials,
                    case.unexplained_trials(),
                    unexplained,
                    case.crashes.len(),
                )),
                Reverse(case.common.len()),
                case.feature,
            )
        });
        cases
    }

    fn add_to_case(
        &self,
        cases: &mut HashMap<Fingerprint, CrashCase>,
        judged: &JudgedCrash<'_>,
        features: &RequestFeatures,
        feature: &Fingerprint,
        loss: &LostCopies,
    ) {
        let is_part = *feature != features.request || features.parts.contains(feature);
        let case = cases.entry(*feature).or_insert_with(|| CrashCase {
            feature: *feature,
            is_part: false,
            caller: loss.caller,
            common: Vec::new(),
            was_answered: self.is_answered_since(feature, 0),
            distinct_trials: 0,
            crashes: Vec::new(),
        });
        case.is_part |= is_part;
        let is_explained = judged.is_explained_for(feature);
        if !is_explained {
            match case.common.is_empty() {
                true => {
                    case.common = features.all().copied().collect();
                    case.common.sort_unstable();
                    case.common.dedup();
                }
                false => case.common.retain(|it| features.contains(it)),
            }
        }
        let copies = loss.copies();
        let unmatched_trials = match judged.has_blocked_parts(&features.request) {
            true => 0,
            false => copies.trials,
        };
        match case.crashes.last_mut() {
            // The requests that are known may be among those of the stored case.
            Some(last)
                if last.upstream == *judged.upstream && loss.is_stored_part(&features.request) =>
            {
                last.copies = last.copies.max(copies.all);
                last.trials = last.trials.max(copies.trials);
                last.unmatched_trials = last.unmatched_trials.max(unmatched_trials);
            }
            Some(last) if last.upstream == *judged.upstream => {
                last.copies += copies.all;
                last.trials += copies.trials;
                last.unmatched_trials += unmatched_trials;
            }
            _ => case.crashes.push(CaseEvent {
                upstream: judged.upstream.clone(),
                at_ms: judged.crash.at_ms,
                is_explained,
                is_in_group: judged.is_in_group,
                copies: copies.all,
                trials: copies.trials,
                unmatched_trials,
            }),
        }
    }

    /// Returns the largest number of crashes of any feature that is not common to the requests of a
    /// case but was at one of its unexplained crashes.
    pub fn max_beside(
        &self,
        case: &CrashCase,
        crash_counts: &HashMap<Fingerprint, usize>,
    ) -> usize {
        let crashes = case.unexplained();
        let crashes = crashes.filter_map(|crash| self.crashes.get(&crash.upstream));
        let suspects = crashes.flat_map(|crash| &crash.suspects);
        let features =
            suspects.flat_map(|(request, loss)| std::iter::once(request).chain(&loss.parts));
        let beside = features.filter(|it| !case.common.contains(it));
        let counts = beside.filter_map(|it| crash_counts.get(it).copied());
        counts.max().unwrap_or(0)
    }
}
