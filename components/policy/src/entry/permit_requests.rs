//! Asking owners for permits, and taking asks back.

use types::{AskId, InstanceId, Moment, Shard};
use wire::{Ask, Withdraw};

use crate::{
    api::{Action, RequestId},
    entry::{
        machine::Entry,
        pending::{ASK_AGAIN, OutstandingPermitRequest, Stage},
    },
};

impl Entry {
    pub(super) fn ask(&mut self, now: Moment, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        let request = &pending.request;
        if let Some((shard, owner)) = self.shards.choose(&request.service, &request.prefix) {
            self.ask_at(now, id, shard, owner, out);
        }
    }

    /// PermitRequests a shard's owner for a permit for a request.
    pub(super) fn ask_at(
        &mut self,
        now: Moment,
        id: RequestId,
        shard: Shard,
        owner: InstanceId,
        out: &mut Vec<Action>,
    ) {
        let ask = self.new_ask();
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        pending.stage = Stage::Asked(ask);
        let request = &pending.request;
        let told = request.true_output.filter(|_| self.told);
        let message = Ask {
            shard: shard.clone(),
            ask,
            stamp: now,
            kind: request.kind,
            class: request.class,
            workspace: request.workspace.clone(),
            route: request.route.clone(),
            within: request.deadline.saturating_sub(now),
            waited: now.saturating_sub(pending.since),
            prompt: request.prompt_tokens,
            max_output: told.unwrap_or(request.max_output),
            slots: self.calls.slots(request),
            prefix: request.prefix.clone(),
            avoid: pending.avoid.clone(),
        };
        self.shards.note_ask(&shard, &request.prefix);
        let sent = OutstandingPermitRequest {
            request: Some(id),
            shard,
            owner: owner.clone(),
            at: now,
        };
        self.asks.insert(ask, sent);
        out.push(Action::Send {
            to: owner,
            message: message.into(),
        });
    }

    pub(super) const fn new_ask(&mut self) -> AskId {
        self.next_ask += 1;
        self.next_ask
    }

    /// Takes an ask back. A grant that crosses this is given back when it comes.
    pub(super) fn withdraw(&mut self, ask: AskId, out: &mut Vec<Action>) {
        let Some(sent) = self.asks.remove(&ask) else {
            return;
        };
        let message = Withdraw {
            shard: sent.shard,
            ask,
        };
        out.push(Action::Send {
            to: sent.owner,
            message: message.into(),
        });
    }

    /// Makes asks again that nobody has answered for long.
    pub(super) fn repeat_asks(&mut self, now: Moment, out: &mut Vec<Action>) {
        let silent: Vec<(AskId, Option<RequestId>)> = self
            .asks
            .iter()
            .filter(|(_, sent)| now.saturating_sub(sent.at) >= ASK_AGAIN)
            .map(|(ask, sent)| (*ask, sent.request))
            .collect();
        for (ask, request) in silent {
            self.withdraw(ask, out);
            self.ask_again(now, request, out);
        }
    }

    pub(super) fn ask_again(
        &mut self,
        now: Moment,
        request: Option<RequestId>,
        out: &mut Vec<Action>,
    ) {
        let Some(id) = request else { return };
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.stage = Stage::Waiting;
            self.place(now, id, out);
        }
    }
}
