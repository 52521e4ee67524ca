//! Accepts or refuses submissions, queues accepted jobs and cancels jobs.

use super::{
    AccountKey,
    Cell,
    ClassKey,
    Effect,
    Job,
    JobId,
    JobKey,
    JobState,
    Refusal,
    RefusalReason,
    StopKind,
    Submission,
    Worker,
    cell::JobTimer,
    queue::GroupKey,
    region,
    region::PackingEnd, //
};
use crate::ledger::ChangeKind;

/// Time after which a caller refused for a full queue may submit again.
const FULL_RETRY_AFTER_MS: u64 = 5_000;

/// A job of a class that can reclaim must start soon once the time to its latest
/// start is at most the completion time of its class divided by this.
const START_NOTICE_DIVISOR: u64 = 4;
/// Shortest time before its latest start from which such a job must start soon.
const MIN_START_NOTICE_MS: u64 = 30_000;

impl Cell {
    pub(super) fn submit(&mut self, token: u64, submission: Submission) {
        let (account, class) = match self.resolve(&submission) {
            Ok(found) => found,
            Err(reason) => return self.refuse(token, reason, 0),
        };
        // A caller submits again under the same key when an answer was lost or
        // came too late. The answer names the job of the first submission.
        let idempotency_key = (account, submission.idempotency_key.clone());
        if let Some(job) = self
            .by_idempotency_key
            .get(&idempotency_key)
            .and_then(|&key| self.jobs.get(key))
        {
            if job.submission != submission {
                return self.refuse(token, RefusalReason::KeyReused, 0);
            }
            let job = job.id;
            return self.effects.push(Effect::Accepted { token, job });
        }
        let id = JobId::new(self.epoch, self.next_sequence);
        let Some(job) = self.new_job(id, submission, self.now_ms) else {
            return self.refuse(token, RefusalReason::UnknownClass, 0);
        };
        if let Err(refusal) = self.admit(&job, account, class) {
            return self.effects.push(Effect::Refused { token, refusal });
        }
        self.next_sequence += 1;
        self.persist(ChangeKind::Accepted(job.record()));
        self.effects.push(Effect::Accepted { token, job: id });
        let key = self.insert_job(job);
        self.enqueue(key);
    }

    fn refuse(&mut self, token: u64, reason: RefusalReason, retry_after_ms: u64) {
        let refusal = Refusal {
            reason,
            not_run: reason != RefusalReason::KeyReused,
            retry_after_ms,
        };
        self.effects.push(Effect::Refused { token, refusal });
    }

    fn resolve(&self, submission: &Submission) -> Result<(AccountKey, ClassKey), RefusalReason> {
        let account = self
            .account_named(&submission.account)
            .filter(|key| !self.accounts[key.index()].withdrawn)
            .ok_or(RefusalReason::UnknownAccount)?;
        let class = self
            .class_named(&submission.class)
            .filter(|key| !self.classes[key.index()].withdrawn)
            .ok_or(RefusalReason::UnknownClass)?;
        Ok((account, class))
    }

    fn admit(&mut self, job: &Job, account: AccountKey, class: ClassKey) -> Result<(), Refusal> {
        let refusal = |reason, retry_after_ms| Refusal {
            reason,
            not_run: true,
            retry_after_ms,
        };
        if !self.is_feasible(job) {
            return Err(refusal(RefusalReason::ImpossibleShape, 0));
        }
        let quota = self.accounts[account.index()]
            .declaration
            .quota_accelerators;
        if job.shape.accelerators() > quota {
            return Err(refusal(RefusalReason::QuotaTooSmall, 0));
        }
        let waiting = self.accounts[account.index()].waiting_jobs;
        if waiting >= self.accounts[account.index()].declaration.queue_limit {
            return Err(refusal(
                RefusalReason::AccountQueueFull,
                FULL_RETRY_AFTER_MS,
            ));
        }
        if self.classes[class.index()].waiting_jobs >= self.class(class).queue_limit {
            return Err(refusal(RefusalReason::ClassQueueFull, FULL_RETRY_AFTER_MS));
        }
        if self.class(class).refuse_when_late
            && let Some(late_ms) = self.expected_lateness_ms(job)
        {
            return Err(refusal(RefusalReason::CannotMeetClass, late_ms));
        }
        Ok(())
    }

