//! Selection modes for versions and upstreams: the default and baselines for comparison.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// How versions and upstreams are chosen.
///
/// ```
/// use oleander_core::choice_mode::ChoiceMode;
///
/// assert_eq!("always_costly".parse::<ChoiceMode>().unwrap(), ChoiceMode::AlwaysCostly);
/// assert_eq!(ChoiceMode::default().to_string(), "model_aware");
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChoiceMode {
    /// The cheapest chain that meets target and deadline, on the upstream of lowest expected cost.
    #[default]
    ModelAware,
    /// Always the last step of the cascade.
    AlwaysCostly,
    /// Always the first step, then the next one after every low-confidence answer.
    CheapThenEscalate,
    /// The default chain, on an upstream drawn uniformly at random.
    UniformRandom,
    /// The default chain, on the upstream with the lowest last reported load.
    LeastReported,
}

impl ChoiceMode {
    /// Every mode, in a fixed order.
    pub const ALL: [Self; 5] = [
        Self::ModelAware,
        Self::AlwaysCostly,
        Self::CheapThenEscalate,
        Self::UniformRandom,
        Self::LeastReported,
    ];

    /// The name in snake case, as used in settings.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::ModelAware => "model_aware",
            Self::AlwaysCostly => "always_costly",
            Self::CheapThenEscalate => "cheap_then_escalate",
            Self::UniformRandom => "uniform_random",
            Self::LeastReported => "least_reported",
        }
    }
}

impl fmt::Display for ChoiceMode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The text does not name a choice mode.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "{0:?} is not a choice mode; use model_aware, always_costly, cheap_then_escalate, \
     uniform_random or least_reported"
)]
pub struct ChoiceModeError(Arc<str>);

impl FromStr for ChoiceMode {
    type Err = ChoiceModeError;

    fn from_str(text: &str) -> Result<Self, ChoiceModeError> {
        let found = Self::ALL.into_iter().find(|mode| mode.name() == text);
        found.ok_or_else(|| ChoiceModeError(Arc::from(text)))
    }
}
