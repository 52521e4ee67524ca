//! What the control thread reports beside the scheduler's actions.

use fuchsiaslip::cluster::{
    Command,
    Control,
    Report, //
};
use fuchsiaslip::scheduler::{
    Input,
    Resources,
    Scheduler,
    Tuning,
    WorkerInfo, //
};
use fuchsiaslip::timer::Timer;
use std::time::{
    Duration,
    Instant, //
};
use tokio::sync::mpsc::{
    UnboundedReceiver,
    unbounded_channel, //
};

const WORKERS: usize = 3;
const TIMEOUT: Duration = Duration::from_secs(2);

fn begin(epoch: u64) -> Command {
    let worker = |at: usize| {
        Input::WorkerRegistered(WorkerInfo {
            worker_name: format!("w{at}"),
            address: format!("127.0.0.1:{at}"),
            data_centre: "z".to_owned(),
            capacity: Resources {
                cpu_millis: 1_000,
                memory_mb: 1_000,
                accelerators: 1,
            },
            ..WorkerInfo::default()
        })
    };
    let mut stored: Vec<Input> = (0..WORKERS).map(worker).collect();
    stored.push(Input::StoredStateRead {
        earlier_owner_exited: true,
    });
    Command::Begin {
        epoch,
        tuning: Tuning::default(),
        stored,
    }
}

/// The number of workers that is reported under an epoch, if any is.
fn reported_workers(reports: &mut UnboundedReceiver<Report>, epoch: u64) -> Option<usize> {
    let until = Instant::now() + TIMEOUT;
    while Instant::now() < until {
        let Ok(Report::Decided(output)) = reports.try_recv() else {
            std::thread::sleep(Duration::from_millis(1));
            continue;
        };
        let counts = output.worker_counts.filter(|_| output.epoch == epoch);
        if let Some(counts) = counts {
            return Some(counts.values().sum());
        }
    }
    None
}

/// Waits for the next report that is a failure: its epoch and the number of its dropped actions.
fn failure(reports: &mut UnboundedReceiver<Report>) -> Option<(Option<u64>, usize)> {
    let until = Instant::now() + TIMEOUT;
    while Instant::now() < until {
        match reports.try_recv() {
            Ok(Report::Failed { epoch, dropped, .. }) => return Some((epoch, dropped.len())),
            Ok(Report::Decided(_)) => {}
            Err(_) => std::thread::sleep(Duration::from_millis(1)),
        }
    }
    None
}

/// Guards against a control thread that ends unnoticed: a panic in a decision of one epoch is
/// reported, with what the log still has to show, and later epochs are decided.
#[test]
fn a_decision_that_panics_is_reported_and_the_next_epoch_is_decided() {
    let timer = Timer::spawn().expect("a timer");
    let (sender, mut reports) = unbounded_channel();
    let decide = |scheduler: &mut Scheduler, now_ms: u64| {
        assert!(scheduler.epoch() > 1, "a fault of the test");
        scheduler.decide(now_ms)
    };
    let control = Control::spawn(timer, sender, Box::new(decide)).expect("a thread");

    control.send(begin(1));
    let failed = failure(&mut reports);
    control.send(begin(2));

    let (epoch, dropped) = failed.expect("the failure is reported");
    assert_eq!(epoch, Some(1));
    assert!(dropped > 0, "the first polls were decided on");
    assert_eq!(reported_workers(&mut reports, 2), Some(WORKERS));
}

/// Guards against an owner that calls thousands of workers itself: it was told the number of
/// workers only if that differed from what the owner before it, in the same process, was told.
#[test]
fn the_number_of_workers_is_reported_under_each_epoch() {
    let timer = Timer::spawn().expect("a timer");
    let (sender, mut reports) = unbounded_channel();
    let decide = Box::new(Scheduler::decide);
    let control = Control::spawn(timer, sender, decide).expect("a thread");

    for epoch in 1..6 {
        control.send(Command::End);
        control.send(begin(epoch));

        assert_eq!(reported_workers(&mut reports, epoch), Some(WORKERS));
    }
}
