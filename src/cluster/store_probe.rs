//! Asking a store that owes answers for a sign of life.

use super::node::Node;
use std::rc::Rc;

/// How often a store that owes answers is asked for a sign of life: its return is
/// noticed within this time.
const PROBE_MS: u64 = 150;
/// In large fleets each daemon asks less often: together 250 times a second.
const PROBE_PER_DAEMON_MS: u64 = 4;
/// A sign of life that takes longer is no use; the next is under way.
const PROBE_LIMIT_MS: u64 = 500;

/// Asks a store that owes answers for a sign of life, for ever.
pub async fn run(node: Rc<Node>) {
    loop {
        let daemons = node.other_count() as u64;
        let wait_ms = PROBE_MS.max(daemons * PROBE_PER_DAEMON_MS);
        node.timer.sleep(wait_ms).await;
        if !node.is_store_overdue() {
            continue;
        }
        let node = node.clone();
        actix_rt::spawn(async move {
            metrics::counter!("fuchsiaslip_store_probes_total").increment(1);
            // Without an answer nothing is learnt that is not known.
            if node.store.probe(PROBE_LIMIT_MS).await.is_ok() {
                node.record_store_outcome(true);
            }
        });
    }
}
