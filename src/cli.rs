//! Definition of the command line: commands, options and their help texts.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Arg, ArgAction, Command, value_parser};
use clap_complete::Shell;

/// Address of an instance's administration API if none is given.
pub const DEFAULT_ADMIN_ADDR: &str = "127.0.0.1:9090";

/// Help text below the list of commands.
const AFTER_HELP: &str =
    "Commands that talk to an instance read the operator's key from --key-file or from the
environment variable CELERYSTAND_KEY, and the address from --admin or CELERYSTAND_ADMIN.

Exit codes:
  0  done
  1  refused or failed; standard error says why
  2  the command line is wrong
  3  conflict: somebody else changed the node meanwhile; nothing was changed
  4  the instance or the table service can't be reached; nothing was changed
  5  unknown: the change may have been accepted; read before you try again";

/// Returns the definition of the whole command line.
#[must_use]
pub fn command() -> Command {
    Command::new("celerystand")
        .version(clap::crate_version!())
        .about("A serving system for generations of unknown length on crowded engines")
        .after_help(AFTER_HELP)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(serve())
        .subcommand(platform())
        .subcommand(try_out())
        .subcommand(check())
        .subcommand(get())
        .subcommand(set())
        .subcommand(delete())
        .subcommand(export())
        .subcommand(import())
        .subcommand(validate())
        .subcommand(history())
        .subcommand(data_centre())
        .subcommand(status())
        .subcommand(dump())
        .subcommand(key())
        .subcommand(completions())
        .subcommand(docs())
        .subcommand(explain())
        .subcommand(losses())
}

fn serve() -> Command {
    Command::new("serve")
        .about("Runs one instance until it is told to stop")
        .after_help(
            "SIGTERM and SIGINT begin a shutdown that finishes all running requests.\n\n\
             Example:\n  celerystand serve --settings /etc/celerystand.yml",
        )
        .arg(file_arg("settings", "The settings of this instance").long("settings"))
}

fn platform() -> Command {
    Command::new("platform")
        .about("Runs one instance on the users' platform until it is told to stop")
        .after_help(
            "The settings are read from the file that the platform wrote for this instance.\n\n\
             Example:\n  celerystand platform --decisions examples/jordan-decisions.yml",
        )
        .arg(
            Arg::new("decisions")
                .long("decisions")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Figures and parts of the decisions that differ from their defaults"),
        )
        .arg(
            Arg::new("quiet")
                .long("quiet")
                .action(ArgAction::SetTrue)
                .help("Log warnings and errors only"),
        )
}

fn explain() -> Command {
    Command::new("explain")
        .about("Tells from logs what happened to one request, and what went on around it")
        .after_help(
            "Reads logs in JSON, of all instances that may have touched the request.\n\n\
             Example:\n  celerystand explain 8a3c555e8d39c018 instance-1.log instance-2.log",
        )
        .arg(
            Arg::new("id")
                .value_name("ID")
                .required(true)
                .help("The request's id"),
        )
        .arg(log_files_arg())
}

fn losses() -> Command {
    Command::new("losses")
        .about("Sums up from logs why requests were not served")
        .after_help(
            "Reads logs in JSON, of all instances. A request that failed at one instance and was\n\
             served to its caller's next try counts as both.\n\n\
             Example:\n  celerystand losses instance-1.log instance-2.log",
        )
        .arg(log_files_arg())
}

fn log_files_arg() -> Arg {
    Arg::new("logs")
        .value_name("LOG")
        .num_args(0..)
        .value_parser(value_parser!(PathBuf))
        .help("Logs to read; standard input if none is named")
}

fn try_out() -> Command {
    Command::new("try")
        .about("Runs an instance with built-in stand-ins for platform, engines and a service")
        .after_help(
            "Examples:\n  celerystand try\n  celerystand try --once\n  celerystand try --platform",
        )
        .arg(
            Arg::new("once")
                .long("once")
                .action(ArgAction::SetTrue)
                .help("End after the demonstration in place of staying up"),
        )
        .arg(
            Arg::new("platform")
                .long("platform")
                .action(ArgAction::SetTrue)
                .help("Run on stand-ins of the users' platform"),
        )
}

fn check() -> Command {
    Command::new("check")
        .about("Checks a settings file and lists every fault in it")
        .after_help("Example:\n  celerystand check /etc/celerystand.yml")
        .arg(file_arg("file", "The settings file"))
}

fn get() -> Command {
    admin_command("get")
        .about("Reads a node of the configuration tree")
        .after_help(
            "What it prints can be edited and given to `set --file`.\n\n\
             Examples:\n  celerystand get /services/catalogue\n  \
             celerystand get /workspaces/editors/routes/catalogue/drafts --in-force",
        )
        .arg(path_arg())
        .arg(
            Arg::new("in-force")
                .long("in-force")
                .action(ArgAction::SetTrue)
                .help("Show each value in force there and which node it comes from"),
        )
}

