//! Organisations of the soak, with their keys and limits, and the keys that callers present.

use std::collections::BTreeSet;

use apricotdale_standins::platform::SiteLimit;
use apricotdale_standins::platform::SiteOrganisation;
use apricotdale_standins::platform::SiteRequest;
use parking_lot::Mutex;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::clock::Clock;
use crate::record::KeySeen;
use crate::record::LimitSeen;
use crate::record::Presented;

/// Names of the organisations. The first has a limit; the last keeps its keys.
pub(crate) const ORGANISATIONS: [&str; 3] = ["north", "south", "east"];

/// Index of the organisation that has a limit.
pub(crate) const LIMITED_ORGANISATION: usize = 0;

/// Index of the organisation whose keys are never revoked and which has no limit.
pub(crate) const STABLE_ORGANISATION: usize = 2;

/// Limit in the initial configuration, in requests per second.
pub(crate) const INITIAL_RATE_PER_S: u32 = 25;

/// Window in which the requests of an organisation are counted against its limit.
pub(crate) const LIMIT_WINDOW_MS: u64 = 4_000;

/// Overuse of a window's limit that the VMs are configured to allow, in percent of the limit.
const LIMIT_OVER_PERCENT: u64 = 10;

const INITIAL_KEYS_PER_ORGANISATION: usize = 2;

/// Text that every key contains, by which keys are found where none may appear.
pub(crate) const KEY_MARK: &str = "-secret-";

/// Key that no organisation ever holds.
const UNKNOWN_KEY: &str = "nobody-secret-0";

/// Percentage of requests without a key.
const NO_KEY_PERCENT: u32 = 3;

/// Percentage of requests with a key that no organisation holds.
const UNKNOWN_KEY_PERCENT: u32 = 3;

/// Percentage of requests with two keys.
const TWO_KEYS_PERCENT: u32 = 2;

/// One in this many requests carries a revoked key, if its organisation has one.
const REVOKED_KEY_ONE_IN: u32 = 8;

/// One in this many requests names another organisation than that of its key.
const FALSE_CLAIM_ONE_IN: u32 = 8;

/// Keys and limits that the operators have configured, from which callers draw their keys.
pub(crate) struct Keys {
    clock: Clock,
    state: Mutex<KeyState>,
}

struct KeyState {
    keys: Vec<KeySeen>,
    limits: Vec<LimitSeen>,
    rate_per_s: u32,
}

/// Change of an organisation's keys or limit by the operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrganisationChange {
    /// Adds a key.
    Add {
        /// Index of the organisation.
        organisation: usize,
    },
    /// Revokes the oldest key, unless it is the only one.
    Take {
        /// Index of the organisation.
        organisation: usize,
    },
    /// Changes the limit of the organisation that has one.
    Limit {
        /// New limit in requests per second.
        rate_per_s: u32,
    },
}

impl Keys {
    pub fn new(clock: Clock) -> Self {
        let organisations = 0..ORGANISATIONS.len();
        let keys =
            organisations.flat_map(|it| std::iter::repeat_n(it, INITIAL_KEYS_PER_ORGANISATION));
        let keys = keys.enumerate().map(|(number, organisation)| KeySeen {
            secret: secret(organisation, number),
            organisation: ORGANISATIONS[organisation].to_owned(),
            acknowledged_ms: 0,
            leaving_ms: None,
            left_ms: None,
        });
        Self {
            clock,
            state: Mutex::new(KeyState {
                keys: keys.collect(),
                limits: vec![limit(INITIAL_RATE_PER_S, 0, 0)],
                rate_per_s: INITIAL_RATE_PER_S,
            }),
        }
    }

    /// Returns the organisations as the operators configure them now.
    pub fn organisations(&self) -> Vec<SiteOrganisation> {
        self.state.lock().organisations(None)
    }

    /// Returns every key and every limit that was configured so far.
    pub fn seen(&self) -> (Vec<KeySeen>, Vec<LimitSeen>) {
        let state = self.state.lock();
        (state.keys.clone(), state.limits.clone())
    }

    /// Applies a change: `write` writes the new organisations into the store, and returns once they
    /// are acknowledged.
    pub fn change(&self, change: OrganisationChange, write: impl FnOnce(&[SiteOrganisation])) {
        let written_ms = self.clock.now_ms();
        let (organisations, added) = {
            let mut state = self.state.lock();
            let added = match change {
                OrganisationChange::Add { organisation } => Some(KeySeen {
                    secret: secret(organisation, state.keys.len()),
                    organisation: ORGANISATIONS[organisation].to_owned(),
                    acknowledged_ms: 0,
                    leaving_ms: None,
                    left_ms: None,
                }),
                OrganisationChange::Take { organisation } => {
                    state.begin_revoking(ORGANISATIONS[organisation], written_ms);
                    None
                }
                OrganisationChange::Limit { rate_per_s } => {
                    state.rate_per_s = rate_per_s;
                    None
                }
            };
            (state.organisations(added.as_ref()), added)
        };
        write(&organisations);
        let acknowledged_ms = self.clock.now_ms();
        let mut state = self.state.lock();
        state.keys.extend(added.map(|key| KeySeen {
            acknowledged_ms,
            ..key
        }));
        if let OrganisationChange::Limit { rate_per_s } = change {
            let limit = limit(rate_per_s, written_ms, acknowledged_ms);
            state.limits.push(limit);
        }
        let left = state.keys.iter_mut();
        left.filter(|key| key.leaving_ms == Some(written_ms))
            .for_each(|key| key.left_ms = Some(acknowledged_ms));
    }

