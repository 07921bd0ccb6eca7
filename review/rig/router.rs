//! A router: the project's own program, as a process of its own, by the command of the deploy file.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Answer, Client};

static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn end_all() {
    for mut child in CHILDREN.lock().unwrap().drain(..) {
        let _ = child.kill();
        let _ = child.wait();
    }
    // The process is gone: run.sh must not signal a number that may be another's by now.
    if let Ok(folder) = std::env::var("REVIEW_TMP") {
        let _ = fs::remove_file(PathBuf::from(folder).join("router.pid"));
    }
}

pub struct Router {
    pub address: SocketAddr,
    pub pid: u32,
}

/// An address on which nothing listens at present.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| crate::cannot_run(&e.to_string()));
    listener.local_addr().unwrap()
}

impl Router {
    /// Starts a router, and waits until it answers an empty query. `known` is the list in discovery's form.
    pub fn start(discovery: SocketAddr, settings: &str, known: &str, limits: &str) -> Router {
        let folder = std::env::var("REVIEW_TMP").unwrap_or_else(|_| crate::cannot_run("REVIEW_TMP is not set"));
        let run = std::env::var("REVIEW_RUN").unwrap_or_else(|_| crate::cannot_run("REVIEW_RUN is not set"));
        let config = PathBuf::from(&folder).join("config.json");
        let address = free_address();
        let text = format!(
            r#"{{"name":"n1","listen":"{address}","discovery":"{discovery}","seed":"8c1f30d27a5be964","limits":{limits},"known":{known},"settings":{settings}}}"#
        );
        fs::write(&config, text).unwrap_or_else(|e| crate::cannot_run(&e.to_string()));
        let log = File::create(PathBuf::from(&folder).join("router.log")).unwrap_or_else(|e| crate::cannot_run(&e.to_string()));
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .env("NODE_NAME", "n1")
            .env("NODE_LISTEN", address.to_string())
            .env("NODE_DISCOVERY", discovery.to_string())
            .env("NODE_CONFIG", &config)
            .stderr(log.try_clone().unwrap())
            .stdout(log)
            .spawn()
            .unwrap_or_else(|e| crate::cannot_run(&e.to_string()));
        let pid = child.id();
        CHILDREN.lock().unwrap().push(child);
        let _ = fs::write(PathBuf::from(&folder).join("router.pid"), pid.to_string());
        let router = Router { address, pid };
        router.wait_until_ready();
        router
    }

    fn wait_until_ready(&self) {
        let until = Instant::now() + Duration::from_secs(30);
        while Instant::now() < until {
            if let Ok(mut client) = Client::connect(self.address) {
                if client.ask("", Duration::from_secs(1)) != Answer::Nothing {
                    return;
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
        crate::cannot_run("the router did not get ready within 30 s");
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {}", self.pid)]).status();
    }

    /// Whether the process still runs.
    pub fn runs(&self) -> bool {
        CHILDREN.lock().unwrap().iter_mut().all(|child| matches!(child.try_wait(), Ok(None)))
    }
}
