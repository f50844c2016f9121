//! Reading a settings file.

use std::{fs, path::Path};

use crate::{check::check, fault::Fault, model::Settings, raw::RawValue};

/// Reads and checks a settings file.
///
/// # Errors
/// Lists every fault; one alone if the file can't be read or is no YAML.
pub fn load(path: &Path) -> Result<Settings, Vec<Fault>> {
    let text = fs::read_to_string(path).map_err(|e| {
        let what = format!("{} can't be read: {e}", path.display());
        vec![Fault::new(what, "give the path of a readable text file")]
    })?;
    parse(&text)
}

/// Reads and checks settings from their text.
///
/// # Errors
/// Lists every fault; one alone if the text is no YAML.
pub fn parse(text: &str) -> Result<Settings, Vec<Fault>> {
    let raw: RawValue = serde_saphyr::from_str(text).map_err(|e| vec![syntax_fault(&e)])?;
    let faults = check(&raw);
    if !faults.is_empty() {
        return Err(faults);
    }
    // The checking pass should have found everything; what it has missed is told all the same.
    serde_saphyr::from_str(text).map_err(|e| vec![syntax_fault(&e)])
}

fn syntax_fault(error: &serde_saphyr::Error) -> Fault {
    let message = error.without_snippet().to_string();
    let fault = Fault::new(message, "mend this first, then check again");
    match error.location() {
        Some(location) => fault.with_place(location.into()),
        None => fault,
    }
}
