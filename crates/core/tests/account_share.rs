//! Accounts above their fair share, by the load of one account at 7.5 times its usual rate.

use oleander_core::account_share::{AccountHash, AccountShare, ReportedDemand};
use oleander_core::host_view::HostHash;
use oleander_core::units::Timestamp;

const ACCOUNTS: usize = 12;
const HOSTS: usize = 75;

fn account(number: usize) -> AccountHash {
    AccountHash::new(&format!("account-{number}"))
}

fn host(number: usize) -> HostHash {
    HostHash::new(&format!("host-{number}").parse().unwrap())
}

/// What a host reports: two requests a second of each account, and 7.5 times that of the first one.
fn usual() -> Vec<ReportedDemand> {
    let rate = |number| if number == 0 { 150 } else { 20 };
    (0..8).map(|number| ReportedDemand { account: account(number), rate: rate(number) }).collect()
}

/// A host that has heard every `stride`th of the others at `now`, and has a request of each account.
fn listener(stride: usize, now: Timestamp) -> AccountShare {
    let mut share = AccountShare::new();
    (0..HOSTS).step_by(stride).for_each(|number| share.merge(host(number), &usual(), now));
    (0..ACCOUNTS).for_each(|number| share.record(account(number), now));
    share
}

/// Guards against accounts within their share that are cut for the one above it, and against hosts that
/// lose datagrams and then take another account for it: eight of ten requests can be served.
#[yare::parameterized(all = { 1 }, few = { 15 }, one = { 75 })]
fn only_the_account_above_its_share_is_cut(stride: usize) {
    let now = Timestamp::from_millis(9_000);
    let share = listener(stride, now);
    let excess: Vec<f64> =
        (0..ACCOUNTS).map(|number| share.excess(account(number), 0.8, now).account).collect();
    assert!((0.35..0.45).contains(&excess[0]), "29 requests of which 5.8 too many: {excess:?}");
    assert!(excess[1..].iter().all(|excess| *excess == 0.0), "{excess:?}");
    assert_eq!(share.excess(account(0), 1.0, now).account, 0.0, "all can be served");
}

/// Guards against an account that is starved: it keeps more than a quarter of what all get, also where
/// many small accounts leave it hardly any room.
#[test]
fn an_account_keeps_a_floor() {
    let now = Timestamp::from_millis(9_000);
    let mut share = AccountShare::new();
    (0..300).for_each(|_| share.record(account(0), now));
    (0..1_000).for_each(|number| share.record(account(1 + number % 100), now));
    for served in [0.5, 0.77, 0.8, 0.9] {
        let kept = 1.0 - share.excess(account(0), served, now).account;
        assert!(kept > served / 4.0, "{kept} of {served}");
    }
}

/// Guards against shares that decide where priorities should: accounts that ask for about as much, or
/// the only account, are within their share however little can be served.
#[test]
fn accounts_that_are_about_as_large_are_within_their_share() {
    let now = Timestamp::from_millis(9_000);
    let mut share = AccountShare::new();
    (0..50).for_each(|_| share.record(account(0), now));
    assert_eq!(share.excess(account(0), 0.3, now).total, 0.0);
    (0..80).for_each(|_| share.record(account(1), now));
    assert_eq!(share.excess(account(1), 0.3, now).total, 0.0);
}

/// Guards against an account that is cut for a burst that is over, or by a host that restarted and
/// knows nothing.
#[test]
fn what_was_told_is_forgotten() {
    let told = Timestamp::from_millis(9_000);
    let share = listener(1, told);
    let later = Timestamp::from_millis(15_000);
    assert!(
        share.excess(account(0), 0.8, later).account < 0.25,
        "the request of each account is left"
    );
    assert_eq!(AccountShare::new().excess(account(0), 0.5, told).account, 0.0);
}

/// Guards against a host that counts twice, as its datagrams repeat each other, and against reports
/// that grow a datagram.
#[test]
fn a_host_counts_once_and_tells_its_largest_accounts() {
    let now = Timestamp::from_millis(9_000);
    let mut share = AccountShare::new();
    let even: Vec<ReportedDemand> =
        (0..2).map(|number| ReportedDemand { account: account(number), rate: 50 }).collect();
    share.merge(host(1), &even[..1], now);
    share.merge(host(2), &even[1..], now);
    (0..20).for_each(|_| share.merge(host(1), &even[..1], now));
    assert_eq!(
        share.excess(account(0), 0.8, now).account,
        share.excess(account(1), 0.8, now).account
    );
    for number in 0..ACCOUNTS {
        (0..=number).for_each(|_| share.record(account(number), now));
    }
    let report = share.report(now);
    assert_eq!(report.len(), 8);
    assert_eq!(report[0].account, account(ACCOUNTS - 1));
}
