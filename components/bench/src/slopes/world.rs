//! Names, targets and messages of a large deployment.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use policy::{Request, TargetLimits, View};
use types::{Class, InstanceId, Moment, ServiceKind, ServingState, Shard, Target};
use wire::{HeldPermit, PermitRequest, ShardSummary};

pub const MODELS: usize = 29;
pub const DATA_CENTRES: usize = 18;
/// Streams on one replica: 13 million tokens a second on 12,000 replicas, 58 ms apart.
pub const STREAMS: usize = 63;
/// Requests a second to one replica: 62,000 on 12,000.
pub const REQUESTS: f64 = 5.17;
/// A moment at which all starting times are over.
pub const NOW: Moment = Duration::from_secs(100);

pub fn instance(number: usize) -> InstanceId {
    format!("celerystand-{number:04}").into()
}

pub fn shard(number: usize) -> Shard {
    let model = format!("model-{:02}", number % MODELS);
    let data_centre = format!("region-{}-dc-{}", number / MODELS % 6, number / MODELS / 6);
    Shard::new(&model.into(), &data_centre.into())
}

pub fn target(number: usize, shard: &Shard) -> Target {
    Target {
        id: format!("replica-{number:05}").into(),
        service: Arc::clone(&shard.service),
        data_centre: Arc::clone(&shard.data_centre),
        addr: SocketAddr::from(([127, 0, 0, 1], 9000)),
        incarnation: 1,
        state: ServingState::Live,
    }
}

pub fn view(targets: Vec<Target>) -> View {
    let limits = TargetLimits {
        kind: ServiceKind::Model,
        cold_limit: 96,
        warm_limit: 96,
        memory_tokens: 10_000_000,
        warm_after: 4,
        queue_limit: 1000,
        retry_percent: 10,
    };
    let limits = Arc::new(limits);
    let each = targets
        .iter()
        .map(|t| (t.service.clone(), Arc::clone(&limits)));
    let limits: BTreeMap<_, _> = each.collect();
    View {
        targets,
        limits,
        data_centres_out: Vec::new(),
        instances: 2100,
    }
}

/// Targets spread over all shards.
pub fn spread(targets: usize) -> View {
    let one = |n| target(n, &shard(n % (MODELS * DATA_CENTRES)));
    view((0..targets).map(one).collect())
}

pub fn summary(shard: Shard) -> ShardSummary {
    ShardSummary {
        shard,
        epoch: 1 << 57,
        granting: true,
        load: 0.7,
        queued: 3,
        wait_ms: 40,
        targets: 23,
    }
}

pub fn request(id: u64, shard: &Shard) -> Request {
    Request {
        id,
        service: Arc::clone(&shard.service),
        kind: ServiceKind::Model,
        workspace: format!("workspace-{:03}", id % 480).into(),
        route: "chat".into(),
        class: Class::Normal,
        deadline: NOW + Duration::from_secs(3600),
        idempotent: true,
        prompt_tokens: 500,
        max_output: 2000,
        prefix: vec![id; 4],
        true_output: None,
    }
}

pub fn ask(id: u64, shard: &Shard, now: Moment) -> PermitRequest {
    let request = request(id, shard);
    PermitRequest {
        shard: shard.clone(),
        permit_request: id,
        stamp: now,
        kind: request.kind,
        class: request.class,
        workspace: request.workspace,
        route: request.route,
        deadline_left: Duration::from_secs(10),
        waited: Duration::ZERO,
        prompt_tokens: request.prompt_tokens,
        max_output: request.max_output,
        slots: 1,
        prefix: request.prefix,
        avoid: Vec::new(),
    }
}

pub fn held(grant: &wire::Grant) -> HeldPermit {
    HeldPermit {
        permit: grant.permit,
        epoch: grant.epoch,
        target: Arc::clone(&grant.target),
        incarnation: grant.incarnation,
        class: Class::Normal,
        workspace: "workspace-123".into(),
        route: "chat".into(),
        prompt_tokens: 500,
        max_output: 2000,
        produced: 700,
        slots: 1,
        answer_started: true,
    }
}

pub fn grant(id: u64, shard: &Shard, target: &Target, now: Moment) -> wire::Grant {
    wire::Grant {
        shard: shard.clone(),
        epoch: 1 << 57,
        permit_request: id,
        permit: (1 << 62) + id,
        target: Arc::clone(&target.id),
        incarnation: target.incarnation,
        reserved: 2500,
        slots: 1,
        stamp: now,
        lifetime: wire::PERMIT_LIFETIME,
        cold: false,
    }
}
