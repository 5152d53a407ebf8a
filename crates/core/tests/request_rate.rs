//! Texts that upstreams may state as a rate.

use oleander_core::request_rate::RequestRate;
use std::sync::Arc;

#[yare::parameterized(
    usual = { "2.6", Some(2.6) },
    whole = { " 40 ", Some(40.0) },
    zero = { "0", Some(0.0) },
    tiny = { "0.001", Some(0.001) },
    large = { "99999999999999999999999999", Some(1_000_000.0) },
    negative = { "-2.6", None },
    nan = { "NaN", None },
    endless = { "inf", None },
    exponent = { "1e3", None },
    empty = { "", None },
    dot = { ".", None },
    two_numbers = { "2.6, 3", None },
)]
fn a_rate_is_a_decimal_number(text: &str, expected: Option<f64>) {
    assert_eq!(text.parse().ok().map(RequestRate::per_second), expected);
}

#[test]
fn texts_of_any_length_are_refused() {
    assert!("9".repeat(60_000).parse::<RequestRate>().is_err());
    let error = "é".repeat(60_000).parse::<RequestRate>().unwrap_err();
    assert!(error.found.len() <= 256, "{}", error.found.len());
}

#[test]
fn the_lowest_of_repeated_rates_counts() {
    let texts = ["7", "x", "2.6", "3"].map(Arc::from);
    let (lowest, errors) = RequestRate::lowest(&texts);
    assert_eq!(lowest.map(RequestRate::per_second), Some(2.6));
    assert_eq!(errors.len(), 1);
    assert_eq!(RequestRate::lowest(&[]), (None, Vec::new()));
}
