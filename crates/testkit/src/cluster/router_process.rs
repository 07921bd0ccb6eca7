//! One router: its files, its addresses and its process.

use std::fs::{self, OpenOptions};
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use super::{ClusterError, PATIENCE};

/// The first port of a cluster. Below the ports that connections are opened from: one of these might take a router's port
/// just before the router does.
const FIRST_PORT: u16 = 10_000;
/// Ports of each router.
const PORTS_EACH: u16 = 3;
/// Between two checks of whether a process has ended.
const EXIT_INTERVAL: Duration = Duration::from_millis(10);
const NANOSECONDS_PER_SECOND: f64 = 1e9;

/// Where a router listens.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RouterAddresses {
    /// To clients.
    pub(super) listen: SocketAddr,
    /// To operators.
    pub(super) control: SocketAddr,
    /// To datagrams of other routers.
    pub(super) datagrams: SocketAddr,
}

impl RouterAddresses {
    /// Those of the router of that number in the cluster at that IP address.
    ///
    /// # Panics
    ///
    /// If there are more routers than ports.
    pub(crate) fn new(ip: IpAddr, number: usize) -> RouterAddresses {
        let first = FIRST_PORT + PORTS_EACH * u16::try_from(number).expect("a port for each router");
        let address = |offset| SocketAddr::from((ip, first + offset));
        RouterAddresses { listen: address(0), control: address(1), datagrams: address(2) }
    }
}

/// How routers of a cluster are started.
pub(crate) struct Launcher {
    pub(crate) program: PathBuf,
    /// Where logs are written.
    pub(crate) folder: PathBuf,
    pub(crate) arguments: Vec<String>,
    pub(crate) fleet_enabled: bool,
}

impl Launcher {
    /// Starts a router with these files; its log is appended to the one of that name.
    fn launch(&self, config: &Path, fleet: &Path, name: &str) -> Result<Child, ClusterError> {
        let start_error = |source| ClusterError::Start { program: self.program.clone(), source };
        let path = self.folder.join(format!("{name}.log"));
        let log = OpenOptions::new().create(true).append(true).open(&path);
        let log = log.map_err(ClusterError::file(path))?;
        let mut command = Command::new(&self.program);
        command.args(&self.arguments).env("NODE_CONFIG", config);
        if self.fleet_enabled {
            command.arg("--fleet").arg(fleet);
        }
        let errors = log.try_clone().map_err(start_error)?;
        command.stdin(Stdio::null()).stdout(log).stderr(errors).spawn().map_err(start_error)
    }
}

/// One router of a cluster. Its process, if it has one, is killed when this is dropped.
pub struct RouterProcess {
    /// The name in its settings.
    pub name: String,
    /// Its settings, as `NODE_CONFIG` names them.
    pub config: PathBuf,
    /// Its file of the fleet.
    pub fleet: PathBuf,
    /// Where it listens to clients.
    pub listen: SocketAddr,
    /// Where it listens to operators.
    pub control: SocketAddr,
    /// Where it listens to datagrams of other routers.
    pub datagrams: SocketAddr,
    process: Option<Child>,
    is_paused: bool,
}

impl RouterProcess {
    /// One that does not run yet.
    pub(crate) fn new(name: String, folder: &Path, addresses: RouterAddresses) -> RouterProcess {
        RouterProcess {
            config: folder.join(format!("{name}.json")),
            fleet: folder.join(format!("{name}.textproto")),
            name,
            listen: addresses.listen,
            control: addresses.control,
            datagrams: addresses.datagrams,
            process: None,
            is_paused: false,
        }
    }

    /// Whether it was started, and not killed or terminated since; it may have ended by itself.
    pub fn is_running(&self) -> bool {
        self.process.is_some()
    }

    /// Whether it was paused, and not resumed since.
    pub fn is_paused(&self) -> bool {
        self.is_paused
    }

    /// Writes its settings: `example`, the text of `example/router.json`, with its own name, addresses and seed.
    pub(crate) fn write_config(
        &self,
        example: &str,
        discovery: SocketAddr,
        seed: u64,
    ) -> Result<(), ClusterError> {
        let text = example
            .replace("\"toy-router\"", &format!("\"{}\"", self.name))
            .replace("127.0.0.1:7400", &self.listen.to_string())
            .replace("127.0.0.1:7500", &discovery.to_string())
            .replace("8c1f30d27a5be964", &format!("{seed:x}"));
        fs::write(&self.config, text).map_err(ClusterError::file(&self.config))
    }

