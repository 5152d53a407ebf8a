//! Arguments with a form of their own.

use crate::dates::start_of_day;
use oleander_core::catalog::objects::RolloutStep;
use oleander_core::units::{Millis, Timestamp};
use std::str::FromStr;

/// A time: `YYYY-MM-DD` at midnight UTC, or milliseconds since 1970.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BillTime(pub Timestamp);

impl FromStr for BillTime {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        if let Ok(millis) = text.parse() {
            return Ok(Self(Timestamp::from_millis(millis)));
        }
        let wrong = || format!("{text:?} is neither YYYY-MM-DD nor milliseconds since 1970");
        let parts: Vec<u64> = text.split('-').map_while(|part| part.parse().ok()).collect();
        let &[year, month, day] = parts.as_slice() else { return Err(wrong()) };
        start_of_day(year, month, day).map(Self).ok_or_else(wrong)
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
    let wrong = || format!("{text:?} is no step; write SHARE:RATINGS or SHARE:RATINGS:HOLD_MS");
    let parts: Vec<&str> = text.split(':').collect();
    let (share, ratings, hold) = match parts.as_slice() {
        [share, ratings] => (share, ratings, &"0"),
        [share, ratings, hold] => (share, ratings, hold),
        _ => return Err(wrong()),
    };
    let hold = hold.parse().map(Millis::new).map_err(|_| wrong())?;
    let ratings = ratings.parse().map_err(|_| wrong())?;
    Ok(RolloutStep { share: share.parse().map_err(|_| wrong())?, ratings, hold })
}
