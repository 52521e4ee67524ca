//! Runs the attempts of gangs: reserves on every worker, then starts every
//! member, and stops or ends all members together.
//!
//! No member is started before all are reserved, and a job counts as running
//! only once all its members have confirmed their start.

use super::{
    AcceleratorMask,
    Cell,
    Effect,
    Job,
    JobKey,
    JobState,
    MemberEvent,
    MemberReport,
    MemberState,
    Outcome,
    RetryReason,
    StopKind,
    WorkerKey,
    cell::JobTimer, //
};
use crate::ledger::{
    AnswerRecord,
    ChangeKind,
    EndedChange,
    MemberRecord,
    OutcomeCode,
    RequeuedChange,
    StartingChange, //
};
use xxhash_rust::xxh3::xxh3_64;

impl Cell {
    /// Requests reservations from the workers once the gang holds all accelerators
    /// of its placement.
    pub(super) fn reserve_if_all_held(&mut self, key: JobKey) {
        let now_ms = self.now_ms;
        let start_timeout_ms = self.limits.start_timeout_ms;
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let holds_all = job.members.iter().all(|member| member.held == member.mask);
        if job.state != JobState::Claiming || !holds_all {
            return;
        }
        job.attempt += 1;
        job.state = JobState::Reserving;
        job.state_since_ms = now_ms;
        for member in &mut job.members {
            member.state = MemberState::Reserving;
        }
        let attempt = job.attempt_id();
        let change = StartingChange {
            id: job.id.0,
            attempt: job.attempt,
            members: job
                .members
                .iter()
                .map(|member| MemberRecord {
                    worker: self.fleet.worker(member.worker).name.clone(),
                    mask: u32::from(member.mask),
                })
                .collect(),
            starting_ms: now_ms,
        };
        let timer = JobTimer::StartTimeout {
            attempt: job.attempt,
        };
        self.timers.insert((now_ms + start_timeout_ms, key, timer));
        self.effects
            .push(Effect::Persist(ChangeKind::Starting(change).into()));
        self.effects
            .extend(job.members.iter().map(|member| Effect::Reserve {
                attempt,
                worker: member.worker,
                mask: member.mask,
            }));
    }

    /// Handles a report about a member. A report about an attempt that is not
    /// current is ignored, except that a reservation or task that it reports as
    /// existing is stopped.
    pub(super) fn handle_member_report(&mut self, report: MemberReport) {
        let Some(worker) = self.fleet.find(&report.worker) else {
            return;
        };
        let current = self.by_id.get(&report.attempt.job).copied().filter(|&key| {
            self.jobs.get_mut(key).is_some_and(|job| {
                job.attempt == report.attempt.attempt && job.member_on(worker).is_some()
            })
        });
        let Some(key) = current else {
            let needs_stop = matches!(report.event, MemberEvent::Reserved | MemberEvent::Started);
            if needs_stop {
                self.effects.push(Effect::Stop {
                    attempt: report.attempt,
                    worker,
                    grace_ms: 0,
                });
            }
            return;
        };
        self.handle_member_event(key, worker, report.event);
        self.changed = true;
    }

    fn handle_member_event(&mut self, key: JobKey, worker: WorkerKey, event: MemberEvent) {
        match event {
            MemberEvent::Reserved => self.member_reserved(key, worker),
            MemberEvent::Started => self.member_started(key, worker),
            MemberEvent::Finished(answer) => self.member_finished(key, worker, answer),
            MemberEvent::ReserveRefused => {
                self.end_member(key, worker, false);
                self.handle_member_loss(key, RetryReason::ReserveRefused);
            }
            MemberEvent::StartRefused => {
                self.record_failure(key, worker);
                self.end_member(key, worker, false);
                self.handle_member_loss(key, RetryReason::StartRefused);
            }
            MemberEvent::Failed => {
                self.record_failure(key, worker);
                self.end_member(key, worker, true);
                self.handle_member_loss(key, RetryReason::TaskFailed);
            }
            MemberEvent::Stopped { progress_ms } => self.member_stopped(key, worker, progress_ms),
            MemberEvent::NotBegun => {
                self.end_member(key, worker, false);
                self.handle_member_loss(key, RetryReason::FoundNotBegun);
            }
            MemberEvent::Unknown | MemberEvent::LostInRestart => {
                self.end_member(key, worker, true);
                self.handle_member_loss(key, RetryReason::WorkerLost);
            }
        }
    }

