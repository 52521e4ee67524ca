//! What the control thread reports beside the scheduler's actions.

use fuchsiaslip::cluster::{
    Command,
    Control,
    Output, //
};
use fuchsiaslip::scheduler::{
    Input,
    Resources,
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
fn reported_workers(outputs: &mut UnboundedReceiver<Output>, epoch: u64) -> Option<usize> {
    let until = Instant::now() + TIMEOUT;
    while Instant::now() < until {
        let Ok(output) = outputs.try_recv() else {
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

/// Guards against an owner that calls thousands of workers itself: it was told the number of
/// workers only if that differed from what the owner before it, in the same process, was told.
#[test]
fn the_number_of_workers_is_reported_under_each_epoch() {
    let timer = Timer::spawn().expect("a timer");
    let (sender, mut outputs) = unbounded_channel();
    let control = Control::spawn(timer, sender).expect("a thread");

    for epoch in 1..6 {
        control.send(Command::End);
        control.send(begin(epoch));

        assert_eq!(reported_workers(&mut outputs, epoch), Some(WORKERS));
    }
}
