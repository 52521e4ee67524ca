//! Executes the owner's actions: calls to the store and to workers.

use super::control::Control;
use crate::backend::{
    Store,
    Workers, //
};
use crate::owner::{
    Action,
    Event, //
};
use std::rc::Rc;
use tokio::sync::{
    Semaphore,
    mpsc, //
};

/// Maximum number of worker calls in flight. Further calls, for instance of many
/// cancellations at once, wait.
const MAX_WORKER_CALLS: usize = 256;

/// Executes actions until the control thread ends, and sends their results to it.
pub async fn run(
    mut actions: mpsc::UnboundedReceiver<Action>,
    store: Store,
    workers: Workers,
    control: Control,
) {
    let permits = Rc::new(Semaphore::new(MAX_WORKER_CALLS));
    while let Some(action) = actions.recv().await {
        let control = control.clone();
        match action {
            Action::Store { call, request } => {
                let store = store.clone();
                actix_rt::spawn(async move {
                    let result = store.call(request).await;
                    control.send_event(Event::Store { call, result }).await;
                });
            }
            Action::Worker {
                call,
                address,
                request,
                ..
            } => {
                let workers = workers.clone();
                let permits = permits.clone();
                actix_rt::spawn(async move {
                    let permit = permits.acquire().await;
                    let result = workers.call(address, request).await;
                    drop(permit);
                    control.send_event(Event::Worker { call, result }).await;
                });
            }
            Action::Reply { .. } => {}
        }
    }
}
