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
    client::{AdminClient, Seen},
    cmd::{operator, print, text},
    failure::{Failure, Outcome},
    output,
};

/// Fields that stand in the node itself; all others are knobs.
const NODE_FIELDS: [&str; 5] = ["kind", "method", "model", "out", "path"];

/// A node in a file, as `get` prints it.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct NodeFile {
    /// Only for readers; the command line names the path.
    #[serde(default, rename = "path")]
    _path: Option<String>,
    /// The version that last wrote it; without one the node must not exist yet.
    #[serde(default)]
    version: Option<ConfigVersion>,
    node: Node,
}

/// Reads a node.
///
/// # Errors
/// The instance can't be reached or refuses, or there is no such node.
pub fn get(args: &ArgMatches) -> Outcome {
    let path = tree_path(text(args, "path")?)?;
    let client = operator::client(args)?;
    if args.get_flag("in-force") {
        return get_in_force(args, &client, &path);
    }
    let written: WrittenNode = client.get(&path)?;
    if print::wants_json(args) {
        return Ok(print::json(&written)?);
    }
    Ok(print::yaml(&written)?)
}

fn get_in_force(args: &ArgMatches, client: &AdminClient, path: &str) -> Outcome {
    let in_force: EffectiveValues = client.get(&format!("{path}?in-force=true"))?;
    if print::wants_json(args) {
        return Ok(print::json(&in_force)?);
    }
    for origin in &in_force.values {
        let from = origin.from.as_deref().unwrap_or("(default)");
        let value = origin.value.to_string();
        output::line(format_args!("{:<14} {value:<14} {from}", origin.knob))?;
    }
    Ok(())
}

/// Writes a node.
///
/// # Errors
/// The instance can't be reached or refuses, somebody else changed the node, or the outcome is
/// unknown.
pub fn set(args: &ArgMatches) -> Outcome {
    let path = tree_path(text(args, "path")?)?;
    let client = operator::client(args)?;
    let (seen, node) = match args.get_one::<PathBuf>("file") {
        Some(file) => read_file(file)?,
        None => {
            let values = args.get_many::<String>("values").unwrap_or_default();
            merge(&client, &path, values.map(String::as_str))?
        }
    };
    let accepted: Accepted = client.send(Method::PUT, &path, seen, &node)?;
    done(args, &accepted)
}

/// Deletes a node.
///
/// # Errors
/// As [`set`].
pub fn delete(args: &ArgMatches) -> Outcome {
    let path = tree_path(text(args, "path")?)?;
    let client = operator::client(args)?;
    let seen = match args.get_one::<ConfigVersion>("if-version") {
        Some(version) => Seen::Version(*version),
        None => seen_of(client.get::<WrittenNode>(&path)?.version),
    };
    let accepted: Accepted = client.order(Method::DELETE, &path, seen)?;
    done(args, &accepted)
}

fn done(args: &ArgMatches, accepted: &Accepted) -> Outcome {
    let line = format!("accepted, configuration version {}", accepted.version);
    Ok(print::either(args, accepted, &line)?)
}

fn tree_path(path: &str) -> Result<String> {
    if !path.starts_with('/') {
        return Err(Error::new(format!(
            "{path}: a path of a node begins with /"
        )));
    }
    Ok(format!("/v1/tree{path}"))
}

const fn seen_of(version: Option<ConfigVersion>) -> Seen {
    match version {
        Some(version) => Seen::Version(version),
        None => Seen::Absent,
    }
}

fn read_file(file: &PathBuf) -> Result<(Seen, Node)> {
    let text = fs::read_to_string(file).context(format!("reading {}", file.display()))?;
    let read: NodeFile =
        serde_saphyr::from_str(&text).context(format!("reading {}", file.display()))?;
    Ok((seen_of(read.version), read.node))
}

/// Reads the node and puts the values over it. Between reading and writing somebody else may
/// change the node; the version that was read goes along, so that the write then fails with a
/// conflict in place of undoing the other change.
fn merge<'a>(
    client: &AdminClient,
    path: &str,
    values: impl Iterator<Item = &'a str>,
) -> Outcome<(Seen, Node)> {
    let before = find(client, path)?;
    let seen = seen_of(before.as_ref().and_then(|written| written.version));
    let node = before.map(|written| written.node).unwrap_or_default();
    Ok((seen, with_values(&node, values)?))
}

fn find(client: &AdminClient, path: &str) -> Outcome<Option<WrittenNode>> {
    match client.get(path) {
        Ok(written) => Ok(Some(written)),
        Err(Failure {
            status: Some(404), ..
        }) => Ok(None),
        Err(failure) => Err(failure),
    }
}

/// Puts `key=value` texts over a node.
///
/// # Errors
/// A text has no `=`, or the node does not allow the value.
pub fn with_values<'a>(node: &Node, values: impl Iterator<Item = &'a str>) -> Result<Node> {
    let mut fields = match serde_json::to_value(node).context("reading the node")? {
        Value::Object(fields) => fields,
        _ => Map::new(),
    };
    for text in values {
        let (key, value) = text
            .split_once('=')
            .ok_or_else(|| Error::new(format!("{text}: write key=value")))?;
        put(&mut fields, key, value)?;
    }
    serde_json::from_value(Value::Object(fields)).context("the values don't fit")
}

fn put(fields: &mut Map<String, Value>, key: &str, value: &str) -> Result<()> {
    let place = if NODE_FIELDS.contains(&key) {
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
        place.remove(key);
        return Ok(());
    }
    let value = serde_saphyr::from_str(value).context(format!("{key}={value}"))?;
    place.insert(key.to_owned(), value);
    Ok(())
}
