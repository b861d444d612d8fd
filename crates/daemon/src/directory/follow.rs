//! Following tables of the store: waiting for changes, or listening to the peers that do.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use lynxcleat_store::{
    FeedRequest, FeedRole, Follower, ResponseProgress, RowStoreError, RowVersion, StoredRow,
    VersionedRows,
};
use rand::RngExt;
use tokio::sync::watch;

use super::state::{DirectoryState, TABLE};
use super::{history, member, operator, publish, quarantined, spread};
use crate::core::Core;
use crate::metrics::count;
use crate::settings::take_row;
use crate::sync::lock;

/// Time for which changes of settings are gathered.
const SETTINGS_GATHER: Duration = Duration::from_millis(30);
/// Longest time until a daemon that listens looks at its duty again: ranks change.
const DUTY_PAUSE: Duration = Duration::from_secs(1);
/// Least time before the members are read where the whole deployment starts: by then most
/// targets have said that they are ready, and one reading finds nearly all rows.
const FIRST_START_QUIET: Duration = Duration::from_millis(2_000);
/// Time over which these readings are spread, so that the first finds no key and makes one,
/// and the others find it.
const FIRST_START_SPREAD: Duration = Duration::from_millis(1_000);
/// How long such a start waits for settings from peers, counted from the first link to a peer:
/// settings propagate through the fleet as links are established.
const FIRST_START_PEER_WAIT: Duration = Duration::from_secs(3);
/// How long such a start waits for the first link to a peer.
const FIRST_START_LINK_WAIT: Duration = Duration::from_millis(1_500);

/// Follows the row of the accepted settings until the daemon ends.
pub(super) async fn settings(core: Arc<Core>) {
    let Some(directory) = &core.directory else {
        return;
    };
    if core.config.first_start {
        await_first_settings(&core, directory).await;
    }
    let row = &directory.directory.settings;
    let mut feed = Feed::settings(&core, directory, &row.table);
    loop {
        let wait = feed.due().await;
        let Some(news) = feed.ask(wait).await else {
            continue;
        };
        let answered_at = core.clock.since_start();
        operator::take_rows(&core, directory, &news);
        let newest = news.into_iter().rfind(|change| change.key == row.key);
        let value = newest.and_then(|change| change.value);
        let has_news = value.is_some();
        if let Some(value) = value {
            take_row(&core, directory, value).await;
        }
        spread::record_response(&core, directory, answered_at);
        if has_news {
            tokio::time::sleep(SETTINGS_GATHER).await;
        }
    }
}

/// Leaves it to the watching members to read the settings when all members start at once. The
/// wider set of followers is not used: while only part of the members is known, many daemons
/// count themselves among the first eight.
async fn await_first_settings(core: &Core, directory: &DirectoryState) {
    let mut raised = core.settings.subscribe();
    while !directory.members_read.load(Ordering::Relaxed) {
        tokio::time::sleep(DUTY_PAUSE / 10).await;
    }
    if directory.watches_settings(core) {
        return;
    }
    tokio::select! {
        _ = raised.wait_for(|number| *number > 0) => {}
        () = peer_wait_elapsed(directory) => {}
    }
}

/// Returns once the time to wait for settings from peers has elapsed.
async fn peer_wait_elapsed(directory: &DirectoryState) {
    let mut deadline = Instant::now() + FIRST_START_LINK_WAIT;
    let mut has_link = false;
    while Instant::now() < deadline {
        if !has_link && directory.neighbours.any() {
            has_link = true;
            deadline = Instant::now() + FIRST_START_PEER_WAIT;
        }
        tokio::time::sleep(DUTY_PAUSE / 10).await;
    }
}

