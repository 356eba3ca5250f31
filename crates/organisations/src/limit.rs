//! How much an organisation may use.

/// `Unit` is what a limit counts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Unit {
    /// Each request counts as one.
    #[default]
    Requests,
    /// A request counts as its tokens.
    Tokens {
        /// What a request counts that does not say its tokens.
        default_tokens: u64,
    },
}

impl Unit {
    /// Returns what a request counts that says its tokens, or does not.
    pub fn cost(self, tokens: Option<u64>) -> u64 {
        match self {
            Self::Requests => 1,
            Self::Tokens { default_tokens } => tokens.unwrap_or(default_tokens),
        }
    }
}

/// `Limit` is what an organisation may use over all VMs together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Units a second.
    pub rate_per_s: f64,
    /// Units beyond that at any time.
    pub burst: f64,
}

impl Limit {
    /// Returns whether both figures can be worked with.
    pub(crate) fn is_valid(&self) -> bool {
        let is_valid = |figure: f64| figure.is_finite() && figure >= 0.0;
        is_valid(self.rate_per_s) && is_valid(self.burst) && self.rate_per_s > 0.0
    }
}
