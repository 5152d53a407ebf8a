//! Parsers of command-line arguments.

use crate::dates::start_of_day;
use oleander_core::catalog::objects::RolloutStep;
use oleander_core::units::{Millis, Timestamp};
use std::str::FromStr;

/// A time: `YYYY-MM-DD` (midnight UTC) or milliseconds since 1970.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BillTime(pub Timestamp);

impl FromStr for BillTime {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        if let Ok(millis) = text.parse() {
            return Ok(Self(Timestamp::from_millis(millis)));
        }
        let invalid = || format!("{text:?} is neither YYYY-MM-DD nor milliseconds since 1970");
        let parts: Vec<u64> = text.split('-').map_while(|part| part.parse().ok()).collect();
        let &[year, month, day] = parts.as_slice() else { return Err(invalid()) };
        start_of_day(year, month, day).map(Self).ok_or_else(invalid)
    }
}

/// Steps of a roll-out: `SHARE:RATINGS` or `SHARE:RATINGS:HOLD_MS`, comma-separated.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutSteps(pub Vec<RolloutStep>);

impl FromStr for RolloutSteps {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        text.split(',').map(parse_step).collect::<Result<_, _>>().map(Self)
    }
}

fn parse_step(text: &str) -> Result<RolloutStep, String> {
    let invalid = || format!("{text:?} is not a step; expected SHARE:RATINGS[:HOLD_MS]");
    let parts: Vec<&str> = text.split(':').collect();
    let (share, ratings, hold) = match parts.as_slice() {
        [share, ratings] => (share, ratings, &"0"),
        [share, ratings, hold] => (share, ratings, hold),
        _ => return Err(invalid()),
    };
    let hold = hold.parse().map(Millis::new).map_err(|_| invalid())?;
    let ratings = ratings.parse().map_err(|_| invalid())?;
    Ok(RolloutStep { share: share.parse().map_err(|_| invalid())?, ratings, hold })
}
