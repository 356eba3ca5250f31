//! Rules and limits that a configuration must satisfy.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Maximum length of the name of a class, model, group or operator, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// Maximum number of edits in one change.
pub const MAX_EDITS: usize = 4096;
/// Maximum number of classes.
pub const MAX_CLASSES: usize = 64;
/// Maximum number of models and adapters together.
pub const MAX_MODELS: usize = 16_384;
/// Maximum number of services.
pub const MAX_SERVICES: usize = 256;
/// Maximum number of idempotent paths of one service.
pub const MAX_PATHS: usize = 64;
/// Maximum length of an idempotent path, in bytes.
pub const MAX_PATH_BYTES: usize = 256;
/// Maximum latency target of a class, in milliseconds: one day.
pub const MAX_TARGET_MS: u64 = 86_400_000;
/// Maximum size of a model, in bytes: one pebibyte.
pub const MAX_MODEL_BYTES: u64 = 1 << 50;

/// Rule of the configuration that a change can violate. Variants are named after the violation,
/// and their comments state the rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ConfigRule {
    /// A change has at least one edit.
    NoEdits,
    /// A change has at most [`MAX_EDITS`] edits.
    TooManyEdits,
    /// A name has one to [`MAX_NAME_BYTES`] letters, digits, dots, colons, underscores or hyphens,
    /// and begins with a letter or digit.
    BadName,
    /// An operator's name has no control characters and is at most [`MAX_NAME_BYTES`] long.
    BadOperator,
    /// A target is between one millisecond and [`MAX_TARGET_MS`].
    BadTarget,
    /// A model takes between one byte and [`MAX_MODEL_BYTES`].
    BadSize,
    /// An idempotent path is printable ASCII without spaces, at most [`MAX_PATH_BYTES`] long.
    BadPath,
    /// A service has at most [`MAX_PATHS`] idempotent paths.
    TooManyPaths,
    /// Only a configured class, model or service can be removed.
    NotConfigured,
    /// The base of an adapter is configured. A base that still has adapters can't be removed.
    UnknownBase,
    /// The base of an adapter is a model, not an adapter.
    BaseIsAdapter,
    /// An adapter belongs to the same group as its base.
    BaseInOtherGroup,
    /// There are at most [`MAX_CLASSES`] classes.
    TooManyClasses,
    /// There are at most [`MAX_MODELS`] models and adapters.
    TooManyModels,
    /// There are at most [`MAX_SERVICES`] services.
    TooManyServices,
    /// A change can't be at offset zero, which is the version of the empty configuration.
    FirstOffset,
}

/// Rule that a change violates, and the name that violates it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigFault {
    /// Violated rule.
    pub rule: ConfigRule,
    /// Name that violates the rule, truncated to [`MAX_NAME_BYTES`] characters; empty if the change
    /// as a whole violates it.
    pub subject: String,
}

impl ConfigFault {
    /// Creates the fault of a change as a whole.
    pub fn of_change(rule: ConfigRule) -> Self {
        Self::of(rule, "")
    }

    /// Creates the fault of one class, model, service or operator.
    pub fn of(rule: ConfigRule, subject: &str) -> Self {
        let subject = subject.chars().take(MAX_NAME_BYTES).collect();
        Self { rule, subject }
    }

    /// Returns the code under which the fault is counted.
    pub fn as_str(&self) -> &'static str {
        match self.rule {
            ConfigRule::NoEdits => "no_edits",
            ConfigRule::TooManyEdits => "too_many_edits",
            ConfigRule::BadName => "bad_name",
            ConfigRule::BadOperator => "bad_operator",
            ConfigRule::BadTarget => "bad_target",
            ConfigRule::BadSize => "bad_size",
            ConfigRule::BadPath => "bad_path",
            ConfigRule::TooManyPaths => "too_many_paths",
            ConfigRule::NotConfigured => "not_configured",
            ConfigRule::UnknownBase => "unknown_base",
            ConfigRule::BaseIsAdapter => "base_is_adapter",
            ConfigRule::BaseInOtherGroup => "base_in_other_group",
            ConfigRule::TooManyClasses => "too_many_classes",
            ConfigRule::TooManyModels => "too_many_models",
            ConfigRule::TooManyServices => "too_many_services",
            ConfigRule::FirstOffset => "first_offset",
        }
    }
}

impl fmt::Display for ConfigFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.subject.as_str() {
            "" => formatter.write_str(self.as_str()),
            subject => write!(formatter, "{}: {}", self.as_str(), subject),
        }
    }
}

/// Returns whether a text satisfies [`ConfigRule::BadName`].
pub fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b".:_-".contains(&byte);
    text.len() <= MAX_NAME_BYTES
        && text.bytes().all(allowed)
        && text
            .bytes()
            .next()
            .is_some_and(|byte| byte.is_ascii_alphanumeric())
}

/// Returns whether a text satisfies [`ConfigRule::BadPath`].
pub fn is_path(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= MAX_PATH_BYTES
        && text.bytes().all(|byte| byte.is_ascii_graphic())
}
