//! Paths of nodes, and the order in which nodes inherit values.

use std::sync::Arc;

use types::{DataCentreId, RouteId, ServiceId, WorkspaceId};

use crate::api::NodePath;

/// Maximum characters of one name in a path.
pub const MAX_NAME_LENGTH: usize = 63;

/// A valid path, split into the names in it.
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
    /// Parses a path; `None` if it is not valid.
    #[must_use]
    pub fn parse(path: &str) -> Option<Self> {
        if path == "/" {
            return Some(Self::Root);
        }
        let parts: Vec<&str> = path.strip_prefix('/')?.split('/').collect();
        let parsed = match parts[..] {
            ["data-centres", id] => Self::DataCentre(parse_name(id)?),
            ["services", service] => Self::Service(parse_name(service)?),
            ["services", service, "routes", route] => {
                Self::Route(parse_name(service)?, parse_name(route)?)
            }
            ["workspaces", id] => Self::Workspace(parse_name(id)?),
            ["workspaces", id, "routes", service, route] => {
                Self::WorkspaceRoute(parse_name(id)?, parse_name(service)?, parse_name(route)?)
            }
            _ => return None,
        };
        Some(parsed)
    }

    /// The path as text.
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

    /// The paths of which values are inherited here, in increasing precedence; the last one is this
    /// path.
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

fn parse_name(text: &str) -> Option<Arc<str>> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let starts_alphanumeric = text.starts_with(|c: char| c.is_ascii_alphanumeric());
    let is_short_enough = text.len() <= MAX_NAME_LENGTH;
    (starts_alphanumeric && is_short_enough && text.chars().all(is_allowed)).then(|| text.into())
}