    /// Starts it with nothing in memory, unless it runs.
    pub(crate) fn start(&mut self, launcher: &Launcher) -> Result<(), ClusterError> {
        if self.process.is_none() {
            self.process = Some(launcher.launch(&self.config, &self.fleet, &self.name)?);
            self.is_paused = false;
        }
        Ok(())
    }

    /// SIGKILL.
    pub(crate) fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            kill_and_wait(&mut process);
        }
    }

    /// SIGSTOP.
    pub(super) fn pause(&mut self) {
        self.signal(Signal::STOP);
        self.is_paused = true;
    }

    /// SIGCONT.
    pub(super) fn resume(&mut self) {
        self.signal(Signal::CONT);
        self.is_paused = false;
    }

    /// SIGHUP.
    pub(super) fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// SIGUSR1: it writes its counters to its log.
    pub(crate) fn print_counters(&self) {
        self.signal(Signal::USR1);
    }

    /// Its process, if it runs.
    pub(crate) fn process_id(&self) -> Option<u32> {
        self.process.as_ref().map(Child::id)
    }

    /// SIGTERM, until it has ended; its exit status, or none if it had to be killed.
    pub(super) fn terminate(&mut self) -> Option<i32> {
        self.resume();
        self.signal(Signal::TERM);
        self.wait()
    }

    /// Waits until it has ended by itself; its exit status, or none if it had to be killed.
    pub(super) fn wait(&mut self) -> Option<i32> {
        let mut process = self.process.take()?;
        let since = Instant::now();
        while since.elapsed() < PATIENCE {
            if let Ok(Some(status)) = process.try_wait() {
                return status.code();
            }
            thread::sleep(EXIT_INTERVAL);
        }
        kill_and_wait(&mut process);
        None
    }

    /// Seconds of processor time that it has used, as the kernel counts them for it; zero if it does not run.
    pub(crate) fn cpu_seconds(&self) -> f64 {
        let Some(process) = &self.process else { return 0.0 };
        let text = fs::read_to_string(format!("/proc/{}/schedstat", process.id())).unwrap_or_default();
        let nanoseconds = text.split(' ').next().and_then(|field| field.parse::<f64>().ok());
        nanoseconds.unwrap_or(0.0) / NANOSECONDS_PER_SECOND
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = self.process.as_ref().and_then(|process| Pid::from_raw(process.id() as i32)) {
            // One that has ended by itself shows when it is waited for.
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        self.resume();
        self.kill();
    }
}

/// A second process under a router's name and files, but for where it listens to clients and operators; killed when this is
/// dropped.
pub struct DuplicateRouter {
    process: Child,
    /// Where it listens to clients.
    pub listen: SocketAddr,
    /// Where it listens to operators.
    pub control: SocketAddr,
}

impl DuplicateRouter {
    pub(super) fn start(
        launcher: &Launcher,
        original: &RouterProcess,
        addresses: RouterAddresses,
    ) -> Result<DuplicateRouter, ClusterError> {
        let RouterAddresses { listen, control, .. } = addresses;
        let config = launcher.folder.join("duplicate.json");
        let fleet = launcher.folder.join("duplicate.textproto");
        copy_replacing(&original.config, &config, original.listen, listen)?;
        copy_replacing(&original.fleet, &fleet, original.control, control)?;
        let process = launcher.launch(&config, &fleet, "duplicate")?;
        Ok(DuplicateRouter { process, listen, control })
    }
}

impl Drop for DuplicateRouter {
    fn drop(&mut self) {
        kill_and_wait(&mut self.process);
    }
}

/// Copies a file with another address in place of one.
fn copy_replacing(from: &Path, to: &Path, old: SocketAddr, new: SocketAddr) -> Result<(), ClusterError> {
    let text = fs::read_to_string(from).map_err(ClusterError::file(from))?;
    fs::write(to, text.replace(&old.to_string(), &new.to_string())).map_err(ClusterError::file(to))
}

fn kill_and_wait(process: &mut Child) {
    // Both fail where it has ended already.
    let _ = process.kill();
    let _ = process.wait();
}
