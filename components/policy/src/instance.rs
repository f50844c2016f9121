//! The product's own decisions: entry and owner of one instance together.

use types::{AskId, DataCentreId, Incarnation, InstanceId, Moment};
use wire::{Message, ShardSummary};

use crate::{
    api::{Action, Event, Policy, RequestId},
    entry::Entry,
    owner::Owner,
    tuning::Tuning,
};

/// Who an instance is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its name.
    pub id: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Which life of it this is.
    pub incarnation: Incarnation,
}

/// Entry and owner of one instance.
pub struct Instance {
    me: Identity,
    entry: Entry,
    owner: Owner,
}

impl Instance {
    /// Starts without requests and shards.
    #[must_use]
    pub fn new(me: Identity, seed: u64) -> Self {
        let entry = Entry::new(me.id.clone(), me.data_centre.clone());
        let owner = Owner::new(me.id.clone(), me.incarnation, seed);
        Self { me, entry, owner }
    }

    /// Makes it the oracle baseline: owners are told the true lengths and decide by them.
    #[must_use]
    pub fn with_known_lengths(mut self) -> Self {
        self.entry = self.entry.with_known_lengths();
        self.owner = self.owner.with_tuning(Tuning::with_known_lengths());
        self
    }

    fn feed(&mut self, now: Moment, event: &Event, out: &mut Vec<Action>) {
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

    /// Messages to this instance itself don't go over the network.
    fn take_own(&self, out: &mut Vec<Action>) -> Vec<Message> {
        let mut own = Vec::new();
        out.retain(|action| match action {
            Action::Send { to, message } if *to == self.me.id => {
                own.push(message.clone());
                false
            }
            _ => true,
        });
        own
    }
}

const fn is_for_entry(message: &Message) -> bool {
    matches!(
        message,
        Message::Grant(_) | Message::Deny(_) | Message::Recall(_) | Message::Query(_)
    )
}

impl Policy for Instance {
    fn handle(&mut self, now: Moment, event: Event, out: &mut Vec<Action>) {
        self.feed(now, &event, out);
        loop {
            let own = self.take_own(out);
            if own.is_empty() {
                return;
            }
            for message in own {
                let from = self.me.id.clone();
                let incarnation = self.me.incarnation;
                let event = Event::Received {
                    from,
                    incarnation,
                    message,
                };
                self.feed(now, &event, out);
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

    fn last_permit_request(&self) -> AskId {
        self.entry.last_permit_request()
    }
}
