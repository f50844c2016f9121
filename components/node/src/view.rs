//! Builds the policy's view from the configuration and the platform's list.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use config::CurrentConfig;
use policy::{TargetLimits, View};
use tree::RouteRule;
use types::{Listing, Shard};

/// Limit used if the configuration tree sets none. The defaults of the tree normally set all
/// limits.
const FALLBACK_LIMIT: u32 = 1;

/// Builds the view from the configuration in force and the platform's list. Targets of services
/// that are not configured are left out.
#[must_use]
pub fn build_view(current: &CurrentConfig, listing: &Listing) -> View {
    let rules = &current.effective;
    let mut limits = BTreeMap::new();
    for service in rules.services() {
        if let Some(rule) = rules.service(&service) {
            limits.insert(service, Arc::new(target_limits(&rule)));
        }
    }
    let known = listing
        .targets
        .iter()
        .filter(|t| limits.contains_key(&t.service));
    let targets = known.cloned().collect();
    View {
        targets,
        limits,
        data_centres_out: rules.data_centres_out(),
        instances: u32::try_from(listing.members.len()).unwrap_or(u32::MAX),
    }
}

/// Returns the shards of a view.
#[must_use]
pub fn shards(view: &View) -> BTreeSet<Shard> {
    view.targets
        .iter()
        .map(|t| Shard::new(&t.service, &t.data_centre))
        .collect()
}

fn target_limits(rule: &RouteRule) -> TargetLimits {
    let knobs = &rule.knobs;
    TargetLimits {
        kind: rule.kind,
        cold_limit: knobs.cold_limit.unwrap_or(FALLBACK_LIMIT),
        warm_limit: knobs.warm_limit.unwrap_or(FALLBACK_LIMIT),
        memory_tokens: knobs.memory.unwrap_or_default(),
        warm_after: knobs.warm_after.unwrap_or(FALLBACK_LIMIT),
        queue_limit: knobs.queue_limit.unwrap_or(FALLBACK_LIMIT),
        retry_percent: knobs.retry_percent.unwrap_or_default(),
    }
}
