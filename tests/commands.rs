//! The commands as an operator types them, against an instance in a process of its own.

mod support;

use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::{Command, Output, Stdio},
    time::Duration,
};

use bench::deployment::{OPERATOR_KEY, Plan, key_of};
use serde_json::Value;

/// What a command printed and how it ended.
struct Ended {
    code: i32,
    out: String,
    err: String,
}

impl Ended {
    fn of(output: Output) -> Self {
        let text = |buf: Vec<u8>| String::from_utf8(buf).expect("text");
        Self {
            code: output.status.code().expect("it ended by itself"),
            out: text(output.stdout),
            err: text(output.stderr),
        }
    }

    fn well(self) -> String {
        assert_eq!(self.code, 0, "{}", self.err);
        self.out
    }
}

fn celerystand() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_celerystand"));
    command
        .env_remove("CELERYSTAND_KEY")
        .env_remove("CELERYSTAND_ADMIN")
        .stdin(Stdio::null());
    command
}

fn plain(args: &[&str]) -> Ended {
    Ended::of(celerystand().args(args).output().expect("it starts"))
}

fn operator(admin: SocketAddr, args: &[&str]) -> Ended {
    let output = celerystand()
        .args(args)
        .env("CELERYSTAND_ADMIN", admin.to_string())
        .env("CELERYSTAND_KEY", OPERATOR_KEY)
        .output();
    Ended::of(output.expect("it starts"))
}

fn json(text: &str) -> Value {
    serde_json::from_str(text).expect(text)
}

fn scratch(name: &str, content: &str) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = dir.join(name);
    fs::write(&path, content).expect("a file");
    path
}

fn one_instance() -> Plan {
    Plan {
        instances: 1,
        engines: 1,
        replicas: 1,
        ..support::plan()
    }
}

/// A deployment of one instance.
struct Setting {
    started: support::Setting,
    admin: SocketAddr,
}

impl Setting {
    fn start() -> Self {
        let started = support::start(&one_instance());
        Self {
            admin: started.deployment.instances[0].admin,
            started,
        }
    }

    fn run(&self, args: &[&str]) -> Ended {
        operator(self.admin, args)
    }
}

#[test]
fn a_node_is_read_written_and_deleted() {
    let setting = Setting::start();
    let run = |args: &[&str]| setting.run(args);
    let path = "/workspaces/editors/routes/catalogue/default";

    let accepted = run(&["set", path, "class=background", "in-flight=7"]).well();
    assert!(
        accepted.contains("accepted, configuration version"),
        "{accepted}"
    );
    let node = json(&run(&["get", path, "--json"]).well());
    assert_eq!(node["node"]["knobs"]["class"], "background");
    assert_eq!(node["node"]["knobs"]["in-flight"], 7);

    run(&["set", path, "in-flight="]).well();
    let node = json(&run(&["get", path, "--json"]).well());
    assert_eq!(node["node"]["knobs"].get("in-flight"), None);

    let in_force = run(&["get", path, "--in-force"]).well();
    let row = in_force.lines().find(|line| line.starts_with("class"));
    assert!(row.is_some_and(|row| row.ends_with(path)), "{in_force}");

    run(&["delete", path]).well();
    let gone = run(&["get", path]);
    assert_eq!(gone.code, 1);
    assert!(gone.err.contains("nobody has written"), "{}", gone.err);

    let history = json(&run(&["history", "--limit", "2", "--json"]).well());
    assert_eq!(history[0]["change"]["node"], Value::Null);
    assert_eq!(history[1]["change"]["path"], path);
}

// Two operators edit a file that both have read before. The second must learn of the first one's
// change and what the node is now, and a script must be able to tell that by the exit code.
#[test]
fn a_file_that_is_behind_ends_in_a_conflict() {
    let setting = Setting::start();
    let read = setting.run(&["get", "/services/catalogue"]).well();
    let file = scratch("behind.yml", &read);
    let file = file.to_str().expect("a path");
    let set = ["set", "/services/catalogue", "--file", file];
    setting.run(&set).well();
    let behind = setting.run(&set);
    assert_eq!(behind.code, 3, "{}", behind.err);
    assert!(behind.err.contains("now: version"), "{}", behind.err);
}

#[test]
fn a_document_goes_out_and_in_again() {
    let setting = Setting::start();
    let run = |args: &[&str]| setting.run(args);
    let exported = run(&["export"]).well();
    let file = scratch("tree.yml", &exported);
    let file = file.to_str().expect("a path");
    assert!(run(&["validate", file]).well().contains("no faults"));
    assert!(run(&["import", file]).well().starts_with("0 nodes written"));

    let wrong = "nodes:\n  /services/none/routes/x: {}\n  /oops: {}\n";
    let wrong = scratch("wrong.yml", wrong);
    let wrong = wrong.to_str().expect("a path");
    for command in ["validate", "import"] {
        let refused = run(&[command, wrong]);
        assert_eq!(refused.code, 1);
        assert!(refused.err.contains("/oops: no node"), "{}", refused.err);
        assert!(refused.err.contains("/services/none"), "{}", refused.err);
    }
    assert_eq!(run(&["export"]).well(), exported);
}

