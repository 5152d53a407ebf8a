//! The actor that owns the membership machine.

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

/// What the actor wants sent.
#[derive(Debug)]
pub enum Outbound {
    /// A datagram.
    Datagram {
        /// To whom.
        to: SocketAddr,
        /// What.
        message: Box<Datagram>,
    },
    /// A comparison of tables with the process at this address.
    Sync {
        /// With whom.
        with: SocketAddr,
        /// The first call.
        call: SyncCall,
    },
}

/// The actor that owns the membership machine.
pub struct MembershipKeeper {
    machine: MemberMachine,
    clock: Arc<dyn ClockPort>,
    outbound: mpsc::Sender<Outbound>,
    view: SharedView,
    listeners: Vec<RumorListener>,
}

impl fmt::Debug for MembershipKeeper {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("MembershipKeeper").finish_non_exhaustive()
    }
}

impl MembershipKeeper {
    /// A keeper of a machine, whose view it publishes.
    pub fn new(
        machine: MemberMachine,
        clock: Arc<dyn ClockPort>,
        outbound: mpsc::Sender<Outbound>,
        view: SharedView,
    ) -> Self {
        Self { machine, clock, outbound, view, listeners: Vec::new() }
    }

    fn carry_out(&mut self, outputs: Vec<MemberOutput>) {
        for output in outputs {
            match output {
                MemberOutput::Send { to, message } => self.send(Outbound::Datagram { to, message }),
                MemberOutput::Sync(with) => {
                    let call = self.machine.sync_call();
                    self.send(Outbound::Sync { with, call });
                }
                MemberOutput::Event(event) => self.tell(&event),
            }
        }
        let now = self.clock.now();
        self.view.set_contact(self.machine.in_contact(now));
    }

    /// A full queue loses the datagram, as the network may.
    fn send(&self, outbound: Outbound) {
        let _ = self.outbound.try_send(outbound);
    }

    fn tell(&self, event: &MemberEvent) {
        match event {
            MemberEvent::MembersChanged => self.view.set_members(self.machine.members()),
            MemberEvent::Rumor(rumor) => self.listeners.iter().for_each(|listener| listener(rumor)),
            MemberEvent::Superseded(incarnation) => self.view.set_superseded(*incarnation),
        }
    }
}

impl Actor for MembershipKeeper {
    type Args = Self;
    type Error = Infallible;

    async fn on_start(keeper: Self, _: ActorRef<Self>) -> Result<Self, Infallible> {
        keeper.view.set_members(keeper.machine.members());
        Ok(keeper)
    }
}

macro_rules! handle {
    ($(#[$doc:meta])* $message:ident { $($(#[$field_doc:meta])* $field:ident: $kind:ty,)* }
     -> $reply:ty, |$keeper:ident, $given:ident| $body:block) => {
        $(#[$doc])*
        pub struct $message {
            $($(#[$field_doc])* pub $field: $kind,)*
        }

        impl Message<$message> for MembershipKeeper {
            type Reply = $reply;

            async fn handle(
                &mut self,
                $given: $message,
                _: &mut Context<Self, Self::Reply>,
            ) -> Self::Reply {
                let $keeper = self;
                $body
            }
        }
    };
}

handle! {
    /// A datagram came.
    Received {
        /// From where.
        from: SocketAddr,
        /// What.
        message: Datagram,
    } -> (), |keeper, given| {
        let now = keeper.clock.now();
        let outputs = keeper.machine.handle(given.from, &given.message, now);
        keeper.carry_out(outputs);
    }
}

handle! {
    /// Time moved on.
    Tick {} -> (), |keeper, _given| {
        let now = keeper.clock.now();
        let outputs = keeper.machine.tick(now);
        keeper.carry_out(outputs);
    }
}

handle! {
    /// The settings and the platform name these processes of the system.
    Listed {
        /// Their peer ports.
        addresses: Vec<SocketAddr>,
    } -> (), |keeper, given| {
        keeper.machine.set_bootstrap_addresses(given.addresses);
    }
}

handle! {
    /// Spread a rumor.
    Announce {
        /// The rumor.
        rumor: Rumor,
    } -> (), |keeper, given| {
        let outputs = keeper.machine.announce(&given.rumor);
        keeper.carry_out(outputs);
    }
}

handle! {
    /// Tell a listener of rumors.
    Listen {
        /// The listener.
        listener: RumorListener,
    } -> (), |keeper, given| {
        for rumor in keeper.machine.rumors() {
            (given.listener)(&rumor);
        }
        keeper.listeners.push(given.listener);
    }
}

handle! {
    /// This process has a revision in force.
    SetRevision {
        /// The revision.
        revision: Revision,
    } -> (), |keeper, given| {
        let outputs = keeper.machine.set_revision(given.revision);
        keeper.carry_out(outputs);
    }
}

handle! {
    /// This process is leaving.
    Leave {} -> (), |keeper, _given| {
        let outputs = keeper.machine.leave();
        keeper.carry_out(outputs);
    }
}

handle! {
    /// This process is gone.
    Depart {} -> (), |keeper, _given| {
        let outputs = keeper.machine.depart();
        keeper.carry_out(outputs);
    }
}

handle! {
    /// Another process compares its table with this one's.
    AnswerSync {
        /// Its call.
        call: SyncCall,
    } -> Option<SyncReply>, |keeper, given| {
        let now = keeper.clock.now();
        let (reply, outputs) = keeper.machine.answer_sync(&given.call, now);
        keeper.carry_out(outputs);
        reply
    }
}

handle! {
    /// The reply to a comparison that this process began.
    FinishSync {
        /// The reply.
        reply: SyncReply,
    } -> Option<SyncCall>, |keeper, given| {
        let now = keeper.clock.now();
        let (push, outputs) = keeper.machine.sync_reply(&given.reply, now);
        keeper.carry_out(outputs);
        push
    }
}

/// The first view of a process: itself.
#[must_use]
pub fn first_view(me: &Member) -> SharedView {
    Arc::new(MembersView::new(me.clone()))
}
