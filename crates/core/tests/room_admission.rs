//! Who is admitted where a service has no room, by the load that fills it.

use oleander_core::account_share::ShareExcess;
use oleander_core::request_rate::RequestRate;
use oleander_core::room_admission::{RequestKind, RoomAdmission, RoomRequest, ServiceLoad};
use oleander_core::stable_hash::{mix, unit_point};
use oleander_core::units::Timestamp;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Kinds by name: priority, value, requests a second, time left in ms.
type Kind = (&'static str, u8, u64, u64, u64);
const LONG: Kind = ("long", 1, 4_000_000, 92, 20_000);
const SHORT: Kind = ("short", 0, 2_300_000, 102, 15_000);
const TAG: Kind = ("tag", 2, 350_000, 171, 4_000);

fn kind_of(kind: &Kind) -> RequestKind {
    RequestKind::new(Arc::from(kind.0), kind.1)
}

/// A service of 60 upstreams with 24 slots that completes 400 requests a second when they are full.
fn load(upstreams: u32, waiting: u32, demand: u64) -> ServiceLoad {
    let slots = upstreams * 24;
    ServiceLoad {
        upstreams,
        reported: upstreams,
        running: slots,
        waiting,
        slots,
        slot_time: Duration::from_millis(3_600),
        demand: RequestRate::new(demand as f64),
        ..ServiceLoad::default()
    }
}

/// What became of the requests of a kind: how many there were, and the waits of those refused.
type Outcome = (u64, Vec<Duration>);

/// Plays some seconds of demand on one host, which all see `load`; kinds are drawn by their rates.
fn play(kinds: &[Kind], load: &ServiceLoad, host: u64) -> BTreeMap<&'static str, Outcome> {
    let mut admission = RoomAdmission::new();
    let mut outcomes: BTreeMap<&'static str, Outcome> = BTreeMap::new();
    let total: u64 = kinds.iter().map(|kind| kind.3).sum();
    for number in 0..4_000u64 {
        let bits = mix(host << 32 | number);
        let mut point = (unit_point(bits) * total as f64) as u64;
        let kind = kinds.iter().find(|kind| {
            let is_drawn = point < kind.3;
            point = point.saturating_sub(kind.3);
            is_drawn
        });
        let kind = kind.unwrap();
        let request = RoomRequest {
            kind: kind_of(kind),
            value: kind.2 as f64,
            time_left: Duration::from_millis(kind.4),
            above: ShareExcess::default(),
            random: unit_point(mix(bits)),
        };
        let now = Timestamp::from_millis(1_000 + number * 5);
        let refused = admission.refused_for(&request, load, now);
        let outcome = outcomes.entry(kind.0).or_default();
        outcome.0 += 1;
        outcome.1.extend(refused);
    }
    outcomes
}

fn refused_share(outcome: &Outcome) -> f64 {
    outcome.1.len() as f64 / outcome.0 as f64
}

/// Guards against refusals by a service that has room: slots are free, nothing waits for long, or there
/// are too few reports to tell.
#[yare::parameterized(
    idle = { ServiceLoad { running: 200, ..load(60, 0, 365) } },
    half_taken_with_a_queue_somewhere = { ServiceLoad { running: 700, lag: Duration::from_secs(9), ..load(60, 10, 365) } },
    full_with_a_short_queue = { load(60, 300, 365) },
    without_reports = { ServiceLoad { reported: 0, running: 0, slots: 0, ..load(60, 0, 365) } },
    few_reports = { ServiceLoad { reported: 14, ..load(60, 9_000, 365) } },
)]
fn a_service_with_room_admits_everything(load: ServiceLoad) {
    let outcomes = play(&[LONG, SHORT, TAG], &load, 1);
    assert!(outcomes.values().all(|outcome| outcome.1.is_empty()), "{load:?}");
}

/// Guards against urgent requests that are refused for a burst of 2.5 times the tags, and against tags
/// that are all refused.
#[test]
fn a_burst_of_tags_is_refused_before_more_urgent_requests() {
    let burst = (TAG.0, TAG.1, TAG.2, TAG.3 * 5 / 2, TAG.4);
    let outcomes = play(&[LONG, SHORT, burst], &load(60, 2_000, 621), 2);
    let (tags, others) = (refused_share(&outcomes["tag"]), &outcomes["long"]);
    assert!((0.1..0.75).contains(&tags), "{tags}");
    assert!(others.1.is_empty() && outcomes["short"].1.is_empty());
}

/// Guards against a kind that is starved, or a less urgent one served more often, when two thirds of the
/// upstreams are gone and even the most urgent cannot all be served.
#[test]
fn no_kind_is_starved_where_most_upstreams_are_gone() {
    let outcomes = play(&[LONG, SHORT, TAG], &load(20, 9_000, 365), 3);
    let served = |name: &str| 1.0 - refused_share(&outcomes[name]);
    let (count, refused) =
        outcomes.values().fold((0, 0), |sum, outcome| (sum.0 + outcome.0, sum.1 + outcome.1.len()));
    let all = 1.0 - refused as f64 / count as f64;
    assert!(all < 0.8, "there is an excess: {all}");
    assert!(served("short") >= served("long") && served("long") >= served("tag"));
    assert!(served("tag") >= all / 4.0, "{} of {all}", served("tag"));
}

