//! Probes the store while its answers are overdue, to notice its recovery.

use super::node::Node;
use std::rc::Rc;

/// Interval of probes: a recovery is noticed within this time.
const PROBE_INTERVAL_MS: u64 = 150;
/// Shortest interval for each other daemon. In large fleets each daemon probes less
/// often, so that all together probe 250 times a second.
const INTERVAL_PER_DAEMON_MS: u64 = 4;
/// Timeout of a probe. A later answer is of no use, as further probes are in flight.
const PROBE_TIMEOUT_MS: u64 = 500;

/// Probes the store whenever its answers are overdue; never returns.
pub async fn run(node: Rc<Node>) {
    loop {
        let daemons = node.other_count() as u64;
        let wait_ms = PROBE_INTERVAL_MS.max(daemons * INTERVAL_PER_DAEMON_MS);
        node.timer.sleep(wait_ms).await;
        if !node.is_store_overdue() {
            continue;
        }
        let node = node.clone();
        actix_rt::spawn(async move {
            metrics::counter!("fuchsiaslip_store_probes_total").increment(1);
            // A failed probe shows nothing new, so only answers are recorded.
            if node.store.probe(PROBE_TIMEOUT_MS).await.is_ok() {
                node.record_store_outcome(true);
            }
        });
    }
}