#[test]
fn a_data_centre_goes_out_and_in_and_status_shows_it() {
    let setting = Setting::start();
    let run = |args: &[&str]| setting.run(args);
    run(&["data-centre", "out", "dc-2"]).well();
    let status = json(&run(&["status", "--json"]).well());
    assert_eq!(status["out"], serde_json::json!(["dc-2"]));
    assert!(run(&["status"]).well().contains("taken out      dc-2"));
    run(&["data-centre", "in", "dc-2"]).well();
    assert!(run(&["status"]).well().contains("taken out      none"));
    let unknown = run(&["data-centre", "out", "dc-9"]);
    assert_eq!(unknown.code, 1);
    assert!(
        unknown.err.contains("it has dc-1, dc-2, dc-3"),
        "{}",
        unknown.err
    );
}

#[test]
fn a_dump_is_json_without_the_keys_of_the_deployment() {
    let setting = Setting::start();
    let dump = setting.run(&["dump"]).well();
    assert_eq!(json(&dump)["instance"], "i0");
    let tree = setting
        .run(&["get", "/workspaces/editors", "--json"])
        .well();
    let hash = json(&tree)["node"]["key-hashes"][0].clone();
    let secrets = ["peer-key-of-the-bench", OPERATOR_KEY, "key-editors"];
    let hash = hash.as_str().expect("a hash");
    for secret in secrets.into_iter().chain([hash]) {
        assert!(!dump.contains(secret), "{secret}");
    }
}

#[test]
fn a_wrong_key_and_an_instance_that_is_not_there_are_told() {
    let setting = Setting::start();
    let admin = setting.admin.to_string();
    let file = scratch("wrong.key", "wrong\n");
    let file = file.to_str().expect("a path");
    let refused = plain(&["status", "--admin", &admin, "--key-file", file]);
    assert_eq!(refused.code, 1);
    assert!(refused.err.contains("operator's key"), "{}", refused.err);
    let keyless = plain(&["status", "--admin", &admin]);
    assert_eq!(keyless.code, 1);
    assert!(keyless.err.contains("CELERYSTAND_KEY"), "{}", keyless.err);
    let nobody = plain(&["status", "--admin", "127.0.0.1:1", "--key-file", file]);
    assert_eq!(nobody.code, 4, "{}", nobody.err);
}

// The table service is down when an operator changes something. The exit code says that nothing
// was changed and that it is worth trying again. A data centre can still be kept out for a time.
#[test]
fn a_change_during_an_outage_of_the_table_service_is_unavailable() {
    let setting = Setting::start();
    let down = |down| standins::platform::Faults {
        table_down: Some(down),
        ..standins::platform::Faults::default()
    };
    smol::block_on(setting.started.deployment.platform_fault(&down(true)));
    let refused = setting.run(&["set", "/", "in-flight=9"]);
    assert_eq!(refused.code, 4, "{}", refused.err);

    let refused = setting.run(&["data-centre", "out", "dc-1"]);
    assert_eq!(refused.code, 4, "{}", refused.err);
    assert!(
        refused.err.contains("data-centre override dc-1"),
        "{}",
        refused.err
    );
    let keep = ["data-centre", "override", "dc-1", "--minutes", "5"];
    assert!(setting.run(&keep).well().contains("not accepted"));
    let status = setting.run(&["status"]).well();
    assert!(status.contains("taken out      dc-1\n"), "{status}");
    assert!(
        status.contains("not accepted   dc-1, kept out by"),
        "{status}"
    );
    setting.run(&["data-centre", "withdraw", "dc-1"]).well();
    assert!(
        setting
            .run(&["status"])
            .well()
            .ends_with("taken out      none\n")
    );
    smol::block_on(setting.started.deployment.platform_fault(&down(false)));
    setting.run(&["set", "/", "in-flight=9"]).well();
}

#[test]
fn settings_are_checked_with_all_their_faults() {
    let wrong = scratch("settings.yml", "instance: {id: 7}\nplatform: 3\n");
    let ended = plain(&["check", wrong.to_str().expect("a path")]);
    assert_eq!(ended.code, 1);
    for told in ["instance.id", "instance.listen", "line 2", "peers", "admin"] {
        assert!(ended.err.contains(told), "{told} in {}", ended.err);
    }
    let serve = plain(&["serve", "--settings", "/nowhere.yml"]);
    assert_eq!(serve.code, 1);
    assert!(serve.err.contains("can't be read"), "{}", serve.err);
}