/// Guards against an account at 7.5 times its usual rate that takes the room of others.
#[test]
fn an_account_above_its_share_is_refused_before_others() {
    let mut admission = RoomAdmission::new();
    let service = load(60, 2_200, 600);
    let (mut above, mut within) = ((0u32, 0u32), (0u32, 0u32));
    for number in 0..4_000u64 {
        let is_above = number % 2 == 0;
        let kind = kind_of(&TAG);
        // Six tenths of the one account's demand, which is half of all, are above its share.
        let account = if is_above { 0.6 } else { 0.0 };
        let above_share = ShareExcess { account, total: 0.3 };
        let value = if is_above { 2.0 } else { 1.0 };
        let random = unit_point(mix(number));
        let request = RoomRequest {
            kind,
            value,
            time_left: Duration::from_secs(4),
            above: above_share,
            random,
        };
        let now = Timestamp::from_millis(1_000 + number);
        let is_refused = admission.refused_for(&request, &service, now).is_some();
        let counts = if is_above { &mut above } else { &mut within };
        *counts = (counts.0 + 1, counts.1 + u32::from(is_refused));
    }
    assert_eq!(within.1, 0);
    assert!((200..1_500).contains(&above.1), "{above:?}");
}

/// Guards against hosts that read the same outdated report and all refuse, or all admit: each refuses a
/// part, which grows with the queue.
#[test]
fn hosts_with_the_same_report_refuse_in_proportion() {
    let tags = |waiting, host| refused_share(&play(&[TAG], &load(60, waiting, 171), host)["tag"]);
    for host in 0..8 {
        let shares: Vec<f64> = [1_500, 1_800, 2_200, 3_000].map(|queue| tags(queue, host)).into();
        assert_eq!(shares[0], 0.0);
        assert!(shares.windows(2).all(|pair| pair[1] > pair[0]), "{shares:?}");
        assert!(shares.windows(2).all(|pair| pair[1] - pair[0] < 0.4), "{shares:?}");
    }
}

/// Guards against callers who are told to come back before the queue has drained, or all at one moment.
#[test]
fn callers_return_when_the_queue_has_drained_and_spread_out() {
    let service = load(60, 2_400, 171);
    let outcomes = play(&[TAG], &service, 4);
    let mut waits = outcomes["tag"].1.clone();
    waits.sort_unstable();
    let drained = Duration::from_secs(6);
    assert!(
        waits[0] >= drained
            && *waits.last().unwrap() <= drained.mul_f64(1.5) + Duration::from_millis(1)
    );
    let quarter = waits.len() / 4;
    let gaps = waits.chunks(quarter).map(|chunk| *chunk.last().unwrap() - chunk[0]);
    assert!(gaps.take(4).all(|gap| gap > Duration::from_millis(400)), "spread evenly");
}

/// Guards against urgent callers who are told to wait for a queue that they do not stand behind, and
/// against less urgent ones who are told to return while more urgent demand takes what completes.
#[test]
fn urgent_callers_wait_only_for_what_is_ahead_of_them() {
    let service = load(60, 2_400, 365);
    let mut admission = RoomAdmission::new();
    let now = Timestamp::from_millis(1_000);
    for kind in [SHORT, LONG, TAG] {
        let time_left = Duration::from_millis(kind.4);
        let value = kind.2 as f64;
        let request = RoomRequest {
            kind: kind_of(&kind),
            value,
            time_left,
            above: ShareExcess::default(),
            random: 1.0,
        };
        assert_eq!(admission.refused_for(&request, &service, now), None, "not drawn");
    }
    let waits = [SHORT, LONG, TAG].map(|kind| admission.wait(&kind_of(&kind), &service, now));
    // A third of 2,400 at 400 a second; all of them at what 365 leave of it for the tags.
    assert_eq!(waits[0], Duration::from_secs(2));
    assert!(waits[1] > waits[0] * 2 && waits[2] > Duration::from_secs(12), "{waits:?}");
}

/// Guards against a host that starts in an overload and refuses, or admits, without knowing the demand
/// of others: its first request is drawn by its own excess.
#[test]
fn a_host_that_knows_nothing_refuses_by_the_excess_of_the_request() {
    let service = load(60, 4_000, 171);
    let refused = (0..1_000u64).filter(|host| {
        let random = unit_point(mix(*host));
        let request = RoomRequest {
            kind: kind_of(&TAG),
            value: 1.0,
            time_left: Duration::from_secs(4),
            above: ShareExcess::default(),
            random,
        };
        let now = Timestamp::from_millis(1_000);
        RoomAdmission::new().refused_for(&request, &service, now).is_some()
    });
    assert!((500..700).contains(&refused.count()));
}
