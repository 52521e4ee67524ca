//! The naive version: first come first served, first fit, no lending, no
//! preemption, no reservation. Each account's guarantee is walled off for it.
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
const SAMPLE_MS: u64 = 60_000;
const FAILURE_MS: u64 = 2_000;
const MAX_FAILURES: u32 = 5;

#[derive(Clone, Debug)]
struct Running {
    job: usize,
    members: Vec<usize>,
    fails: bool,
}

/// Runs a mix naively.
pub struct Naive<'a> {
    mix: &'a Mix,
    now_ms: u64,
    /// Free accelerators of each worker in each pool: 0 is the common one, the
    /// others are the accounts' guarantees.
    free: Vec<Vec<u32>>,
    pools: Vec<String>,
    waiting: Vec<usize>,
    ends: BTreeMap<(u64, u64), Running>,
    order: u64,
    failures: Vec<u32>,
    figures: Figures,
    changed: bool,
}

/// The first workers in order that can hold `shape`, out of `free`.
pub fn first_fit(free: &[u32], rack_size: usize, shape: &Shape) -> Option<Vec<usize>> {
    let per_worker = u32::from(shape.accelerators_per_worker);
    let wanted = usize::from(shape.workers);
    let fits = |range: std::ops::Range<usize>| -> Option<Vec<usize>> {
        let found: Vec<usize> = range
            .filter(|&at| free[at] >= per_worker)
            .take(wanted)
            .collect();
        (found.len() == wanted).then_some(found)
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
            order: 0,
            failures: vec![0; mix.jobs.len()],
            figures: Figures::default(),
            changed: false,
        };
        naive.wall_off();
        naive.run_list();
        naive.figures
    }

    fn wall_off(&mut self) {
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

    fn run_list(&mut self) {
        let mut next_job = 0;
        let mut next_tick_ms = TICK_MS;
        let mut next_sample_ms = SAMPLE_MS;
        let mut order: Vec<usize> = (0..self.mix.jobs.len()).collect();
        order.sort_by_key(|&at| self.mix.jobs[at].at_ms);
        loop {
            let submit_ms = order
                .get(next_job)
                .map_or(u64::MAX, |&at| self.mix.jobs[at].at_ms);
            let end_ms = self
                .ends
                .first_key_value()
                .map_or(u64::MAX, |((at, _), _)| *at);
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
                self.waiting.push(order[next_job]);
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
        let cancelled = |at: usize| mix.jobs[at].cancel_at_ms.is_some_and(|due| due <= now_ms);
        self.waiting.retain(|&at| !cancelled(at));
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
                .map(|at| self.free.iter().map(|pool| pool[at]).sum())
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
        let mut still = Vec::new();
        for at in std::mem::take(&mut self.waiting) {
            let job = &self.mix.jobs[at];
            let known = failed.contains(&(job.shape, job.account));
            if known || !self.start(at) {
                failed.push((job.shape, job.account));
                still.push(at);
            }
        }
        self.waiting = still;
    }

    fn start(&mut self, at: usize) -> bool {
        let job = &self.mix.jobs[at];
        let own = self.pools.iter().position(|name| name == job.account);
        for pool in own.into_iter().chain([0]) {
            let rack_size = self.mix.rack_size;
            let Some(members) = first_fit(&self.free[pool], rack_size, &job.shape) else {
                continue;
            };
            for &worker in &members {
                self.free[pool][worker] -= u32::from(job.shape.accelerators_per_worker);
            }
            if job.shape.accelerators() >= LARGE_ACCELERATORS && self.mix.counts(at) {
                let wait_ms = self.now_ms - job.at_ms;
                self.figures.large_gang_waits_ms.push(wait_ms);
            }
            let fails = job.broken
                || members
                    .iter()
                    .any(|worker| self.mix.bad_workers.contains(worker));
            let run_ms = match fails {
                true => job.actual_run_ms.min(FAILURE_MS),
                false => job.actual_run_ms,
            };
            self.order += 1;
            let mut members = members;
            members.push(pool);
            let running = Running {
                job: at,
                members,
                fails,
            };
            self.ends
                .insert((self.now_ms + run_ms, self.order), running);
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
        let at = running.job;
        let job = &self.mix.jobs[at];
        if running.fails {
            self.failures[at] += 1;
            if self.failures[at] < MAX_FAILURES && job.idempotent {
                return self.waiting.push(at);
            }
        }
        if self.mix.counts(at) {
            let class = self.mix.declaration.class(job.class);
            let deadline_ms = job.at_ms + class.map_or(0, |class| class.completion_ms);
            let met = !running.fails && self.now_ms <= deadline_ms;
            self.figures.count_met(job.class, met);
        }
    }

    fn finish(&mut self) {
        let running: Vec<usize> = self.ends.values().map(|running| running.job).collect();
        let waiting = self.waiting.clone();
        for at in waiting.iter().chain(&running).copied() {
            let job = &self.mix.jobs[at];
            if !self.mix.counts(at) {
                continue;
            }
            if waiting.contains(&at) && job.shape.accelerators() >= LARGE_ACCELERATORS {
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
