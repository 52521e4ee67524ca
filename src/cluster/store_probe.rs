//! Probes the store while its answers are overdue, to notice its recovery.

use super::node::Node;
use std::rc::Rc;

/// Interval of probes: a recovery is noticed within this time.
const PROBE_INTERVAL_MS: u64 = 150;
/// Interval of the owner's probes: jobs are shown as ended only once it reaches the store.
const OWNER_PROBE_INTERVAL_MS: u64 = 50;
/// Shortest interval for each other daemon. In large fleets each daemon probes less
/// often, so that all together probe 250 times a second.
const INTERVAL_PER_DAEMON_MS: u64 = 4;
/// Timeout of a probe. A later answer is of no use, as further probes are in flight.
const PROBE_TIMEOUT_MS: u64 = 500;

/// Probes the store whenever its answers are overdue; never returns.
pub async fn run(node: Rc<Node>) {
    loop {
        let daemons = node.other_count() as u64;
        let wait_ms = match node.owns() {
            true => OWNER_PROBE_INTERVAL_MS,
            false => PROBE_INTERVAL_MS.max(daemons * INTERVAL_PER_DAEMON_MS),
        };
        node.timer.sleep(wait_ms).await;
        if !node.is_store_overdue() {
            continue;
        }
        let node = node.clone();
        actix_rt::spawn(async move { node.probe_store(PROBE_TIMEOUT_MS).await });
    }
}
