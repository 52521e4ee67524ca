//! Every fault at every step of a patch's life.
//!
//! The steps are the calls that a submission makes to the store: read, write,
//! read back. A fault happens at one of them; then the operator submits the
//! same patch again, as the answer says, until the outcome is known.

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
const TRIES: usize = 6;

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

fn no_workers() -> Membership {
    Membership::from_fn(|_, _| Box::pin(async { ListAnswer::Silent }))
}

/// A store that lets `fault` happen at call number `step`.
fn faulty(shared: Rc<RefCell<StoreStandIn>>, step: usize, fault: Fault) -> Store {
    let calls = Rc::new(Cell::new(0));
    Store::from_fn(move |call| {
        let at = calls.get();
        calls.set(at + 1);
        let due = at == step;
        let result = answer(&mut shared.borrow_mut(), call, due.then_some(fault));
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
            let other = faulty(shared.clone(), usize::MAX, Fault::StoreDown);
            let late = patch("other", 1, 0.9);
            futures_util::FutureExt::now_or_never(submit(&other, &no_workers(), &late, "x", 0));
            drop(other);
            *store = shared.take();
            store.handle(call, 0)
        }
        _ => store.handle(call, 0),
    }
}

/// Submits until the outcome is known.
async fn submit_until_known(store: &Store, patch: &Patch) -> PatchOutcome {
    for _ in 0..TRIES {
        match submit(store, &no_workers(), patch, "operator", 0).await {
            PatchOutcome::Unknown => {}
            known => return known,
        }
    }
    panic!("the outcome is known in {TRIES} tries");
}

async fn first_version(store: &Store) -> Configuration {
    match submit(store, &no_workers(), &patch("first", 0, 0.1), "operator", 0).await {
        PatchOutcome::Accepted(configuration) => *configuration,
        other => panic!("{other:?}"),
    }
}

async fn run_cell(step: usize, fault: Fault) {
    let shared = Rc::new(RefCell::new(StoreStandIn::default()));
    let sound = faulty(shared.clone(), usize::MAX, Fault::StoreDown);
    first_version(&sound).await;
    let wanted = patch("wanted", 1, 0.7);
    let faulty = faulty(shared, step, fault);

    if fault == Fault::DaemonDies {
        // The daemon is gone with its answer; another one is asked.
        let _ = submit(&faulty, &no_workers(), &wanted, "operator", 0).await;
    }
    let outcome = submit_until_known(&faulty, &wanted).await;
    if fault == Fault::SubmittedTwice {
        submit_until_known(&faulty, &wanted).await;
    }

    let (_, stored) = current(&sound).await.expect("the store is back");
    let made = stored
        .history
        .iter()
        .filter(|summary| summary.id == "wanted")
        .count();
    match outcome {
        PatchOutcome::Accepted(_) => {
            assert_eq!(made, 1, "{fault:?} at {step}: accepted once");
            let version = stored.accepted("wanted").map(|summary| summary.version);
            assert!(version.is_some_and(|version| version <= stored.version));
        }
        PatchOutcome::Refused(problems) => {
            assert_eq!(made, 0, "{fault:?} at {step}: refused whole");
            assert_eq!(fault, Fault::OtherPatchFirst);
            assert!(matches!(
                problems[0],
                PatchProblem::Conflict { current: 2, .. }
            ));
            assert_eq!(stored.declaration.weights.completion, 0.9);
        }
        PatchOutcome::Unknown => unreachable!("known by now"),
    }
    assert_eq!(
        stored.version as usize,
        stored.history.len(),
        "no version is skipped or reverted"
    );
}

#[actix_rt::test]
async fn every_fault_at_every_step_of_a_patch() {
    for step in 0..STEPS {
        for fault in FAULTS {
            run_cell(step, fault).await;
        }
    }
    println!(
        "patch: {STEPS} steps, {} faults, {} cells hold",
        FAULTS.len(),
        STEPS * FAULTS.len()
    );
}
