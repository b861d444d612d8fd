//! What is told of bodies in pieces that were cut.

use super::bodies::Expected;
use crate::core::Core;
use crate::mesh::Link;
use crate::metrics::count;

/// Counts a body that did not reach the target whole, and says who ended it.
pub(super) fn note_cut(
    core: &Core,
    (call, link): (&str, &Link),
    expected: &Expected,
    ended_by: &'static str,
) {
    count(&core.metrics.bodies_cut, ended_by);
    if core.explain.logs(core.clock.now(), false) {
        let from = link.peer.host.as_str();
        let bytes = expected.bytes();
        let delivered = expected.is_begun();
        log::info!(call, from, bytes, delivered, ended_by; "body cut at the target");
    }
}
