//! Instances, targets, and the shards that group targets.

use std::{net::SocketAddr, sync::Arc};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreId, Incarnation, InstanceId, ServiceId, TargetId};

/// Kind of a service's targets.
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

/// Whether a listed process is in service or shutting down.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServingState {
    /// In service.
    #[default]
    #[display("live")]
    Live,
    /// Shutting down: it finishes its current work and gets no new work.
    #[display("leaving")]
    Leaving,
}

/// An engine or a plain service process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Target {
    /// Name of the target.
    pub id: TargetId,
    /// Service that the target belongs to.
    pub service: ServiceId,
    /// Data centre that the target runs in.
    pub data_centre: DataCentreId,
    /// Address that the target listens on.
    pub addr: SocketAddr,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Whether the target is in service or shutting down.
    #[serde(rename = "standing")]
    pub state: ServingState,
}

/// A celerystand instance as the platform lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Name of the instance.
    pub id: InstanceId,
    /// Data centre that the instance runs in.
    pub data_centre: DataCentreId,
    /// Address that the instance listens on for other instances.
    pub addr: SocketAddr,
    /// Whether the instance is in service or shutting down.
    #[serde(rename = "standing")]
    pub state: ServingState,
}

/// The platform's list of instances and targets, which lags behind the actual state.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Listing {
    /// All celerystand instances.
    pub members: Vec<Member>,
    /// All engines and plain services.
    pub targets: Vec<Target>,
}

/// A group of targets with one owner: the targets of one service in one data centre, or a slice of
/// them where there are many.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{service}@{data_centre}/{slice}")]
pub struct Shard {
    /// Name of the service.
    pub service: ServiceId,
    /// Name of the data centre.
    pub data_centre: DataCentreId,
    /// Number of the slice.
    pub slice: u16,
}

impl Shard {
    /// First slice of a service in a data centre.
    #[must_use]
    pub fn new(service: &ServiceId, data_centre: &DataCentreId) -> Self {
        Self {
            service: Arc::clone(service),
            data_centre: Arc::clone(data_centre),
            slice: 0,
        }
    }

    /// Whether a target belongs to this shard.
    #[must_use]
    pub fn contains(&self, target: &Target) -> bool {
        target.service == self.service && target.data_centre == self.data_centre
    }
}
