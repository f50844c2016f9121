//! `celerystand get`, `set` and `delete`: single nodes of the tree.

use std::{fs, path::PathBuf};

use admin::message::{Accepted, EffectiveValues, WrittenNode};
use clap::ArgMatches;
use errors::{Context, Error, Result};
use hyper::Method;
use serde::Deserialize;
use serde_json::{Map, Value};
use tree::Node;
use types::ConfigVersion;

use crate::{
    client::{AdminClient, Precondition},
    cmd::{operator, print, text_arg},
    failure::{Failure, Outcome},
    output,
};

/// Fields of the node itself; every other key is one of its knobs.
const NODE_FIELDS: [&str; 5] = ["kind", "method", "model", "out", "path"];

/// A node in a file, as `get` prints it.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct NodeFile {
    /// Ignored: the path is taken from the command line.
    #[serde(default, rename = "path")]
    _path: Option<String>,
    /// The version that last wrote the node; without one the node must not exist yet.
    #[serde(default)]
    version: Option<ConfigVersion>,
    node: Node,
}

/// Prints a node, or with `--in-force` the values that are effective there.
///
/// # Errors
/// The instance can't be reached or refuses, or there is no such node.
pub fn get(args: &ArgMatches) -> Outcome {
    let path = tree_path(text_arg(args, "path")?)?;
    let client = operator::client(args)?;
    if args.get_flag("in-force") {
        return print_effective(args, &client, &path);
    }
    let written: WrittenNode = client.get(&path)?;
    if print::wants_json(args) {
        return Ok(print::json(&written)?);
    }
    Ok(print::yaml(&written)?)
}

fn print_effective(args: &ArgMatches, client: &AdminClient, path: &str) -> Outcome {
    let effective: EffectiveValues = client.get(&format!("{path}?in-force=true"))?;
    if print::wants_json(args) {
        return Ok(print::json(&effective)?);
    }
    for origin in &effective.values {
        let source = origin.from.as_deref().unwrap_or("(default)");
        let value = origin.value.to_string();
        output::line(format_args!("{:<14} {value:<14} {source}", origin.knob))?;
    }
    Ok(())
}

/// Writes a node, or single values of it.
///
/// # Errors
/// The instance can't be reached or refuses, another operator changed the node, or the outcome is
/// unknown.
pub fn set(args: &ArgMatches) -> Outcome {
    let path = tree_path(text_arg(args, "path")?)?;
    let client = operator::client(args)?;
    let (precondition, node) = match args.get_one::<PathBuf>("file") {
        Some(file) => read_file(file)?,
        None => {
            let values = args.get_many::<String>("values").unwrap_or_default();
            merge_values(&client, &path, values.map(String::as_str))?
        }
    };
    let accepted: Accepted = client.send(Method::PUT, &path, precondition, &node)?;
    print_accepted(args, &accepted)
}

/// Deletes a node.
///
/// # Errors
/// As [`set`].
pub fn delete(args: &ArgMatches) -> Outcome {
    let path = tree_path(text_arg(args, "path")?)?;
    let client = operator::client(args)?;
    let precondition = match args.get_one::<ConfigVersion>("if-version") {
        Some(version) => Precondition::Version(*version),
        None => precondition_for(client.get::<WrittenNode>(&path)?.version),
    };
    let accepted: Accepted = client.send_empty(Method::DELETE, &path, precondition)?;
    print_accepted(args, &accepted)
}

fn print_accepted(args: &ArgMatches, accepted: &Accepted) -> Outcome {
    let line = format!("accepted, configuration version {}", accepted.version);
    Ok(print::json_or_text(args, accepted, &line)?)
}

fn tree_path(path: &str) -> Result<String> {
    if !path.starts_with('/') {
        return Err(Error::new(format!(
            "{path}: the path of a node begins with /"
        )));
    }
    Ok(format!("/v1/tree{path}"))
}

const fn precondition_for(version: Option<ConfigVersion>) -> Precondition {
    match version {
        Some(version) => Precondition::Version(version),
        None => Precondition::Absent,
    }
}

fn read_file(file: &PathBuf) -> Result<(Precondition, Node)> {
    let text = fs::read_to_string(file).context(format!("reading {}", file.display()))?;
    let parsed: NodeFile =
        serde_saphyr::from_str(&text).context(format!("reading {}", file.display()))?;
    Ok((precondition_for(parsed.version), parsed.node))
}

/// Reads the node and merges the values into it. Another operator may change the node between the
/// read and the write. The write is therefore conditional on the version that was read, so that it
/// fails with a conflict instead of undoing the other change.
fn merge_values<'a>(
    client: &AdminClient,
    path: &str,
    values: impl Iterator<Item = &'a str>,
) -> Outcome<(Precondition, Node)> {
    let current = get_if_present(client, path)?;
    let precondition = precondition_for(current.as_ref().and_then(|written| written.version));
    let node = current.map(|written| written.node).unwrap_or_default();
    Ok((precondition, with_values(&node, values)?))
}

fn get_if_present(client: &AdminClient, path: &str) -> Outcome<Option<WrittenNode>> {
    match client.get(path) {
        Ok(written) => Ok(Some(written)),
        Err(Failure {
            status: Some(404), ..
        }) => Ok(None),
        Err(failure) => Err(failure),
    }
}

/// Returns the node with each `key=value` merged into it; an empty value removes the key.
///
/// # Errors
/// A text has no `=`, or its key or value is not valid in a node.
pub fn with_values<'a>(node: &Node, values: impl Iterator<Item = &'a str>) -> Result<Node> {
    let mut fields = match serde_json::to_value(node).context("reading the node")? {
        Value::Object(fields) => fields,
        _ => Map::new(),
    };
    for text in values {
        let (key, value) = text
            .split_once('=')
            .ok_or_else(|| Error::new(format!("{text}: expected key=value")))?;
        set_value(&mut fields, key, value)?;
    }
    serde_json::from_value(Value::Object(fields)).context("the values are not valid in a node")
}

fn set_value(fields: &mut Map<String, Value>, key: &str, value: &str) -> Result<()> {
    let map = if NODE_FIELDS.contains(&key) {
        fields
    } else {
        let knobs = fields
            .entry("knobs")
            .or_insert_with(|| Value::Object(Map::new()));
        knobs
            .as_object_mut()
            .ok_or_else(|| Error::new("the node has no knobs"))?
    };
    if value.is_empty() {
        map.remove(key);
        return Ok(());
    }
    let value = serde_saphyr::from_str(value).context(format!("{key}={value}"))?;
    map.insert(key.to_owned(), value);
    Ok(())
}