fn set() -> Command {
    admin_command("set")
        .about("Writes a node of the configuration tree")
        .after_help(
            "With key=value the other values of the node stay; `key=` takes a value back, so that\n\
             it is inherited. With --file the node becomes what the file says, provided that the\n\
             version in the file is still the one that last wrote it.\n\n\
             Examples:\n  celerystand set /workspaces/editors class=background in-flight=40\n  \
             celerystand set /workspaces/editors in-flight=\n  \
             celerystand set /services/catalogue --file catalogue.yml",
        )
        .arg(path_arg())
        .arg(
            Arg::new("values")
                .value_name("KEY=VALUE")
                .num_args(1..)
                .conflicts_with("file")
                .required_unless_present("file")
                .help("Values to write"),
        )
        .arg(
            file_arg("file", "A node as `get` prints it")
                .long("file")
                .required(false),
        )
}

fn delete() -> Command {
    admin_command("delete")
        .about("Deletes a node of the configuration tree")
        .after_help("Example:\n  celerystand delete /workspaces/editors/routes/catalogue/tags")
        .arg(path_arg())
        .arg(
            Arg::new("if-version")
                .long("if-version")
                .value_name("VERSION")
                .value_parser(value_parser!(u64))
                .help("Only if this version last wrote it; by default the one it has now"),
        )
}

fn export() -> Command {
    admin_command("export")
        .about("Prints the whole configuration tree as one document")
        .after_help("Example:\n  celerystand export > tree.yml")
}

fn import() -> Command {
    admin_command("import")
        .about("Writes the nodes of a document that differ from the tree; others stay")
        .after_help("Example:\n  celerystand import tree.yml")
        .arg(file_arg("file", "The document, as `export` prints it"))
}

fn validate() -> Command {
    admin_command("validate")
        .about("Tells whether a document would be accepted, without applying it")
        .after_help("Example:\n  celerystand validate tree.yml")
        .arg(file_arg("file", "The document, as `export` prints it"))
}

fn history() -> Command {
    admin_command("history")
        .about("Lists accepted changes, newest first")
        .after_help("Example:\n  celerystand history --limit 5")
        .arg(
            Arg::new("limit")
                .long("limit")
                .value_name("NUMBER")
                .value_parser(value_parser!(u32))
                .default_value("20")
                .help("How many"),
        )
}

fn data_centre() -> Command {
    let subcommand = |name: &'static str, about: &'static str| {
        admin_command(name).about(about).arg(
            Arg::new("name")
                .value_name("NAME")
                .required(true)
                .help("The data centre"),
        )
    };
    let minutes = Arg::new("minutes")
        .long("minutes")
        .value_name("NUMBER")
        .value_parser(value_parser!(u32).range(1..=60))
        .required(true)
        .help("For how long, 60 at most; repeat the order if it must hold longer");
    Command::new("data-centre")
        .about("Takes a data centre out of service or back in")
        .after_help(
            "Examples:\n  celerystand data-centre out amman-2\n  \
             celerystand data-centre in amman-2\n  \
             celerystand data-centre override amman-2 --minutes 30",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(subcommand(
            "out",
            "No new work goes there; what runs is finished",
        ))
        .subcommand(subcommand(
            "in",
            "New work goes there again, slowly at first",
        ))
        .subcommand(
            subcommand(
                "override",
                "Keeps it out for a limited time while the table service is down",
            )
            .arg(minutes),
        )
        .subcommand(subcommand("withdraw", "Takes such an order back"))
}

fn status() -> Command {
    admin_command("status")
        .about("Shows whether an instance is ready and which configuration it has")
        .after_help("Example:\n  celerystand status --admin 10.4.1.11:9090")
}

fn dump() -> Command {
    admin_command("dump")
        .about("Prints the state of an instance as JSON, without secrets")
        .after_help("Example:\n  celerystand dump > state.json")
}

fn key() -> Command {
    let hash = Command::new("hash")
        .about("Prints the SHA-256 of a key read from standard input, for settings and workspaces")
        .after_help("Example:\n  celerystand key hash < operator.key");
    Command::new("key")
        .about("Works with keys")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(hash)
}

fn completions() -> Command {
    Command::new("completions")
        .about("Prints completions for a shell")
        .after_help("Example:\n  celerystand completions bash > /etc/bash_completion.d/celerystand")
        .arg(
            Arg::new("shell")
                .value_name("SHELL")
                .value_parser(value_parser!(Shell))
                .required(true)
                .help("The shell"),
        )
}

fn docs() -> Command {
    Command::new("docs")
        .about("Prints a reference page that is made from the code")
        .after_help("Example:\n  celerystand docs events > docs/EVENTS.md")
        .arg(
            Arg::new("page")
                .value_name("PAGE")
                .value_parser(["events", "settings"])
                .required(true)
                .help("Which page"),
        )
}

/// A command that calls an instance's administration API, with the options common to all of these.
fn admin_command(name: &'static str) -> Command {
    Command::new(name)
        .arg(
            Arg::new("admin")
                .long("admin")
                .value_name("ADDR")
                .value_parser(value_parser!(SocketAddr))
                .help("Admin address of any instance, IP:PORT [default: CELERYSTAND_ADMIN or 127.0.0.1:9090]"),
        )
        .arg(
            file_arg("key-file", "File with the operator's key [default: CELERYSTAND_KEY]")
                .long("key-file")
                .required(false),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print JSON"),
        )
}

fn file_arg(id: &'static str, help: &'static str) -> Arg {
    Arg::new(id)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .required(true)
        .help(help)
}

fn path_arg() -> Arg {
    Arg::new("path")
        .value_name("PATH")
        .required(true)
        .help("Path of the node, for instance /services/catalogue")
}
