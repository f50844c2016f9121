//! The stand-ins of the demonstration: a platform, two engines and a plain service.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
};

use standins::{
    StandinHandle,
    control::DirectoryEntry,
    engine::{self, Engine, EngineSettings},
    lifecycle::LifecycleSettings,
    platform::{self, Faults, Platform},
    service::{self, Service, ServiceSettings},
};

use crate::demo::{DATA_CENTRE, INSTANCE, MODEL, PLAIN};

/// Service name under which the platform lists the instances.
const MEMBERS: &str = "celerystand";
/// Number of engines.
const ENGINES: u64 = 2;

/// The running stand-ins; they stop when this is dropped.
pub struct StandIns {
    /// The platform.
    pub platform: StandinHandle<Platform>,
    _engines: Vec<StandinHandle<Engine>>,
    service: StandinHandle<Service>,
}

impl StandIns {
    /// Starts all stand-ins on free ports.
    ///
    /// # Errors
    /// A stand-in could not listen.
    pub async fn start() -> io::Result<Self> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let platform = platform::start(any, Faults::default()).await?;
        let life = |name: String, service: &str| LifecycleSettings {
            name,
            service: service.to_owned(),
            zone: DATA_CENTRE.to_owned(),
            platform: Some(platform.addr),
            warm: true,
            ..LifecycleSettings::default()
        };
        let mut engines = Vec::new();
        for number in 1..=ENGINES {
            let settings = EngineSettings {
                lifecycle: life(format!("engine-{number}"), MODEL),
                seed: number,
                ..EngineSettings::default()
            };
            engines.push(engine::start(any, settings).await?);
        }
        let settings = ServiceSettings {
            lifecycle: life("orders-1".to_owned(), PLAIN),
            ..ServiceSettings::default()
        };
        let service = service::start(any, settings).await?;
        Ok(Self {
            platform,
            _engines: engines,
            service,
        })
    }

    /// Adds the instance, which listens for peers at this address, to the platform's list.
    pub fn list_instance(&self, peer: SocketAddr) {
        self.platform.standin.register(DirectoryEntry {
            name: INSTANCE.to_owned(),
            service: MEMBERS.to_owned(),
            zone: DATA_CENTRE.to_owned(),
            addr: peer.to_string(),
            incarnation: 1,
            leaving: false,
        });
    }

    /// Returns how many effects the plain service has had: runs of calls that change something.
    #[must_use]
    pub fn effects(&self) -> u32 {
        self.service.standin.log().effects.values().sum()
    }

    /// Makes the table service refuse all calls, or serve them again.
    pub fn set_table_down(&self, down: bool) {
        self.platform.standin.set_faults(Faults {
            table_down: Some(down),
            ..Faults::default()
        });
    }
}
