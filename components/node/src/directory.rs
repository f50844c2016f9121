//! Watches the platform's list and the configuration.

use std::{sync::Arc, time::Duration};

use config::{Config, Current};
use members::Input;
use parking_lot::Mutex;
use stores::Directory;
use types::{ConfigVersion, DataCentreId, Listing};

use crate::{core::Core, view};

/// Time between two readings of the platform's list.
const LIST_PERIOD: Duration = Duration::from_millis(500);
/// Time between two looks at whether the view changed. A data centre taken out is in force here
/// this long after the configuration is.
const LOOK_PERIOD: Duration = Duration::from_millis(50);

/// The newest list, and what of it is in force.
pub struct Watch {
    core: Arc<Core>,
    config: Arc<dyn Config>,
    directory: Arc<dyn Directory>,
    listing: Mutex<Option<Arc<Listing>>>,
}

impl Watch {
    /// Makes it.
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

    /// Reads the list again and again. While it can't be read, the last one stays in force.
    pub async fn read_lists(self: Arc<Self>) {
        let mut ticks = self.core.timer.every(LIST_PERIOD);
        loop {
            if let Ok(listing) = self.directory.list().await {
                self.take(listing);
            }
            ticks.next().await;
        }
    }

    fn take(&self, listing: Listing) {
        self.core.member(Input::Listed(listing.members.clone()));
        let mut newest = self.listing.lock();
        if newest.as_deref() != Some(&listing) {
            *newest = Some(Arc::new(listing));
        }
    }

    /// Puts a new view in force whenever the list or the configuration has changed.
    pub async fn follow(self: Arc<Self>) {
        let mut ticks = self.core.timer.every(LOOK_PERIOD);
        let mut seen: Option<Seen> = None;
        loop {
            ticks.next().await;
            let Some(current) = self.config.current() else {
                continue;
            };
            let Some(listing) = self.listing.lock().clone() else {
                continue;
            };
            let now = Seen::new(&current, listing);
            if seen.as_ref().is_some_and(|before| before.is_same(&now)) {
                continue;
            }
            let view = view::view(&current, &now.listing);
            self.core.member(Input::Shards(view::shards(&view)));
            self.core.set_view(view);
            seen = Some(now);
        }
    }
}

/// What a view was made of.
struct Seen {
    version: ConfigVersion,
    /// Operators may override which data centres are out without a new version.
    out: Vec<DataCentreId>,
    listing: Arc<Listing>,
}

impl Seen {
    fn new(current: &Current, listing: Arc<Listing>) -> Self {
        Self {
            version: current.snapshot.version,
            out: current.in_force.out(),
            listing,
        }
    }

    fn is_same(&self, other: &Self) -> bool {
        self.version == other.version
            && self.out == other.out
            && Arc::ptr_eq(&self.listing, &other.listing)
    }
}
