//! Rules that a configuration must keep.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// The longest name of a class, model, group or operator, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// The most edits of one change.
pub const MAX_EDITS: usize = 4096;
/// The most classes.
pub const MAX_CLASSES: usize = 64;
/// The most models and adapters together.
pub const MAX_MODELS: usize = 16_384;
/// The most services.
pub const MAX_SERVICES: usize = 256;
/// The most idempotent paths of one service.
pub const MAX_PATHS: usize = 64;
/// The longest idempotent path, in bytes.
pub const MAX_PATH_BYTES: usize = 256;
/// The longest target of a class, in milliseconds: a day.
pub const MAX_TARGET_MS: u64 = 86_400_000;
/// The largest model, in bytes: a pebibyte.
pub const MAX_MODEL_BYTES: u64 = 1 << 50;

/// `ConfigRule` is a rule of the configuration that a change can break.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ConfigRule {
    /// A change has at least one edit.
    NoEdits,
    /// A change has at most [`MAX_EDITS`] edits.
    TooManyEdits,
    /// A name has one to [`MAX_NAME_BYTES`] letters, digits, dots, colons, underscores or hyphens,
    /// and begins with a letter or digit.
    BadName,
    /// An operator's name is printable and at most [`MAX_NAME_BYTES`] long.
    BadOperator,
    /// A target is between one millisecond and [`MAX_TARGET_MS`].
    BadTarget,
    /// A model takes between one byte and [`MAX_MODEL_BYTES`].
    BadSize,
    /// An idempotent path is printable, without spaces and at most [`MAX_PATH_BYTES`] long.
    BadPath,
    /// A service has at most [`MAX_PATHS`] idempotent paths.
    TooManyPaths,
    /// Only what is configured can be removed.
    NotConfigured,
    /// An adapter's base is configured. A base that has adapters can't be removed.
    UnknownBase,
    /// An adapter's base is a model, not itself an adapter.
    BaseIsAdapter,
    /// An adapter is of the same group as its base.
    BaseInOtherGroup,
    /// There are at most [`MAX_CLASSES`] classes.
    TooManyClasses,
    /// There are at most [`MAX_MODELS`] models and adapters.
    TooManyModels,
    /// There are at most [`MAX_SERVICES`] services.
    TooManyServices,
    /// Offset zero is also the version of the empty configuration, so no change can be there.
    FirstOffset,
}

/// `ConfigFault` is the rule that a change breaks, and where.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigFault {
    /// The rule.
    pub rule: ConfigRule,
    /// The name of what breaks it, cut to the longest name allowed; empty for the whole change.
    pub subject: String,
}

impl ConfigFault {
    /// Returns the fault of the whole change.
    pub fn of_change(rule: ConfigRule) -> Self {
        Self::of(rule, "")
    }

    /// Returns the fault of one named thing.
    pub fn of(rule: ConfigRule, subject: &str) -> Self {
        let subject = subject.chars().take(MAX_NAME_BYTES).collect();
        Self { rule, subject }
    }

    /// Returns the code under which it is counted.
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

/// Returns whether a text is a name that may be configured.
pub fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b".:_-".contains(&byte);
    text.len() <= MAX_NAME_BYTES
        && text.bytes().all(allowed)
        && text
            .bytes()
            .next()
            .is_some_and(|byte| byte.is_ascii_alphanumeric())
}

/// Returns whether a text is a path that may be configured.
pub fn is_path(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= MAX_PATH_BYTES
        && text.bytes().all(|byte| byte.is_ascii_graphic())
}
