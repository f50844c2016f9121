//! Applies changes of the settings file while the instance runs.
//!
//! The platform rewrites the settings file with or without sending a signal. With outdated bounds
//! an instance would honour keys for too long or overspend its retry budget, and with outdated
//! seeds it might find no other instance once it has lost the store.

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

/// Period of the checks for a signal.
const SIGNAL_POLL: Duration = Duration::from_millis(50);
/// Period of the reads of the settings file without a signal. Bounds change no more often than
/// every few minutes; a read takes about a tenth of a millisecond.
const FILE_PERIOD: Duration = Duration::from_secs(2);

/// Reads the settings file.
pub type Read = Box<dyn Fn() -> Result<Config> + Send>;

/// Watches the settings file until `stop` is set. `signal` requests a reload.
pub async fn watch(front: &Arc<Front>, read: &Read, stop: &AtomicBool, signal: &AtomicBool) {
    let mut settings = Settings::new(front, read);
    let mut ticks = Timer::new().every(SIGNAL_POLL);
    while !stop.load(Ordering::Acquire) {
        ticks.next().await;
        if signal.swap(false, Ordering::AcqRel) {
            settings.reload(true);
        } else if settings.is_due() {
            settings.reload(false);
        }
    }
}

/// The state of the watch.
struct Settings<'a> {
    front: &'a Arc<Front>,
    read: &'a Read,
    /// The settings that were applied last.
    current: Config,
    read_at: Moment,
    /// Whether the last read of the file failed.
    has_failed: bool,
}

impl<'a> Settings<'a> {
    fn new(front: &'a Arc<Front>, read: &'a Read) -> Self {
        Self {
            front,
            read,
            current: front.cfg.clone(),
            read_at: boot_time(),
            has_failed: false,
        }
    }

    fn is_due(&self) -> bool {
        boot_time().saturating_sub(self.read_at) >= FILE_PERIOD
    }

    /// Reads the file and applies changes. Unless the reload was `requested` by a signal, only
    /// changes and the first of several failures are logged.
    fn reload(&mut self, requested: bool) {
        self.read_at = boot_time();
        match (self.read)() {
            Ok(cfg) => {
                self.has_failed = false;
                let changed = cfg != self.current;
                if requested || changed {
                    emit(&Event::SettingsReloaded { changed });
                }
                if changed {
                    self.apply(cfg);
                }
            }
            Err(e) => {
                if requested || !self.has_failed {
                    emit(&Event::SettingsKept {
                        reason: e.to_string().into(),
                    });
                }
                self.has_failed = true;
            }
        }
    }

    fn apply(&mut self, cfg: Config) {
        let front = self.front;
        *front.bounds.write() = cfg.bounds;
        let bounds = &cfg.bounds;
        front.retry_budget.lock().configure(
            bounds.retry_window,
            bounds.retry_ratio,
            bounds.retry_slack,
        );
        let known: BTreeSet<SocketAddr> = self.current.seeds.iter().copied().collect();
        for seed in cfg.seeds.iter().filter(|seed| !known.contains(*seed)) {
            let greet = membership::greet_seed(Arc::clone(front), *seed);
            workers::spawn(greet).detach();
        }
        if needs_restart(&front.cfg, &cfg) {
            emit(&Event::SettingsNeedRestart);
        }
        self.current = cfg;
    }
}

/// Whether the settings differ in anything that is read at the start only: all but bounds and
/// seeds.
fn needs_restart(running: &Config, cfg: &Config) -> bool {
    let applied = Config {
        bounds: running.bounds,
        seeds: running.seeds.clone(),
        ..cfg.clone()
    };
    applied != *running
}
