//! Following tables of the store, each by one long feed.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use lynxcleat_settings::{Generation, digest};
use lynxcleat_store::{Ask, Follower, RowStoreError, StoredRow};
use rand::RngExt;

use super::{DirectoryState, TABLE, member, publish};
use crate::core::Core;
use crate::metrics::count;

/// Daemons that look at the settings often, so that all hear of a change even after the
/// store fell silent without a word.
const WATCHERS: usize = 3;
/// Time for which changes of settings are gathered.
const SETTINGS_GATHER: Duration = Duration::from_millis(30);

/// Follows the row of the accepted settings until the daemon ends.
pub(super) async fn settings(core: Arc<Core>) {
    let Some(directory) = &core.directory else {
        return;
    };
    let row = &directory.directory.settings;
    let mut feed = Feed::new(&core, directory, "settings", &row.table);
    feed.watches = true;
    loop {
        let news = feed.next().await;
        let newest = news.into_iter().rfind(|change| change.key == row.key);
        if let Some(value) = newest.and_then(|change| change.value) {
            take_settings(&core, directory, &value);
            tokio::time::sleep(SETTINGS_GATHER).await;
        }
    }
}

fn take_settings(core: &Arc<Core>, directory: &DirectoryState, value: &[u8]) {
    let translated = match (directory.directory.settings.read)(value) {
        Ok(translated) => translated,
        Err(error) => {
            log::error!("settings refused: {error}");
            return;
        }
    };
    let (text, digest) = digest(&translated.tree);
    let generation = Generation {
        number: translated.number,
        digest,
        text,
        tree: translated.tree,
    };
    match core.settings.offer(generation) {
        Ok(true) => core.apply_settings(),
        Ok(false) => {}
        Err(error) => log::error!("settings refused: {error}"),
    }
}

/// Follows members and key until the daemon ends.
pub(super) async fn members(core: Arc<Core>) {
    let Some(directory) = &core.directory else {
        return;
    };
    let mut feed = Feed::new(&core, directory, "members", TABLE);
    loop {
        let asked = Instant::now();
        let news = feed.next().await;
        publish::take_key(directory, &news);
        let is_first = !directory.members_read.load(Ordering::Relaxed);
        member::take(&core, directory, news);
        if is_first {
            publish::make_key_if_absent(directory).await;
            directory.members_read.store(true, Ordering::Relaxed);
            log::info!(members = core.hosts.len(); "members known");
        }
        let pause = feed.follower.gather(asked.elapsed(), core.hosts.len());
        tokio::time::sleep(pause).await;
    }
}

/// Why a feed brought nothing.
enum FeedError {
    /// The store failed.
    Store(RowStoreError),
    /// The wait was given up; see [`DirectoryState::doubt_feeds`].
    Doubted,
}

impl From<RowStoreError> for FeedError {
    fn from(error: RowStoreError) -> Self {
        FeedError::Store(error)
    }
}

/// One table and how far it was followed.
struct Feed<'a> {
    core: &'a Core,
    directory: &'a DirectoryState,
    name: &'static str,
    table: &'a str,
    follower: Follower,
    lost: bool,
    /// Whether some daemons look at this table often.
    watches: bool,
    /// Whether a call for changes was made. The first is shorter at random, so that the
    /// daemons' calls do not all begin at the same time.
    asked: bool,
}

impl<'a> Feed<'a> {
    fn new(
        core: &'a Core,
        directory: &'a DirectoryState,
        name: &'static str,
        table: &'a str,
    ) -> Self {
        Feed {
            core,
            directory,
            name,
            table,
            follower: Follower::default(),
            lost: false,
            watches: false,
            asked: false,
        }
    }

    /// Waits for news; the first answer may hold none.
    async fn next(&mut self) -> Vec<StoredRow> {
        loop {
            let first = !self.follower.has_read();
            match self.ask().await {
                Ok(news) => {
                    self.regained();
                    if first || !news.is_empty() {
                        return news;
                    }
                }
                Err(FeedError::Doubted) => {
                    log::info!(feed = self.name; "feed asked anew");
                }
                Err(FeedError::Store(error)) => self.failed(&error).await,
            }
        }
    }

    async fn ask(&mut self) -> Result<Vec<StoredRow>, FeedError> {
        let store = &self.directory.directory.store;
        match self.follower.ask() {
            Ask::Read => {
                let table = store.read(self.table).await?;
                Ok(self.follower.read(table))
            }
            Ask::Changes { after } => {
                let mut doubted = self.directory.doubted.subscribe();
                let wait = self.wait();
                let changes = tokio::select! {
                    changes = store.changes(self.table, after, wait) => changes?,
                    _ = doubted.changed() => return Err(FeedError::Doubted),
                };
                Ok(self.follower.changed(changes))
            }
        }
    }

    fn wait(&mut self) -> Duration {
        let watches = self.watches
            && self
                .core
                .hosts
                .is_among_first(&self.core.config.host, WATCHERS);
        let wait = self.follower.wait(watches);
        match std::mem::replace(&mut self.asked, true) {
            true => wait,
            false => wait.mul_f64(rand::rng().random_range(0.1..1.0)),
        }
    }

    async fn failed(&mut self, error: &RowStoreError) {
        count(&self.core.metrics.platform_failures, self.name);
        if !self.lost {
            log::warn!(feed = self.name; "store lost: {error}");
            self.lost = true;
            self.directory.doubt_feeds();
        }
        let pause = self.follower.failed(error);
        let jitter = rand::rng().random_range(0.75..1.25);
        tokio::time::sleep(pause.mul_f64(jitter)).await;
    }

    fn regained(&mut self) {
        if self.lost {
            log::info!(feed = self.name; "store regained");
            self.lost = false;
        }
    }
}
