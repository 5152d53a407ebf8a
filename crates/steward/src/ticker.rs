//! Wakes an actor again and again, never while it is still at work.

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::Message;
use std::time::Duration;

/// Look at what is due.
pub(crate) struct Tick;

/// Sends a [`Tick`] about every `period` until the actor is gone.
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
