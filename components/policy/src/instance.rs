//! The product's policy: the entry and the owner of one instance.

use types::{DataCentreId, Incarnation, InstanceId, Moment, PermitRequestId};
use wire::{Message, ShardSummary};

use crate::{
    api::{Action, Event, Policy, RequestId},
    entry::Entry,
    owner::Owner,
    tuning::Tuning,
};

/// Identity of an instance.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The instance's id.
    pub id: InstanceId,
    /// The data centre that the instance runs in.
    pub data_centre: DataCentreId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
}

/// The entry and the owner of one instance.
pub struct Instance {
    me: Identity,
    entry: Entry,
    owner: Owner,
}

impl Instance {
    /// Creates an instance without requests and shards. `seed` feeds the jitter of retry times.
    #[must_use]
    pub fn new(me: Identity, seed: u64) -> Self {
        let entry = Entry::new(me.id.clone(), me.data_centre.clone());
        let owner = Owner::new(me.id.clone(), me.incarnation, seed);
        Self { me, entry, owner }
    }

    /// Turns it into the oracle baseline, in which owners know the true lengths of generations.
    #[must_use]
    pub fn with_known_lengths(mut self) -> Self {
        self.entry = self.entry.with_known_lengths();
        self.owner = self.owner.with_tuning(Tuning::with_known_lengths());
        self
    }

    fn dispatch_event(&mut self, now: Moment, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::Received { message, .. } if is_for_entry(message) => {
                self.entry.handle(now, event, out);
            }
            Event::Received { .. } => self.owner.handle(now, event, out),
            _ => {
                self.owner.handle(now, event, out);
                self.entry.handle(now, event, out);
            }
        }
    }

    /// Removes the messages to this instance itself from `out` and returns them: they are handled
    /// directly and do not go over the network.
    fn take_messages_to_self(&self, out: &mut Vec<Action>) -> Vec<Message> {
        let mut local = Vec::new();
        out.retain(|action| match action {
            Action::Send { to, message } if *to == self.me.id => {
                local.push(message.clone());
                false
            }
            _ => true,
        });
        local
    }
}

const fn is_for_entry(message: &Message) -> bool {
    matches!(
        message,
        Message::Grant(_) | Message::Deny(_) | Message::Revoke(_) | Message::Query(_)
    )
}

impl Policy for Instance {
    fn handle(&mut self, now: Moment, event: Event, out: &mut Vec<Action>) {
        self.dispatch_event(now, &event, out);
        loop {
            let local = self.take_messages_to_self(out);
            if local.is_empty() {
                return;
            }
            for message in local {
                let from = self.me.id.clone();
                let incarnation = self.me.incarnation;
                let event = Event::Received {
                    from,
                    incarnation,
                    message,
                };
                self.dispatch_event(now, &event, out);
            }
        }
    }

    fn may_send(&self, now: Moment, request: RequestId) -> bool {
        self.entry.may_send(now, request)
    }

    fn summaries(&self, now: Moment) -> Vec<ShardSummary> {
        self.owner.summaries(now)
    }

    fn dump(&self, now: Moment) -> Vec<String> {
        let mut lines = self.entry.dump(now);
        lines.extend(self.owner.dump(now));
        lines
    }

    fn last_permit_request(&self) -> PermitRequestId {
        self.entry.last_permit_request()
    }
}
