//! Accepting patches: one compare-and-swap makes a version.

use super::configuration::{
    self,
    CONFIGURATION_KEY, //
};
use crate::backend::{
    ListAnswer,
    ListScope,
    Membership,
    Store,
    StoreAnswer,
    StoreCall,
    StoreFailure,
    VmKind,
    VmRecord, //
};
use crate::config::{
    Configuration,
    Patch,
    PatchProblem, //
};
use crate::core::{
    Fleet,
    nominal_shortfalls, //
};
use crate::events;
use std::collections::BTreeSet;

/// What became of a patch.
#[derive(Clone, Debug)]
pub enum PatchOutcome {
    /// It is this version, now or since an earlier submission.
    Accepted(Box<Configuration>),
    /// It is refused whole, for these reasons.
    Refused(Vec<PatchProblem>),
    /// Whether it took effect cannot be known now; its id will tell.
    Unknown,
}

/// Reads the configuration as it is stored now.
///
/// # Errors
///
/// The service does not answer, or the value cannot be read.
pub async fn current(store: &Store) -> Result<(u64, Configuration), StoreFailure> {
    let key = CONFIGURATION_KEY.to_owned();
    match store.call(StoreCall::Get { key }).await? {
        StoreAnswer::Value { version, value } => {
            let configuration = configuration::decode(&value).ok_or(StoreFailure::Unavailable)?;
            Ok((version, configuration))
        }
        _ => Ok((0, Configuration::default())),
    }
}

/// Checks a patch against `configuration` and the fleet in the list.
///
/// # Errors
///
/// All reasons at once why the patch is refused.
pub async fn check(
    configuration: &Configuration,
    membership: &Membership,
    patch: &Patch,
    operator: &str,
    now_ms: u64,
) -> Result<Configuration, Vec<PatchProblem>> {
    let next = configuration.apply(patch, operator, now_ms);
    let candidate = match &next {
        Ok(next) => next.declaration.clone(),
        Err(_) => return next,
    };
    let places: BTreeSet<&String> = candidate
        .accounts
        .iter()
        .flat_map(|account| account.guarantees.iter().map(|g| &g.data_centre))
        .collect();
    let mut problems = Vec::new();
    for data_centre in places {
        let scope = ListScope::DataCentre(data_centre.clone());
        let ListAnswer::Changed { vms, .. } = membership.list(scope, "").await else {
            problems.push(PatchProblem::FleetUnknown {
                data_centre: data_centre.clone(),
            });
            continue;
        };
        let fleet = nominal_fleet(&vms);
        for shortfall in nominal_shortfalls(&fleet, &candidate, data_centre) {
            problems.push(PatchProblem::NoWitness {
                account: shortfall.account,
                data_centre: data_centre.clone(),
                missing: shortfall.missing,
            });
        }
    }
    match problems.is_empty() {
        true => next,
        false => Err(problems),
    }
}

fn nominal_fleet(vms: &[VmRecord]) -> Fleet {
    let mut workers: Vec<&VmRecord> = vms
        .iter()
        .filter(|vm| vm.kind == VmKind::Worker && !vm.leaving)
        .collect();
    workers.sort_by_key(|vm| (&vm.rack, &vm.name));
    let mut fleet = Fleet::default();
    for vm in workers {
        fleet.add(&vm.name, &vm.rack, vm.accelerators);
    }
    fleet.reindex();
    fleet
}

/// Submits a patch. Submitting the same patch again finds the version that it
/// made, also when the answer to the first submission was lost.
pub async fn submit(
    store: &Store,
    membership: &Membership,
    patch: &Patch,
    operator: &str,
    now_ms: u64,
) -> PatchOutcome {
    let Ok((version, configuration)) = current(store).await else {
        return PatchOutcome::Unknown;
    };
    if configuration.accepted(&patch.id).is_some() {
        return PatchOutcome::Accepted(Box::new(configuration));
    }
    let next = match check(&configuration, membership, patch, operator, now_ms).await {
        Ok(next) => next,
        Err(problems) => {
            let count = problems.len();
            events::log(
                events::PATCH_REFUSED,
                format_args!("{}: {count} reasons", patch.id),
            );
            return PatchOutcome::Refused(problems);
        }
    };
    let written = store.call(StoreCall::CompareAndSwap {
        key: CONFIGURATION_KEY.to_owned(),
        expected_version: version,
        value: configuration::encode(&next),
    });
    match written.await {
        Ok(StoreAnswer::Written { .. }) => {
            events::log(
                events::PATCH_ACCEPTED,
                format_args!("{} is version {}", patch.id, next.version),
            );
            PatchOutcome::Accepted(Box::new(next))
        }
        _ => read_back(store, patch).await,
    }
}

/// The write conflicted or its answer was lost: the history says whether the
/// patch is in. If it is not and another version is, the patch was too late.
async fn read_back(store: &Store, patch: &Patch) -> PatchOutcome {
    let Ok((_, configuration)) = current(store).await else {
        return PatchOutcome::Unknown;
    };
    if configuration.accepted(&patch.id).is_some() {
        return PatchOutcome::Accepted(Box::new(configuration));
    }
    if configuration.version == patch.base_version {
        return PatchOutcome::Unknown;
    }
    let conflict = configuration.apply(patch, "", 0);
    PatchOutcome::Refused(conflict.err().unwrap_or_default())
}
