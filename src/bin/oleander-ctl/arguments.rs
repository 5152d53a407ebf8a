//! Arguments with a form of their own.

use oleander_core::catalog::objects::RolloutStep;
use oleander_core::units::{Millis, Timestamp};
use std::str::FromStr;

const MILLIS_PER_DAY: u64 = 24 * 60 * 60 * 1000;

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
        let days = days_since_1970(year, month, day).ok_or_else(wrong)?;
        Ok(Self(Timestamp::from_millis(days * MILLIS_PER_DAY)))
    }
}

/// Days from 1970-01-01 to a date of the Gregorian calendar.
fn days_since_1970(year: u64, month: u64, day: u64) -> Option<u64> {
    let valid = (1970..=9999).contains(&year) && (1..=12).contains(&month);
    if !valid || day < 1 || day > days_in_month(year, month) {
        return None;
    }
    let years: u64 = (1970..year).map(|year| if is_leap(year) { 366 } else { 365 }).sum();
    let months: u64 = (1..month).map(|month| days_in_month(year, month)).sum();
    Some(years + months + day - 1)
}

const fn is_leap(year: u64) -> bool {
    year.is_multiple_of(4) && (!year.is_multiple_of(100) || year.is_multiple_of(400))
}

const fn days_in_month(year: u64, month: u64) -> u64 {
    match month {
        2 if is_leap(year) => 29,
        2 => 28,
        4 | 6 | 9 | 11 => 30,
        _ => 31,
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
