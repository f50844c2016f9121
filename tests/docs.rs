//! Checks the documentation against the program: commands, examples, files, links and tables must
//! be correct.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

use admin::message::Document;
use celerystand::{cli, cmd::platform};
use events::Event;
use serde::Deserialize;
use tree::{Node, Snapshot};

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

fn read(path: &Path) -> String {
    fs::read_to_string(path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

fn files(dir: &str, extension: &str) -> Vec<PathBuf> {
    let entries = fs::read_dir(root().join(dir)).expect("a directory");
    let mut all: Vec<PathBuf> = entries
        .map(|entry| entry.expect("an entry").path())
        .filter(|path| path.extension().is_some_and(|e| e == extension))
        .collect();
    all.sort();
    all
}

/// All pages, the design notes among them.
fn pages() -> Vec<(PathBuf, String)> {
    let mut all = files(".", "md");
    all.extend(files("docs", "md"));
    if root().join("docs/design").exists() {
        all.extend(files("docs/design", "md"));
    }
    all.into_iter()
        .map(|path| {
            let text = read(&path);
            (path, text)
        })
        .collect()
}

/// A fenced code block of a page.
struct Block {
    page: PathBuf,
    info: String,
    text: String,
}

fn blocks() -> Vec<Block> {
    let mut all = Vec::new();
    for (page, text) in pages() {
        let mut open: Option<Block> = None;
        for line in text.lines() {
            match (line.strip_prefix("```"), &mut open) {
                (Some(info), None) => {
                    open = Some(Block {
                        page: page.clone(),
                        info: info.to_owned(),
                        text: String::new(),
                    });
                }
                (Some(_), Some(_)) => all.extend(open.take()),
                (None, Some(block)) => {
                    block.text.push_str(line);
                    block.text.push('\n');
                }
                (None, None) => {}
            }
        }
        assert!(
            open.is_none(),
            "{}: a code block is not closed",
            page.display()
        );
    }
    all
}

/// Inline code of a page: the parts between single backticks.
fn inline_code(text: &str) -> Vec<String> {
    let plain: Vec<&str> = text.split("```").step_by(2).collect();
    let code_parts = |part: &&str| {
        part.split('`')
            .skip(1)
            .step_by(2)
            .map(str::to_owned)
            .collect()
    };
    let parts: Vec<Vec<String>> = plain.iter().map(code_parts).collect();
    parts.concat()
}

/// The arguments of a line that calls the program, without environment variables,
/// redirections and pipes; `None` for any other line.
fn parse_arguments(line: &str) -> Option<Vec<String>> {
    let mut words: Vec<&str> = line.split_whitespace().collect();
    while words
        .first()
        .is_some_and(|w| w.starts_with("CELERYSTAND_") && w.contains('='))
    {
        words.remove(0);
    }
    let rest = if words.starts_with(&["cargo", "run"]) {
        let binary = words.iter().position(|word| *word == "--bin");
        if binary.is_some_and(|at| words.get(at + 1) != Some(&"celerystand")) {
            return None;
        }
        let dashes = words.iter().position(|word| *word == "--")?;
        words[dashes + 1..].to_vec()
    } else if words.first() == Some(&"celerystand") {
        words[1..].to_vec()
    } else {
        return None;
    };
    let shell = rest.iter().position(|w| matches!(*w, ">" | "<" | "|"));
    let rest = &rest[..shell.unwrap_or(rest.len())];
    Some(rest.iter().map(|w| (*w).to_owned()).collect())
}

/// The error that the program reports for these arguments, if any.
fn usage_error(arguments: &[String]) -> Option<String> {
    let line = std::iter::once("celerystand".to_owned()).chain(arguments.iter().cloned());
    match cli::command().try_get_matches_from(line) {
        Ok(_) => None,
        Err(e) if e.exit_code() == 0 => None,
        Err(e) => Some(e.to_string()),
    }
}

#[test]
fn every_command_in_the_pages_is_valid() {
    let mut count = 0;
    let fenced = blocks().into_iter().flat_map(|block| {
        let lines: Vec<String> = block.text.lines().map(str::to_owned).collect();
        lines
            .into_iter()
            .map(move |line| (block.page.clone(), line))
    });
    let in_text = pages().into_iter().flat_map(|(page, text)| {
        inline_code(&text)
            .into_iter()
            .map(move |line| (page.clone(), line))
    });
    for (page, line) in fenced.chain(in_text) {
        // The name of the program alone is not a command.
        let Some(arguments) = parse_arguments(&line).filter(|all| !all.is_empty()) else {
            continue;
        };
        count += 1;
        let error = usage_error(&arguments);
        assert_eq!(error, None, "{}: {line}", page.display());
    }
    assert!(count > 20, "only {count} commands were found");
}

#[test]
fn every_example_in_the_help_is_a_valid_command() {
    let mut count = 0;
    let mut commands = vec![cli::command()];
    while let Some(command) = commands.pop() {
        commands.extend(command.get_subcommands().cloned());
        let text = command.get_after_help().map(ToString::to_string);
        for line in text.unwrap_or_default().lines() {
            let Some(arguments) = parse_arguments(line) else {
                continue;
            };
            count += 1;
            assert_eq!(usage_error(&arguments), None, "{line}");
        }
    }
    assert!(count > 15, "only {count} examples were found");
}

/// A node in a file, as `get` prints it.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct NodeFile {
    #[serde(rename = "path")]
    _path: String,
    #[serde(rename = "version")]
    _version: u64,
    #[serde(rename = "node")]
    _node: Node,
}

fn check_document(text: &str, name: &str) {
    let document: Document = serde_saphyr::from_str(text).unwrap_or_else(|e| panic!("{name}: {e}"));
    let snapshot = Snapshot {
        version: 1,
        nodes: document.nodes,
    };
    assert_eq!(tree::check(&snapshot), [], "{name}");
}

#[test]
fn every_yaml_block_in_the_pages_is_valid() {
    let mut count = 0;
    for block in blocks() {
        let name = block.page.display().to_string();
        match block.info.as_str() {
            "yaml document" => check_document(&block.text, &name),
            "yaml settings" => drop(settings::parse(&block.text).expect(&name)),
            "yaml node" => drop(serde_saphyr::from_str::<NodeFile>(&block.text).expect(&name)),
            info => {
                assert!(
                    !info.starts_with("yaml"),
                    "{name}: add to {info:?} what the block contains"
                );
                continue;
            }
        }
        count += 1;
    }
    assert!(count >= 2, "only {count} blocks were found");
}

#[test]
fn the_example_files_are_valid() {
    let mut count = 0;
    for path in files("examples", "yml") {
        let name = path.display().to_string();
        if name.ends_with("-settings.yml") {
            let read = settings::load(&path);
            assert!(read.is_ok(), "{name}: {read:?}");
        } else if name.ends_with("-tree.yml") {
            check_document(&read(&path), &name);
        } else if name.ends_with("-decisions.yml") {
            let read = platform::decisions(&path);
            assert!(read.is_ok(), "{name}: {read:?}");
        } else {
            panic!("{name} is neither a settings, a tree nor a decisions file");
        }
        count += 1;
    }
    assert!(count >= 4, "only {count} files were found");
}

#[test]
fn links_between_pages_lead_to_existing_files() {
    for (page, text) in pages() {
        let dir = page.parent().expect("a directory");
        for part in text.split("](").skip(1) {
            let link = part.split(')').next().unwrap_or_default();
            let file = link.split('#').next().unwrap_or_default();
            if file.is_empty() || file.contains("://") {
                continue;
            }
            assert!(dir.join(file).exists(), "{}: {link}", page.display());
        }
    }
}

/// Cells of each row of the tables in a page.
fn rows(text: &str) -> Vec<Vec<String>> {
    let cells = |line: &str| {
        let inner = line.trim_matches('|');
        inner
            .split('|')
            .map(|cell| cell.trim().to_owned())
            .collect()
    };
    text.lines()
        .filter(|line| line.starts_with('|'))
        .map(cells)
        .collect()
}

fn code_cell(cell: &str) -> Option<&str> {
    cell.strip_prefix('`')?.strip_suffix('`')
}

/// Codes of refusals in a source: string literals after `Refusal::new(` or `bad_request(`, and
/// those in the JSON of the refusal that the server itself sends.
fn codes_in(source: &str) -> BTreeSet<String> {
    let mut codes = BTreeSet::new();
    for start in ["Refusal::new(", "bad_request("] {
        for part in source.split(start).skip(1) {
            // Only white space, a status and commas may precede the literal.
            let before = part.split('"').next().unwrap_or_default();
            let literal = part.split('"').nth(1).unwrap_or_default();
            let near = before
                .chars()
                .all(|c| c.is_alphanumeric() || " \n,_".contains(c));
            if near && is_code(literal) {
                codes.insert(literal.to_owned());
            }
        }
    }
    for part in source.split(r#""code":""#).skip(1) {
        codes.extend(part.split('"').next().map(str::to_owned));
    }
    codes
}

fn is_code(text: &str) -> bool {
    !text.is_empty() && text.chars().all(|c| c.is_ascii_lowercase() || c == '-')
}

fn rust_files(dir: &Path, all: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(dir).expect("a directory") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            rust_files(&path, all);
        } else if path.extension().is_some_and(|e| e == "rs") {
            all.push(path);
        }
    }
}

