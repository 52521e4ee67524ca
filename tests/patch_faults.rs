//! Submits a patch under every fault at every step.
//!
//! The steps are the calls that a submission makes to the store: read, write, read back.
//! A fault happens at one of them. The operator then submits the same patch again, as
//! the error message asks, until the outcome is known.

use fuchsiaslip::backend::{
    ListAnswer,
    Membership,
    Store,
    StoreAnswer,
    StoreCall,
    StoreFailure, //
};
use fuchsiaslip::config::{
    Configuration,
    Patch,
    PatchProblem, //
};
use fuchsiaslip::daemon::{
    PatchOutcome,
    current,
    submit,
    token_digest, //
};
use fuchsiaslip::standin::StoreStandIn;
use std::cell::{
    Cell,
    RefCell, //
};
use std::rc::Rc;

const STEPS: usize = 4;
const MAX_TRIES: usize = 6;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    StoreDown,
    CallLost,
    AnswerLost,
    OtherPatchFirst,
    DaemonDies,
    SubmittedTwice,
}

const FAULTS: [Fault; 6] = [
    Fault::StoreDown,
    Fault::CallLost,
    Fault::AnswerLost,
    Fault::OtherPatchFirst,
    Fault::DaemonDies,
    Fault::SubmittedTwice,
];

fn patch(id: &str, base_version: u64, completion: f64) -> Patch {
    let text = format!(
        "id = \"{id}\"\nbase_version = {base_version}\n[weights]\ncompletion = {completion}\n\
         fragmentation = 0.5\n[[operator]]\nname = \"o\"\ntoken_sha256 = \"{}\"\n",
        token_digest("o")
    );
    toml::from_str(&text).expect("the patch is right")
}

/// Returns a membership whose platform never answers.
fn unresponsive_membership() -> Membership {
    Membership::from_fn(|_, _| Box::pin(async { ListAnswer::Unavailable }))
}

/// Returns a store on which `fault` happens at call number `step`, counted from 0.
fn store_with_fault(shared: Rc<RefCell<StoreStandIn>>, step: usize, fault: Fault) -> Store {
    let calls = Rc::new(Cell::new(0));
    Store::from_fn(move |call| {
        let number = calls.get();
        calls.set(number + 1);
        let is_due = number == step;
        let result = answer(&mut shared.borrow_mut(), call, is_due.then_some(fault));
        Box::pin(async move { result })
    })
}

fn answer(
    store: &mut StoreStandIn,
    call: StoreCall,
    fault: Option<Fault>,
) -> Result<StoreAnswer, StoreFailure> {
    match fault {
        Some(Fault::StoreDown) => Err(StoreFailure::Unavailable),
        Some(Fault::CallLost | Fault::DaemonDies) => Err(StoreFailure::Timeout),
        Some(Fault::AnswerLost) => {
            store.handle(call, 0)?;
            Err(StoreFailure::Timeout)
        }
        Some(Fault::OtherPatchFirst) => {
            let shared = Rc::new(RefCell::new(std::mem::take(store)));
            let other = store_with_fault(shared.clone(), usize::MAX, Fault::StoreDown);
            let late = patch("other", 1, 0.9);
            futures_util::FutureExt::now_or_never(submit(
                &other,
                &unresponsive_membership(),
                &late,
                "x",
                0,
            ));
            drop(other);
            *store = shared.take();
            store.handle(call, 0)
        }
        _ => store.handle(call, 0),
    }
}

/// Submits a patch again and again until the outcome is known.
async fn submit_until_known(store: &Store, patch: &Patch) -> PatchOutcome {
    for _ in 0..MAX_TRIES {
        match submit(store, &unresponsive_membership(), patch, "operator", 0).await {
            PatchOutcome::Unknown => {}
            known => return known,
        }
    }
    panic!("the outcome is unknown after {MAX_TRIES} tries");
}

async fn first_version(store: &Store) -> Configuration {
    match submit(
        store,
        &unresponsive_membership(),
        &patch("first", 0, 0.1),
        "operator",
        0,
    )
    .await
    {
        PatchOutcome::Accepted(configuration) => *configuration,
        other => panic!("{other:?}"),
    }
}

/// Submits a patch while `fault` happens at call number `step`, and checks the outcome
/// against the stored history.
async fn check_fault_at_step(step: usize, fault: Fault) {
    let shared = Rc::new(RefCell::new(StoreStandIn::default()));
    let faultless = store_with_fault(shared.clone(), usize::MAX, Fault::StoreDown);
    first_version(&faultless).await;
    let wanted = patch("wanted", 1, 0.7);
    let faulty = store_with_fault(shared, step, fault);

    if fault == Fault::DaemonDies {
        // The daemon dies before it answers. The operator then asks another one.
        let _ = submit(&faulty, &unresponsive_membership(), &wanted, "operator", 0).await;
    }
    let outcome = submit_until_known(&faulty, &wanted).await;
    if fault == Fault::SubmittedTwice {
        submit_until_known(&faulty, &wanted).await;
    }

    let (_, stored) = current(&faultless).await.expect("the store is back");
    let accepted_count = stored
        .history
        .iter()
        .filter(|summary| summary.id == "wanted")
        .count();
    match outcome {
        PatchOutcome::Accepted(_) => {
            assert_eq!(accepted_count, 1, "{fault:?} at step {step}: accepted once");
            let version = stored.accepted("wanted").map(|summary| summary.version);
            assert!(version.is_some_and(|version| version <= stored.version));
        }
        PatchOutcome::Refused(problems) => {
            assert_eq!(
                accepted_count, 0,
                "{fault:?} at step {step}: refused, but in the history"
            );
            assert_eq!(fault, Fault::OtherPatchFirst);
            assert!(matches!(
                problems[0],
                PatchProblem::Conflict { current: 2, .. }
            ));
            assert_eq!(stored.declaration.weights.completion, 0.9);
        }
        PatchOutcome::Unknown => unreachable!("submit_until_known returns no unknown outcome"),
    }
    assert_eq!(
        stored.version as usize,
        stored.history.len(),
        "no version is skipped or reverted"
    );
}

#[actix_rt::test]
async fn a_patch_is_accepted_once_or_refused_under_every_fault_at_every_step() {
    for step in 0..STEPS {
        for fault in FAULTS {
            check_fault_at_step(step, fault).await;
        }
    }
    println!(
        "patch: {STEPS} steps, {} faults, {} cells hold",
        FAULTS.len(),
        STEPS * FAULTS.len()
    );
}
