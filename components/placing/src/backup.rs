//! Backups: copies of generations' memory at a second engine, for engines that fail without
//! notice.
//!
//! A generation whose engine crashes is lost for its caller, however far it was. With a copy at
//! another engine it goes on within a tenth of a second. A copy takes as much memory as the
//! generation itself, though, so backups are given only while memory is ample, and in another
//! data centre where there is one: what fails together mostly stands together.

use std::sync::Arc;

use types::{Moment, TargetId, Tokens};

use crate::{
    account::Engine,
    message::RunId,
    owner::Owner,
    tuning::as_f64,
};

impl Owner {
    /// Gives a generation a backup if memory is ample; tells where.
    pub(crate) fn keep_backup(
        &mut self,
        now: Moment,
        id: &RunId,
        engines: &[Engine],
    ) -> Option<TargetId> {
        let at = self.next_backup(now, id, engines)?;
        self.put_backup(now, id, &at);
        Some(at)
    }

    /// Where a generation's backup would go, if memory is ample.
    pub(crate) fn next_backup(
        &mut self,
        now: Moment,
        id: &RunId,
        engines: &[Engine],
    ) -> Option<TargetId> {
        let run = self.runs.get(id)?.clone();
        if run.expected < self.tuning.backup_least || !self.is_ample(now, engines) {
            return None;
        }
        let place = run.copying_to.as_ref().unwrap_or(&run.target);
        let home = engines.iter().find(|engine| engine.id == *place);
        let home = home.map(|engine| Arc::clone(&engine.data_centre));
        let size = run.size(now, &self.tuning);
        let mut best: Option<(bool, Tokens, TargetId)> = None;
        for engine in engines {
            if !engine.backups || engine.id == *place || engine.id == run.target {
                continue;
            }
            if !self.has_room(now, engine, size) {
                continue;
            }
            let same = home.as_ref() != Some(&engine.data_centre);
            let promised = self.promised(now, &engine.id);
            let candidate = (same, promised, Arc::clone(&engine.id));
            if best.as_ref().is_none_or(|least| candidate < *least) {
                best = Some(candidate);
            }
        }
        best.map(|(.., id)| id)
    }

    /// Notes that an engine keeps a generation's backup.
    pub(crate) fn put_backup(&mut self, now: Moment, id: &RunId, at: &TargetId) {
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        run.backup = Some(Arc::clone(at));
        let account = self.account(now, at);
        account.backups.insert(Arc::clone(id));
    }

    /// Notes that a generation no longer feeds its backup. The engine keeps that for a while.
    pub(crate) fn leave_backup(&mut self, now: Moment, id: &RunId) {
        let tuning = self.tuning;
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        let Some(at) = run.backup.take() else {
            return;
        };
        let size = run.prompt + run.made_by(now, &tuning);
        let account = self.account(now, &at);
        account.backups.remove(id);
        account.leftover.retain(|(until, _)| *until > now);
        account.leftover.push((now + tuning.leftover_life, size));
    }

    /// Notes that a generation goes on from its backup.
    pub(crate) fn saved(&mut self, now: Moment, id: &RunId) {
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        let Some(at) = run.backup.take() else {
            return;
        };
        let before = std::mem::replace(&mut run.target, Arc::clone(&at));
        if let Some(account) = self.accounts.get_mut(&before) {
            account.runs.remove(id);
        }
        let account = self.account(now, &at);
        account.backups.remove(id);
        account.runs.insert(Arc::clone(id));
    }

    /// Whether so little memory is promised that copies take nobody's room.
    fn is_ample(&self, now: Moment, engines: &[Engine]) -> bool {
        let promised: Tokens = engines.iter().map(|e| self.promised(now, &e.id)).sum();
        let all: Tokens = engines.iter().map(|engine| engine.memory).sum();
        as_f64(promised) <= as_f64(all) * self.tuning.backup_share
    }
}