/// Follows members and key until the daemon ends.
pub(super) async fn members(core: Arc<Core>) {
    let Some(directory) = &core.directory else {
        return;
    };
    if core.config.first_start {
        let drawn = rand::rng().random_range(0.0..1.0);
        tokio::time::sleep(FIRST_START_QUIET + FIRST_START_SPREAD.mul_f64(drawn)).await;
    }
    let mut feed = Feed::members(&core, directory);
    loop {
        let wait = feed.due().await;
        let begun = Instant::now();
        let before = lock(feed.follower).through();
        let Some(news) = feed.ask(wait).await else {
            continue;
        };
        let has_news = !news.is_empty();
        publish::take_key(directory, &news);
        quarantined::take(&core, &news);
        member::take(&core, directory, news);
        if !directory.members_read.load(Ordering::Relaxed) {
            publish::make_key_if_absent(&core, directory).await;
            directory.members_read.store(true, Ordering::Relaxed);
            log::info!(members = core.hosts.len(); "members known");
            tokio::spawn(history::learn(Arc::clone(&core)));
        }
        spread::pass_on(&core, directory, before);
        if has_news {
            let is_watcher = directory.watches_settings(&core);
            let pause = lock(feed.follower).batch_pause(begun.elapsed(), is_watcher);
            tokio::time::sleep(pause).await;
        }
    }
}

