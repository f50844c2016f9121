//! Watches the platform's list and the configuration, and updates the policy's view from them.

use std::{sync::Arc, time::Duration};

use config::{Config, CurrentConfig};
use members::Input;
use parking_lot::Mutex;
use stores::Directory;
use types::{ConfigVersion, DataCentreId, Listing};

use crate::{core::Core, view};

/// Time between two reads of the platform's list.
const LIST_PERIOD: Duration = Duration::from_millis(500);
/// Time between two checks whether the view has changed. A data centre that operators take out is
/// excluded from the policy's view at most this long after the new configuration is in force.
const VIEW_CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Polls the platform's list, and derives the view from the newest list and the configuration.
pub struct DirectoryWatcher {
    core: Arc<Core>,
    config: Arc<dyn Config>,
    directory: Arc<dyn Directory>,
    listing: Mutex<Option<Arc<Listing>>>,
}

impl DirectoryWatcher {
    /// Creates a watcher that has not read a list yet.
    #[must_use]
    pub fn new(core: Arc<Core>, config: Arc<dyn Config>, directory: Arc<dyn Directory>) -> Self {
        Self {
            core,
            config,
            directory,
            listing: Mutex::default(),
        }
    }

    /// Whether the list was read at least once.
    #[must_use]
    pub fn has_list(&self) -> bool {
        self.listing.lock().is_some()
    }

    /// Reads the list periodically, and never returns. While it can't be read, the last list stays
    /// in force.
    pub async fn poll_directory(self: Arc<Self>) {
        let mut ticks = self.core.timer.every(LIST_PERIOD);
        loop {
            if let Ok(listing) = self.directory.list().await {
                self.set_listing(listing);
            }
            ticks.next().await;
        }
    }

    fn set_listing(&self, listing: Listing) {
        self.core
            .handle_member_input(Input::Listed(listing.members.clone()));
        let mut newest = self.listing.lock();
        if newest.as_deref() != Some(&listing) {
            *newest = Some(Arc::new(listing));
        }
    }

    /// Puts a new view in force whenever the list or the configuration has changed; never returns.
    pub async fn watch_view(self: Arc<Self>) {
        let mut ticks = self.core.timer.every(VIEW_CHECK_PERIOD);
        let mut applied: Option<ViewSource> = None;
        loop {
            ticks.next().await;
            let Some(current) = self.config.current() else {
                continue;
            };
            let Some(listing) = self.listing.lock().clone() else {
                continue;
            };
            let source = ViewSource::new(&current, listing);
            if applied.as_ref().is_some_and(|last| last.is_same(&source)) {
                continue;
            }
            let view = view::build_view(&current, &source.listing);
            self.core
                .handle_member_input(Input::Shards(view::shards(&view)));
            self.core.set_view(view);
            applied = Some(source);
        }
    }
}

/// The inputs from which a view was built.
struct ViewSource {
    version: ConfigVersion,
    /// Data centres that are out of service. Operators can override them without a new version of
    /// the configuration.
    out: Vec<DataCentreId>,
    listing: Arc<Listing>,
}

impl ViewSource {
    fn new(current: &CurrentConfig, listing: Arc<Listing>) -> Self {
        Self {
            version: current.snapshot.version,
            out: current.effective.data_centres_out(),
            listing,
        }
    }

    fn is_same(&self, other: &Self) -> bool {
        self.version == other.version
            && self.out == other.out
            && Arc::ptr_eq(&self.listing, &other.listing)
    }
}
