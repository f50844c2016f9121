//! Paths of nodes: reading them and the chain that a node inherits along.

use std::sync::Arc;

use types::{DataCentreId, RouteId, ServiceId, WorkspaceId};

use crate::api::NodePath;

/// Most characters in one name of a path.
pub const NAME_LIMIT: usize = 63;

/// What a path names.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ParsedPath {
    /// `/`
    Root,
    /// `/data-centres/D`
    DataCentre(DataCentreId),
    /// `/services/S`
    Service(ServiceId),
    /// `/services/S/routes/R`
    Route(ServiceId, RouteId),
    /// `/workspaces/W`
    Workspace(WorkspaceId),
    /// `/workspaces/W/routes/S/R`
    WorkspaceRoute(WorkspaceId, ServiceId, RouteId),
}

impl ParsedPath {
    /// Reads a path; `None` if no node can stand there.
    #[must_use]
    pub fn parse(path: &str) -> Option<Self> {
        if path == "/" {
            return Some(Self::Root);
        }
        let parts: Vec<&str> = path.strip_prefix('/')?.split('/').collect();
        let place = match parts[..] {
            ["data-centres", id] => Self::DataCentre(name(id)?),
            ["services", service] => Self::Service(name(service)?),
            ["services", service, "routes", route] => Self::Route(name(service)?, name(route)?),
            ["workspaces", id] => Self::Workspace(name(id)?),
            ["workspaces", id, "routes", service, route] => {
                Self::WorkspaceRoute(name(id)?, name(service)?, name(route)?)
            }
            _ => return None,
        };
        Some(place)
    }

    /// The path that names this place.
    #[must_use]
    pub fn path(&self) -> NodePath {
        match self {
            Self::Root => "/".into(),
            Self::DataCentre(id) => format!("/data-centres/{id}").into(),
            Self::Service(service) => format!("/services/{service}").into(),
            Self::Route(service, route) => format!("/services/{service}/routes/{route}").into(),
            Self::Workspace(id) => format!("/workspaces/{id}").into(),
            Self::WorkspaceRoute(id, service, route) => {
                format!("/workspaces/{id}/routes/{service}/{route}").into()
            }
        }
    }

    /// The places whose values hold here, the last one winning; this place comes last.
    #[must_use]
    pub fn inheritance_chain(&self) -> Vec<Self> {
        let mut chain = vec![Self::Root];
        match self {
            Self::Root => {}
            Self::DataCentre(_) | Self::Service(_) | Self::Workspace(_) => chain.push(self.clone()),
            Self::Route(service, _) => {
                chain.push(Self::Service(Arc::clone(service)));
                chain.push(self.clone());
            }
            Self::WorkspaceRoute(id, service, route) => {
                chain.push(Self::Service(Arc::clone(service)));
                chain.push(Self::Route(Arc::clone(service), Arc::clone(route)));
                chain.push(Self::Workspace(Arc::clone(id)));
                chain.push(self.clone());
            }
        }
        chain
    }
}

fn name(text: &str) -> Option<Arc<str>> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let starts_well = text.starts_with(|c: char| c.is_ascii_alphanumeric());
    let fits = text.len() <= NAME_LIMIT;
    (starts_well && fits && text.chars().all(allowed)).then(|| text.into())
}
