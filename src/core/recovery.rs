//! Rebuilds a cell from the ledger and the reports of its workers.

use super::{
    Account,
    AccountKey,
    Cell,
    Effect,
    JobId,
    JobKey,
    JobState,
    Member,
    MemberState,
    RetryReason,
    Submission,
    cell::Class,
    cell::JobTimer, //
};
use crate::config::{
    AccountDeclaration,
    ClassDeclaration, //
};
use crate::ledger::{
    JobRecord,
    MemberRecord,
    OutcomeCode, //
};

/// A job read from the ledger.
#[derive(Clone, Debug, PartialEq)]
pub struct RecoveredJob {
    /// Its record.
    pub record: JobRecord,
}

impl Cell {
    /// Takes over the jobs of the previous owner. Attempts that may still run keep
    /// their accelerators until their workers have reported their state.
    pub(super) fn recover(&mut self, jobs: Vec<RecoveredJob>) {
        for RecoveredJob { record } in jobs {
            self.recover_job(record);
        }
        self.place_pledges();
        self.changed = true;
    }

    fn recover_job(&mut self, record: JobRecord) {
        let id = JobId(record.id);
        self.ensure_declared(&record.submission);
        let Some(mut job) = self.new_job(id, record.submission.clone(), record.accepted_ms) else {
            return;
        };
        job.attempt = record.attempt;
        job.progress_ms = record.progress_ms;
        job.preemptions = record.preemptions;
        job.cancelling = record.cancelling;
        // The ledger does not record whether earlier attempts began.
        job.earlier_may_have_begun =
            record.attempt > 0 && record.members.is_empty() || record.attempt > 1;
        job.failures = record.failures;
        job.outcome = record.outcome();
        job.ended_ms = record.ended_ms;
        job.answer = record.answer.clone();
        if job.outcome != OutcomeCode::None {
            job.state = JobState::Ended;
            let delete_ms = job.ended_ms + self.limits.retention_ms;
            let key = self.insert_job(job);
            self.timers.insert((delete_ms, key, JobTimer::DeleteJob));
        } else if record.members.is_empty() {
            let cancelling = job.cancelling;
            let key = self.insert_job(job);
            self.enqueue(key);
            if cancelling {
                self.cancel_job(key);
            }
        } else {
            job.run_started_ms = record.starting_ms;
            let key = self.insert_job(job);
            self.inspect_members(key, &record.members);
        }
    }

    /// Declares the job's account and class as withdrawn if the configuration no
    /// longer contains them, so that no accepted job is lost.
    fn ensure_declared(&mut self, submission: &Submission) {
        if self.account_named(&submission.account).is_none() {
            let key = AccountKey(self.accounts.len() as u16);
            let declaration = AccountDeclaration::withdrawn(&submission.account);
            let mut account = Account::new(declaration, self.now_ms);
            account.withdrawn = true;
            self.accounts.push(account);
            self.account_index.insert(submission.account.clone(), key);
        }
        if self.class_named(&submission.class).is_none() {
            self.classes.push(Class {
                declaration: ClassDeclaration::withdrawn(&submission.class),
                withdrawn: true,
                waiting_jobs: 0,
                waiting_work: 0,
            });
        }
    }

    fn inspect_members(&mut self, key: JobKey, records: &[MemberRecord]) {
        let mut members = Vec::with_capacity(records.len());
        for record in records {
            // A worker that is no longer listed is added as a leaving one, so
            // that its loss is handled like that of any other worker.
            let worker = match self.fleet.find(&record.worker) {
                Some(worker) => worker,
                None => {
                    let accelerators = super::MAX_ACCELERATORS_PER_WORKER as u16;
                    let worker = self.fleet.add(&record.worker, "unlisted", accelerators);
                    self.fleet.reindex();
                    self.handle_worker_leaving(&record.worker);
                    worker
                }
            };
            let mask = record.mask as super::AcceleratorMask;
            let held = self.fleet.update(worker, |worker| {
                let held = mask & worker.free;
                worker.hold(held, key, false);
                held
            });
            members.push(Member {
                worker,
                mask,
                held,
                state: MemberState::Inspecting,
                may_have_begun: true,
                saved_ms: None,
            });
        }
        let taken: u32 = members.iter().map(|member| member.held.count_ones()).sum();
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.state = JobState::Recovering;
        job.members = members;
        let attempt = job.attempt_id();
        self.effects
            .extend(job.members.iter().map(|member| Effect::Inspect {
                attempt,
                worker: member.worker,
            }));
        self.add_usage(key, taken);
    }

    /// Asks a worker for the state of the attempts that should be running there.
    /// A task that the worker does not know counts as lost.
    pub(super) fn reinspect(&mut self, name: &str) {
        let Some(worker) = self.fleet.find(name) else {
            return;
        };
        let on_worker = self.fleet.worker(worker);
        for key in on_worker.holders_of(on_worker.all) {
            let running = self
                .jobs
                .get(key)
                .filter(|job| job.state == JobState::Running);
            if let Some(job) = running {
                self.effects.push(Effect::Inspect {
                    attempt: job.attempt_id(),
                    worker,
                });
            }
        }
    }

    /// Resumes or fails the attempt once every member's worker has answered or is
    /// lost.
    pub(super) fn try_finish_recovery(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let count = |state| job.members.iter().filter(|m| m.state == state).count();
        if count(MemberState::Inspecting) > 0 {
            return;
        }
        let gone = count(MemberState::Gone);
        if gone == 0 {
            self.adopt(key);
        } else if gone == job.members.len() {
            let reason = match job.may_have_begun() {
                true => RetryReason::WorkerLost,
                false => RetryReason::FoundNotBegun,
            };
            self.fail_gang(key, reason);
        } else {
            self.fail_gang(key, RetryReason::FoundPartial);
        }
    }

    /// Resumes an attempt of which no member is gone.
    fn adopt(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let is_reclaimable = self.may_be_reclaimed(job);
        let own_pledge = self.pledges().find_map(|(pledge_key, pledge)| {
            let is_inside = pledge.account == job.account
                && job.members.iter().all(|member| {
                    let on_worker = pledge.members.iter().find(|(w, _)| *w == member.worker);
                    on_worker.is_some_and(|&(_, mask)| member.mask & !mask == 0)
                });
            is_inside.then_some(pledge_key)
        });
        let started_ms = job.run_started_ms;
        let workers: Vec<_> = job.members.iter().map(|member| member.worker).collect();
        for worker in workers {
            self.fleet
                .update(worker, |worker| worker.set_reclaimable(key, is_reclaimable));
        }
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.state = JobState::Running;
        job.state_since_ms = now_ms;
        job.first_running_ms = Some(started_ms);
        job.is_reclaimable = is_reclaimable;
        if own_pledge.is_some() && job.pledge.is_none() {
            let held: u32 = job.members.iter().map(|m| m.held.count_ones()).sum();
            self.accounts[job.account.index()].surplus_accelerators -= held;
            job.pledge = own_pledge;
        }
        let cancelling = job.cancelling;
        self.run_if_all_confirmed(key);
        if cancelling {
            self.cancel_job(key);
        }
    }
}
