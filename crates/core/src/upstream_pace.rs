//! How long work takes at an upstream now, compared with its usual time.

use serde::{Deserialize, Serialize};

/// Unit of a reported pace, in per cent.
const PACE_UNIT: u16 = 10;

/// The pace of an upstream as told to other hosts, in tenths of the usual time; 0 if it is not known.
///
/// ```
/// use oleander_core::upstream_pace::ReportedPace;
///
/// assert_eq!(ReportedPace::new(Some(134)).percent(), Some(130));
/// assert_eq!(ReportedPace::new(None).percent(), None);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedPace(u8);

impl ReportedPace {
    /// Rounds a pace in per cent of the usual time.
    #[must_use]
    pub fn new(percent: Option<u16>) -> Self {
        let units =
            percent.map_or(0, |percent| (percent.saturating_add(PACE_UNIT / 2)) / PACE_UNIT);
        Self(u8::try_from(units).unwrap_or(u8::MAX))
    }

    /// The pace in per cent of the usual time, if known.
    #[must_use]
    pub const fn percent(self) -> Option<u16> {
        if self.0 == 0 { None } else { Some(self.0 as u16 * PACE_UNIT) }
    }
}