    /// Returns whether an empty data centre could hold the job: inside a pledge
    /// of its account, or outside all pledges, or anywhere if the job may be
    /// preempted.
    pub(super) fn is_feasible(&mut self, job: &Job) -> bool {
        let is_reclaimable = self.may_be_reclaimed(job);
        let cache_key = (job.account, job.shape, is_reclaimable);
        if let Some(&feasible) = self.feasible.get(&cache_key) {
            return feasible;
        }
        let in_pledge = self
            .pledges
            .iter()
            .any(|pledge| pledge.account == job.account && job.shape.fits_within(&pledge.shape));
        let usable = |worker: &Worker| match is_reclaimable {
            true => worker.all,
            false => worker.all & !worker.pledged,
        };
        let feasible = in_pledge
            || region::find(
                &self.fleet,
                &self.fleet.build_index(usable),
                &job.shape,
                PackingEnd::First,
            )
            .is_some();
        self.feasible.insert(cache_key, feasible);
        feasible
    }

    /// Returns by how much the job would miss the completion time of its class.
    /// Returns `None` if the job can start now, or if the waiting work of classes
    /// with the same or a shorter completion time leaves it enough time.
    fn expected_lateness_ms(&self, job: &Job) -> Option<u64> {
        if self.find_plan(None, job).is_some() {
            return None;
        }
        let completion_ms = self.class(job.class).completion_ms;
        let work_ahead: u64 = self
            .classes
            .iter()
            .filter(|class| class.declaration.completion_ms <= completion_ms)
            .map(|class| class.waiting_work)
            .sum();
        let capacity: u64 = self
            .fleet
            .workers()
            .filter(|(_, worker)| worker.accepts_jobs())
            .map(|(_, worker)| u64::from(worker.all.count_ones()))
            .sum();
        let wait_ms = work_ahead / capacity.max(1);
        let slack_ms = job.latest_start_ms.saturating_sub(self.now_ms);
        (wait_ms > slack_ms).then(|| wait_ms - slack_ms)
    }

    /// Returns whether the job's next attempt may be preempted.
    ///
    /// A job that must run at most once is never preempted. Neither is a job that
    /// was preempted as often as its class allows: it waits for accelerators
    /// outside the guarantees of other accounts, so that it is not delayed
    /// without bound.
    pub(super) fn may_be_reclaimed(&self, job: &Job) -> bool {
        let class = self.class(job.class);
        class.reclaimable && job.submission.idempotent && job.preemptions < class.max_preemptions
    }

    /// Returns whether the job must start soon and may not be delayed for others:
    /// its class is urgent, or its class can reclaim and its latest start is close.
    pub(super) fn is_time_critical(&self, job: &Job) -> bool {
        let class = self.class(job.class);
        let notice_ms = (class.completion_ms / START_NOTICE_DIVISOR).max(MIN_START_NOTICE_MS);
        class.urgent || class.reclaims && job.latest_start_ms <= self.now_ms + notice_ms
    }

    pub(super) fn group_of(&self, job: &Job) -> GroupKey {
        GroupKey {
            account: job.account,
            class: job.class,
            shape: job.shape,
            is_reclaimable: self.may_be_reclaimed(job),
        }
    }

    fn remaining_work(&self, job: &Job) -> u64 {
        self.remaining_ms(job) * u64::from(job.shape.accelerators())
    }

