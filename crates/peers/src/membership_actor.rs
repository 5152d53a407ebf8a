//! The actor that owns the membership state machine.

use crate::members::{MembersView, SharedView};
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::error::Infallible;
use kameo::message::{Context, Message};
use oleander_core::ids::Revision;
use oleander_core::membership::message::{Message as Datagram, SyncCall, SyncReply};
use oleander_core::membership::{Member, MemberEvent, MemberMachine, MemberOutput, Rumor};
use oleander_ports::clock::ClockPort;
use oleander_ports::members::RumorListener;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::mpsc;

/// A message for the sending task.
#[derive(Debug)]
pub enum Outbound {
    /// A datagram to send.
    Datagram {
        /// The recipient.
        to: SocketAddr,
        /// The message.
        message: Box<Datagram>,
    },
    /// A sync to start with the process at this address.
    Sync {
        /// The address.
        with: SocketAddr,
        /// The sync request.
        call: SyncCall,
    },
}

/// The actor that owns the membership state machine.
pub struct MembershipActor {
    machine: MemberMachine,
    clock: Arc<dyn ClockPort>,
    outbound: mpsc::Sender<Outbound>,
    view: SharedView,
    listeners: Vec<RumorListener>,
}

impl fmt::Debug for MembershipActor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("MembershipActor").finish_non_exhaustive()
    }
}

impl MembershipActor {
    /// Creates the actor of a state machine; it publishes the members in `view`.
    pub fn new(
        machine: MemberMachine,
        clock: Arc<dyn ClockPort>,
        outbound: mpsc::Sender<Outbound>,
        view: SharedView,
    ) -> Self {
        Self { machine, clock, outbound, view, listeners: Vec::new() }
    }

    fn execute(&mut self, outputs: Vec<MemberOutput>) {
        for output in outputs {
            match output {
                MemberOutput::Send { to, message } => self.send(Outbound::Datagram { to, message }),
                MemberOutput::Sync(with) => {
                    let call = self.machine.sync_call();
                    self.send(Outbound::Sync { with, call });
                }
                MemberOutput::Event(event) => self.publish_event(&event),
            }
        }
        let now = self.clock.now();
        self.view.set_contact(self.machine.in_contact(now));
    }

    /// Drops the message if the queue is full; the protocol tolerates lost datagrams.
    fn send(&self, outbound: Outbound) {
        let _ = self.outbound.try_send(outbound);
    }

    fn publish_event(&self, event: &MemberEvent) {
        match event {
            MemberEvent::MembersChanged => self.view.set_members(self.machine.members()),
            MemberEvent::Rumor(rumor) => self.listeners.iter().for_each(|listener| listener(rumor)),
            MemberEvent::Superseded(incarnation) => self.view.set_superseded(*incarnation),
        }
    }
}

impl Actor for MembershipActor {
    type Args = Self;
    type Error = Infallible;

    async fn on_start(actor: Self, _: ActorRef<Self>) -> Result<Self, Infallible> {
        actor.view.set_members(actor.machine.members());
        Ok(actor)
    }
}

macro_rules! handle {
    ($(#[$doc:meta])* $message:ident { $($(#[$field_doc:meta])* $field:ident: $kind:ty,)* }
     -> $reply:ty, |$actor:ident, $request:ident| $body:block) => {
        $(#[$doc])*
        pub struct $message {
            $($(#[$field_doc])* pub $field: $kind,)*
        }

        impl Message<$message> for MembershipActor {
            type Reply = $reply;

            async fn handle(
                &mut self,
                $request: $message,
                _: &mut Context<Self, Self::Reply>,
            ) -> Self::Reply {
                let $actor = self;
                $body
            }
        }
    };
}

handle! {
    /// A datagram was received.
    DatagramReceived {
        /// The sender.
        from: SocketAddr,
        /// The message.
        message: Datagram,
    } -> (), |actor, request| {
        let now = actor.clock.now();
        let outputs = actor.machine.handle(request.from, &request.message, now);
        actor.execute(outputs);
    }
}

handle! {
    /// Periodic tick.
    Tick {} -> (), |actor, _request| {
        let now = actor.clock.now();
        let outputs = actor.machine.tick(now);
        actor.execute(outputs);
    }
}

handle! {
    /// Sets the bootstrap addresses, from the settings and the platform's host list.
    SetBootstrapAddresses {
        /// The peer addresses.
        addresses: Vec<SocketAddr>,
    } -> (), |actor, request| {
        actor.machine.set_bootstrap_addresses(request.addresses);
    }
}

handle! {
    /// Spreads a rumor.
    Announce {
        /// The rumor.
        rumor: Rumor,
    } -> (), |actor, request| {
        let outputs = actor.machine.announce(&request.rumor);
        actor.execute(outputs);
    }
}

handle! {
    /// Adds a listener for rumors; it receives the known ones at once.
    AddListener {
        /// The listener.
        listener: RumorListener,
    } -> (), |actor, request| {
        for rumor in actor.machine.rumors() {
            (request.listener)(&rumor);
        }
        actor.listeners.push(request.listener);
    }
}

handle! {
    /// Sets the catalog revision in force at this process.
    SetRevision {
        /// The revision.
        revision: Revision,
    } -> (), |actor, request| {
        let outputs = actor.machine.set_revision(request.revision);
        actor.execute(outputs);
    }
}

handle! {
    /// Announces that this process is leaving.
    Leave {} -> (), |actor, _request| {
        let outputs = actor.machine.leave();
        actor.execute(outputs);
    }
}

handle! {
    /// Announces that this process has left.
    Depart {} -> (), |actor, _request| {
        let outputs = actor.machine.depart();
        actor.execute(outputs);
    }
}

handle! {
    /// Answers a sync request of another process.
    AnswerSync {
        /// The request.
        call: SyncCall,
    } -> Option<SyncReply>, |actor, request| {
        let now = actor.clock.now();
        let (reply, outputs) = actor.machine.answer_sync(&request.call, now);
        actor.execute(outputs);
        reply
    }
}

handle! {
    /// Applies the reply to a sync that this process started; returns the push, if any.
    FinishSync {
        /// The reply.
        reply: SyncReply,
    } -> Option<SyncCall>, |actor, request| {
        let now = actor.clock.now();
        let (push, outputs) = actor.machine.apply_sync_reply(&request.reply, now);
        actor.execute(outputs);
        push
    }
}

/// The initial view of a process, which contains only itself.
#[must_use]
pub fn initial_view(me: &Member) -> SharedView {
    Arc::new(MembersView::new(me.clone()))
}
