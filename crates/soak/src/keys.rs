//! Organisations of the soak, the keys that their callers present, and their limits.

use std::collections::BTreeSet;

use apricotdale_standins::platform::Ask;
use apricotdale_standins::platform::SiteLimit;
use apricotdale_standins::platform::SiteOrganisation;
use parking_lot::Mutex;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::clock::Clock;
use crate::record::KeySeen;
use crate::record::LimitSeen;
use crate::record::Presented;

/// The names of the organisations. The first has a limit; the last keeps its keys.
pub(crate) const ORGANISATIONS: [&str; 3] = ["north", "south", "east"];

/// The organisation with a limit.
pub(crate) const LIMITED_ORGANISATION: usize = 0;

/// The organisation whose keys stay, and which has no limit.
pub(crate) const STABLE_ORGANISATION: usize = 2;

/// The limit at the start.
const INITIAL_RATE_PER_S: u32 = 25;

/// The window in which the use of a limit is counted.
pub(crate) const LIMIT_WINDOW_MS: u64 = 4_000;

/// The part of a window's limit that may be used beyond it, in percent.
const LIMIT_OVER_PERCENT: u64 = 10;

/// Keys of each organisation at the start.
const INITIAL_KEYS_PER_ORGANISATION: usize = 2;

/// What every key holds, by which it is found where it must not be.
pub(crate) const KEY_MARK: &str = "-secret-";

/// A key that no organisation ever holds.
const UNKNOWN_KEY: &str = "nobody-secret-0";

/// Of a hundred requests, those without a key, with an unknown one, with two.
const NO_KEY_PERCENT: u32 = 3;
const UNKNOWN_KEY_PERCENT: u32 = 3;
const TWO_KEYS_PERCENT: u32 = 2;

/// One in so many requests carries a key that was taken away, where there is one.
const REVOKED_KEY_ONE_IN: u32 = 8;

/// One in so many requests claims another organisation.
const FALSE_CLAIM_ONE_IN: u32 = 8;

/// `Keys` is what the operators have configured, and what callers know of it.
pub(crate) struct Keys {
    clock: Clock,
    held: Mutex<KeyState>,
}

struct KeyState {
    keys: Vec<KeySeen>,
    limits: Vec<LimitSeen>,
    rate_per_s: u32,
}

/// `OrganisationChange` is a change of organisations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrganisationChange {
    /// A key is added.
    Add {
        /// The organisation.
        organisation: usize,
    },
    /// The oldest key is taken away, unless it is the only one.
    Take {
        /// The organisation.
        organisation: usize,
    },
    /// The limit is another.
    Limit {
        /// Requests a second.
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
            held: Mutex::new(KeyState {
                keys: keys.collect(),
                limits: vec![limit(INITIAL_RATE_PER_S, 0, 0)],
                rate_per_s: INITIAL_RATE_PER_S,
            }),
        }
    }

    /// Returns the organisations as they are configured.
    pub fn organisations(&self) -> Vec<SiteOrganisation> {
        self.held.lock().organisations(None)
    }

    /// Returns every key and every limit that was configured.
    pub fn seen(&self) -> (Vec<KeySeen>, Vec<LimitSeen>) {
        let held = self.held.lock();
        (held.keys.clone(), held.limits.clone())
    }

    /// Carries a change out with what writes organisations into the store.
    pub fn change(&self, change: OrganisationChange, write: impl FnOnce(&[SiteOrganisation])) {
        let written_ms = self.clock.now_ms();
        let (organisations, added) = {
            let mut held = self.held.lock();
            let added = match change {
                OrganisationChange::Add { organisation } => Some(KeySeen {
                    secret: secret(organisation, held.keys.len()),
                    organisation: ORGANISATIONS[organisation].to_owned(),
                    acknowledged_ms: 0,
                    leaving_ms: None,
                    left_ms: None,
                }),
                OrganisationChange::Take { organisation } => {
                    held.begin_revoking(ORGANISATIONS[organisation], written_ms);
                    None
                }
                OrganisationChange::Limit { rate_per_s } => {
                    held.rate_per_s = rate_per_s;
                    None
                }
            };
            (held.organisations(added.as_ref()), added)
        };
        write(&organisations);
        let acknowledged_ms = self.clock.now_ms();
        let mut held = self.held.lock();
        held.keys.extend(added.map(|key| KeySeen {
            acknowledged_ms,
            ..key
        }));
        if let OrganisationChange::Limit { rate_per_s } = change {
            let limit = limit(rate_per_s, written_ms, acknowledged_ms);
            held.limits.push(limit);
        }
        let left = held.keys.iter_mut();
        left.filter(|key| key.leaving_ms == Some(written_ms))
            .for_each(|key| key.left_ms = Some(acknowledged_ms));
    }

    /// Returns a request with a key of the organisation that keeps its keys.
    pub fn with_stable_key(&self, ask: &Ask) -> (Ask, Presented) {
        let held = self.held.lock();
        let key = held
            .of(ORGANISATIONS[STABLE_ORGANISATION])
            .next()
            .unwrap_or_default();
        (
            ask.clone().without_keys().with_key(&held.keys[key].secret),
            Presented::Key(key),
        )
    }

    /// Returns a request as a caller of an organisation sends it, with or without a good key.
    pub fn with_drawn_key(
        &self,
        ask: &Ask,
        organisation: usize,
        random: &mut ChaCha8Rng,
    ) -> (Ask, Presented) {
        let held = self.held.lock();
        let name = ORGANISATIONS[organisation];
        let kept: Vec<usize> = held.of(name).collect();
        let keys = held.keys.iter().enumerate();
        let taken: Vec<usize> = keys
            .filter(|(_, key)| key.organisation == name && key.leaving_ms.is_some())
            .map(|(index, _)| index)
            .collect();
        let ask = ask.clone().without_keys();
        let ask = match random.random_ratio(1, FALSE_CLAIM_ONE_IN) {
            true => ask.claiming(ORGANISATIONS[(organisation + 1) % ORGANISATIONS.len()]),
            false => ask,
        };
        let is_late = random.random_ratio(1, REVOKED_KEY_ONE_IN) && !taken.is_empty();
        let from = if is_late { &taken } else { &kept };
        let key = from[random.random_range(0..from.len())];
        let secret = &held.keys[key].secret;
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
    /// Returns the keys of an organisation that are not being taken away.
    fn of<'a>(&'a self, name: &'a str) -> impl Iterator<Item = usize> + 'a {
        let keys = self.keys.iter().enumerate();
        keys.filter(move |(_, key)| key.organisation == name && key.leaving_ms.is_none())
            .map(|(index, _)| index)
    }

    fn begin_revoking(&mut self, name: &str, at_ms: u64) {
        let kept: Vec<usize> = self.of(name).collect();
        if let [oldest, _, ..] = kept[..] {
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
                    .of(name)
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

/// Returns the settings of entry VMs about organisations.
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
