//! Checks and applies configuration patches.
//!
//! Each accepted patch makes one version, written by a single compare-and-swap.

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

/// The outcome of submitting a patch.
#[derive(Clone, Debug)]
pub enum PatchOutcome {
    /// The patch is part of this configuration, through this submission or an earlier
    /// one.
    Accepted(Box<Configuration>),
    /// The patch is refused as a whole, for these reasons.
    Refused(Vec<PatchProblem>),
    /// It is not known whether the patch took effect. Submitting it again under the same
    /// id resolves this.
    Unknown,
}

/// Reads the stored configuration and the version of its key in the store. Before the
/// first patch these are the default configuration and 0.
///
/// # Errors
///
/// The store does not answer, or the value cannot be decoded.
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

/// Checks a patch against `configuration` and the fleets in the platform's list, and
/// returns the configuration that the patch makes.
///
/// # Errors
///
/// Returns every reason for which the patch is refused.
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
    let guaranteed_in: BTreeSet<&String> = candidate
        .accounts
        .iter()
        .flat_map(|account| account.guarantees.iter().map(|g| &g.data_centre))
        .collect();
    let mut problems = Vec::new();
    for data_centre in guaranteed_in {
        let scope = ListScope::DataCentre(data_centre.clone());
        let ListAnswer::Changed { vms, .. } = membership.list(scope, "").await else {
            problems.push(PatchProblem::FleetUnknown {
                data_centre: data_centre.clone(),
            });
            continue;
        };
        let fleet = nominal_fleet(&vms);
        for shortfall in nominal_shortfalls(&fleet, &candidate, data_centre) {
            problems.push(PatchProblem::GuaranteesUnmet {
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

/// Returns the fleet of the listed workers that are not leaving.
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

/// Submits a patch. Submitting the same patch again finds the version that it already
/// made, even if the answer to the first submission was lost.
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
    let write = store.call(StoreCall::CompareAndSwap {
        key: CONFIGURATION_KEY.to_owned(),
        expected_version: version,
        value: configuration::encode(&next),
    });
    match write.await {
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

/// Determines the outcome after the write conflicted or its answer was lost. The
/// history shows whether the patch was accepted. If it was not and another version
/// replaced its base version, the patch is refused.
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
