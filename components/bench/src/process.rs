//! Starting, pausing and ending processes.
//!
//! This tool and the tests are the only places where a process starts others: celerystand itself
//! starts none. Signals go through `kill`, for there is no other way without unsafe code.

use std::{
    env,
    fs::File,
    io::{self, BufRead, BufReader},
    net::SocketAddr,
    ops::Range,
    path::{Path, PathBuf},
    process::{self, Child, Command, ExitStatus, Stdio},
    sync::{
        OnceLock,
        atomic::{AtomicU16, Ordering},
    },
    time::{Duration, Instant},
};

use rustix::net::{
    AddressFamily, SocketFlags, SocketType, bind, socket_with, sockopt::set_socket_reuseaddr,
};

/// Time between two looks at whether a process has ended.
const POLL: Duration = Duration::from_millis(20);

/// The programs under test.
#[derive(Clone, Debug)]
pub struct Programs {
    /// `celerystand`.
    pub celerystand: PathBuf,
    /// `celerystand-standin`.
    pub standin: PathBuf,
}

impl Programs {
    /// Names both programs.
    #[must_use]
    pub fn new(celerystand: impl Into<PathBuf>, standin: impl Into<PathBuf>) -> Self {
        Self {
            celerystand: celerystand.into(),
            standin: standin.into(),
        }
    }

    /// The programs that were built together with this one.
    ///
    /// # Errors
    /// Passes on why this program's own place is unknown.
    pub fn beside_this() -> io::Result<Self> {
        let here = env::current_exe()?;
        let sibling = |name| here.with_file_name(name);
        Ok(Self::new(
            sibling("celerystand"),
            sibling("celerystand-standin"),
        ))
    }
}

/// A signal to a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// Ends it at once.
    Kill,
    /// Asks it to end.
    Terminate,
    /// Stops it, as on a frozen machine.
    Pause,
    /// Lets it go on.
    Resume,
    /// Tells it that its settings have changed.
    Reload,
}

