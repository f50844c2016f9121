//! Taking data centres out of service and bringing them back, by a regular change or, while the
//! table service is unavailable, by a temporary override.

use std::{sync::Arc, time::Duration};

use config::{
    Change, Config, Override, OverrideError, OverrideOrder, overrides::MAX_OVERRIDE_DURATION,
};
use events::{Event, emit};
use hyper::{HeaderMap, Response};
use net::{Body, Reply};
use tree::NodePath;
use types::DataCentreId;

use crate::{
    document::not_loaded,
    message::{Accepted, OverrideOutcome, OverrideRequest, OverrideView},
    problem::{CONFLICT, Problem},
    route::Direction,
    tree_api::{commit, current_node, operator_name},
};

/// Attempts to commit a change that conflicts with changes of other operators.
const MAX_ATTEMPTS: usize = 5;
/// Seconds in a minute.
const MINUTE_SECONDS: u64 = 60;

/// Takes a data centre out of service or brings it back. The change is idempotent, so it is retried
/// after a conflict.
///
/// # Errors
/// 404 if the tree has no such data centre, otherwise as [`crate::tree_api::write`].
pub async fn set_service_state(
    config: &dyn Config,
    headers: &HeaderMap,
    id: &DataCentreId,
    direction: Direction,
) -> Result<Response<Body>, Problem> {
    let path: NodePath = format!("/data-centres/{id}").into();
    let out = direction == Direction::Out;
    let mut attempts_left = MAX_ATTEMPTS;
    loop {
        let before = current_node(config, &path);
        let mut node = before.node.ok_or_else(|| unknown_data_centre(config, id))?;
        // Commits the change even if the node already has this value: this instance may be behind,
        // and the operator would be told that a data centre is out although another operator has
        // just brought it back.
        node.out = Some(out);
        let change = Change {
            path: Arc::clone(&path),
            node: Some(node),
            expected_version: before.version,
            operator: operator_name(headers),
        };
        attempts_left -= 1;
        match commit(config, change).await {
            Err(problem) if problem.status == CONFLICT && attempts_left > 0 => {}
            outcome => {
                let version = outcome?;
                log_service_state(id, direction, operator_name(headers));
                return Ok(Reply::json(200, &Accepted { version }).done());
            }
        }
    }
}

fn log_service_state(id: &DataCentreId, direction: Direction, who: Arc<str>) {
    let data_centre = Arc::clone(id);
    match direction {
        Direction::Out => emit(&Event::DataCentreOut { data_centre, who }),
        Direction::In => emit(&Event::DataCentreIn { data_centre, who }),
    }
}

/// Takes a data centre out for a limited time although the table service is unavailable.
///
/// # Errors
/// 400 if the duration is out of range, 404 if the tree has no such data centre, 409 if there is a
/// newer override, 503 before the first configuration was found.
pub async fn override_out(
    config: &dyn Config,
    headers: &HeaderMap,
    id: &DataCentreId,
    request: &OverrideRequest,
) -> Result<Response<Body>, Problem> {
    let duration = Duration::from_secs(MINUTE_SECONDS * u64::from(request.minutes));
    if duration.is_zero() || duration > MAX_OVERRIDE_DURATION {
        return Err(bad_minutes(request.minutes));
    }
    let outcome = send_override(config, headers, id, duration).await?;
    emit(&Event::OverrideGiven {
        data_centre: Arc::clone(id),
        who: operator_name(headers),
        minutes: request.minutes,
    });
    Ok(Reply::json(200, &outcome).done())
}

/// Withdraws an override.
///
/// # Errors
/// As [`override_out`], except 400.
pub async fn withdraw(
    config: &dyn Config,
    headers: &HeaderMap,
    id: &DataCentreId,
) -> Result<Response<Body>, Problem> {
    let outcome = send_override(config, headers, id, Duration::ZERO).await?;
    emit(&Event::OverrideWithdrawn {
        data_centre: Arc::clone(id),
        who: operator_name(headers),
    });
    Ok(Reply::json(200, &outcome).done())
}

/// Returns the active overrides that take a data centre out.
#[must_use]
pub fn overrides(config: &dyn Config) -> Vec<OverrideView> {
    let view = |entry: Override| OverrideView {
        data_centre: entry.data_centre,
        who: entry.operator,
        seconds_left: entry.time_left.as_secs(),
    };
    let all = config.overrides().into_iter();
    all.filter(|entry| entry.out).map(view).collect()
}

/// Sends an override of this duration to all instances; zero withdraws the current one.
async fn send_override(
    config: &dyn Config,
    headers: &HeaderMap,
    id: &DataCentreId,
    duration: Duration,
) -> Result<OverrideOutcome, Problem> {
    let order = OverrideOrder {
        data_centre: Arc::clone(id),
        out: !duration.is_zero(),
        duration,
        operator: operator_name(headers),
    };
    let report = config
        .override_data_centre(order)
        .await
        .map_err(|e| match e {
            OverrideError::NoSuchDataCentre => unknown_data_centre(config, id),
            OverrideError::NotReady => not_loaded(),
            OverrideError::Rejected => {
                Problem::new(409, "not-taken", "The order was not taken", e.to_string())
            }
        })?;
    Ok(OverrideOutcome {
        data_centre: report.order.data_centre,
        out: report.order.out,
        seconds_left: duration.as_secs(),
        accepted_by: report.accepted_by,
        unanswered_by: report.unanswered_by,
    })
}

fn bad_minutes(minutes: u32) -> Problem {
    let max = MAX_OVERRIDE_DURATION.as_secs() / MINUTE_SECONDS;
    let detail = format!("{minutes} minutes are out of range; give 1 to {max}");
    Problem::new(400, "malformed", "The time is out of range", detail)
}

fn unknown_data_centre(config: &dyn Config, id: &str) -> Problem {
    let current = config.current();
    let known: Vec<&str> =
        current
            .iter()
            .flat_map(|c| c.snapshot.nodes.keys())
            .fold(Vec::new(), |mut known, path| {
                known.extend(path.strip_prefix("/data-centres/"));
                known
            });
    let detail = format!(
        "the tree has no data centre {id}; it has {}",
        known.join(", ")
    );
    Problem::new(404, "not-found", "There is no such data centre", detail)
}
