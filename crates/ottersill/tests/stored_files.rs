//! Files of an earlier version are accepted by this one: a fleet file, and an audit file to which the router appends.

mod support;

use std::fs;
use std::io::BufReader;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use ottersill_testkit::audit;
use ottersill_testkit::cluster::query;
use ottersill_testkit::stand_in::StandInStore;
use support::{Router, config_text, read, wait_until};

/// `deploy/fleet.textproto` at commit 5872259.
const STORED_FLEET: &str = include_str!("data/fleet-0.1.0.textproto");
/// An audit file written by a router of that commit.
const STORED_AUDIT: &str = include_str!("../../testkit/tests/data/audit-0.1.0.jsonl");
const MEMBERS: [&str; 3] = ["a", "b", "c"];

/// The three members of the stored fleet file, on an IP address of their own.
struct Members {
    folder: PathBuf,
    routers: Vec<Router>,
}

impl Drop for Members {
    fn drop(&mut self) {
        // The routers have to exit before their files are removed.
        self.routers.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Members {
    fn start() -> Members {
        let folder = std::env::temp_dir().join(format!("ottersill-stored-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("creating the folder failed");
        let key = folder.join("fleet.key");
        fs::write(&key, "known to the members of this test only").expect("writing the key failed");
        fs::set_permissions(&key, fs::Permissions::from_mode(0o600)).expect("setting the file mode failed");
        let store = StandInStore::default();
        store.add_endpoint("127.0.0.1:0").expect("endpoint did not start");
        let discovery = store.add_discovery("127.0.0.1:0").expect("discovery did not start");
        let mut members = Members { folder, routers: Vec::new() };
        for name in MEMBERS {
            let router = members.start_member(name, discovery);
            members.routers.push(router);
        }
        members
    }

    /// Starts a member with a stored audit file, to which it appends.
    fn start_member(&self, name: &str, discovery: SocketAddr) -> Router {
        let (config, fleet) = (self.path(name, "json"), self.path(name, "textproto"));
        let text = config_text(discovery, &[("\"toy-router\"", &format!("\"{name}\""))]);
        fs::write(&config, text).expect("reading or writing the configuration failed");
        fs::write(self.audit_file(name), STORED_AUDIT).expect("writing the audit file failed");
        let text = STORED_FLEET
            .replace("127.0.0.1:", &format!("{}:", own_ip()))
            .replace("target/fleet.key", &self.folder.join("fleet.key").display().to_string());
        let audit = format!("audit_file: \"{}\"\n", self.audit_file(name).display());
        fs::write(&fleet, text + &audit).expect("writing the fleet file failed");
        let mut command = Command::new(env!("CARGO_BIN_EXE_ottersill"));
        command.arg("--fleet").arg(&fleet).env("NODE_CONFIG", &config);
        let mut process = command.stdout(Stdio::piped()).spawn().expect("router did not start");
        let log = BufReader::new(process.stdout.take().expect("standard output is not captured"));
        Router { process, address: control(0), log, config }.wait_until_ready()
    }

    fn path(&self, name: &str, kind: &str) -> PathBuf {
        self.folder.join(name).with_extension(kind)
    }

    fn audit_file(&self, name: &str) -> PathBuf {
        self.path(name, "audit")
    }
}

/// An IP address that no other process's test uses; the stored file names its ports.
fn own_ip() -> String {
    let process = std::process::id();
    format!("127.{}.{}.1", 192 + (process >> 8) as u8 % 32, process as u8)
}

fn control(member: usize) -> SocketAddr {
    format!("{}:{}", own_ip(), 7421 + member).parse().expect("control address does not parse")
}

/// Whether the member has each budget of the stored fleet file with its total.
fn has_stored_budgets(member: usize) -> bool {
    let lines = query(control(member), "budgets");
    let has = |budget: &str, units: u64| {
        lines.iter().any(|line| line["budget"] == budget && line["total"].as_u64() == Some(units))
    };
    has("executions at each host", 48)
        && has("second tries", 20)
        && has("probes", 60)
        && has("new connections", 100)
        && has("executions at each cold host", 30)
}

fn sees_all_members(member: usize) -> bool {
    let lines = query(control(member), "members");
    lines.iter().filter(|line| line["presence"] == "Here").count() == MEMBERS.len()
}

/// Sends a statement, without which no member requests units, and returns whether this member has leased units.
fn has_leased_units(member: usize, router: &Router) -> bool {
    // The statement is rejected while the member has no units.
    router.client().query(&read(1, 500)).expect("no answer from the router");
    query(control(member), "budgets").iter().any(|line| line["leased"].as_u64() > Some(0))
}

fn read_text(path: &Path) -> String {
    fs::read_to_string(path).expect("file cannot be read or written")
}

#[test]
fn fleet_and_audit_files_of_an_earlier_version_are_accepted() {
    let members = Members::start();
    for (index, name) in MEMBERS.into_iter().enumerate() {
        wait_until("the member has the stored budgets", || has_stored_budgets(index));
        wait_until("the member sees all members", || sees_all_members(index));
        let appended = || read_text(&members.audit_file(name)).len() > STORED_AUDIT.len();
        wait_until("lines are appended", appended);
    }
    wait_until("the first member has leased units", || has_leased_units(0, &members.routers[0]));
    for name in MEMBERS {
        let text = read_text(&members.audit_file(name));
        assert!(text.starts_with(STORED_AUDIT), "the stored lines were changed\n{text}");
        let complete_lines = &text[..=text.rfind('\n').expect("no complete line")];
        assert!(
            audit::parse_audit_file(complete_lines).is_ok(),
            "old and new lines cannot be read together\n{text}"
        );
    }
}
