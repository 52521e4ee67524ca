//! An operators' order in a replay to empty a data centre: chooses the worst moment for
//! the order and measures its effects.

use super::loads::{
    DATA_CENTRES,
    Load, //
};
use super::{
    Replay,
    STREAM_MS,
    SimJob, //
};
use fuchsiaslip::scheduler::{
    EmptyingOrder,
    Input,
    OrderingPolicy, //
};
use std::ops::Range;

/// The store's revision of the order: any value but 0.
const REVISION: u64 = 10;

/// A time for the order, with the state of the fleet at that time.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    /// Time since the stream of jobs began.
    pub since_ms: u64,
    /// Index of the data centre to empty.
    data_centre: usize,
    /// Accelerators for which gangs wait.
    pub waiting_gang_accelerators: u32,
    /// Accelerators that preemptible work uses beyond those that no account is
    /// guaranteed.
    pub lent_accelerators: u32,
}

/// The measured effects of an order.
#[derive(Clone, Copy, Debug)]
pub struct OrderFigures {
    /// The moment at which the order was given.
    pub moment: Moment,
    /// Number of starts sent to workers of the data centre while the order was in force.
    pub starts: usize,
    /// Time of the latest of these starts since the order was known.
    pub latest_start_ms: Option<u64>,
    /// Time from the withdrawal of the order to the first start there.
    pub used_again_ms: Option<u64>,
}

/// An order in a replay: planned, in force or withdrawn.
#[derive(Clone, Copy, Debug)]
pub struct SimOrder {
    moment: Moment,
    given_ms: Option<u64>,
    withdrawn_ms: Option<u64>,
    starts: usize,
    latest_start_ms: Option<u64>,
    used_again_ms: Option<u64>,
}

impl SimOrder {
    /// Plans an order for a moment.
    pub fn at(moment: Moment) -> Self {
        Self {
            moment,
            given_ms: None,
            withdrawn_ms: None,
            starts: 0,
            latest_start_ms: None,
            used_again_ms: None,
        }
    }

    /// Records a start sent to a worker of a data centre.
    pub fn record_start(&mut self, data_centre: usize, now_ms: u64) {
        if data_centre != self.moment.data_centre {
            return;
        }
        let Some(given_ms) = self.given_ms else {
            return;
        };
        match self.withdrawn_ms {
            None => {
                self.starts += 1;
                self.latest_start_ms = Some(now_ms - given_ms);
            }
            Some(withdrawn_ms) => {
                self.used_again_ms.get_or_insert(now_ms - withdrawn_ms);
            }
        }
    }

    /// Returns the measured effects.
    pub fn figures(&self) -> OrderFigures {
        OrderFigures {
            moment: self.moment,
            starts: self.starts,
            latest_start_ms: self.latest_start_ms,
            used_again_ms: self.used_again_ms,
        }
    }
}

/// Returns the times at which the order may be given: the first half of the burst, so
/// that the order is in force for much of it.
fn candidate_moments_ms() -> Range<u64> {
    STREAM_MS / 3..STREAM_MS / 2
}

/// Returns the moment at which gangs wait for the most accelerators while lent ones are in
/// use, in a replay of the load without an order. It does not depend on the ordering
/// policy that is measured, so the figures of the policies are comparable.
pub fn worst_moment(load: &Load, seed: u64) -> Option<Moment> {
    let mut replay = Replay::begin(load, OrderingPolicy::Utility, seed);
    let mut worst: Option<Moment> = None;
    replay.play(load, |replay, since_ms| {
        if !candidate_moments_ms().contains(&since_ms) {
            return;
        }
        let moment = replay.moment(since_ms);
        let weight = |moment: &Moment| moment.waiting_gang_accelerators;
        let worse = worst.as_ref().map_or(0, weight) < weight(&moment);
        if worse && moment.lent_accelerators > 0 {
            worst = Some(moment);
        }
    });
    worst
}

impl Replay {
    /// Returns the present moment, for an order that empties the data centre in which
    /// preemptible work uses the most accelerators.
    fn moment(&self, since_ms: u64) -> Moment {
        let open = self.jobs.values().filter(|job| self.is_open(job));
        let waiting = open.filter(|job| job.is_gang() && job.first_starts.is_empty());
        let (mut by_data_centre, mut total) = ([0; DATA_CENTRES.len()], 0);
        for at in 0..self.site.workers {
            let used = self.preemptible_on(at);
            by_data_centre[self.site.data_centre(at)] += used;
            total += used;
        }
        let data_centre = (0..DATA_CENTRES.len()).max_by_key(|&at| by_data_centre[at]);
        Moment {
            since_ms,
            data_centre: data_centre.unwrap_or(0),
            waiting_gang_accelerators: waiting.map(SimJob::first_step_accelerators).sum(),
            lent_accelerators: total.saturating_sub(self.site.surplus_accelerators()),
        }
    }

    /// Returns the accelerators on a worker that preemptible work uses.
    fn preemptible_on(&self, at: usize) -> u32 {
        let running = self.workers[at].running.iter();
        let preemptible = running.filter(|(name, _)| {
            let job = self.jobs.get(&name.task.job);
            job.is_some_and(|job| self.site.classes[job.class].priority > 0)
        });
        preemptible.map(|(_, run)| run.resources.accelerators).sum()
    }

    /// Gives the order at its moment, and withdraws it later.
    pub(super) fn update_order(&mut self, load: &Load, since_ms: u64) {
        let now_ms = self.now_ms;
        let Some(order) = &mut self.order else {
            return;
        };
        let withdraw_at_ms = order.moment.since_ms + load.emptied_ms;
        if order.given_ms.is_none() && since_ms >= order.moment.since_ms {
            order.given_ms = Some(now_ms);
            let data_centre = DATA_CENTRES[order.moment.data_centre].to_owned();
            self.send_orders(vec![EmptyingOrder {
                data_centre,
                revision: REVISION,
            }]);
        } else if order.withdrawn_ms.is_none() && since_ms >= withdraw_at_ms {
            order.withdrawn_ms = Some(now_ms);
            self.send_orders(Vec::new());
        }
    }

    fn send_orders(&mut self, orders: Vec<EmptyingOrder>) {
        self.send_input(Input::EmptyingOrdersRead {
            orders,
            checked_ms: self.now_ms,
        });
    }
}
