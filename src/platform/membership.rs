//! The platform's list of live and leaving VMs, which lags behind reality.

use futures_util::future::LocalBoxFuture;
use serde::{
    Deserialize,
    Serialize, //
};
use std::rc::Rc;

/// What a VM is for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmKind {
    /// Runs a daemon of ours.
    Daemon,
    /// A worker.
    Worker,
}

/// One VM of the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmRecord {
    /// Its name.
    pub name: String,
    /// What it is for.
    pub kind: VmKind,
    /// Its data centre.
    pub data_centre: String,
    /// IP number and port.
    pub address: String,
    /// Its rack.
    #[serde(default)]
    pub rack: String,
    /// Its accelerators.
    #[serde(default)]
    pub accelerators: u16,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

type ListVms = dyn Fn() -> LocalBoxFuture<'static, Option<Vec<VmRecord>>>;

/// The platform's list behind a closure.
#[derive(Clone)]
pub struct Membership {
    list: Rc<ListVms>,
}

impl Membership {
    /// A list that `list` fetches; `None` when it cannot be had.
    pub fn from_fn(
        list: impl Fn() -> LocalBoxFuture<'static, Option<Vec<VmRecord>>> + 'static,
    ) -> Self {
        Self {
            list: Rc::new(list),
        }
    }

    /// Fetches the list.
    pub async fn list(&self) -> Option<Vec<VmRecord>> {
        (self.list)().await
    }
}
