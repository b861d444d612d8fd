//! Answering peers that ask for settings.

use lynxcleat_settings::{CopyBase, CopyRequest, Tree, TreePart};
use lynxcleat_wire::{CodecError, Frame, SettingsPart, SettingsReply, SettingsRequest};

use super::state::InForce;
use crate::core::Core;
use crate::mesh::Link;

/// Bytes of routes in a part, before packing, after which it ends: a few milliseconds of work
/// for either side on a tenth of a core.
const PART_BYTES: usize = 32 << 10;

/// A peer asks for the settings.
pub fn answer(core: &Core, link: &Link, ask: SettingsRequest) {
    let reply = match core.settings.current() {
        Some(in_force) if in_force.generation.number > ask.in_force => {
            send_part(core, link, &in_force, &ask).unwrap_or_else(|error| {
                log::error!(peer = link.peer.host.as_str(); "settings cannot be sent: {error}");
                SettingsReply::Nothing
            })
        }
        _ => SettingsReply::Nothing,
    };
    let _ = link.send(Frame::Settings {
        ask: ask.ask,
        reply,
    });
}

fn send_part(
    core: &Core,
    link: &Link,
    in_force: &InForce,
    ask: &SettingsRequest,
) -> Result<SettingsReply, CodecError> {
    let now = core.clock.now();
    let wait = core.settings.copy_rate().delay(now);
    if let Some(after) = wait {
        let after_ms = after.as_millis() as u64;
        return Ok(SettingsReply::Busy { after_ms });
    }
    let generation = &in_force.generation;
    let Some(part) = part_for(core, &generation.tree, &ask.wanted()) else {
        return Ok(SettingsReply::UnknownBase);
    };
    let is_last = part.next.is_none();
    let mut packed = SettingsPart::pack(generation, &in_force.entries_digest, &part)?;
    packed.age_ms = core.directory.as_ref().map(|directory| {
        let age = directory.age(core.clock.since_start());
        age.as_millis() as u64
    });
    let bytes = packed.bytes();
    core.settings.copy_rate().record_sent(now, bytes);
    core.metrics.settings_bytes_sent.inc_by(bytes as u64);
    if is_last {
        core.metrics.settings_copies_sent.inc();
        log::info!(peer = link.peer.host.as_str(), generation = generation.number, bytes; "settings sent to a peer");
    }
    Ok(SettingsReply::Part(Box::new(packed)))
}

/// What a peer lacks; nothing where the tree that it has is not known here.
fn part_for(core: &Core, tree: &Tree, wanted: &CopyRequest) -> Option<TreePart> {
    match &wanted.base {
        CopyBase::Units(sums) => Some(tree.part_by_sums(wanted.first, sums, PART_BYTES)),
        CopyBase::Tree(digest) => {
            let before = core.settings.earlier(digest.as_str())?;
            Some(tree.part_since(&before, wanted.first, PART_BYTES))
        }
    }
}