#[test]
fn a_key_is_hashed_and_completions_are_printed() {
    let key = scratch("hello.key", "hello\n");
    let output = celerystand()
        .args(["key", "hash"])
        .stdin(fs::File::open(key).expect("the key"))
        .output();
    let hash = Ended::of(output.expect("it starts")).well();
    let known = "2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824";
    assert_eq!(hash.trim(), known);
    assert_eq!(plain(&["key", "hash"]).code, 1);
    for shell in ["bash", "fish", "zsh"] {
        assert!(
            plain(&["completions", shell])
                .well()
                .contains("data-centre")
        );
    }
    assert_eq!(plain(&["nonsense"]).code, 2);
}

// An operator looks at the first lines only, or the disk is full. The first is no failure, the
// second must not pass for a written file.
#[test]
fn a_reader_that_leaves_is_no_failure_and_a_full_disk_is_one() {
    let mut child = celerystand()
        .args(["docs", "settings"])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("it starts");
    drop(child.stdout.take());
    let left = Ended::of(child.wait_with_output().expect("it ends"));
    assert_eq!((left.code, left.err.as_str()), (0, ""));

    let full = fs::File::options().write(true).open("/dev/full");
    let output = celerystand()
        .args(["docs", "settings"])
        .stdout(full.expect("the device"))
        .output();
    let full = Ended::of(output.expect("it starts"));
    assert_eq!(full.code, 1);
    assert!(full.err.contains("standard output"), "{}", full.err);
}

#[test]
fn the_demonstration_ends_well() {
    let shown = plain(&["try", "--once"]).well();
    for part in [
        "(24 tokens)",
        "effects at the service: 1",
        "\"run\":\"not-run\"",
        "gateway_tokens_total",
    ] {
        assert!(shown.contains(part), "{part} in {shown}");
    }
}

#[test]
fn the_demonstration_on_the_users_platform_ends_well() {
    let shown = plain(&["try", "--platform", "--once"]).well();
    for part in [
        "A plain call: 200 GET /titles/1",
        "With a wrong key: 401",
        "all of them once and in order: true; begun anew elsewhere: 0",
    ] {
        assert!(shown.contains(part), "{part} in {shown}");
    }
}

/// What a row of the page of metrics, or a line of the metrics' own help, says.
type Described = BTreeMap<String, String>;

fn described(text: &str) -> Described {
    let help = |line: &str| {
        let (name, help) = line.strip_prefix("# HELP ")?.split_once(' ')?;
        Some((name.to_owned(), help.trim_end_matches('.').to_owned()))
    };
    text.lines().filter_map(help).collect()
}

fn listed(page: &str) -> Described {
    let row = |line: &str| {
        let mut cells = line.strip_prefix("| `")?.split('|');
        let name = cells.next()?.trim().trim_end_matches('`');
        let about = cells.nth(1)?;
        Some((name.to_owned(), about.trim().to_owned()))
    };
    page.lines().filter_map(row).collect()
}

fn fetch(addr: SocketAddr, path: &str, key: &str) -> String {
    let req = hyper::Request::get(path)
        .header("authorization", format!("Bearer {key}"))
        .body(http_body_util::Full::default());
    smol::block_on(async {
        let client = net::Client::new();
        let sent = client.send(addr, req.expect("a request"));
        let body = sent.await.expect("an answer").into_body();
        let buf = net::read_all(body, 1 << 20, Duration::from_secs(20)).await;
        String::from_utf8(buf.expect("a body").to_vec()).expect("text")
    })
}

#[test]
fn the_page_of_metrics_lists_what_an_instance_serves() {
    let setting = Setting::start();
    // Metrics with labels show only after the first request that they count.
    let callers = setting.started.deployment.entries()[0];
    fetch(callers, "/titles/1", &key_of("viewers"));
    fetch(callers, "/titles/1", "wrong");
    let served = described(&fetch(setting.admin, "/metrics", ""));
    let page = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("docs/METRICS.md");
    let page = fs::read_to_string(page).expect("the page");
    assert_eq!(listed(&page), served);
}

/// An operator mistypes a name, or sets figures that make no sense. Started with half of them, an
/// instance would decide otherwise than its file says; so it tells what is wrong and does not start.
#[test]
fn a_decisions_file_with_faults_is_refused_with_all_of_them() {
    let file = std::env::temp_dir().join(format!("decisions-{}.yml", std::process::id()));
    let refusal = |text: &str| {
        fs::write(&file, text).expect("a file");
        let read = celerystand::cmd::platform::decisions(&file);
        read.expect_err("a refusal").to_string()
    };
    let unknown = refusal("parts: {movess: false}\n");
    assert!(unknown.contains("movess"), "{unknown}");
    let senseless = refusal("placing: {memory_share: 2.0, wait_ms: 0}\n");
    for name in ["memory_share", "wait_ms"] {
        assert!(senseless.contains(name), "{senseless}");
    }
    fs::remove_file(&file).expect("the file is there");
}
