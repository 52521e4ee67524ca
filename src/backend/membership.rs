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

/// Which part of the list is asked for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ListScope {
    /// All VMs of one data centre.
    DataCentre(String),
    /// The daemons of every data centre.
    Daemons,
}

/// What came of asking for the list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ListAnswer {
    /// It is as it was when the caller got this tag.
    Unchanged,
    /// It is this.
    Changed {
        /// Tag of this state of the list.
        tag: String,
        /// The VMs.
        vms: Vec<VmRecord>,
    },
    /// It cannot be had now.
    Silent,
}

type ListVms = dyn Fn(ListScope, String) -> LocalBoxFuture<'static, ListAnswer>;

/// The platform's list behind a closure.
#[derive(Clone)]
pub struct Membership {
    list: Rc<ListVms>,
}

impl Membership {
    /// A list that `list` asks for, given the tag that the caller has.
    pub fn from_fn(
        list: impl Fn(ListScope, String) -> LocalBoxFuture<'static, ListAnswer> + 'static,
    ) -> Self {
        Self {
            list: Rc::new(list),
        }
    }

    /// Asks for part of the list; `tag` is of the state that the caller has,
    /// or empty.
    pub async fn list(&self, scope: ListScope, tag: &str) -> ListAnswer {
        (self.list)(scope, tag.to_owned()).await
    }
}
