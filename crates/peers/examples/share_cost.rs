//! Measures what the shares of client accounts' rates cost a coordinator.
//!
//! One coordinator answers the reports of 7 to 370 entries. Sizes include the framing.
//!
//! `cargo run --release -p oleander-peers --example share_cost`

use anyhow::Result;
use oleander_core::catalog::{Catalog, Snapshot};
use oleander_core::ids::{AccountName, HostId, Incarnation, Revision, Sequence};
use oleander_core::membership::{Member, MemberRole, MemberState};
use oleander_core::rate_share::{DemandReport, HeldShare, report_interval};
use oleander_core::units::Timestamp;
use oleander_peers::share_actor::ReportBatch;
use oleander_peers::share_coordinator::ShareCoordinator;
use oleander_peers::share_view::ShareView;
use std::time::{Duration, Instant};

const ROUNDS: usize = 200;
/// Overhead of a frame in addition to its body, in bytes: length, tag and head.
const FRAME_OVERHEAD_BYTES: usize = 30;
/// TCP and IP headers of a packet and of its acknowledgement, in bytes.
const PACKET_OVERHEAD_BYTES: usize = 104;

fn main() -> Result<()> {
    println!(
        "entries | accounts | report s | call B | reply B | coordinator KB/s in+out | us a call | CPU %"
    );
    for entries in [7, 50, 150, 370] {
        for accounts in [1, 2, 10] {
            measure(entries, accounts)?;
        }
    }
    Ok(())
}

fn member(name: &str, role: MemberRole) -> Result<Member> {
    Ok(Member {
        id: name.parse()?,
        incarnation: Incarnation::new(1_700_000_000_000),
        role,
        region: "dakar".parse()?,
        domain: "dakar-1".parse()?,
        address: "127.0.0.1:9000".parse()?,
        state: MemberState::Alive,
        revision: Revision::default(),
    })
}

fn snapshot(accounts: usize) -> Result<Snapshot> {
    let account = |index: usize| {
        format!(r#""member-{index:04}": {{ "key_digests": [], "requests_per_second": 500.0 }}"#)
    };
    let list: Vec<String> = (0..accounts).map(account).collect();
    let text = format!(r#"{{ "client_accounts": {{ {} }} }}"#, list.join(", "));
    let catalog: Catalog = serde_json::from_str(&text)?;
    Ok(Snapshot::new(Revision::new(1), catalog))
}

fn measure(entries: usize, accounts: usize) -> Result<()> {
    let me = member("host-1.steward", MemberRole::Steward)?;
    let ids: Vec<HostId> = (0..entries)
        .map(|index| format!("host-{index}.entry").parse())
        .collect::<Result<_, _>>()?;
    let mut members = vec![me.clone()];
    for id in &ids {
        members.push(member(id.as_str(), MemberRole::Entry)?);
    }
    let snapshot = snapshot(accounts)?;
    let mut now = Timestamp::from_millis(1_700_000_000_000);
    let mut view = ShareView::default();
    view.update(&members, now);
    let mut coordinator = ShareCoordinator::new(&me);
    coordinator.update(&snapshot, &view, now);
    now = now + Duration::from_secs(3_600);

    let names: Vec<AccountName> = snapshot.catalog().client_accounts.keys().cloned().collect();
    let interval = report_interval(entries);
    let held = HeldShare { amount: 1.3, grantor: None, sequence: Sequence::new(0) };
    let mut held: Vec<Vec<HeldShare>> = vec![vec![held; accounts]; entries];
    let (mut call_bytes, mut reply_bytes, mut elapsed) = (0, 0, Duration::ZERO);
    for _ in 0..ROUNDS {
        for (index, id) in ids.iter().enumerate() {
            let report = |(name, held): (&AccountName, &HeldShare)| {
                (name.clone(), DemandReport { demand: 1.1, held: *held })
            };
            let reports = names.iter().zip(&held[index]).map(report).collect();
            let batch = ReportBatch { entry: id.clone(), reports };
            let body = postcard::to_stdvec(&batch)?;
            let started = Instant::now();
            let read: ReportBatch = postcard::from_bytes(&body)?;
            let grants = coordinator.answer(&read, &snapshot, &view, now);
            let reply = postcard::to_stdvec(&grants)?;
            elapsed += started.elapsed();
            call_bytes += body.len() + FRAME_OVERHEAD_BYTES;
            reply_bytes += reply.len() + FRAME_OVERHEAD_BYTES;
            for (held, (_, grant)) in held[index].iter_mut().zip(&grants.grants) {
                let (amount, sequence) = (grant.amount, grant.sequence);
                *held = HeldShare { amount, grantor: Some(grant.grantor), sequence };
            }
        }
        now = now + interval;
    }
    let calls = (ROUNDS * entries) as f64;
    let (call, reply) = (call_bytes as f64 / calls, reply_bytes as f64 / calls);
    let rate = entries as f64 / interval.as_secs_f64();
    let each = elapsed.as_secs_f64() / calls;
    println!(
        "{entries} | {accounts} | {:.1} | {call:.0} | {reply:.0} | {:.1} | {:.1} | {:.3}",
        interval.as_secs_f64(),
        (call + reply + 2.0 * PACKET_OVERHEAD_BYTES as f64) * rate / 1e3,
        each * 1e6,
        each * rate * 100.0,
    );
    Ok(())
}
