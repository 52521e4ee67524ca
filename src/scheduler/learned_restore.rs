//! Returns what this owner has learned, and applies what earlier owners learned.
//!
//! A new owner reads the values before its first pass, when no worker has answered it. A value
//! is applied as soon as the worker is known and held until the worker shows its incarnation:
//! if that is another one, the value is withdrawn. No run starts on a worker that has not
//! answered, so nothing was learned of it meanwhile.

use super::fleet_speeds::WorkerSpeed;
use super::learned::MAX_LEARNED;
use super::state::Scheduler;
use super::worker::Contact;
use super::{
    Learned,
    LearnedQueue,
    LearnedWorker, //
};
use crate::core::WorkerKey;
use std::collections::{
    HashMap,
    HashSet, //
};
use std::sync::Arc;

impl Scheduler {
    /// Returns what this owner has learned, and what it was told of workers that it does not
    /// know yet; at most [`MAX_LEARNED`] of each kind.
    pub fn learned(&self) -> Learned {
        let present = self
            .workers
            .iter()
            .filter(|worker| worker.contact != Contact::Gone);
        let known = present.filter_map(|worker| self.learned_worker(worker.key));
        let unknown = self
            .held_workers
            .all()
            .filter(|held| !self.worker_index.contains_key(&*held.name))
            .cloned();
        Learned {
            workers: known.chain(unknown).take(MAX_LEARNED).collect(),
            queues: self.learned_queues(),
            accounts: self.accounts.learned(),
        }
    }

    /// What is known of a worker; `None` if nothing is.
    fn learned_worker(&self, key: WorkerKey) -> Option<LearnedWorker> {
        let worker = self.worker(key);
        let slowness = self.learned_slowness(key)?;
        let held = self.held_workers.get(&worker.info.worker_name);
        // The incarnation of a restored value, until the worker shows its own.
        let restored_ms = held.and_then(|held| held.incarnation_start_ms);
        Some(LearnedWorker {
            name: worker.name(),
            incarnation_start_ms: worker.incarnation_start_ms.or(restored_ms),
            slowness,
        })
    }

    /// Queues with jobs or known run times. Jobs that are still stored are not counted, since
    /// the next owner reads and counts them itself.
    fn learned_queues(&self) -> Vec<LearnedQueue> {
        let mut stored: HashMap<&str, f64> = HashMap::new();
        for job in self.jobs.values() {
            *stored.entry(&job.record.queue).or_default() += 1.0;
        }
        let queues = self.history.iter().map(|(name, history)| LearnedQueue {
            name: name.as_str().into(),
            run_times: history.run_times,
            jobs: history.jobs - stored.get(name.as_str()).unwrap_or(&0.0),
            mean_work: history.mean_work,
        });
        let mut queues: Vec<LearnedQueue> = queues
            .map(|queue| LearnedQueue {
                jobs: queue.jobs.max(0.0),
                ..queue
            })
            .filter(|queue| queue.jobs > 0.0 || queue.run_times.runs() > 0.0)
            .collect();
        queues.sort_by(|a, b| a.name.cmp(&b.name));
        queues.truncate(MAX_LEARNED);
        queues
    }

    /// Applies what an earlier owner learned `age_ms` ago, where this owner knows less.
    pub(super) fn handle_learned(&mut self, learned: Learned, age_ms: u64) {
        let Learned {
            workers,
            queues,
            accounts,
        } = learned.aged(age_ms);
        let now_ms = self.now_ms;
        self.held_workers.drop_old(now_ms);
        for worker in workers {
            let name = worker.name.clone();
            self.held_workers.hold(worker, now_ms);
            if let Some(&key) = self.worker_index.get(&*name) {
                self.apply_held(key);
            }
        }
        self.restore_queues(queues);
        self.accounts.restore(&accounts, age_ms);
        self.changed = true;
    }

    /// Applies the held value of a worker that was just added.
    pub(super) fn apply_held(&mut self, key: WorkerKey) {
        let worker = self.worker(key);
        if worker.contact == Contact::Gone {
            return;
        }
        let (name, start_ms) = (worker.name(), worker.incarnation_start_ms);
        let Some(held) = self.held_workers.get(&name) else {
            return;
        };
        if !held.is_of_incarnation(start_ms) {
            return self.held_workers.remove(&name);
        }
        let slowness = held.slowness;
        let has_answered = worker.contact == Contact::Answering || start_ms.is_some();
        if self.learned_slowness(key).is_none() {
            self.restore_slowness(key, slowness);
            self.held_workers.is_estimate_due = true;
        }
        if has_answered {
            self.held_workers.remove(&name);
        }
    }

    /// Handles that a worker answered: the value held for it is confirmed, or withdrawn if it
    /// is of another incarnation.
    pub(super) fn confirm_held(&mut self, key: WorkerKey) {
        let worker = self.worker(key);
        let (name, start_ms) = (worker.name(), worker.incarnation_start_ms);
        let Some(held) = self.held_workers.get(&name) else {
            return;
        };
        if !held.is_of_incarnation(start_ms) {
            self.worker_mut(key).speed = WorkerSpeed::default();
            self.held_workers.is_estimate_due = true;
        }
        self.held_workers.remove(&name);
    }

    /// Estimates anew how the workers differ if speeds were restored: once for all of them, since
    /// thousands register at once.
    pub(super) fn estimate_restored_speeds(&mut self) {
        if std::mem::take(&mut self.held_workers.is_estimate_due) {
            self.estimate_speeds();
        }
    }

    /// Restores what is known of queues, where this owner has seen fewer runs or jobs itself.
    fn restore_queues(&mut self, queues: Vec<LearnedQueue>) {
        let is_configured = self.configuration.version > 0;
        let declared = self.configuration.queues.iter().map(|queue| &queue.name);
        let used = self.jobs.values().map(|job| &job.record.queue);
        let needed: HashSet<Arc<str>> = declared
            .chain(used)
            .map(|name| name.as_str().into())
            .collect();
        for queue in queues {
            // Without a configuration any queue may be declared; it drops the others later.
            if is_configured && !needed.contains(&queue.name) {
                continue;
            }
            let history = self.history.entry(queue.name.to_string()).or_default();
            if history.run_times.runs() < queue.run_times.runs() {
                history.run_times = queue.run_times;
            }
            if history.jobs < queue.jobs {
                history.jobs = queue.jobs;
                history.mean_work = queue.mean_work;
            }
        }
    }
}
