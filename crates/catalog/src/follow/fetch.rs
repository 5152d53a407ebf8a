//! Fetches heads and bodies from peers and from the store.

use crate::records::{CatalogCall, CatalogReply, MAX_BODY_BYTES, decode_body};
use crate::store::CatalogStore;
use oleander_core::catalog::Catalog;
use oleander_core::head::CatalogHead;
use oleander_ports::peers::{PeerChannel, PeerError, PeerPort};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Timeout of one call to a peer.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of times that a peer is asked for a body that it does not have yet.
const ATTEMPTS_PER_PEER: u32 = 4;
/// Delay before a peer is asked again.
const PEER_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A verified body and the catalog in it.
pub struct FetchedBody {
    /// The decoded catalog.
    pub catalog: Catalog,
    /// The encoded body, which is served to other processes.
    pub body: Vec<u8>,
}

/// Peers from which a body is fetched.
pub struct FetchSources {
    /// Asked in this order before the store.
    pub ancestors: Vec<SocketAddr>,
    /// Asked in this order if the store fails or lacks the body.
    pub fallbacks: Vec<SocketAddr>,
}

/// Fetches a body from peers or the store. `None` if none of them has it now.
pub async fn fetch_body(
    peers: &dyn PeerPort,
    store: &CatalogStore,
    sources: &FetchSources,
    head: &CatalogHead,
) -> Option<FetchedBody> {
    if let Some(fetched) = fetch_from_any(peers, &sources.ancestors, head).await {
        return Some(fetched);
    }
    if let Some(fetched) = fetch_from_store(store, head).await {
        return Some(fetched);
    }
    fetch_from_any(peers, &sources.fallbacks, head).await
}

async fn fetch_from_any(
    peers: &dyn PeerPort,
    addresses: &[SocketAddr],
    head: &CatalogHead,
) -> Option<FetchedBody> {
    for &peer in addresses {
        if let Some(fetched) = fetch_from_peer(peers, peer, head).await {
            return Some(fetched);
        }
    }
    None
}

async fn fetch_from_store(store: &CatalogStore, head: &CatalogHead) -> Option<FetchedBody> {
    match store.body(&head.digest).await {
        Ok(Some((catalog, body))) => Some(FetchedBody { catalog, body }),
        Ok(None) => None,
        Err(error) => {
            log::warn!("catalog.body_not_fetched revision={} error={error}", head.revision);
            None
        }
    }
}

async fn fetch_from_peer(
    peers: &dyn PeerPort,
    peer: SocketAddr,
    head: &CatalogHead,
) -> Option<FetchedBody> {
    let call = CatalogCall::Body(Arc::clone(&head.digest));
    for _ in 0..ATTEMPTS_PER_PEER {
        match call_peer(peers, peer, &call).await {
            Ok(CatalogReply::Body(Some(body))) if body.len() <= MAX_BODY_BYTES => {
                match decode_body(&head.digest, &body) {
                    Ok(catalog) => return Some(FetchedBody { catalog, body }),
                    Err(error) => {
                        log::warn!("catalog.bad_body peer={peer} error={error}");
                        return None;
                    }
                }
            }
            Ok(CatalogReply::Body(None)) => tokio::time::sleep(PEER_RETRY_DELAY).await,
            Ok(_) | Err(_) => return None,
        }
    }
    None
}

/// Asks peers for the head that they have in force. Returns the answers of those that replied.
pub async fn ask_heads(peers: &dyn PeerPort, addresses: &[SocketAddr]) -> Vec<Option<CatalogHead>> {
    let calls = addresses.iter().map(|&peer| call_peer(peers, peer, &CatalogCall::Head));
    let replies = futures_util::future::join_all(calls).await;
    let heads = replies.into_iter().filter_map(|reply| match reply {
        Ok(CatalogReply::Head(head)) => Some(head),
        _ => None,
    });
    heads.collect()
}

async fn call_peer(
    peers: &dyn PeerPort,
    peer: SocketAddr,
    call: &CatalogCall,
) -> Result<CatalogReply, PeerError> {
    let refused = |error: postcard::Error| PeerError::Refused(error.to_string());
    let body = postcard::to_stdvec(call).map_err(refused)?;
    let reply = peers.call(peer, PeerChannel::Catalog, body, PEER_TIMEOUT).await?;
    postcard::from_bytes(&reply).map_err(refused)
}
