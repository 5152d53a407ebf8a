//! Reads a stream ahead of a caller that reads slowly.
//!
//! Load it addresses: an upstream cuts off an answer that stays unread for some seconds, and works no faster for
//! callers that wait for it. Up to a bound for each stream, events are therefore held for the caller as long as the budget
//! of connections has room to spare. Beyond that, the upstream waits for the caller.

use bytes::Bytes;
use futures_util::{Stream, StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use oleander_adapters::connection_ledger::{HeldBytes, OpenConnection};
use oleander_adapters::http_server::{BodyError, ResponseBody};
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::task::JoinHandle;

/// Maximum number of bytes that are held for one stream: some seconds of events of a fast upstream.
pub const MAX_READ_AHEAD: u32 = 64 * 1024;

/// Events that wait for the caller.
struct HeldEvents {
    events: Result<Bytes, BodyError>,
    _room: Option<OwnedSemaphorePermit>,
    _held: Option<HeldBytes>,
}

/// Ends the task that reads ahead when the caller's body is dropped.
struct ReaderTask(JoinHandle<()>);

impl Drop for ReaderTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The body of an answer that begins with `first` and goes on with a source that is read ahead.
#[must_use]
pub fn read_ahead(
    first: Bytes,
    source: impl Stream<Item = Result<Bytes, BodyError>> + Send + 'static,
    connection: Option<Arc<OpenConnection>>,
) -> ResponseBody {
    let (sender, receiver) = mpsc::unbounded_channel();
    let task = ReaderTask(tokio::spawn(read(source, connection, sender)));
    let rest = stream::unfold((receiver, task), |(mut receiver, task)| async move {
        let HeldEvents { events, .. } = receiver.recv().await?;
        Some((events.map(Frame::data), (receiver, task)))
    });
    let first = stream::once(std::future::ready(Ok(Frame::data(first))));
    BodyExt::boxed_unsync(StreamBody::new(first.chain(rest)))
}

async fn read(
    source: impl Stream<Item = Result<Bytes, BodyError>>,
    connection: Option<Arc<OpenConnection>>,
    sender: mpsc::UnboundedSender<HeldEvents>,
) {
    let room = Arc::new(Semaphore::new(MAX_READ_AHEAD as usize));
    let mut source = std::pin::pin!(source);
    while let Some(events) = source.next().await {
        let length = events.as_ref().map_or(0, Bytes::len);
        let held = connection.as_ref().and_then(|connection| connection.hold_spare(length));
        // Events that do not fit wait until the caller has taken those before them.
        let needed = if held.is_some() || connection.is_none() {
            u32::try_from(length).unwrap_or(u32::MAX).min(MAX_READ_AHEAD)
        } else {
            MAX_READ_AHEAD
        };
        // The semaphore is never closed.
        let permit = Arc::clone(&room).acquire_many_owned(needed).await.ok();
        if sender.send(HeldEvents { events, _room: permit, _held: held }).is_err() {
            return;
        }
    }
}
