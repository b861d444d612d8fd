//! Catching up with a newer generation that a peer has in force.
//!
//! What came stays, whoever sent it: a peer that is lost, slow or has moved on to the next
//! generation costs no more than the part that was asked of it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use lynxcleat_policy::{NextSource, SettingsSource, SettingsSourceSelector};
use lynxcleat_settings::{CopyError, CopyProgress, Digest, Generation, OfferError, Tree, TreeCopy};
use lynxcleat_wire::{CodecError, Frame, SettingsPart, SettingsReply, SettingsRequest};
use rand::RngExt;
use thiserror::Error;

use crate::core::Core;
use crate::mesh::Link;
use crate::metrics::count;

/// Time for which the feed of a daemon that follows the store is waited for: it brings a change
/// to all that follow within a few milliseconds of each other.
const FEED_FIRST: Duration = Duration::from_millis(250);
/// Time over which the others begin to ask: those that have the settings grow in number
/// meanwhile.
const SPREAD: Duration = Duration::from_millis(40);
/// Longest wait for a part.
const PART_LIMIT: Duration = Duration::from_secs(1);

/// Why a part brought nothing.
#[derive(Debug, Error)]
enum PartError {
    #[error("{0}")]
    Codec(#[from] CodecError),
    #[error("{0}")]
    Copy(#[from] CopyError),
    #[error("{0}")]
    Offer(#[from] OfferError),
}

/// What a peer answered.
enum Asked {
    Part(Box<SettingsPart>),
    Busy(Duration),
    UnknownBase,
    /// Nothing that helps, for this reason.
    Failed(&'static str),
}

/// A message of a peer carries a generation that is newer than the one in force.
pub fn heard_of(core: &Arc<Core>, link: &Link, theirs: u64) {
    let newest = &core.metrics.newest_generation;
    newest.set(newest.get().max(theirs as i64));
    if !core.settings.want(theirs) {
        return;
    }
    let in_force = core.settings.number();
    log::info!(peer = link.peer.host.as_str(), generation = theirs, in_force; "newer settings heard of");
    let core = Arc::clone(core);
    tokio::spawn(async move {
        loop {
            await_feed(&core).await;
            CatchUp::new(&core).run().await;
            if !core.settings.end_catching_up() {
                return;
            }
        }
    });
}

async fn await_feed(core: &Core) {
    let Some(directory) = &core.directory else {
        return;
    };
    if directory.follows_settings(core) {
        tokio::time::sleep(FEED_FIRST).await;
    } else {
        tokio::time::sleep(SPREAD.mul_f64(draw())).await;
    }
}

/// Copies the tree that a peer has in force, whatever it takes of that peer alone.
pub(super) async fn copy_from(core: &Arc<Core>, link: &Arc<Link>) -> Option<Generation> {
    let mut copy = TreeCopy::of(&Tree::default());
    loop {
        match ask(core, link, &copy).await {
            Asked::Part(part) => match take(&mut copy, &part) {
                Ok(None) => {}
                Ok(Some(generation)) => return Some(generation),
                Err(error) => {
                    log::error!(peer = link.peer.host.as_str(); "settings refused: {error}");
                    return None;
                }
            },
            Asked::Busy(after) => tokio::time::sleep(after).await,
            Asked::UnknownBase => copy.discard_base(),
            Asked::Failed(_) => return None,
        }
    }
}

/// One time of catching up.
struct CatchUp<'a> {
    core: &'a Arc<Core>,
    sources: SettingsSourceSelector,
    copy: TreeCopy,
    begun: Instant,
    parts: usize,
    bytes: usize,
}

impl<'a> CatchUp<'a> {
    fn new(core: &'a Arc<Core>) -> Self {
        let in_force = core.settings.current();
        let tree = in_force.map(|in_force| in_force.generation.tree.clone());
        CatchUp {
            core,
            sources: SettingsSourceSelector::new(core.clock.now()),
            copy: TreeCopy::of(&tree.unwrap_or_default()),
            begun: Instant::now(),
            parts: 0,
            bytes: 0,
        }
    }

    /// Asks until the newest generation that any peer told of is in force.
    async fn run(mut self) {
        let settings = &self.core.settings;
        loop {
            let wanted = settings.wanted();
            if settings.number() >= wanted {
                return;
            }
            let links = self.core.links.all();
            let peers: Vec<SettingsSource> =
                links.iter().filter_map(|link| self.source(link)).collect();
            let now = self.core.clock.now();
            match self.sources.next(now, wanted, &peers, draw()) {
                NextSource::Ask(id) => {
                    if let Some(link) = links.iter().find(|link| link.id == id) {
                        self.ask(link).await;
                    }
                }
                NextSource::Pause(pause) => tokio::time::sleep(pause).await,
                NextSource::AskStore => self.ask_store(),
                NextSource::NoPeer => {
                    self.ask_store();
                    settings.unwant(wanted);
                    return;
                }
            }
        }
    }

    /// A link's peer, but for this daemon itself.
    fn source(&self, link: &Link) -> Option<SettingsSource> {
        let is_other = link.peer.host != self.core.config.host;
        is_other.then(|| SettingsSource {
            link: link.id,
            generation: link.generation(),
            distance: link.distance,
        })
    }

    fn ask_store(&self) {
        if let Some(directory) = &self.core.directory {
            log::info!(wanted = self.core.settings.wanted(); "no settings from peers, the store is asked");
            directory.doubt_feeds();
        }
    }

    async fn ask(&mut self, link: &Arc<Link>) {
        let asked = ask(self.core, link, &self.copy).await;
        let now = self.core.clock.now();
        match asked {
            Asked::Part(part) => self.take(link, &part),
            Asked::Busy(after) => {
                // Those that are told so at once do not come back at once.
                let after = after.mul_f64(1.0 + draw());
                self.sources.mark_busy(now, link.id, after);
            }
            Asked::UnknownBase => self.copy.discard_base(),
            Asked::Failed(outcome) => {
                log::info!(peer = link.peer.host.as_str(), outcome; "settings asked of a peer");
                self.sources.mark_failed(now, link.id);
            }
        }
    }

    fn take(&mut self, link: &Link, part: &SettingsPart) {
        self.parts += 1;
        self.bytes += part.bytes();
        let now = self.core.clock.now();
        match self.take_part(link, part) {
            Ok(()) => self.sources.record_progress(now),
            Err(error) => {
                log::error!(peer = link.peer.host.as_str(), generation = part.generation; "settings refused: {error}");
                self.sources.mark_failed(now, link.id);
                self.copy = TreeCopy::of(&Tree::default());
            }
        }
    }

    fn take_part(&mut self, link: &Link, part: &SettingsPart) -> Result<(), PartError> {
        let Some(generation) = take(&mut self.copy, part)? else {
            return Ok(());
        };
        self.copy = TreeCopy::of(&generation.tree);
        let number = generation.number;
        self.record_age(part);
        if self.core.settings.offer(generation)? {
            log::info!(
                peer = link.peer.host.as_str(),
                generation = number,
                parts = self.parts,
                bytes = self.bytes,
                ms = self.begun.elapsed().as_millis() as u64;
                "settings copied from peers"
            );
            self.core.apply_settings();
        }
        Ok(())
    }

    /// What the sender knew of the store is known here once its generation is in force.
    fn record_age(&self, part: &SettingsPart) {
        let (Some(directory), Some(age_ms)) = (&self.core.directory, part.age_ms) else {
            return;
        };
        let now = self.core.clock.since_start();
        let in_force = self.core.settings.number();
        let age = Duration::from_millis(age_ms);
        directory.record_report(now, age, part.generation, in_force);
    }
}

/// Takes a part. Returns the generation once it is whole.
fn take(copy: &mut TreeCopy, part: &SettingsPart) -> Result<Option<Generation>, PartError> {
    let stated = Digest::from_hex(part.entries_digest.as_str());
    let step = copy.apply(part.generation, &stated, part.unpack()?)?;
    Ok(match step {
        CopyProgress::Incomplete => None,
        CopyProgress::Complete(tree) => Some(Generation {
            number: part.generation,
            digest: Digest::from_hex(part.digest.as_str()),
            tree,
        }),
    })
}

async fn ask(core: &Core, link: &Link, copy: &TreeCopy) -> Asked {
    let in_force = core.settings.number();
    let wanted = copy.request();
    let asked = link.ask(|ask| Frame::AskSettings(SettingsRequest::new(ask, in_force, &wanted)));
    let (outcome, asked) = match tokio::time::timeout(PART_LIMIT, asked).await {
        Ok(Ok(Frame::Settings { reply, .. })) => match reply {
            SettingsReply::Part(part) => ("part", Asked::Part(part)),
            SettingsReply::Busy { after_ms } => {
                ("busy", Asked::Busy(Duration::from_millis(after_ms)))
            }
            SettingsReply::UnknownBase => ("unknown-base", Asked::UnknownBase),
            SettingsReply::Nothing => ("nothing", Asked::Failed("nothing")),
        },
        Ok(Ok(_) | Err(_)) => ("lost", Asked::Failed("lost")),
        Err(_) => ("late", Asked::Failed("late")),
    };
    count(&core.metrics.settings_asks, outcome);
    asked
}

fn draw() -> f64 {
    rand::rng().random_range(0.0..1.0)
}
