//! A data centre that is emptied in a replay: the worst moment for the order, and
//! what is measured of it.

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

/// The store's revision of the order: any that is not 0.
const REVISION: u64 = 10;

/// What the operators' order meets when it comes.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    /// Since the stream of jobs began.
    pub since_ms: u64,
    /// Place of the data centre in the list.
    data_centre: usize,
    /// Accelerators for which gangs wait.
    pub waiting_gang_accelerators: u32,
    /// Accelerators that work which may be taken back uses beyond the surplus.
    pub lent_accelerators: u32,
}

/// What was measured of an order.
#[derive(Clone, Copy, Debug)]
pub struct OrderFigures {
    /// What it met.
    pub moment: Moment,
    /// Starts that workers of the data centre were sent while it was in force.
    pub starts: usize,
    /// The latest of them, from when the order was known.
    pub latest_start_ms: Option<u64>,
    /// The first start there after it was given back.
    pub used_again_ms: Option<u64>,
}

/// An order in a replay: to come, in force, or taken back.
#[derive(Clone, Copy, Debug)]
pub struct Order {
    moment: Moment,
    given_ms: Option<u64>,
    back_ms: Option<u64>,
    starts: usize,
    latest_start_ms: Option<u64>,
    used_again_ms: Option<u64>,
}

impl Order {
    /// An order that is to come at a moment.
    pub fn at(moment: Moment) -> Self {
        Self {
            moment,
            given_ms: None,
            back_ms: None,
            starts: 0,
            latest_start_ms: None,
            used_again_ms: None,
        }
    }

    /// Notes a start that a worker of a data centre was sent.
    pub fn note_start(&mut self, data_centre: usize, now_ms: u64) {
        if data_centre != self.moment.data_centre {
            return;
        }
        let Some(given_ms) = self.given_ms else {
            return;
        };
        match self.back_ms {
            None => {
                self.starts += 1;
                self.latest_start_ms = Some(now_ms - given_ms);
            }
            Some(back_ms) => {
                self.used_again_ms.get_or_insert(now_ms - back_ms);
            }
        }
    }

    /// What was measured of it.
    pub fn figures(&self) -> OrderFigures {
        OrderFigures {
            moment: self.moment,
            starts: self.starts,
            latest_start_ms: self.latest_start_ms,
            used_again_ms: self.used_again_ms,
        }
    }
}

/// The first half of the burst, so that an order is in force for much of it.
fn moments_ms() -> Range<u64> {
    STREAM_MS / 3..STREAM_MS / 2
}

/// The moment at which gangs wait for most while lent room is in use, in a replay
/// of the load without an order. The same for every rule of order, so that the
/// figures of the rules compare.
pub fn worst_moment(load: &Load, seed: u64) -> Option<Moment> {
    let mut replay = Replay::begin(load, OrderingPolicy::Utility, seed);
    let mut worst: Option<Moment> = None;
    replay.play(load, |replay, since_ms| {
        if !moments_ms().contains(&since_ms) {
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
    /// What an order would meet now; it names the data centre in which most of
    /// what may be taken back runs.
    fn moment(&self, since_ms: u64) -> Moment {
        let open = self.jobs.values().filter(|job| self.is_open(job));
        let waiting = open.filter(|job| job.is_gang() && job.first_begun.is_empty());
        let (mut in_each, mut taken) = ([0; DATA_CENTRES.len()], 0);
        for at in 0..self.site.workers {
            let used = self.lent_on(at);
            in_each[self.site.data_centre(at)] += used;
            taken += used;
        }
        let data_centre = (0..DATA_CENTRES.len()).max_by_key(|&at| in_each[at]);
        Moment {
            since_ms,
            data_centre: data_centre.unwrap_or(0),
            waiting_gang_accelerators: waiting.map(SimJob::first_step_accelerators).sum(),
            lent_accelerators: taken.saturating_sub(self.site.surplus_accelerators()),
        }
    }

    /// Accelerators on a worker in use by work that may be taken back.
    fn lent_on(&self, at: usize) -> u32 {
        let running = self.workers[at].running.iter();
        let lent = running.filter(|(name, _)| {
            let job = self.jobs.get(&name.task.job);
            job.is_some_and(|job| self.site.classes[job.class].priority > 0)
        });
        lent.map(|(_, run)| run.room.accelerators).sum()
    }

    /// Gives the order when its moment has come, and takes it back later.
    pub(super) fn give_order(&mut self, load: &Load, since_ms: u64) {
        let now_ms = self.now_ms;
        let Some(order) = &mut self.order else {
            return;
        };
        let back_at_ms = order.moment.since_ms + load.emptied_ms;
        if order.given_ms.is_none() && since_ms >= order.moment.since_ms {
            order.given_ms = Some(now_ms);
            let data_centre = DATA_CENTRES[order.moment.data_centre].to_owned();
            self.tell_orders(vec![EmptyingOrder {
                data_centre,
                revision: REVISION,
            }]);
        } else if order.back_ms.is_none() && since_ms >= back_at_ms {
            order.back_ms = Some(now_ms);
            self.tell_orders(Vec::new());
        }
    }

    fn tell_orders(&mut self, orders: Vec<EmptyingOrder>) {
        self.tell(Input::EmptyingOrdersRead {
            orders,
            checked_ms: self.now_ms,
        });
    }
}