/// Returns once this daemon has to ask the store for settings itself. A poll on a connection that
/// fell silent does not end by itself.
async fn overdue(core: &Core, directory: &DirectoryState) {
    loop {
        let left = directory.time_until_overdue(core);
        if left.is_zero() {
            return;
        }
        tokio::time::sleep(left).await;
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

/// Names of a feed's calls, in the metrics.
struct FeedNames {
    feed: &'static str,
    read: &'static str,
    wait: &'static str,
}

const SETTINGS_NAMES: FeedNames = FeedNames {
    feed: "settings",
    read: "settings-read",
    wait: "settings-wait",
};
const MEMBERS_NAMES: FeedNames = FeedNames {
    feed: "members",
    read: "members-read",
    wait: "members-wait",
};

/// One table and how far it was followed.
struct Feed<'a> {
    core: &'a Core,
    directory: &'a DirectoryState,
    names: FeedNames,
    table: &'a str,
    follower: &'a Mutex<Follower>,
    doubted: watch::Receiver<u64>,
    lost: bool,
    /// Whether a call for changes was made. The first is shorter at random, so that the
    /// daemons' calls do not all begin at the same time.
    asked: bool,
}

impl<'a> Feed<'a> {
    fn settings(core: &'a Core, directory: &'a DirectoryState, table: &'a str) -> Self {
        Feed {
            core,
            directory,
            names: SETTINGS_NAMES,
            table,
            follower: &directory.settings,
            doubted: directory.doubted.subscribe(),
            lost: false,
            asked: false,
        }
    }

    fn members(core: &'a Core, directory: &'a DirectoryState) -> Self {
        Feed {
            names: MEMBERS_NAMES,
            table: TABLE,
            follower: &directory.members,
            ..Feed::settings(core, directory, TABLE)
        }
    }

    /// Returns when the store is to be asked, with the longest wait of that call where it
    /// is not the usual one.
    async fn due(&mut self) -> Option<Duration> {
        if self.is_unknown() {
            return None;
        }
        loop {
            if self.is_overdue() {
                self.step_in();
                return Some(Duration::ZERO);
            }
            match self.directory.role(self.core) {
                FeedRole::Watch => return self.watcher_wait(),
                FeedRole::Follow => return None,
                FeedRole::Listen => {
                    let pause = self.pause();
                    tokio::select! {
                        () = tokio::time::sleep(pause) => {}
                        _ = self.doubted.changed() => return Some(Duration::ZERO),
                    }
                }
            }
        }
    }

    fn is_settings(&self) -> bool {
        self.names.feed == SETTINGS_NAMES.feed
    }

    /// Whether the knowledge of the settings is so old that they are asked for, whatever the role.
    /// The members are asked for with them, as [`DirectoryState::doubt_feeds`] says.
    fn is_overdue(&self) -> bool {
        self.is_settings() && self.directory.time_until_overdue(self.core).is_zero()
    }

    /// Longest wait of a watcher's call. The members have the usual one: a poll of the settings
    /// that fails has them asked for anew, and a target that ends says so itself.
    fn watcher_wait(&self) -> Option<Duration> {
        let limits = lock(&self.directory.watch).limits();
        self.is_settings().then_some(limits.poll)
    }

    /// Time until a daemon that listens looks at its role again.
    fn pause(&self) -> Duration {
        match self.is_settings() {
            true => self.directory.time_until_overdue(self.core).min(DUTY_PAUSE),
            false => DUTY_PAUSE,
        }
    }

    /// Whether nothing is known of the table, so that the store is asked whatever the rank.
    fn is_unknown(&self) -> bool {
        match self.is_settings() {
            true => self.core.settings.current().is_none(),
            false => !lock(self.follower).has_snapshot(),
        }
    }

    /// The knowledge of the settings is overdue: the store is asked, and a daemon that is no
    /// watcher stands in. While calls fail, the members are not asked for each time.
    fn step_in(&mut self) {
        let rank = self.core.hosts.rank(&self.core.config.host);
        let now = self.core.clock.since_start();
        let stands_in = lock(&self.directory.watch).step_in(now, rank);
        if self.lost {
            return;
        }
        self.core.metrics.store_steps_in.inc();
        self.directory.doubt_feeds();
        self.doubted.mark_unchanged();
        let age_ms = self.directory.age(now).as_millis() as u64;
        log::info!(age_ms, rank, stands_in; "store asked for want of news");
    }

    /// One call: the news, or nothing where it failed.
    async fn ask(&mut self, wait: Option<Duration>) -> Option<Vec<StoredRow>> {
        match self.call(wait).await {
            Ok(news) => {
                self.regained();
                Some(news)
            }
            Err(FeedError::Doubted) => {
                log::info!(feed = self.names.feed; "feed asked anew");
                None
            }
            Err(FeedError::Store(error)) => {
                self.failed(&error).await;
                None
            }
        }
    }

    async fn call(&mut self, wait: Option<Duration>) -> Result<Vec<StoredRow>, FeedError> {
        let store = &self.directory.directory.store;
        let ask = lock(self.follower).next_request();
        match ask {
            FeedRequest::Read => {
                count(&self.core.metrics.store_calls, self.names.read);
                let table = store.read(self.table).await?;
                Ok(lock(self.follower).apply_snapshot(table))
            }
            FeedRequest::Changes { after } => {
                count(&self.core.metrics.store_calls, self.names.wait);
                let wait = self.wait(wait);
                let changes = self.await_changes(after, wait).await?;
                Ok(lock(self.follower).apply_changes(changes))
            }
        }
    }

    /// Waits for changes until there is a doubt; an answer on its way is beyond doubt.
    async fn await_changes(
        &mut self,
        after: RowVersion,
        wait: Duration,
    ) -> Result<VersionedRows, FeedError> {
        let answering = ResponseProgress::default();
        let store = &self.directory.directory.store;
        let mut changes = store.changes(self.table, after, wait, &answering);
        let can_become_overdue = self.is_settings() && !self.is_overdue();
        loop {
            tokio::select! {
                changes = &mut changes => return Ok(changes?),
                _ = self.doubted.changed() => {
                    if !answering.has_started() {
                        return Err(FeedError::Doubted);
                    }
                }
                () = overdue(self.core, self.directory),
                    if can_become_overdue && !answering.has_started() =>
                {
                    return Err(FeedError::Doubted);
                }
            }
        }
    }

    fn wait(&mut self, usual: Option<Duration>) -> Duration {
        let wait = lock(self.follower).next_wait(usual);
        match std::mem::replace(&mut self.asked, true) {
            true => wait,
            false => wait.mul_f64(rand::rng().random_range(0.1..1.0)),
        }
    }

    async fn failed(&mut self, error: &RowStoreError) {
        count(&self.core.metrics.platform_failures, self.names.feed);
        if !self.lost {
            log::warn!(feed = self.names.feed; "store lost: {error}");
            self.lost = true;
            self.directory.doubt_feeds();
            self.heed_only_others(error);
        }
        let pause = lock(self.follower).record_failure(error);
        let jitter = rand::rng().random_range(0.75..1.25);
        tokio::time::sleep(pause.mul_f64(jitter)).await;
    }

    /// The doubt is meant for the other feed, but for history that is gone: then this one
    /// reads anew, whatever its duty.
    fn heed_only_others(&mut self, error: &RowStoreError) {
        if *error != RowStoreError::HistoryGone {
            self.doubted.mark_unchanged();
        }
    }

    fn regained(&mut self) {
        if self.lost {
            log::info!(feed = self.names.feed; "store regained");
            self.lost = false;
        }
    }
}
