//! End-to-end test of tasks that crash their workers, with real daemons and a stand-in of
//! the platform.

use super::MAX_STARTS;
use super::daemons::{
    epoch,
    fleet,
    is_completed,
    job,
    path,
    state,
    wait_until, //
};
use super::operator::Operator;
use super::processes::Answer;
use serde_json::Value;

/// Guards against a sound job that is never done beside a job that crashes its workers, with
/// the owner killed after the first crash. Tasks that are lost together wait together:
/// seven tasks of the sound job were lost with the first worker, and started beside the
/// crashing task again on five workers in a row.
#[test]
fn a_job_that_crashes_its_workers_is_shown_as_failed_and_others_are_done() {
    let operator = Operator::spawn(6);
    operator.world().configure(1, &[("q", 1)], 5);
    let mut daemons = fleet(219, 2, &operator);
    let mut crashing: Value = serde_json::from_str(&job(1, 500)).expect("a job");
    crashing["spec"] = "crash".into();

    let sent = [(1, crashing.to_string()), (2, job(12, 400))];
    for (id, body) in sent {
        let answer = daemons[0].request("POST", &path(id), &body);
        assert!(matches!(answer, Answer::Status(200, _)), "{answer:?}");
    }
    wait_until("a worker has crashed", || {
        let world = operator.world();
        let mut ends = world.records.iter().filter_map(|run| run.ended);
        ends.any(|(_, how)| how == "crashed")
    });
    let first = epoch(&operator);
    let owner = operator.world().value("owner").expect("an owner");
    let owner = usize::from(owner["owner"] == "d1");
    daemons[owner].kill();
    wait_until("the other daemon owns", || epoch(&operator) > first);

    let other = &daemons[1 - owner];
    wait_until("the other job is completed", || is_completed(other, 2));
    wait_until("the job is shown as failed", || {
        state(other, 1) == r#"{"state":"failed"}"#
    });
    let world = operator.world();
    let own = world.records.iter();
    let starts = own.filter(|run| run.task == "0000000000000001.0.0.0");
    assert!(starts.count() <= MAX_STARTS, "{:#?}", world.records);
}