/// A process that was started here; it is killed when this is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program whose output goes to a file.
    ///
    /// # Errors
    /// Passes on why it did not start.
    pub fn start(program: &Path, args: &[&str], log: &Path) -> io::Result<Self> {
        Self::spawn(Command::new(program).args(args), log)
    }

    /// Starts a program whose output goes to a file, with one more environment variable.
    ///
    /// # Errors
    /// Passes on why it did not start.
    pub fn start_with(
        program: &Path,
        args: &[&str],
        log: &Path,
        variable: (&str, &Path),
    ) -> io::Result<Self> {
        let (name, value) = variable;
        Self::spawn(Command::new(program).args(args).env(name, value), log)
    }

    fn spawn(command: &mut Command, log: &Path) -> io::Result<Self> {
        let out = File::options().create(true).append(true).open(log)?;
        let program = command.get_program().to_owned();
        let child = command
            .stdin(Stdio::null())
            .stdout(out.try_clone()?)
            .stderr(out)
            .spawn()
            .map_err(|e| io::Error::other(format!("{}: {e}", program.display())))?;
        Ok(Self { child })
    }

    /// Starts a stand-in and waits until it tells where it listens.
    ///
    /// # Errors
    /// Passes on why it did not start.
    pub fn start_standin(program: &Path, args: &[&str]) -> io::Result<(Self, SocketAddr)> {
        let mut child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|e| io::Error::other(format!("{}: {e}", program.display())))?;
        let mut line = String::new();
        if let Some(out) = child.stdout.take() {
            BufReader::new(out).read_line(&mut line)?;
        }
        let process = Self { child };
        let addr = line.trim().rsplit(' ').next().and_then(|a| a.parse().ok());
        let silent = || io::Error::other(format!("a stand-in did not start: {args:?}"));
        Ok((process, addr.ok_or_else(silent)?))
    }

    /// Sends a signal; one to a process that has ended is lost.
    pub fn signal(&mut self, signal: Signal) {
        let name = match signal {
            Signal::Kill => "-KILL",
            Signal::Terminate => "-TERM",
            Signal::Pause => "-STOP",
            Signal::Resume => "-CONT",
            Signal::Reload => "-HUP",
        };
        // Until the child has been waited for, its number can't belong to anybody else.
        if self.runs() {
            let pid = self.child.id().to_string();
            let _ = Command::new("kill").args([name, &pid]).status();
        }
    }

    /// Whether it still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// How it has ended: its exit status, or the signal that ended it.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits at most this long for its end; tells whether it ended.
    pub async fn ended(&mut self, patience: Duration) -> bool {
        let until = Instant::now() + patience;
        while self.runs() {
            if Instant::now() >= until {
                return false;
            }
            smol::Timer::after(POLL).await;
        }
        true
    }

    /// Resident memory in bytes, 0 if unknown.
    #[must_use]
    pub fn memory(&self) -> u64 {
        status_kb(self.child.id(), "VmRSS:") * 1024
    }

    /// The peak of the resident memory since the start in kilobytes, 0 if unknown.
    #[must_use]
    pub fn peak_memory_kb(&self) -> u64 {
        peak_memory_kb(self.child.id())
    }

    /// Open descriptors, 0 if unknown.
    #[must_use]
    pub fn descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.child.id());
        std::fs::read_dir(path).map_or(0, Iterator::count)
    }

    /// Processor time used so far.
    #[must_use]
    pub fn cpu(&self) -> Duration {
        // Fields 14 and 15 of `stat`, in hundredths of a second; the name before them is in
        // brackets and may hold blanks.
        let path = format!("/proc/{}/stat", self.child.id());
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let rest = text.rsplit(')').next().unwrap_or_default();
        let ticks = rest.split_whitespace().skip(11).take(2);
        let sum: u64 = ticks.filter_map(|n| n.parse::<u64>().ok()).sum();
        Duration::from_millis(sum * 10)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Ports below those that the system gives to outgoing connections: one of those could take a
/// listener's port while its instance is down, and the instance could not come back.
const PORTS: Range<u16> = 10_000..32_000;
/// Ports of one block. A process that starts instances uses one block, and no other process does: the port
/// of an instance that is down would be free to all otherwise.
const BLOCK_PORTS: u16 = 2_000;
/// Name of the lock files of the blocks, in the folder for temporary files.
const LOCK_NAME: &str = "celerystand-ports";

/// The ports that this process may use.
struct PortBlock {
    first: u16,
    /// Locked until the process ends; none if all blocks were taken.
    _lock: Option<File>,
}

impl PortBlock {
    fn claim() -> Self {
        let begin = process::id() as u16 % (PORTS.len() as u16 / BLOCK_PORTS);
        let blocks = PORTS.len() as u16 / BLOCK_PORTS;
        let mut candidates = (0..blocks).map(|step| (begin + step) % blocks);
        let claimed = candidates.find_map(|block| Some((block, lock_block(block)?)));
        let (block, lock) = match claimed {
            Some((block, lock)) => (block, Some(lock)),
            None => (begin, None),
        };
        Self {
            first: PORTS.start + block * BLOCK_PORTS,
            _lock: lock,
        }
    }
}

/// Locks a block for this process; none if another one has it.
fn lock_block(block: u16) -> Option<File> {
    let path = env::temp_dir().join(format!("{LOCK_NAME}-{block}.lock"));
    let file = File::options()
        .create(true)
        .truncate(false)
        .write(true)
        .open(path)
        .ok()?;
    file.try_lock().ok()?;
    Some(file)
}

/// Picks a port on the loopback address that is free at present, and that no other process picks.
///
/// # Errors
/// Tells that there is none.
pub fn free_addr() -> io::Result<SocketAddr> {
    static BLOCK: OnceLock<PortBlock> = OnceLock::new();
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = BLOCK.get_or_init(PortBlock::claim).first;
    for _ in 0..BLOCK_PORTS {
        let port = first + NEXT.fetch_add(1, Ordering::Relaxed) % BLOCK_PORTS;
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if is_free(addr) {
            return Ok(addr);
        }
    }
    Err(io::Error::other("no port is free"))
}

/// Whether a port can be listened at. The probe does not listen itself: a process that is being started has
/// the files of this one until its program begins, and a listener among them would keep the port.
fn is_free(addr: SocketAddr) -> bool {
    let flags = SocketFlags::CLOEXEC;
    let probe = socket_with(AddressFamily::INET, SocketType::STREAM, flags, None);
    probe.is_ok_and(|probe| {
        set_socket_reuseaddr(&probe, true).is_ok() && bind(&probe, &addr).is_ok()
    })
}

/// The peak of the resident memory of a process since its start in kilobytes, 0 if unknown.
#[must_use]
pub fn peak_memory_kb(process: u32) -> u64 {
    status_kb(process, "VmHWM:")
}

/// A figure of a process's status in kilobytes, 0 if unknown.
fn status_kb(process: u32, name: &str) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    let kb = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    kb.unwrap_or(0)
}