/// Guards against refusal codes for which the page does not tell callers what to do.
#[test]
fn the_page_for_callers_lists_every_refusal_code() {
    let mut used = BTreeSet::new();
    for component in ["gateway", "net", "node", "policy"] {
        let mut all = Vec::new();
        rust_files(
            &root().join("components").join(component).join("src"),
            &mut all,
        );
        for path in all {
            used.extend(codes_in(&read(&path)));
        }
    }
    let page = read(&root().join("docs/CALLERS.md"));
    let listed: BTreeSet<String> = rows(&page)
        .iter()
        .filter(|row| row.len() == 4)
        .filter_map(|row| code_cell(&row[0]).map(str::to_owned))
        .collect();
    assert_eq!(listed, used);
}

#[test]
fn the_page_of_the_tree_lists_every_value_with_its_default() {
    let defaults = serde_json::to_value(tree::Knobs::defaults()).expect("JSON");
    let expected: BTreeSet<(String, String)> = defaults
        .as_object()
        .expect("an object")
        .iter()
        .map(|(name, value)| {
            let text = value
                .as_str()
                .map_or_else(|| value.to_string(), |t| format!("`{t}`"));
            (name.clone(), text)
        })
        .collect();
    let page = read(&root().join("docs/TREE.md"));
    let (_, values) = page
        .split_once("| Value | Default |")
        .expect("the table of values");
    let listed: BTreeSet<(String, String)> = rows(values)
        .iter()
        .filter_map(|row| Some((code_cell(&row[0])?.to_owned(), row.get(1)?.clone())))
        .collect();
    assert_eq!(listed, expected);
}

#[test]
fn the_pages_name_no_event_that_is_not_in_the_catalogue() {
    let known: BTreeSet<u16> = Event::CATALOGUE.iter().map(|entry| entry.number).collect();
    let mut count = 0;
    for name in ["OPERATORS.md", "METRICS.md"] {
        let page = read(&root().join("docs").join(name));
        for start in ["vent ", "number=\""] {
            for part in page.split(start).skip(1) {
                let digits: String = part.chars().take_while(char::is_ascii_digit).collect();
                if let Ok(number) = digits.parse() {
                    count += 1;
                    assert!(known.contains(&number), "{name}: {number}");
                }
            }
        }
    }
    assert!(count >= 4, "only {count} events were found");
}
