//! `celerystand data-centre out|in|override|withdraw`: takes a data centre out of service or back
//! in.

use admin::message::{Accepted, OverrideOutcome, OverrideRequest};
use clap::ArgMatches;
use errors::Error;
use hyper::Method;

use crate::{
    client::Precondition,
    cmd::{operator, print, text_arg},
    failure::{Failure, FailureKind, Outcome},
};

/// Runs the subcommand that the command line names.
///
/// # Errors
/// The instance can't be reached or refuses.
pub fn run(args: &ArgMatches) -> Outcome {
    match args.subcommand() {
        Some((direction @ ("out" | "in"), args)) => set_service_state(args, direction),
        Some(("override", args)) => override_out(args),
        Some(("withdraw", args)) => withdraw(args),
        _ => Err(Error::new("say out, in, override or withdraw").into()),
    }
}

fn set_service_state(args: &ArgMatches, direction: &str) -> Outcome {
    let name = text_arg(args, "name")?;
    let path = format!("/v1/data-centres/{name}/{direction}");
    let accepted: Accepted = operator::client(args)?
        .send_empty(Method::POST, &path, Precondition::None)
        .map_err(|failure| suggest_override(failure, name, direction))?;
    let line = format!(
        "data centre {name} is {direction}, configuration version {}",
        accepted.version
    );
    Ok(print::json_or_text(args, &accepted, &line)?)
}

/// Adds a hint at `override` to the failure of `out`. While the table service is down no change of
/// the configuration is accepted, and an override is the only way to take a data centre out.
fn suggest_override(failure: Failure, name: &str, direction: &str) -> Failure {
    // An instance that did not answer at all could not accept an override either.
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

fn override_out(args: &ArgMatches) -> Outcome {
    let path = override_path(args)?;
    let minutes = args.get_one::<u32>("minutes").copied().unwrap_or_default();
    let request = OverrideRequest { minutes };
    let client = operator::client(args)?;
    let outcome: OverrideOutcome = client.send(Method::PUT, &path, Precondition::None, &request)?;
    print_outcome(args, &outcome, "is kept out, not accepted")
}

fn withdraw(args: &ArgMatches) -> Outcome {
    let path = override_path(args)?;
    let client = operator::client(args)?;
    let outcome: OverrideOutcome = client.send_empty(Method::DELETE, &path, Precondition::None)?;
    print_outcome(args, &outcome, "is no longer kept out")
}

fn override_path(args: &ArgMatches) -> Outcome<String> {
    let name = text_arg(args, "name")?;
    Ok(format!("/v1/data-centres/{name}/override"))
}

fn print_outcome(args: &ArgMatches, outcome: &OverrideOutcome, what: &str) -> Outcome {
    let OverrideOutcome {
        data_centre,
        accepted_by,
        unanswered_by,
        ..
    } = outcome;
    let mut line = format!(
        "data centre {data_centre} {what}; taken by {}",
        instance_list(accepted_by)
    );
    if !unanswered_by.is_empty() {
        line.push_str(&format!(
            "; no answer yet from {}",
            instance_list(unanswered_by)
        ));
    }
    Ok(print::json_or_text(args, outcome, &line)?)
}

fn instance_list(names: &[types::InstanceId]) -> String {
    match names {
        [] => "nobody else".to_owned(),
        names => names.join(", "),
    }
}
