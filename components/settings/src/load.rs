//! Loading a settings file.

use std::{fs, path::Path};

use crate::{check::check, fault::Fault, model::Settings, yaml::YamlNode};

/// Reads and checks a settings file.
///
/// # Errors
/// Every fault of the file, or a single one if the file can't be read or is not valid YAML.
pub fn load(path: &Path) -> Result<Settings, Vec<Fault>> {
    let text = fs::read_to_string(path).map_err(|e| {
        let problem = format!("{} can't be read: {e}", path.display());
        vec![Fault::new(problem, "give the path of a readable text file")]
    })?;
    parse(&text)
}

/// Parses and checks the text of a settings file.
///
/// # Errors
/// Every fault of the text, or a single one if it is not valid YAML.
pub fn parse(text: &str) -> Result<Settings, Vec<Fault>> {
    let document: YamlNode = serde_saphyr::from_str(text).map_err(|e| vec![syntax_fault(&e)])?;
    let faults = check(&document);
    if !faults.is_empty() {
        return Err(faults);
    }
    // The checker should have found every fault; one that it has missed is still reported here.
    serde_saphyr::from_str(text).map_err(|e| vec![syntax_fault(&e)])
}

fn syntax_fault(error: &serde_saphyr::Error) -> Fault {
    let message = error.without_snippet().to_string();
    let fault = Fault::new(message, "fix the syntax first, then check again");
    match error.location() {
        Some(location) => fault.with_position(location.into()),
        None => fault,
    }
}
