//! Limits on the usage of an organisation.

/// Unit in which a limit counts requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Unit {
    /// Each request counts as 1.
    #[default]
    Requests,
    /// Each request counts as its number of tokens.
    Tokens {
        /// Count of a request that does not state its number of tokens.
        default_tokens: u64,
    },
}

impl Unit {
    /// Returns the count of a request that states this number of tokens, if any.
    pub fn cost(self, tokens: Option<u64>) -> u64 {
        match self {
            Self::Requests => 1,
            Self::Tokens { default_tokens } => tokens.unwrap_or(default_tokens),
        }
    }
}

/// Token bucket limit on the usage of an organisation over all VMs together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Sustained rate in units per second.
    pub rate_per_s: f64,
    /// Units that may be used in excess of the rate at any time.
    pub burst: f64,
}

impl Limit {
    /// Returns whether the rate is a positive number and the burst a number that is not negative.
    pub(crate) fn is_valid(&self) -> bool {
        let is_valid = |number: f64| number.is_finite() && number >= 0.0;
        is_valid(self.rate_per_s) && is_valid(self.burst) && self.rate_per_s > 0.0
    }
}
