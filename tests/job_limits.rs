//! The limits of a job: what is decoded of a body, and what a job's record takes.

use fuchsiaslip::platform::decode_job;
use fuchsiaslip::scheduler::{
    JobRecord,
    JobSpec, //
};

/// The largest body that is allowed by default.
const BODY_BYTES: usize = 256 << 10;
/// The largest value of a store whose settings do not tell it.
const VALUE_BYTES: usize = 1 << 20;

fn body(steps: &str, count: usize) -> String {
    let steps = vec![steps; count].join(",");
    format!(r#"{{"steps":[{steps}]}}"#)
}

fn record_bytes(spec: JobSpec) -> usize {
    let record = JobRecord {
        queue: "q".to_owned(),
        account: "t".to_owned(),
        received_ms: 0,
        accepted_under: None,
        spec,
    };
    serde_json::to_vec(&record).expect("it is encoded").len()
}

/// Guards against a legal job that the store never takes, because its record is many times as
/// large as its body.
#[test]
fn the_job_with_most_steps_in_the_largest_body_fits_into_a_value() {
    let step = r#"{"count":1}"#;
    let steps = (BODY_BYTES - body("", 0).len() + 1) / (step.len() + 1);
    let body = body(step, steps);
    assert!(body.len() <= BODY_BYTES && body.len() + step.len() >= BODY_BYTES);

    let spec = decode_job(body.as_bytes()).expect("it is legal");

    assert_eq!(spec.steps.len(), steps);
    assert_eq!(spec.validation_error(), None);
    assert!(record_bytes(spec) <= VALUE_BYTES);
}

/// Guards against the same for steps of ordinary size.
#[test]
fn a_job_of_ordinary_steps_in_the_largest_body_fits_into_a_value() {
    let step = r#"{"count":4,"cpu":500,"mem_mb":256,"estimated_ms":900,"affinity":"r1-3"}"#;
    let body = body(step, BODY_BYTES / (step.len() + 1));

    let spec = decode_job(body.as_bytes()).expect("it is legal");

    assert!(record_bytes(spec) <= VALUE_BYTES);
}

/// Guards against bodies that decode to many times their size.
#[test]
fn decoding_stops_at_the_limits_of_a_job() {
    let many = body("{}", BODY_BYTES / 3 - 8);
    let of_itself = body(r#"{"after":[0]}"#, 1_000);
    let without_tasks = body(r#"{"count":0}"#, 1_000);

    for (body, problem) in [
        (many, "at most 24576 steps"),
        (of_itself, "a step may only follow earlier steps"),
        (without_tasks, "a step needs at least one task"),
    ] {
        let error = decode_job(body.as_bytes()).expect_err("it is refused");
        assert!(error.to_string().contains(problem), "{error}");
    }
}
