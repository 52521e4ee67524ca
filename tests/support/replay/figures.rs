//! What a replay measured.

use super::loads::ACCOUNT_SHARES;
use super::{
    LATE_FACTOR,
    Order,
    OrderFigures,
    Replay,
    STREAM_MS,
    SimJob, //
};

const WINDOW_MS: u64 = 2_000;

/// What a replay measured.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    pub jobs: usize,
    /// Share of jobs that ended within their objective, and late.
    pub on_time: f64,
    pub late: f64,
    /// Worth earned against worth owed, in all, in the two worst windows, of
    /// the worst account, of the worst class and of the largest tenth.
    pub worth: f64,
    pub worst_windows: f64,
    pub worst_account: f64,
    pub worst_class: f64,
    pub largest_tenth: f64,
    pub thrown_away_core_s: f64,
    pub reclaim_p99_ms: u64,
    /// Longest time for which an urgent job within its account's guarantee had
    /// not begun.
    pub guaranteed_wait_ms: u64,
    /// Starts while the store was silent.
    pub starts_in_silence: usize,
    /// Of the operators' order, where the load has one.
    pub order: Option<OrderFigures>,
    /// Tasks that ran twice at a time; has to be 0.
    pub twice: usize,
}

impl Replay {
    pub(super) fn figures(&self, stream_ms: u64) -> Figures {
        let mean_work: Vec<f64> = (0..self.site.classes.len())
            .map(|class| {
                let jobs = self.jobs.values().filter(|job| job.class == class);
                let (sum, count) = jobs.fold((0.0, 0.0), |(sum, count), job| {
                    (sum + job.work, count + 1.0)
                });
                sum / f64::max(count, 1.0)
            })
            .collect();
        let owed_and_earned: Vec<(&SimJob, f64, f64)> = self
            .jobs
            .values()
            .map(|job| {
                let class = &self.site.classes[job.class];
                let ratio = 0.3 + 0.7 * (job.work / mean_work[job.class]).min(4.0);
                let took_ms = job
                    .ended_ms
                    .map_or(u64::MAX, |at| at.saturating_sub(job.arrives_ms));
                let earned = if took_ms <= job.objective_ms {
                    class.worth
                } else if took_ms <= LATE_FACTOR * job.objective_ms {
                    class.late_worth
                } else {
                    0.0
                };
                (job, class.worth * ratio, earned * ratio)
            })
            .collect();
        let share = |chosen: &dyn Fn(&SimJob) -> bool| {
            let rows = owed_and_earned.iter().filter(|(job, ..)| chosen(job));
            let (owed, earned) = rows.fold((0.0, 0.0), |(owed, earned), (_, own, got)| {
                (owed + own, earned + got)
            });
            if owed > 0.0 { earned / owed } else { 1.0 }
        };
        let worst = |shares: Vec<f64>| shares.into_iter().fold(1.0, f64::min);
        let mut windows: Vec<f64> = (0..STREAM_MS / WINDOW_MS)
            .map(|at| {
                let from_ms = stream_ms + at * WINDOW_MS;
                share(&|job| (from_ms..from_ms + WINDOW_MS).contains(&job.arrives_ms))
            })
            .collect();
        windows.sort_by(f64::total_cmp);
        let count = self.jobs.len().max(1) as f64;
        let ended = |late: bool| {
            let counted = self.jobs.values().filter(|job| {
                let took_ms = job.ended_ms.map(|at| at.saturating_sub(job.arrives_ms));
                took_ms.is_some_and(|took_ms| {
                    took_ms <= LATE_FACTOR * job.objective_ms
                        && (took_ms > job.objective_ms) == late
                })
            });
            counted.count() as f64 / count
        };
        let mut works: Vec<f64> = self.jobs.values().map(|job| job.work).collect();
        works.sort_by(f64::total_cmp);
        let large = works.get(works.len() * 9 / 10).copied().unwrap_or(0.0);
        Figures {
            jobs: self.jobs.len(),
            on_time: ended(false),
            late: ended(true),
            worth: share(&|_| true),
            worst_windows: windows.iter().take(2).sum::<f64>() / 2.0,
            worst_account: worst(
                (0..ACCOUNT_SHARES.len())
                    .map(|account| share(&|job| job.account == account))
                    .collect(),
            ),
            worst_class: worst(
                (0..self.site.classes.len())
                    .map(|class| share(&|job| job.class == class))
                    .collect(),
            ),
            largest_tenth: share(&|job| job.work >= large),
            thrown_away_core_s: self.thrown_away_core_s,
            reclaim_p99_ms: self.reclaim_p99_ms(),
            guaranteed_wait_ms: self.guaranteed_wait_ms,
            starts_in_silence: self.starts_in_silence,
            order: self.order.as_ref().map(Order::figures),
            twice: self.twice,
        }
    }

    /// From acceptance until all first tasks of an urgent job have begun.
    fn reclaim_p99_ms(&self) -> u64 {
        let urgent = self
            .jobs
            .values()
            .filter(|job| self.site.classes[job.class].priority == 0);
        let mut waits: Vec<u64> = urgent
            .filter_map(|job| {
                let last_ms = job.first_begun.values().max().filter(|_| job.has_begun());
                let last_ms = last_ms.copied().unwrap_or(self.now_ms);
                Some(last_ms.saturating_sub(job.accepted_ms?))
            })
            .collect();
        waits.sort_unstable();
        waits.get(waits.len() * 99 / 100).copied().unwrap_or(0)
    }
}
