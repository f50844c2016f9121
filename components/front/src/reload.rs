//! Takes settings that have changed while the instance runs.
//!
//! The platform writes the settings file anew, with or without a signal. An instance that goes by
//! old bounds honours keys for too long or spends too much of the retry budget, and one that never
//! hears of new seeds may have nobody to ask once it has lost the store.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use errors::Result;
use events::{Event, emit};
use timer::{Timer, boot_time};
use types::Moment;

use crate::{config::Config, instances::membership, state::Front};

/// Time between two looks for a signal.
const SIGNAL_POLL: Duration = Duration::from_millis(50);
/// Time between two readings of the settings file without a signal. Bounds are minutes old when
/// they change; reading and comparing takes about a tenth of a millisecond.
const FILE_PERIOD: Duration = Duration::from_secs(2);

/// Reads the settings file.
pub type Read = Box<dyn Fn() -> Result<Config> + Send>;

/// Watches the settings file until the instance is told to stop.
pub async fn watch(front: &Arc<Front>, read: &Read, stop: &AtomicBool, signal: &AtomicBool) {
    let mut settings = Settings::new(front, read);
    let mut ticks = Timer::new().every(SIGNAL_POLL);
    while !stop.load(Ordering::Acquire) {
        ticks.next().await;
        if signal.swap(false, Ordering::AcqRel) {
            settings.look(true);
        } else if settings.is_due() {
            settings.look(false);
        }
    }
}

struct Settings<'a> {
    front: &'a Arc<Front>,
    read: &'a Read,
    /// The settings that were taken last.
    taken: Config,
    looked: Moment,
    /// The file could not be read when it was looked at last.
    broken: bool,
}

impl<'a> Settings<'a> {
    fn new(front: &'a Arc<Front>, read: &'a Read) -> Self {
        Self {
            front,
            read,
            taken: front.cfg.clone(),
            looked: boot_time(),
            broken: false,
        }
    }

    fn is_due(&self) -> bool {
        boot_time().saturating_sub(self.looked) >= FILE_PERIOD
    }

    /// Reads the file and takes what it changes. Without a signal only changes are logged.
    fn look(&mut self, asked: bool) {
        self.looked = boot_time();
        match (self.read)() {
            Ok(cfg) => {
                self.broken = false;
                let changed = cfg != self.taken;
                if asked || changed {
                    emit(&Event::SettingsReloaded { changed });
                }
                if changed {
                    self.take(cfg);
                }
            }
            Err(e) => {
                if asked || !self.broken {
                    emit(&Event::SettingsKept {
                        reason: e.to_string().into(),
                    });
                }
                self.broken = true;
            }
        }
    }

    fn take(&mut self, cfg: Config) {
        let front = self.front;
        *front.bounds.write() = cfg.bounds;
        let bounds = &cfg.bounds;
        front.retry_budget.lock().configure(
            bounds.retry_window,
            bounds.retry_ratio,
            bounds.retry_slack,
        );
        let known: BTreeSet<SocketAddr> = self.taken.seeds.iter().copied().collect();
        for seed in cfg.seeds.iter().filter(|seed| !known.contains(*seed)) {
            let greet = membership::greet_seed(Arc::clone(front), *seed);
            workers::spawn(greet).detach();
        }
        if needs_restart(&front.cfg, &cfg) {
            emit(&Event::SettingsNeedRestart);
        }
        self.taken = cfg;
    }
}

/// Whether anything differs that a running instance can't take: its names, addresses and sizes.
fn needs_restart(running: &Config, cfg: &Config) -> bool {
    let same = Config {
        bounds: running.bounds,
        seeds: running.seeds.clone(),
        ..cfg.clone()
    };
    same != *running
}