    fn member_reserved(&mut self, key: JobKey, worker: WorkerKey) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if job.state != JobState::Reserving {
            return;
        }
        if let Some(member) = job.member_on(worker) {
            member.state = MemberState::Reserved;
        }
        if job.all_members(MemberState::Reserved) {
            self.start_members(key);
        }
    }

    fn start_members(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.state = JobState::Starting;
        let (attempt, progress_ms) = (job.attempt_id(), job.progress_ms);
        for member in &mut job.members {
            member.state = MemberState::Starting;
            member.may_have_begun = true;
            self.effects.push(Effect::Start {
                attempt,
                worker: member.worker,
                progress_ms,
                payload: job.submission.payload.clone(),
            });
        }
    }

    fn member_started(&mut self, key: JobKey, worker: WorkerKey) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let expected = matches!(job.state, JobState::Starting | JobState::Recovering);
        if let Some(member) = job.member_on(worker).filter(|_| expected) {
            member.state = MemberState::Running;
            member.may_have_begun = true;
        }
        match job.state {
            JobState::Starting => self.run_if_all_confirmed(key),
            JobState::Recovering => self.try_finish_recovery(key),
            _ => {}
        }
    }

    pub(super) fn run_if_all_confirmed(&mut self, key: JobKey) {
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let confirmed = |state| matches!(state, MemberState::Running | MemberState::Finished);
        if !job.members.iter().all(|member| confirmed(member.state)) {
            return;
        }
        if job.state != JobState::Running {
            job.state = JobState::Running;
            job.state_since_ms = now_ms;
            job.run_started_ms = now_ms;
            job.first_running_ms.get_or_insert(now_ms);
        }
        if job.all_members(MemberState::Finished) {
            self.end_served(key);
        }
    }

    fn member_finished(&mut self, key: JobKey, worker: WorkerKey, answer: AnswerRecord) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let Some(index) = job
            .members
            .iter()
            .position(|member| member.worker == worker && member.state != MemberState::Gone)
        else {
            return;
        };
        if job.members[index].state == MemberState::Finished {
            return;
        }
        job.members[index].state = MemberState::Finished;
        job.members[index].may_have_begun = true;
        // The first member's answer is the answer of the gang.
        if index == 0 {
            job.answer = Some(answer);
        }
        self.fleet
            .update(worker, |worker| worker.failed_jobs.clear());
        self.free_member(key, index);
        let state = self.jobs.get(key).map(|job| job.state);
        match state {
            Some(JobState::Starting | JobState::Running) => self.run_if_all_confirmed(key),
            Some(JobState::Recovering) => self.try_finish_recovery(key),
            Some(JobState::Stopping(_)) => self.try_finish_stop(key),
            _ => {}
        }
    }

    fn end_served(&mut self, key: JobKey) {
        if let Some(job) = self.jobs.get(key) {
            let ran_ms = self.now_ms.saturating_sub(job.run_started_ms) + job.progress_ms;
            let declared_ms = job.submission.declared_run_ms;
            self.estimator
                .learn(job.account, job.class, declared_ms, ran_ms);
        }
        self.end(key, OutcomeCode::Served);
    }

    fn member_stopped(&mut self, key: JobKey, worker: WorkerKey, progress_ms: u64) {
        if let Some(member) = self.jobs.get_mut(key).and_then(|job| job.member_on(worker)) {
            member.saved_ms = Some(progress_ms);
        }
        self.mark_member_gone(key, worker);
        self.handle_member_loss(key, RetryReason::TaskStopped);
    }

    /// Handles the end of a member: completes the stop or recovery of the job if no
    /// other member is outstanding; fails the attempt in any other state but `Ended`.
    pub(super) fn handle_member_loss(&mut self, key: JobKey, reason: RetryReason) {
        match self.jobs.get(key).map(|job| job.state) {
            Some(JobState::Stopping(_)) => self.try_finish_stop(key),
            Some(JobState::Recovering) => self.try_finish_recovery(key),
            Some(JobState::Ended) | None => {}
            Some(_) => self.fail_gang(key, reason),
        }
    }

    /// Records whether the member on `worker` may have begun, marks it gone and
    /// frees its accelerators.
    pub(super) fn end_member(&mut self, key: JobKey, worker: WorkerKey, may_have_begun: bool) {
        if let Some(member) = self.jobs.get_mut(key).and_then(|job| job.member_on(worker)) {
            member.may_have_begun = may_have_begun;
        }
        self.mark_member_gone(key, worker);
    }

    /// Marks the member on `worker` gone and frees its accelerators.
    fn mark_member_gone(&mut self, key: JobKey, worker: WorkerKey) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let index = job
            .members
            .iter()
            .position(|member| member.worker == worker && member.state != MemberState::Gone);
        if let Some(index) = index {
            job.members[index].state = MemberState::Gone;
            self.free_member(key, index);
        }
    }

    /// Frees the accelerators that a member holds. Those claimed by another gang
    /// pass to that gang.
    pub(super) fn free_member(&mut self, key: JobKey, index: usize) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let held = std::mem::take(&mut job.members[index].held);
        let worker = job.members[index].worker;
        let (claimed, free) = self.fleet.update(worker, |worker| {
            worker.release_claims(key);
            let claimed = worker.release(held);
            (claimed, worker.free.count_ones() as u16)
        });
        self.subtract_usage(key, held.count_ones());
        self.queue.unblock(free);
        self.changed = true;
        for (claimant, mask) in claimed {
            self.receive_claimed(claimant, worker, mask);
        }
    }

    fn receive_claimed(&mut self, key: JobKey, worker: WorkerKey, mask: AcceleratorMask) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let is_reclaimable = job.is_reclaimable;
        if let Some(member) = job.member_on(worker) {
            member.held |= mask;
        }
        self.fleet
            .update(worker, |worker| worker.set_reclaimable(key, is_reclaimable));
        self.add_usage(key, mask.count_ones());
        self.reserve_if_all_held(key);
    }

    /// Stops an attempt whose gang cannot become or stay complete.
    pub(super) fn fail_gang(&mut self, key: JobKey, reason: RetryReason) {
        self.stop_gang(key, StopKind::Failure(reason));
    }

    /// Stops every member. Once all have ended, the job is queued again or ends.
    pub(super) fn stop_gang(&mut self, key: JobKey, kind: StopKind) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        match job.state {
            JobState::Ended | JobState::Queued | JobState::Backoff { .. } => return,
            // A cancellation replaces an earlier reason for stopping; no other
            // reason does.
            JobState::Stopping(_) if kind != StopKind::Cancel => return,
            JobState::Stopping(_) => {
                job.state = JobState::Stopping(kind);
                return;
            }
            _ => {}
        }
        let claiming = job.state == JobState::Claiming;
        job.state = JobState::Stopping(kind);
        job.state_since_ms = self.now_ms;
        if claiming {
            self.release_all_claims(key);
        } else {
            self.stop_members(key, kind);
        }
        self.try_finish_stop(key);
    }

    fn release_all_claims(&mut self, key: JobKey) {
        let count = self.jobs.get(key).map_or(0, |job| job.members.len());
        for index in 0..count {
            if let Some(job) = self.jobs.get_mut(key) {
                job.members[index].state = MemberState::Gone;
            }
            self.free_member(key, index);
        }
    }

    fn stop_members(&mut self, key: JobKey, kind: StopKind) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let attempt = job.attempt_id();
        let grace_ms = match kind {
            StopKind::Preempt | StopKind::Move => {
                self.classes[job.class.index()].declaration.grace_ms
            }
            StopKind::Cancel | StopKind::Failure(_) => 0,
        };
        for member in &mut job.members {
            if matches!(member.state, MemberState::Gone | MemberState::Finished) {
                continue;
            }
            member.state = MemberState::Stopping;
            self.effects.push(Effect::Stop {
                attempt,
                worker: member.worker,
                grace_ms,
            });
        }
    }

    fn try_finish_stop(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let ended = |state| matches!(state, MemberState::Gone | MemberState::Finished);
        if !job.members.iter().all(|member| ended(member.state)) {
            return;
        }
        let JobState::Stopping(kind) = job.state else {
            return;
        };
        // All members finished before the stop reached them: the job is complete.
        let all_finished = !job.members.is_empty() && job.all_members(MemberState::Finished);
        let cancelling = job.cancelling;
        match kind {
            _ if all_finished => self.end_served(key),
            _ if cancelling => self.end_cancelled(key),
            StopKind::Cancel => self.end_cancelled(key),
            StopKind::Preempt => self.requeue_preempted(key),
            StopKind::Move => self.requeue_moved(key),
            StopKind::Failure(reason) => self.retry_or_fail(key, reason),
        }
    }

    pub(super) fn end_cancelled(&mut self, key: JobKey) {
        let begun = self.jobs.get(key).is_some_and(Job::may_ever_have_begun);
        self.end(
            key,
            match begun {
                true => OutcomeCode::Cancelled,
                false => OutcomeCode::CancelledNotRun,
            },
        );
    }

    fn requeue_preempted(&mut self, key: JobKey) {
        if let Some(job) = self.jobs.get_mut(key) {
            let begun = job.may_have_begun();
            job.preemptions += u32::from(begun);
        }
        self.requeue(key, RetryReason::Preempted);
        self.enqueue(key);
    }

    fn requeue_moved(&mut self, key: JobKey) {
        if let Some(job) = self.jobs.get_mut(key) {
            job.moves += 1;
        }
        self.requeue(key, RetryReason::Moved);
        self.enqueue(key);
    }

    fn retry_or_fail(&mut self, key: JobKey, reason: RetryReason) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        // A job that is not idempotent runs at most once: starting it again after
        // an attempt that may have begun could repeat its effects. A member's
        // `may_have_begun` is set when its start is sent and cleared when the
        // start is refused or the task is found not to have begun.
        if job.may_have_begun() && !job.submission.idempotent {
            let code = match reason {
                RetryReason::TaskFailed => OutcomeCode::Failed,
                _ => OutcomeCode::MayHaveRun,
            };
            return self.end(key, code);
        }
        let counts_as_failure =
            matches!(reason, RetryReason::TaskFailed | RetryReason::StartRefused);
        job.failures += u32::from(counts_as_failure);
        let (failures, failed_worker_count) = (job.failures, job.failed_workers.len());
        if counts_as_failure && failed_worker_count >= self.limits.max_failed_workers {
            self.clear_failures_of_job(key);
            return self.end(key, OutcomeCode::UnableToRun);
        }
        if failures >= self.limits.max_failures {
            return self.end(key, OutcomeCode::Failed);
        }
        self.requeue(key, reason);
        match reason {
            RetryReason::WorkerLost
            | RetryReason::TaskStopped
            | RetryReason::FoundNotBegun
            | RetryReason::FoundPartial => {
                self.enqueue(key);
            }
            _ => self.back_off(key),
        }
    }

    fn requeue(&mut self, key: JobKey, reason: RetryReason) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.progress_ms = job.saved_ms();
        job.earlier_may_have_begun = job.may_ever_have_begun();
        job.members.clear();
        job.pledge = None;
        job.is_reclaimable = false;
        job.answer = None;
        let change = RequeuedChange {
            id: job.id.0,
            progress_ms: job.progress_ms,
            preemptions: job.preemptions,
            failures: job.failures,
        };
        let job = job.id;
        self.persist(ChangeKind::Requeued(change));
        self.effects.push(Effect::Retried { job, reason });
    }

    /// Delays the next attempt by an exponential backoff with jitter, at least
    /// until the account's retry budget allows a retry.
    fn back_off(&mut self, key: JobKey) {
        let (now_ms, limits) = (self.now_ms, self.limits);
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let exponential_ms = limits.backoff_ms << job.failures.min(16);
        let longest_ms = exponential_ms.min(limits.max_backoff_ms);
        let seed =
            xxh3_64(&[job.id.0.to_le_bytes(), u64::from(job.attempt).to_le_bytes()].concat());
        let jittered_ms = longest_ms / 2 + seed % (longest_ms / 2).max(1);
        let retry_permit = self.accounts[job.account.index()].take_retry(now_ms);
        let until_ms = now_ms + jittered_ms.max(retry_permit.err().unwrap_or(0));
        job.state = JobState::Backoff { until_ms };
        job.state_since_ms = now_ms;
        self.timers.insert((until_ms, key, JobTimer::Retry));
    }

    pub(super) fn requeue_if_due(&mut self, key: JobKey) {
        let due = |job: &Job| matches!(job.state, JobState::Backoff { until_ms } if until_ms <= self.now_ms);
        if self.jobs.get(key).is_some_and(due) {
            self.enqueue(key);
        }
    }

    pub(super) fn handle_start_timeout(&mut self, key: JobKey, attempt: u32) {
        let unconfirmed = |job: &Job| {
            job.attempt == attempt && matches!(job.state, JobState::Reserving | JobState::Starting)
        };
        if self.jobs.get(key).is_some_and(unconfirmed) {
            self.fail_gang(key, RetryReason::StartTimeout);
        }
    }

    /// Ends a job with `code` and schedules its deletion.
    pub(super) fn end(&mut self, key: JobKey, code: OutcomeCode) {
        let now_ms = self.now_ms;
        let retention_ms = self.limits.retention_ms;
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.state = JobState::Ended;
        job.state_since_ms = now_ms;
        job.outcome = code;
        job.ended_ms = now_ms;
        job.members.clear();
        job.pledge = None;
        if code != OutcomeCode::Served {
            job.answer = None;
        }
        let change = EndedChange {
            id: job.id.0,
            outcome: code as i32,
            ended_ms: now_ms,
            answer: job.answer.clone(),
        };
        let outcome = Outcome {
            code,
            answer: job.answer.clone(),
        };
        let job = job.id;
        self.timers
            .insert((now_ms + retention_ms, key, JobTimer::DeleteJob));
        self.persist(ChangeKind::Ended(change));
        self.effects.push(Effect::Ended { job, outcome });
    }
}
