//! Taking data centres out of service and back in.

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
    message::{Accepted, Overridden, OverrideAsk, OverrideView},
    problem::{CONFLICT, Problem},
    route::Direction,
    tree_api::{commit, now, who},
};

/// How often a change is tried against other operators.
const ATTEMPTS: usize = 5;
/// Seconds of a minute.
const MINUTE: u64 = 60;

/// Takes a data centre out of service or back in. It is idempotent, so it is tried again after a
/// conflict.
///
/// # Errors
/// 404 if the tree has no such data centre, otherwise as [`crate::tree_api::write`].
pub async fn turn(
    config: &dyn Config,
    headers: &HeaderMap,
    id: &DataCentreId,
    direction: Direction,
) -> Result<Response<Body>, Problem> {
    let path: NodePath = format!("/data-centres/{id}").into();
    let out = direction == Direction::Out;
    let mut attempts_left = ATTEMPTS;
    loop {
        let before = now(config, &path);
        let mut node = before.node.ok_or_else(|| unknown_data_centre(config, id))?;
        // Also if it is so here already: this instance may be behind, and the operator would be
        // told that a data centre is out which another operator has just brought back.
        node.out = Some(out);
        let change = Change {
            path: Arc::clone(&path),
            node: Some(node),
            expected_version: before.version,
            operator: who(headers),
        };
        attempts_left -= 1;
        match commit(config, change).await {
            Err(problem) if problem.status == CONFLICT && attempts_left > 0 => {}
            outcome => {
                let version = outcome?;
                tell_turn(id, direction, who(headers));
                return Ok(Reply::json(200, &Accepted { version }).done());
            }
        }
    }
}

fn tell_turn(id: &DataCentreId, direction: Direction, who: Arc<str>) {
    let data_centre = Arc::clone(id);
    match direction {
        Direction::Out => emit(&Event::DataCentreOut { data_centre, who }),
        Direction::In => emit(&Event::DataCentreIn { data_centre, who }),
    }
}

/// Keeps a data centre out for a limited time although the table service is down.
///
/// # Errors
/// 400 if the time is out of range, 404 if the tree has no such data centre, 409 if there is a
/// newer order, 503 before the first configuration was found.
pub async fn keep_out(
    config: &dyn Config,
    headers: &HeaderMap,
    id: &DataCentreId,
    ask: &OverrideAsk,
) -> Result<Response<Body>, Problem> {
    let within = Duration::from_secs(MINUTE * u64::from(ask.minutes));
    if within.is_zero() || within > MAX_OVERRIDE_DURATION {
        return Err(bad_minutes(ask.minutes));
    }
    let overridden = give_order(config, headers, id, within).await?;
    emit(&Event::OverrideGiven {
        data_centre: Arc::clone(id),
        who: who(headers),
        minutes: ask.minutes,
    });
    Ok(Reply::json(200, &overridden).done())
}

/// Withdraws such an order.
///
/// # Errors
/// As [`keep_out`].
pub async fn withdraw(
    config: &dyn Config,
    headers: &HeaderMap,
    id: &DataCentreId,
) -> Result<Response<Body>, Problem> {
    let overridden = give_order(config, headers, id, Duration::ZERO).await?;
    emit(&Event::OverrideWithdrawn {
        data_centre: Arc::clone(id),
        who: who(headers),
    });
    Ok(Reply::json(200, &overridden).done())
}

/// The orders that keep a data centre out at present.
#[must_use]
pub fn overrides(config: &dyn Config) -> Vec<OverrideView> {
    let view = |order: Override| OverrideView {
        data_centre: order.data_centre,
        who: order.operator,
        seconds_left: order.time_left.as_secs(),
    };
    let all = config.overrides().into_iter();
    all.filter(|order| order.out).map(view).collect()
}

/// Gives an order that holds for some time, or with no time withdraws it.
async fn give_order(
    config: &dyn Config,
    headers: &HeaderMap,
    id: &DataCentreId,
    within: Duration,
) -> Result<Overridden, Problem> {
    let order = OverrideOrder {
        data_centre: Arc::clone(id),
        out: !within.is_zero(),
        duration: within,
        operator: who(headers),
    };
    let told = config
        .override_data_centre(order)
        .await
        .map_err(|e| match e {
            OverrideError::NoSuchDataCentre => unknown_data_centre(config, id),
            OverrideError::NotReady => not_loaded(),
            OverrideError::Rejected => {
                Problem::new(409, "not-taken", "The order was not taken", e.to_string())
            }
        })?;
    Ok(Overridden {
        data_centre: told.order.data_centre,
        out: told.order.out,
        seconds_left: within.as_secs(),
        taken: told.accepted_by,
        missed: told.unanswered_by,
    })
}

fn bad_minutes(minutes: u32) -> Problem {
    let most = MAX_OVERRIDE_DURATION.as_secs() / MINUTE;
    let detail = format!("{minutes} minutes are out of range; give 1 to {most}");
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
