//! A naive scheduler to compare the core with: first come first served and first
//! fit, without lending, preemption or reservations. Each account's guarantee is
//! a separate pool that no other account uses.
#![allow(
    dead_code,
    clippy::allow_attributes,
    reason = "some figures are read by the bench only"
)]

use super::driver::{
    Figures,
    LARGE_ACCELERATORS,
    Mix, //
};
use fuchsiaslip::core::{
    Adjacency,
    Shape,
    fragmentation_of, //
};
use std::collections::BTreeMap;

const TICK_MS: u64 = 1_000;
/// Interval at which fragmentation is sampled.
const SAMPLE_MS: u64 = 60_000;
/// Longest time after which a failing job fails.
const FAILURE_MS: u64 = 2_000;
const MAX_FAILURES: u32 = 5;

#[derive(Clone, Debug)]
struct Running {
    job: usize,
    /// Workers of the job, followed by the index of the pool.
    members: Vec<usize>,
    fails: bool,
}

/// The naive scheduler with the state of the mix that it runs.
pub struct Naive<'a> {
    mix: &'a Mix,
    now_ms: u64,
    /// Free accelerators of each worker in each pool: pool 0 is shared, the others
    /// are the guarantees of one account each.
    free: Vec<Vec<u32>>,
    /// Account of each pool; empty for the shared one.
    pools: Vec<String>,
    waiting: Vec<usize>,
    /// Running jobs by the time of their end and the order of their start.
    ends: BTreeMap<(u64, u64), Running>,
    sequence: u64,
    failures: Vec<u32>,
    figures: Figures,
    changed: bool,
}

/// Returns the first workers that can hold `shape`, given the free accelerators of
/// each worker.
pub fn first_fit(free: &[u32], rack_size: usize, shape: &Shape) -> Option<Vec<usize>> {
    let per_worker = u32::from(shape.accelerators_per_worker);
    let wanted = usize::from(shape.workers);
    let fits = |range: std::ops::Range<usize>| -> Option<Vec<usize>> {
        let workers: Vec<usize> = range
            .filter(|&index| free[index] >= per_worker)
            .take(wanted)
            .collect();
        (workers.len() == wanted).then_some(workers)
    };
    let racks = free.len().div_ceil(rack_size);
    let rack_range = |first: usize, count: usize| {
        first * rack_size..((first + count) * rack_size).min(free.len())
    };
    match (shape.workers, shape.adjacency) {
        (1, _) | (_, Adjacency::Anywhere) => fits(0..free.len()),
        (_, Adjacency::Rack) => (0..racks).find_map(|rack| fits(rack_range(rack, 1))),
        (_, Adjacency::NeighbouringRacks) => {
            let longest = wanted.div_ceil(rack_size) * 2;
            (0..racks).find_map(|rack| fits(rack_range(rack, longest.min(racks - rack))))
        }
    }
}

impl<'a> Naive<'a> {
    pub fn run(mix: &'a Mix) -> Figures {
        let mut naive = Self {
            mix,
            now_ms: 0,
            free: vec![vec![u32::from(mix.accelerators); mix.workers]],
            pools: vec![String::new()],
            waiting: Vec::new(),
            ends: BTreeMap::new(),
            sequence: 0,
            failures: vec![0; mix.jobs.len()],
            figures: Figures::default(),
            changed: false,
        };
        naive.assign_guarantees();
        naive.run_jobs();
        naive.figures
    }

    /// Moves accelerators for the guaranteed shapes from the shared pool to the
    /// pools of their accounts.
    fn assign_guarantees(&mut self) {
        let mut wanted: Vec<(&str, Shape)> = Vec::new();
        for account in &self.mix.declaration.accounts {
            for guarantee in &account.guarantees {
                for _ in 0..guarantee.count {
                    wanted.push((&account.name, guarantee.shape()));
                }
            }
        }
        wanted.sort_by_key(|(_, shape)| std::cmp::Reverse((shape.adjacency, shape.accelerators())));
        for (account, shape) in wanted {
            let Some(workers) = first_fit(&self.free[0], self.mix.rack_size, &shape) else {
                continue;
            };
            let pool = self.pool_of(account);
            for worker in workers {
                self.free[0][worker] -= u32::from(shape.accelerators_per_worker);
                self.free[pool][worker] += u32::from(shape.accelerators_per_worker);
            }
        }
    }

    fn pool_of(&mut self, account: &str) -> usize {
        match self.pools.iter().position(|name| name == account) {
            Some(pool) => pool,
            None => {
                self.pools.push(account.to_owned());
                self.free.push(vec![0; self.mix.workers]);
                self.pools.len() - 1
            }
        }
    }

    fn run_jobs(&mut self) {
        let mut next_job = 0;
        let mut next_tick_ms = TICK_MS;
        let mut next_sample_ms = SAMPLE_MS;
        let mut by_time: Vec<usize> = (0..self.mix.jobs.len()).collect();
        by_time.sort_by_key(|&index| self.mix.jobs[index].at_ms);
        loop {
            let submit_ms = by_time
                .get(next_job)
                .map_or(u64::MAX, |&index| self.mix.jobs[index].at_ms);
            let end_ms = self
                .ends
                .first_key_value()
                .map_or(u64::MAX, |((end_ms, _), _)| *end_ms);
            let next_ms = submit_ms.min(end_ms).min(next_tick_ms);
            if next_ms > self.mix.end_ms {
                break;
            }
            self.now_ms = next_ms;
            if next_ms == end_ms {
                if let Some((_, running)) = self.ends.pop_first() {
                    self.end(running);
                }
            } else if next_ms == submit_ms {
                self.waiting.push(by_time[next_job]);
                next_job += 1;
                self.changed = true;
            } else {
                next_tick_ms += TICK_MS;
                self.cancel();
                self.sample(&mut next_sample_ms);
            }
            if std::mem::take(&mut self.changed) {
                self.place();
            }
        }
        self.finish();
    }

