//! Conversion between timestamps and Gregorian dates in UTC.

use oleander_core::units::Timestamp;

const MILLIS_PER_SECOND: u64 = 1_000;
const SECONDS_PER_DAY: u64 = 24 * 60 * 60;
const FIRST_YEAR: u64 = 1970;
const LAST_YEAR: u64 = 9999;

/// Midnight UTC at the start of a date; `None` for an invalid date.
pub fn start_of_day(year: u64, month: u64, day: u64) -> Option<Timestamp> {
    let valid = (FIRST_YEAR..=LAST_YEAR).contains(&year) && (1..=12).contains(&month);
    if !valid || day < 1 || day > days_in_month(year, month) {
        return None;
    }
    let years: u64 = (FIRST_YEAR..year).map(days_in_year).sum();
    let months: u64 = (1..month).map(|month| days_in_month(year, month)).sum();
    let days = years + months + day - 1;
    Some(Timestamp::from_millis(days * SECONDS_PER_DAY * MILLIS_PER_SECOND))
}

/// Formats a time as `YYYY-MM-DDThh:mm:ssZ`.
pub fn to_text(time: Timestamp) -> String {
    let seconds = time.as_millis() / MILLIS_PER_SECOND;
    let (mut days, second) = (seconds / SECONDS_PER_DAY, seconds % SECONDS_PER_DAY);
    let mut year = FIRST_YEAR;
    while year < LAST_YEAR && days >= days_in_year(year) {
        days -= days_in_year(year);
        year += 1;
    }
    let mut month = 1;
    while month < 12 && days >= days_in_month(year, month) {
        days -= days_in_month(year, month);
        month += 1;
    }
    let (hour, minute, second) = (second / 3_600, second / 60 % 60, second % 60);
    format!("{year:04}-{month:02}-{:02}T{hour:02}:{minute:02}:{second:02}Z", days + 1)
}

const fn is_leap(year: u64) -> bool {
    year.is_multiple_of(4) && (!year.is_multiple_of(100) || year.is_multiple_of(400))
}

const fn days_in_year(year: u64) -> u64 {
    if is_leap(year) { 366 } else { 365 }
}

const fn days_in_month(year: u64, month: u64) -> u64 {
    match month {
        2 if is_leap(year) => 29,
        2 => 28,
        4 | 6 | 9 | 11 => 30,
        _ => 31,
    }
}
