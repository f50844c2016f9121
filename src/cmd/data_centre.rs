//! `celerystand data-centre out|in|override|withdraw`.

use admin::message::{Accepted, OverrideOutcome, OverrideRequest};
use clap::ArgMatches;
use errors::Error;
use hyper::Method;

use crate::{
    client::Seen,
    cmd::{operator, print, text},
    failure::{Failure, FailureKind, Outcome},
};

/// Takes a data centre out of service or back in.
///
/// # Errors
/// The instance can't be reached or refuses.
pub fn run(args: &ArgMatches) -> Outcome {
    match args.subcommand() {
        Some((direction @ ("out" | "in"), args)) => turn(args, direction),
        Some(("override", args)) => keep_out(args),
        Some(("withdraw", args)) => withdraw(args),
        _ => Err(Error::new("say out, in, override or withdraw").into()),
    }
}

fn turn(args: &ArgMatches, direction: &str) -> Outcome {
    let name = text(args, "name")?;
    let path = format!("/v1/data-centres/{name}/{direction}");
    let accepted: Accepted = operator::client(args)?
        .order(Method::POST, &path, Seen::Any)
        .map_err(|failure| with_way_out(failure, name, direction))?;
    let line = format!(
        "data centre {name} is {direction}, configuration version {}",
        accepted.version
    );
    Ok(print::either(args, &accepted, &line)?)
}

/// Without the table service nothing is accepted, but there is another way to take a data centre
/// out, and this is when an operator needs to hear of it.
fn with_way_out(failure: Failure, name: &str, direction: &str) -> Failure {
    // Only an instance that answered can take the other order.
    if failure.kind != FailureKind::Unavailable || failure.status.is_none() || direction != "out" {
        return failure;
    }
    let message = format!(
        "{failure}\nTo keep it out for a limited time all the same: \
         celerystand data-centre override {name} --minutes 30"
    );
    Failure {
        message: message.into(),
        ..failure
    }
}

fn keep_out(args: &ArgMatches) -> Outcome {
    let path = override_path(args)?;
    let minutes = args.get_one::<u32>("minutes").copied().unwrap_or_default();
    let ask = OverrideRequest { minutes };
    let client = operator::client(args)?;
    let overridden: OverrideOutcome = client.send(Method::PUT, &path, Seen::Any, &ask)?;
    tell(args, &overridden, "is kept out, not accepted")
}

fn withdraw(args: &ArgMatches) -> Outcome {
    let path = override_path(args)?;
    let client = operator::client(args)?;
    let overridden: OverrideOutcome = client.order(Method::DELETE, &path, Seen::Any)?;
    tell(args, &overridden, "is no longer kept out")
}

fn override_path(args: &ArgMatches) -> Outcome<String> {
    let name = text(args, "name")?;
    Ok(format!("/v1/data-centres/{name}/override"))
}

fn tell(args: &ArgMatches, overridden: &OverrideOutcome, what: &str) -> Outcome {
    let OverrideOutcome {
        data_centre,
        accepted_by,
        unanswered_by,
        ..
    } = overridden;
    let mut line = format!(
        "data centre {data_centre} {what}; taken by {}",
        list(accepted_by)
    );
    if !unanswered_by.is_empty() {
        line.push_str(&format!("; not yet heard of by {}", list(unanswered_by)));
    }
    Ok(print::either(args, overridden, &line)?)
}

fn list(names: &[types::InstanceId]) -> String {
    match names {
        [] => "nobody else".to_owned(),
        names => names.join(", "),
    }
}
