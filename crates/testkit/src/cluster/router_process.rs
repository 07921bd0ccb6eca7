//! One router of a cluster: its files, its addresses and its process.

use std::fs::{self, OpenOptions};
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use super::{ClusterError, WAIT_TIMEOUT};

/// First port of a cluster. It is below the range of ephemeral ports: an outgoing connection could otherwise take the port
/// of a router just before the router binds it.
const FIRST_PORT: u16 = 10_000;
/// Number of ports that each router uses.
const PORTS_PER_ROUTER: u16 = 3;
/// Interval between two checks of whether a process has exited.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(10);
const NANOSECONDS_PER_SECOND: f64 = 1e9;

/// Listen addresses of a router.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RouterAddresses {
    /// For clients.
    pub(super) listen: SocketAddr,
    /// For operators (the control address).
    pub(super) control: SocketAddr,
    /// For datagrams of other routers.
    pub(super) datagrams: SocketAddr,
}

impl RouterAddresses {
    /// Returns the addresses of the router with that index in the cluster at that IP address.
    ///
    /// # Panics
    ///
    /// Panics if there are more routers than ports.
    pub(crate) fn new(ip: IpAddr, number: usize) -> RouterAddresses {
        let first = FIRST_PORT + PORTS_PER_ROUTER * u16::try_from(number).expect("more routers than ports");
        let address = |offset| SocketAddr::from((ip, first + offset));
        RouterAddresses { listen: address(0), control: address(1), datagrams: address(2) }
    }
}

/// Starts the router processes of a cluster.
pub(crate) struct Launcher {
    pub(crate) program: PathBuf,
    /// Folder to which the logs are written.
    pub(crate) folder: PathBuf,
    pub(crate) arguments: Vec<String>,
    pub(crate) fleet_enabled: bool,
}

impl Launcher {
    /// Starts a router with these files; its output is appended to the log with that name.
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
        let stderr = log.try_clone().map_err(start_error)?;
        command.stdin(Stdio::null()).stdout(log).stderr(stderr).spawn().map_err(start_error)
    }
}

/// One router of a cluster. Dropping it kills its process, if there is one.
pub struct RouterProcess {
    /// Name in its configuration.
    pub name: String,
    /// Path of its configuration, the value of `NODE_CONFIG`.
    pub config: PathBuf,
    /// Path of its fleet file.
    pub fleet: PathBuf,
    /// Address at which it listens for clients.
    pub listen: SocketAddr,
    /// Address at which it listens for operators (the control address).
    pub control: SocketAddr,
    /// Address at which it listens for datagrams of other routers.
    pub datagrams: SocketAddr,
    process: Option<Child>,
    is_paused: bool,
}

impl RouterProcess {
    /// Creates a router whose process is not started yet.
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

    /// Returns whether the process was started and was neither killed nor terminated since. It may have exited by itself.
    pub fn is_running(&self) -> bool {
        self.process.is_some()
    }

    /// Returns whether the process was suspended and not resumed since.
    pub fn is_paused(&self) -> bool {
        self.is_paused
    }

    /// Writes the configuration: `example`, the text of `example/router.json`, with the name, addresses and seed of this
    /// router substituted.
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

    /// Starts a new process, unless one is running.
    pub(crate) fn start(&mut self, launcher: &Launcher) -> Result<(), ClusterError> {
        if self.process.is_none() {
            self.process = Some(launcher.launch(&self.config, &self.fleet, &self.name)?);
            self.is_paused = false;
        }
        Ok(())
    }

    /// Kills the process with SIGKILL and waits for its exit.
    pub(crate) fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            kill_and_wait(&mut process);
        }
    }

    /// Suspends the process with SIGSTOP.
    pub(super) fn pause(&mut self) {
        self.signal(Signal::STOP);
        self.is_paused = true;
    }

    /// Resumes the process with SIGCONT.
    pub(super) fn resume(&mut self) {
        self.signal(Signal::CONT);
        self.is_paused = false;
    }

    /// Has the process reload its files, with SIGHUP.
    pub(super) fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Has the process write its counters to its log, with SIGUSR1.
    pub(crate) fn print_counters(&self) {
        self.signal(Signal::USR1);
    }

    /// Returns the id of the process, if it is running.
    pub(crate) fn process_id(&self) -> Option<u32> {
        self.process.as_ref().map(Child::id)
    }

    /// Resumes and terminates the process with SIGTERM and waits for its exit. Returns its exit code, or `None` if it had to
    /// be killed.
    pub(super) fn terminate(&mut self) -> Option<i32> {
        self.resume();
        self.signal(Signal::TERM);
        self.wait()
    }

    /// Waits until the process has exited. Returns its exit code, or `None` if it had to be killed.
    pub(super) fn wait(&mut self) -> Option<i32> {
        let mut process = self.process.take()?;
        let since = Instant::now();
        while since.elapsed() < WAIT_TIMEOUT {
            if let Ok(Some(status)) = process.try_wait() {
                return status.code();
            }
            thread::sleep(EXIT_CHECK_INTERVAL);
        }
        kill_and_wait(&mut process);
        None
    }

    /// Returns the CPU time that the process has used according to the kernel, in seconds; zero if it is not running.
    pub(crate) fn cpu_seconds(&self) -> f64 {
        let Some(process) = &self.process else { return 0.0 };
        let text = fs::read_to_string(format!("/proc/{}/schedstat", process.id())).unwrap_or_default();
        let nanoseconds = text.split(' ').next().and_then(|field| field.parse::<f64>().ok());
        nanoseconds.unwrap_or(0.0) / NANOSECONDS_PER_SECOND
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = self.process.as_ref().and_then(|process| Pid::from_raw(process.id() as i32)) {
            // A process that has already exited is detected when it is waited for.
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

/// A second process with the name and files of a router, except that it listens at other addresses for clients and
/// operators. Dropping it kills the process.
pub struct DuplicateRouter {
    process: Child,
    /// Address at which it listens for clients.
    pub listen: SocketAddr,
    /// Address at which it listens for operators (the control address).
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

/// Copies a file and replaces one address in it.
fn copy_replacing(from: &Path, to: &Path, old: SocketAddr, new: SocketAddr) -> Result<(), ClusterError> {
    let text = fs::read_to_string(from).map_err(ClusterError::file(from))?;
    fs::write(to, text.replace(&old.to_string(), &new.to_string())).map_err(ClusterError::file(to))
}

fn kill_and_wait(process: &mut Child) {
    // Both calls fail if the process has already exited.
    let _ = process.kill();
    let _ = process.wait();
}