    fn cancel(&mut self) {
        let (mix, now_ms) = (self.mix, self.now_ms);
        let cancelled = |index: usize| {
            mix.jobs[index]
                .cancel_at_ms
                .is_some_and(|due| due <= now_ms)
        };
        self.waiting.retain(|&index| !cancelled(index));
        let stopped: Vec<(u64, u64)> = self
            .ends
            .iter()
            .filter(|(_, running)| cancelled(running.job))
            .map(|(&key, _)| key)
            .collect();
        for key in stopped {
            if let Some(running) = self.ends.remove(&key) {
                self.release(&running);
            }
        }
    }

    fn sample(&mut self, next_sample_ms: &mut u64) {
        let total = self.mix.workers as u64 * u64::from(self.mix.accelerators);
        let free: u32 = self.free.iter().flatten().sum();
        self.figures.elapsed_accelerator_ms += TICK_MS * total;
        self.figures.busy_accelerator_ms += TICK_MS * (total - u64::from(free));
        if self.now_ms >= *next_sample_ms {
            *next_sample_ms += SAMPLE_MS;
            let by_worker: Vec<u32> = (0..self.mix.workers)
                .map(|index| self.free.iter().map(|pool| pool[index]).sum())
                .collect();
            let racks: Vec<Vec<u32>> = by_worker
                .chunks(self.mix.rack_size)
                .map(<[u32]>::to_vec)
                .collect();
            let value = fragmentation_of(&racks, &self.mix.demand);
            self.figures.fragmentation.push(value);
        }
    }

    fn place(&mut self) {
        let mut failed: Vec<(Shape, &str)> = Vec::new();
        let mut still_waiting = Vec::new();
        for index in std::mem::take(&mut self.waiting) {
            let job = &self.mix.jobs[index];
            let known_to_fail = failed.contains(&(job.shape, job.account));
            if known_to_fail || !self.start(index) {
                failed.push((job.shape, job.account));
                still_waiting.push(index);
            }
        }
        self.waiting = still_waiting;
    }

    fn start(&mut self, index: usize) -> bool {
        let job = &self.mix.jobs[index];
        let own = self.pools.iter().position(|name| name == job.account);
        for pool in own.into_iter().chain([0]) {
            let rack_size = self.mix.rack_size;
            let Some(members) = first_fit(&self.free[pool], rack_size, &job.shape) else {
                continue;
            };
            for &worker in &members {
                self.free[pool][worker] -= u32::from(job.shape.accelerators_per_worker);
            }
            if job.shape.accelerators() >= LARGE_ACCELERATORS && self.mix.counts(index) {
                let wait_ms = self.now_ms - job.at_ms;
                self.figures.large_gang_waits_ms.push(wait_ms);
            }
            let fails = job.always_fails
                || members
                    .iter()
                    .any(|worker| self.mix.bad_workers.contains(worker));
            let run_ms = match fails {
                true => job.actual_run_ms.min(FAILURE_MS),
                false => job.actual_run_ms,
            };
            self.sequence += 1;
            let mut members = members;
            members.push(pool);
            let running = Running {
                job: index,
                members,
                fails,
            };
            self.ends
                .insert((self.now_ms + run_ms, self.sequence), running);
            return true;
        }
        false
    }

    fn release(&mut self, running: &Running) {
        let Some((&pool, workers)) = running.members.split_last() else {
            return;
        };
        let per_worker = u32::from(self.mix.jobs[running.job].shape.accelerators_per_worker);
        for &worker in workers {
            self.free[pool][worker] += per_worker;
        }
        self.changed = true;
    }

    fn end(&mut self, running: Running) {
        self.release(&running);
        let index = running.job;
        let job = &self.mix.jobs[index];
        if running.fails {
            self.failures[index] += 1;
            if self.failures[index] < MAX_FAILURES && job.idempotent {
                return self.waiting.push(index);
            }
        }
        if self.mix.counts(index) {
            let class = self.mix.declaration.class(job.class);
            let deadline_ms = job.at_ms + class.map_or(0, |class| class.completion_ms);
            let met = !running.fails && self.now_ms <= deadline_ms;
            self.figures.count_met(job.class, met);
        }
    }

    fn finish(&mut self) {
        let running: Vec<usize> = self.ends.values().map(|running| running.job).collect();
        let waiting = self.waiting.clone();
        for index in waiting.iter().chain(&running).copied() {
            let job = &self.mix.jobs[index];
            if !self.mix.counts(index) {
                continue;
            }
            if waiting.contains(&index) && job.shape.accelerators() >= LARGE_ACCELERATORS {
                let wait_ms = self.mix.end_ms - job.at_ms;
                self.figures.large_gang_waits_ms.push(wait_ms);
            }
            let class = self.mix.declaration.class(job.class);
            let deadline_ms = job.at_ms + class.map_or(0, |class| class.completion_ms);
            if deadline_ms <= self.mix.end_ms {
                self.figures.count_met(job.class, false);
            }
        }
    }
}
