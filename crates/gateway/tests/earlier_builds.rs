//! Datagrams and links between hosts of this build and of earlier ones, which run side by side while
//! hosts are replaced.

use http::HeaderMap;
use oleander_core::part_quarantine::PartReport;
use oleander_core::reach_view::{HostPlace, ReachReport};
use oleander_core::store_era::{StoreEra, StoreRevision};
use oleander_gateway::carrier_wire::CarrierFault;
use oleander_gateway::gossip::GossipMessage;
use oleander_gateway::load_report::{LoadReport, MAX_LOAD_REPORTS, UpstreamHash};
use oleander_gateway::peer_table::RegionHash;
use oleander_gateway::wire_format::AnswerLoad;
use std::time::Duration;

/// Size of the buffers in which earlier builds receive a datagram, in bytes.
const EARLIER_BUFFER_BYTES: usize = 1_400;

/// What the first release sends, and what was added since, each read up to where a build knew.
type FirstPart = ([u64; 3], RegionHash, Vec<LoadReport>);
type EraPart = ([StoreEra; 3], Vec<UpstreamHash>);
type NewsPart = ([StoreRevision; 3], PartReport);

fn message() -> GossipMessage {
    let hash = |number: usize| UpstreamHash::of_parts(&[&number.to_string()]);
    let load = AnswerLoad { running: 40, waiting: 200, slots: 64, pace: None };
    let report = |number| {
        LoadReport::new(hash(number), load, Duration::from_secs(1), Duration::from_millis(900))
    };
    GossipMessage {
        versions: [u64::MAX; 3],
        region: RegionHash::new(&"here".parse().unwrap()),
        loads: (0..MAX_LOAD_REPORTS).map(|number| report(number).unwrap()).collect(),
        eras: [StoreEra::new(3); 3],
        leaving: (0..8).map(hash).collect(),
        heard: [StoreRevision::new(StoreEra::new(3), u64::MAX); 3],
        parts: PartReport::default(),
        sealed: None,
        reach: Some(ReachReport {
            address: Some("10.0.0.1:7000".parse().unwrap()),
            place: HostPlace::new(&"here-a".parse().unwrap(), &"here".parse().unwrap()),
            carried: 3,
            services: Vec::new(),
            seeks: true,
        }),
        places: Vec::new(),
        ..GossipMessage::default()
    }
}

/// Guards against fields that are put elsewhere than at the end of a datagram: hosts of earlier builds
/// would drop all news of the store that it brings, and a change would be in force late there.
#[test]
fn earlier_builds_read_the_front_of_a_datagram() {
    let message = message();
    let mut bytes = postcard::to_allocvec(&message).unwrap();
    bytes.truncate(EARLIER_BUFFER_BYTES);
    let (first, rest): (FirstPart, _) = postcard::take_from_bytes(&bytes).unwrap();
    assert_eq!(first, (message.versions, message.region, message.loads));
    let (eras, rest): (EraPart, _) = postcard::take_from_bytes(rest).unwrap();
    assert_eq!(eras, (message.eras, message.leaving));
    let (news, _): (NewsPart, _) = postcard::take_from_bytes(rest).unwrap();
    assert_eq!(news, (message.heard, message.parts));
}

/// Guards against datagrams of earlier builds that are dropped because they end early.
#[test]
fn datagrams_of_earlier_builds_are_read() {
    let message = message();
    let first = (message.versions, message.region, message.loads.clone());
    let eras = (message.eras, message.leaving.clone());
    let news = (message.heard, message.parts.clone());
    let encoded = [
        postcard::to_allocvec(&first).unwrap(),
        postcard::to_allocvec(&(&first, &eras)).unwrap(),
        postcard::to_allocvec(&(&first, &eras, &news)).unwrap(),
    ];
    for (parts, bytes) in encoded.iter().enumerate() {
        let found = GossipMessage::decode(bytes).unwrap();
        assert_eq!((found.versions, found.region, &found.loads), (first.0, first.1, &first.2));
        assert_eq!(found.eras == message.eras, parts > 0);
        assert_eq!(found.heard == message.heard, parts > 1);
        assert_eq!((found.sealed, found.reach), (None, None));
    }
}

/// Guards against a fault that a host of the other build takes for another one: a request that may
/// have run must not become one that was refused. The texts are what 08519a7 writes.
#[test]
fn faults_on_links_are_written_as_by_earlier_builds() {
    let faults = [
        (CarrierFault::Refused("no".into()), "AAJubw"),
        (CarrierFault::Connect("no".into()), "AQJubw"),
        (CarrierFault::Lost("no".into()), "AgJubw"),
        (CarrierFault::Silent("no".into()), "AwJubw"),
    ];
    for (fault, text) in faults {
        let mut headers = HeaderMap::new();
        fault.write(&mut headers);
        assert_eq!(headers["oleander-carrier-fault"], text);
        assert_eq!(CarrierFault::take(&mut headers), Some(fault));
    }
}