    /// Returns a request with a key of the organisation whose keys are never revoked.
    pub fn with_stable_key(&self, ask: &SiteRequest) -> (SiteRequest, Presented) {
        let state = self.state.lock();
        let key = state
            .valid_keys(ORGANISATIONS[STABLE_ORGANISATION])
            .next()
            .unwrap_or_default();
        (
            ask.clone().without_keys().with_key(&state.keys[key].secret),
            Presented::Key(key),
        )
    }

    /// Returns a request as a caller of an organisation sends it: with a valid key or with a
    /// revoked, an unknown, two or no key, as drawn.
    pub fn with_drawn_key(
        &self,
        ask: &SiteRequest,
        organisation: usize,
        random: &mut ChaCha8Rng,
    ) -> (SiteRequest, Presented) {
        let state = self.state.lock();
        let name = ORGANISATIONS[organisation];
        let valid: Vec<usize> = state.valid_keys(name).collect();
        let keys = state.keys.iter().enumerate();
        let revoked: Vec<usize> = keys
            .filter(|(_, key)| key.organisation == name && key.leaving_ms.is_some())
            .map(|(index, _)| index)
            .collect();
        let ask = ask.clone().without_keys();
        let ask = match random.random_ratio(1, FALSE_CLAIM_ONE_IN) {
            true => ask.claiming(ORGANISATIONS[(organisation + 1) % ORGANISATIONS.len()]),
            false => ask,
        };
        let uses_revoked = random.random_ratio(1, REVOKED_KEY_ONE_IN) && !revoked.is_empty();
        let from = if uses_revoked { &revoked } else { &valid };
        let key = from[random.random_range(0..from.len())];
        let secret = &state.keys[key].secret;
        match random.random_range(0..100) {
            drawn if drawn < NO_KEY_PERCENT => (ask, Presented::None),
            drawn if drawn < NO_KEY_PERCENT + UNKNOWN_KEY_PERCENT => {
                (ask.with_key(UNKNOWN_KEY), Presented::Unknown)
            }
            drawn if drawn < NO_KEY_PERCENT + UNKNOWN_KEY_PERCENT + TWO_KEYS_PERCENT => {
                (ask.with_key(secret).with_key(secret), Presented::Several)
            }
            _ => (ask.with_key(secret), Presented::Key(key)),
        }
    }
}

impl KeyState {
    /// Returns the indices of an organisation's keys whose revocation has not begun.
    fn valid_keys<'a>(&'a self, name: &'a str) -> impl Iterator<Item = usize> + 'a {
        let keys = self.keys.iter().enumerate();
        keys.filter(move |(_, key)| key.organisation == name && key.leaving_ms.is_none())
            .map(|(index, _)| index)
    }

    fn begin_revoking(&mut self, name: &str, at_ms: u64) {
        let valid: Vec<usize> = self.valid_keys(name).collect();
        if let [oldest, _, ..] = valid[..] {
            self.keys[oldest].leaving_ms = Some(at_ms);
        }
    }

    fn organisations(&self, added: Option<&KeySeen>) -> Vec<SiteOrganisation> {
        let rate_per_s = f64::from(self.rate_per_s);
        let limit = |index| {
            (index == LIMITED_ORGANISATION).then(|| SiteLimit::requests(rate_per_s, rate_per_s))
        };
        let names = ORGANISATIONS.iter().enumerate();
        names
            .map(|(index, name)| SiteOrganisation {
                name: (*name).to_owned(),
                keys: self
                    .valid_keys(name)
                    .map(|key| self.keys[key].secret.clone())
                    .chain(
                        added
                            .filter(|key| key.organisation == *name)
                            .map(|key| key.secret.clone()),
                    )
                    .collect::<BTreeSet<_>>()
                    .into_iter()
                    .collect(),
                limit: limit(index),
            })
            .collect()
    }
}

/// Returns the settings of the entry VMs for limits of organisations.
pub(crate) fn vm_settings() -> String {
    format!(
        "[organisations]\nlimit_window_s = {}\nlimit_over = {}\nlimit_slack = 0\n",
        LIMIT_WINDOW_MS as f64 / 1_000.0,
        LIMIT_OVER_PERCENT as f64 / 100.0
    )
}

fn secret(organisation: usize, number: usize) -> String {
    format!("{}{KEY_MARK}{number}", ORGANISATIONS[organisation])
}

fn limit(rate_per_s: u32, written_ms: u64, acknowledged_ms: u64) -> LimitSeen {
    let burst = u64::from(rate_per_s);
    let in_window = burst * LIMIT_WINDOW_MS / 1_000 + burst;
    LimitSeen {
        organisation: ORGANISATIONS[LIMITED_ORGANISATION].to_owned(),
        written_ms,
        acknowledged_ms,
        most_in_window: (in_window * (100 + LIMIT_OVER_PERCENT) / 100) as usize,
    }
}
