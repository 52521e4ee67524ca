//! The platform's list of VMs, which shows a change of the VMs only after a delay.

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
    /// Runs a daemon of this scheduler.
    Daemon,
    /// Runs tasks as a worker.
    Worker,
}

/// A VM of the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmRecord {
    /// Name of the VM.
    pub name: String,
    /// What the VM is for.
    pub kind: VmKind,
    /// Data centre of the VM.
    pub data_centre: String,
    /// IP address and port.
    pub address: String,
    /// Rack of the VM; empty if unknown.
    #[serde(default)]
    pub rack: String,
    /// Number of accelerators.
    #[serde(default)]
    pub accelerators: u16,
    /// Whether the VM is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// The part of the list that is requested.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ListScope {
    /// All VMs of one data centre.
    DataCentre(String),
    /// The daemons of every data centre.
    Daemons,
}

/// The result of a request for the list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ListAnswer {
    /// The list has not changed since the state with the caller's tag.
    Unchanged,
    /// The list differs from the state with the caller's tag.
    Changed {
        /// Tag of the new state of the list.
        tag: String,
        /// All VMs of the requested part.
        vms: Vec<VmRecord>,
    },
    /// The list could not be fetched.
    Unavailable,
}

type ListVms = dyn Fn(ListScope, String) -> LocalBoxFuture<'static, ListAnswer>;

/// The platform's list of VMs, fetched by a closure.
#[derive(Clone)]
pub struct Membership {
    list: Rc<ListVms>,
}

impl Membership {
    /// Creates a list that `list` fetches. Its second argument is the tag of the
    /// state that the caller has.
    pub fn from_fn(
        list: impl Fn(ListScope, String) -> LocalBoxFuture<'static, ListAnswer> + 'static,
    ) -> Self {
        Self {
            list: Rc::new(list),
        }
    }

    /// Fetches part of the list. `tag` is the tag of the state that the caller has;
    /// empty if it has none.
    pub async fn list(&self, scope: ListScope, tag: &str) -> ListAnswer {
        (self.list)(scope, tag.to_owned()).await
    }
}
