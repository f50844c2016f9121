//! Instances, targets and the shards that targets are grouped into.

use std::{net::SocketAddr, sync::Arc};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreId, Incarnation, InstanceId, ServiceId, TargetId};

/// What a service's targets are.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Model engines that stream generations.
    #[default]
    #[display("model")]
    Model,
    /// Plain HTTP services.
    #[display("plain")]
    Plain,
}

/// Whether the platform's list names a process as staying or going.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServingState {
    /// In service.
    #[default]
    #[display("live")]
    Live,
    /// Told to leave: it finishes what runs and gets nothing new.
    #[display("leaving")]
    Leaving,
}

/// One engine or plain service process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Target {
    /// Its name.
    pub id: TargetId,
    /// The service whose calls it answers.
    pub service: ServiceId,
    /// Where it runs.
    pub data_centre: DataCentreId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Which life of the process this is.
    pub incarnation: Incarnation,
    /// Whether it stays or goes.
    #[serde(rename = "standing")]
    pub state: ServingState,
}

/// One celerystand instance as the platform lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Its name.
    pub id: InstanceId,
    /// Where it runs.
    pub data_centre: DataCentreId,
    /// Where it listens for other instances.
    pub addr: SocketAddr,
    /// Whether it stays or goes.
    #[serde(rename = "standing")]
    pub state: ServingState,
}

/// The platform's list of instances and targets; it lags behind the truth.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Listing {
    /// The celerystand instances.
    pub members: Vec<Member>,
    /// All engines and plain services.
    pub targets: Vec<Target>,
}

/// A group of targets with one owner: one service's targets in one data centre, or a slice of
/// them where there are many.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{service}@{data_centre}/{slice}")]
pub struct Shard {
    /// The service.
    pub service: ServiceId,
    /// The data centre.
    pub data_centre: DataCentreId,
    /// Number of the slice.
    pub slice: u16,
}

impl Shard {
    /// Names the first slice of a service in a data centre.
    #[must_use]
    pub fn new(service: &ServiceId, data_centre: &DataCentreId) -> Self {
        Self {
            service: Arc::clone(service),
            data_centre: Arc::clone(data_centre),
            slice: 0,
        }
    }

    /// Tells whether a target belongs to this shard.
    #[must_use]
    pub fn contains(&self, target: &Target) -> bool {
        target.service == self.service && target.data_centre == self.data_centre
    }
}
