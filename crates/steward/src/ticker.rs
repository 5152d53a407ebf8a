//! Periodic messages to an actor, sent only after the previous one was handled.

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::Message;
use std::time::Duration;

/// Starts one pass of the actor.
pub(crate) struct Tick;

/// Sends a [`Tick`] and waits `period` after it was handled, until the actor stops.
pub(crate) fn spawn_ticks<A>(actor: &ActorRef<A>, period: Duration)
where
    A: Actor + Message<Tick, Reply = ()>,
{
    let actor = actor.downgrade();
    tokio::spawn(async move {
        loop {
            let Some(strong) = actor.upgrade() else { return };
            if strong.ask(Tick).await.is_err() {
                return;
            }
            drop(strong);
            tokio::time::sleep(period).await;
        }
    });
}