    /// Adds a job to the queue, ordered by its latest start.
    pub(super) fn enqueue(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let expected_ms = self.remaining_ms(job);
        let latest_start_ms = self.latest_start_ms(job, expected_ms);
        let (group, work) = (self.group_of(job), self.remaining_work(job));
        let (account, class, id) = (job.account, job.class, key);
        self.queue.insert(group, latest_start_ms, id);
        self.timers.insert((
            latest_start_ms.max(self.now_ms + 1),
            key,
            JobTimer::LatestStart,
        ));
        self.accounts[account.index()].waiting_jobs += 1;
        self.classes[class.index()].waiting_jobs += 1;
        self.classes[class.index()].waiting_work += work;
        let now_ms = self.now_ms;
        if let Some(job) = self.jobs.get_mut(key) {
            job.state = JobState::Queued;
            job.state_since_ms = now_ms;
            job.latest_start_ms = latest_start_ms;
            job.waiting_work = work;
            job.queue_group = Some(group);
        }
        self.changed = true;
    }

    /// Returns the latest start with which the job meets its deadline. If that
    /// start has passed, the result is moved on by whole completion times of the
    /// class until it is not in the past: the job is ordered behind jobs that can
    /// still meet theirs, but not delayed without bound.
    fn latest_start_ms(&self, job: &Job, expected_ms: u64) -> u64 {
        let completion_ms = self.class(job.class).completion_ms.max(1);
        let on_time_ms = job.deadline_ms.saturating_sub(expected_ms);
        if on_time_ms >= self.now_ms {
            return on_time_ms;
        }
        let periods = (self.now_ms - on_time_ms).div_ceil(completion_ms);
        on_time_ms + periods * completion_ms
    }

    /// Removes a job from the queue and returns whether it was there.
    pub(super) fn dequeue(&mut self, key: JobKey) -> bool {
        let Some(job) = self.jobs.get_mut(key) else {
            return false;
        };
        let Some(group) = job.queue_group.take() else {
            return false;
        };
        let (latest_start_ms, work) = (job.latest_start_ms, job.waiting_work);
        let (account, class) = (job.account, job.class);
        if !self.queue.remove(group, latest_start_ms, key) {
            return false;
        }
        self.timers
            .remove(&(latest_start_ms, key, JobTimer::LatestStart));
        self.accounts[account.index()].waiting_jobs -= 1;
        self.classes[class.index()].waiting_jobs -= 1;
        let waiting_work = &mut self.classes[class.index()].waiting_work;
        *waiting_work = waiting_work.saturating_sub(work);
        true
    }

    /// Queues a job again with its next target, keeping the time since which it
    /// waits.
    pub(super) fn requeue_late(&mut self, key: JobKey) {
        let queued = |job: &Job| job.state == JobState::Queued;
        if self.jobs.get(key).is_some_and(queued) && self.dequeue(key) {
            let state_since_ms = self.jobs.get(key).map_or(0, |job| job.state_since_ms);
            self.enqueue(key);
            if let Some(job) = self.jobs.get_mut(key) {
                job.state_since_ms = state_since_ms;
            }
        }
    }

    /// Cancels those of `jobs` that belong to `account` and have not ended. The
    /// cancellations are stored before they are confirmed, so that no later owner
    /// resumes a cancelled job.
    pub(super) fn cancel(&mut self, token: u64, account: &str, jobs: &[JobId]) {
        let mut count = 0;
        for id in jobs {
            let Some(&key) = self.by_id.get(id) else {
                continue;
            };
            let cancellable =
                |job: &&mut Job| job.submission.account == account && job.state != JobState::Ended;
            let Some(job) = self.jobs.get_mut(key).filter(cancellable) else {
                continue;
            };
            job.cancelling = true;
            count += 1;
            self.persist(ChangeKind::Cancelling(id.0));
            self.cancel_job(key);
        }
        self.effects.push(Effect::Cancelled { token, count });
        self.changed = true;
    }

    pub(super) fn cancel_job(&mut self, key: JobKey) {
        match self.jobs.get(key).map(|job| job.state) {
            None | Some(JobState::Ended) => {}
            Some(JobState::Queued) => {
                self.dequeue(key);
                self.end_cancelled(key);
            }
            Some(JobState::Backoff { .. }) => self.end_cancelled(key),
            Some(_) => self.stop_gang(key, StopKind::Cancel),
        }
    }
}
