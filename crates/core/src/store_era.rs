//! Eras of a store that may come back from an older copy, and versions ordered within an era.
//!
//! A store that comes back from a copy has lost its latest rows and gives their versions out again.
//! It states an era, which rises by one each time, so that versions of different eras are not
//! confused.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// Number of times that a store has come back from an older copy.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreEra(u32);

impl StoreEra {
    /// Creates an era from its number.
    #[must_use]
    pub const fn new(number: u32) -> Self {
        Self(number)
    }

    /// The number of the era.
    #[must_use]
    pub const fn get(self) -> u32 {
        self.0
    }
}

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for StoreEra {
    type Err = EraFault;

    fn from_str(text: &str) -> Result<Self, EraFault> {
        let number = text.trim().parse().map_err(|_| EraFault::Unusable(Arc::from(text)))?;
        Ok(Self(number))
    }
}

/// Version of a row or of a whole store. A version of a later era is later, whatever its number.
///
/// ```
/// use oleander_core::store_era::{StoreEra, StoreRevision};
///
/// let before = StoreRevision::new(StoreEra::new(2), 900);
/// let after = StoreRevision::new(StoreEra::new(3), 40);
/// assert!(after > before);
/// assert_eq!(after.to_string(), "3/40");
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreRevision {
    /// The era in which the version was given out.
    pub era: StoreEra,
    /// The version; 0 stands for a row that does not exist.
    pub version: u64,
}

impl StoreRevision {
    /// Creates a revision.
    #[must_use]
    pub const fn new(era: StoreEra, version: u64) -> Self {
        Self { era, version }
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.version)
    }
}

/// What an answer of the store says about its era.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EraField {
    /// Nothing.
    Missing,
    /// The era.
    Stated(StoreEra),
    /// Something that is no era, or several different ones.
    Unusable(Arc<str>),
}

/// Why the era of an answer was not taken over.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EraFault {
    /// The answer is of an earlier era, so its content is outdated.
    #[error("expected an answer of era {expected} or later, found era {found}")]
    Older {
        /// The era that is known.
        expected: StoreEra,
        /// The era of the answer.
        found: StoreEra,
    },
    /// The answer states no era, although earlier ones did.
    #[error("expected an answer of era {expected} or later, found no era")]
    Missing {
        /// The era that is known.
        expected: StoreEra,
    },
    /// The answer states something that is no era.
    #[error("expected the number of an era, found {0:?}")]
    Unusable(Arc<str>),
}

/// The latest era that a store has stated; it never falls.
///
/// ```
/// use oleander_core::store_era::{EraFault, EraField, EraTracker, StoreEra};
///
/// let mut tracker = EraTracker::new();
/// let (old, new) = (StoreEra::new(1), StoreEra::new(2));
/// assert_eq!(tracker.observe(&EraField::Stated(new)), Ok(()));
/// let fault = EraFault::Older { expected: new, found: old };
/// assert_eq!(tracker.observe(&EraField::Stated(old)), Err(fault));
/// assert_eq!(tracker.known(), Some(new));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct EraTracker {
    known: Option<StoreEra>,
}

impl EraTracker {
    /// A tracker that knows no era.
    #[must_use]
    pub const fn new() -> Self {
        Self { known: None }
    }

    /// Takes over the era of an answer.
    ///
    /// # Errors
    ///
    /// [`EraFault`] when the answer states no later era than the known one; the known era stays.
    pub fn observe(&mut self, field: &EraField) -> Result<(), EraFault> {
        match (field, self.known) {
            (EraField::Stated(found), Some(expected)) if *found < expected => {
                Err(EraFault::Older { expected, found: *found })
            }
            (EraField::Stated(found), _) => {
                self.known = Some(*found);
                Ok(())
            }
            (EraField::Missing, Some(expected)) => Err(EraFault::Missing { expected }),
            (EraField::Missing, None) => Ok(()),
            (EraField::Unusable(text), _) => Err(EraFault::Unusable(Arc::clone(text))),
        }
    }

    /// The latest era; `None` while the store has stated none.
    #[must_use]
    pub const fn known(&self) -> Option<StoreEra> {
        self.known
    }
}
