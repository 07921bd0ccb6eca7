//! The functions of the C library that are replaced. Each asks the schedule first, and otherwise does what the function
//! behind it does. None of them panics; memory is allocated while the library is loaded only.

use std::ffi::{CStr, CString};
use std::mem;
use std::os::unix::ffi::OsStringExt;
use std::ptr;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, AtomicPtr, Ordering};

use libc::{
    c_int, c_ulong, c_void, epoll_event, iovec, msghdr, nfds_t, pollfd, sigset_t, size_t, sockaddr,
    socklen_t, ssize_t, timespec,
};

use crate::schedule::{Call, Fault, Schedule, Target, name_of_call, name_of_fault};

/// Descriptors below this number are told apart by how they came about.
const DESCRIPTORS: usize = 4096;

/// Whether each descriptor was accepted.
static ACCEPTED: [AtomicBool; DESCRIPTORS] = [const { AtomicBool::new(false) }; DESCRIPTORS];
static SETTINGS: OnceLock<Settings> = OnceLock::new();

struct Settings {
    schedule: Schedule,
    armed_by: Option<CString>,
}

extern "C" fn load() {
    let Some(text) = std::env::var_os("SYSCALL_FAULTS") else { return };
    let armed_by =
        std::env::var_os("SYSCALL_FAULTS_ARMED").and_then(|path| CString::new(path.into_vec()).ok());
    match Schedule::parse(&text.to_string_lossy()) {
        Ok(schedule) => drop(SETTINGS.set(Settings { schedule, armed_by })),
        Err(fault) => {
            // A schedule with an error must not pass for one without faults.
            eprintln!("SYSCALL_FAULTS: {fault}");
            std::process::exit(2);
        }
    }
}

/// Run by the dynamic loader, before `main`.
#[used]
#[unsafe(link_section = ".init_array")]
static LOAD: extern "C" fn() = load;

/// The next function of that name behind this library, as an `Option` of a function pointer.
macro_rules! real {
    ($name:literal, $type:ty) => {{
        static ADDRESS: AtomicPtr<c_void> = AtomicPtr::new(ptr::null_mut());
        let mut address = ADDRESS.load(Ordering::Relaxed);
        if address.is_null() {
            let name: &CStr = $name;
            // SAFETY: the name ends with a zero byte and lives as long as the program.
            address = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) };
            ADDRESS.store(address, Ordering::Relaxed);
        }
        // SAFETY: the C library defines the function under this name with this signature; a null pointer becomes `None`.
        unsafe { mem::transmute::<*mut c_void, Option<$type>>(address) }
    }};
}

/// Calls the function behind this library; without one the call fails with `ENOSYS`.
macro_rules! pass {
    ($name:literal, fn($($argument:ident: $type:ty),* $(,)?) -> $result:ty) => {
        match real!($name, unsafe extern "C" fn($($type),*) -> $result) {
            // SAFETY: the arguments are passed on as the caller gave them.
            Some(function) => unsafe { function($($argument),*) },
            None => fail(libc::ENOSYS) as $result,
        }
    };
}

fn fail(errno: c_int) -> c_int {
    // SAFETY: the address is that of this thread's own `errno`.
    unsafe { *libc::__errno_location() = errno };
    -1
}

fn errno() -> c_int {
    // SAFETY: as in `fail`.
    unsafe { *libc::__errno_location() }
}

fn was_accepted(descriptor: c_int) -> bool {
    let flag = usize::try_from(descriptor).ok().and_then(|index| ACCEPTED.get(index));
    flag.is_some_and(|flag| flag.load(Ordering::Relaxed))
}

fn note_origin(descriptor: c_int, accepted: bool) -> c_int {
    if let Some(flag) = usize::try_from(descriptor).ok().and_then(|index| ACCEPTED.get(index)) {
        flag.store(accepted, Ordering::Relaxed);
    }
    descriptor
}

/// The fault of this call, if the schedule has one and is armed. Leaves `errno` as it was.
fn fault(call: Call, target: impl FnOnce() -> Target) -> Option<Fault> {
    let settings = SETTINGS.get()?;
    let before = errno();
    let found = match &settings.armed_by {
        // SAFETY: the path ends with a zero byte.
        Some(path) if unsafe { libc::access(path.as_ptr(), libc::F_OK) } != 0 => None,
        armed_by => {
            let target = target();
            let found = settings.schedule.next(call, target);
            if let (Some(fault), Some(path)) = (found, armed_by) {
                record(path, call, target, fault);
            }
            found
        }
    };
    fail(before);
    found
}

/// Appends the fault to the file, so that the test knows of it.
fn record(path: &CStr, call: Call, target: Target, fault: Fault) {
    let side = if target.accepted { "@client " } else { " " };
    let pieces = [name_of_call(call), side, name_of_fault(fault), "\n"];
    let pieces = pieces.map(|text| iovec { iov_base: text.as_ptr() as *mut c_void, iov_len: text.len() });
    // SAFETY: the path ends with a zero byte, the pieces are static strings, and the descriptor is this function's own.
    unsafe {
        let file = libc::open(path.as_ptr(), libc::O_WRONLY | libc::O_APPEND | libc::O_CLOEXEC);
        if file >= 0 {
            libc::writev(file, pieces.as_ptr(), pieces.len() as c_int);
            libc::close(file);
        }
    }
}

const NOWHERE: Target = Target { accepted: false, peer_port: 0 };

fn target_of(descriptor: c_int) -> Target {
    // SAFETY: an all-zero address is valid, and its length is passed along.
    let (named, address) = unsafe {
        let mut address: libc::sockaddr_storage = mem::zeroed();
        let mut length = mem::size_of_val(&address) as socklen_t;
        (libc_getpeername(descriptor, (&raw mut address).cast(), &mut length) == 0, address)
    };
    let peer_port = if named { port_of((&raw const address).cast()) } else { 0 };
    Target { accepted: was_accepted(descriptor), peer_port }
}

/// # Safety
/// As for `getpeername`.
unsafe fn libc_getpeername(descriptor: c_int, address: *mut sockaddr, length: *mut socklen_t) -> c_int {
    pass!(c"getpeername", fn(descriptor: c_int, address: *mut sockaddr, length: *mut socklen_t) -> c_int)
}

fn port_of(address: *const sockaddr) -> u16 {
    // SAFETY: callers pass addresses of the internet families, which begin with family and port, at full length.
    unsafe {
        let inet = address.cast::<libc::sockaddr_in>();
        if inet.is_null() { 0 } else { u16::from_be(ptr::addr_of!((*inet).sin_port).read_unaligned()) }
    }
}

fn is_datagram(descriptor: c_int) -> bool {
    let mut kind: c_int = 0;
    let mut length = mem::size_of::<c_int>() as socklen_t;
    let (level, option, value) = (libc::SOL_SOCKET, libc::SO_TYPE, (&raw mut kind).cast::<c_void>());
    let length = &raw mut length;
    let asked = pass!(
        c"getsockopt",
        fn(
            descriptor: c_int,
            level: c_int,
            option: c_int,
            value: *mut c_void,
            length: *mut socklen_t,
        ) -> c_int
    );
    asked == 0 && kind == libc::SOCK_DGRAM
}

fn is_regular_file(descriptor: c_int) -> bool {
    // SAFETY: an all-zero `stat` is valid, and `fstat` fills it.
    unsafe {
        let mut stat: libc::stat = mem::zeroed();
        libc::fstat(descriptor, &mut stat) == 0 && stat.st_mode & libc::S_IFMT == libc::S_IFREG
    }
}

/// Fails a transfer. A stream that is said to be broken is broken from then on, at both ends.
fn fail_transfer(descriptor: c_int, errno: c_int) -> ssize_t {
    let breaks = [libc::ECONNRESET, libc::EHOSTUNREACH, libc::EPIPE, libc::ETIMEDOUT].contains(&errno);
    if breaks && !is_datagram(descriptor) {
        let how = libc::SHUT_RDWR;
        pass!(c"shutdown", fn(descriptor: c_int, how: c_int) -> c_int);
    }
    fail(errno) as ssize_t
}

/// Returns from the hook with the fault, if this call has one that is an error.
macro_rules! fail_if_scheduled {
    ($call:expr, $target:expr) => {
        if let Some(Fault::Errno(errno)) = fault($call, || $target) {
            return fail(errno) as _;
        }
    };
}

/// # Safety
/// As for `accept4`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    listener: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    fail_if_scheduled!(Call::Accept, NOWHERE);
    note_origin(
        pass!(
            c"accept4",
            fn(listener: c_int, address: *mut sockaddr, length: *mut socklen_t, flags: c_int) -> c_int
        ),
        true,
    )
}

/// # Safety
/// As for `accept`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept(listener: c_int, address: *mut sockaddr, length: *mut socklen_t) -> c_int {
    fail_if_scheduled!(Call::Accept, NOWHERE);
    note_origin(
        pass!(c"accept", fn(listener: c_int, address: *mut sockaddr, length: *mut socklen_t) -> c_int),
        true,
    )
}

/// # Safety
/// As for `socket`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    fail_if_scheduled!(Call::Socket, NOWHERE);
    note_origin(pass!(c"socket", fn(domain: c_int, kind: c_int, protocol: c_int) -> c_int), false)
}

/// # Safety
/// As for `connect`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(descriptor: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    let target = || Target { accepted: false, peer_port: port_of(address) };
    let begin =
        || pass!(c"connect", fn(descriptor: c_int, address: *const sockaddr, length: socklen_t) -> c_int);
    match fault(Call::Connect, target) {
        Some(Fault::Errno(libc::EINTR)) => {
            // An interrupted one goes on by itself.
            begin();
            fail(libc::EINTR)
        }
        Some(Fault::Errno(errno)) => fail(errno),
        _ => begin(),
    }
}

/// # Safety
/// As for `recv`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(descriptor: c_int, buffer: *mut c_void, size: size_t, flags: c_int) -> ssize_t {
    let call = if is_datagram(descriptor) { Call::ReceiveDatagram } else { Call::Receive };
    let size = match fault(call, || target_of(descriptor)) {
        Some(Fault::Errno(errno)) => return fail_transfer(descriptor, errno),
        Some(_) => size.min(1),
        None => size,
    };
    pass!(c"recv", fn(descriptor: c_int, buffer: *mut c_void, size: size_t, flags: c_int) -> ssize_t)
}

/// # Safety
/// As for `send`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(
    descriptor: c_int,
    buffer: *const c_void,
    size: size_t,
    flags: c_int,
) -> ssize_t {
    let size = match fault(Call::Send, || target_of(descriptor)) {
        Some(Fault::Errno(errno)) => return fail_transfer(descriptor, errno),
        Some(_) => size.min(1),
        None => size,
    };
    pass!(c"send", fn(descriptor: c_int, buffer: *const c_void, size: size_t, flags: c_int) -> ssize_t)
}

/// # Safety
/// As for `sendmsg`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn sendmsg(descriptor: c_int, message: *const msghdr, flags: c_int) -> ssize_t {
    let shorter = match fault(Call::Send, || target_of(descriptor)) {
        Some(Fault::Errno(errno)) => return fail_transfer(descriptor, errno),
        // SAFETY: the caller's message is valid.
        Some(_) => unsafe { first_piece(message) },
        None => None,
    };
    if let Some((mut shorter, mut piece)) = shorter {
        piece.iov_len = piece.iov_len.min(1);
        shorter.msg_iov = &raw mut piece;
        shorter.msg_iovlen = 1;
        let message = &raw const shorter;
        return pass!(c"sendmsg", fn(descriptor: c_int, message: *const msghdr, flags: c_int) -> ssize_t);
    }
    pass!(c"sendmsg", fn(descriptor: c_int, message: *const msghdr, flags: c_int) -> ssize_t)
}

/// Copies of a message's header and of its first piece, if it has one.
///
/// # Safety
/// The message is null or as for `sendmsg`.
unsafe fn first_piece(message: *const msghdr) -> Option<(msghdr, iovec)> {
    // SAFETY: by this function's own condition the message holds as many pieces as it says.
    unsafe {
        let header = *message.as_ref()?;
        (header.msg_iovlen > 0).then(|| (header, *header.msg_iov))
    }
}

/// # Safety
/// As for `sendto`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn sendto(
    descriptor: c_int,
    buffer: *const c_void,
    size: size_t,
    flags: c_int,
    address: *const sockaddr,
    length: socklen_t,
) -> ssize_t {
    fail_if_scheduled!(Call::SendDatagram, Target { accepted: false, peer_port: port_of(address) });
    pass!(
        c"sendto",
        fn(
            descriptor: c_int,
            buffer: *const c_void,
            size: size_t,
            flags: c_int,
            address: *const sockaddr,
            length: socklen_t,
        ) -> ssize_t
    )
}

/// # Safety
/// As for `setsockopt`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn setsockopt(
    descriptor: c_int,
    level: c_int,
    option: c_int,
    value: *const c_void,
    length: socklen_t,
) -> c_int {
    fail_if_scheduled!(Call::SetOption, target_of(descriptor));
    pass!(
        c"setsockopt",
        fn(descriptor: c_int, level: c_int, option: c_int, value: *const c_void, length: socklen_t) -> c_int
    )
}

/// # Safety
/// As for `getsockopt`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn getsockopt(
    descriptor: c_int,
    level: c_int,
    option: c_int,
    value: *mut c_void,
    length: *mut socklen_t,
) -> c_int {
    fail_if_scheduled!(Call::GetOption, target_of(descriptor));
    pass!(
        c"getsockopt",
        fn(
            descriptor: c_int,
            level: c_int,
            option: c_int,
            value: *mut c_void,
            length: *mut socklen_t,
        ) -> c_int
    )
}

/// # Safety
/// As for `getpeername`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn getpeername(
    descriptor: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
) -> c_int {
    fail_if_scheduled!(Call::PeerName, target_of(descriptor));
    // SAFETY: the arguments are passed on as the caller gave them.
    unsafe { libc_getpeername(descriptor, address, length) }
}

/// Takes its third argument as a word whatever the command, as the system does.
///
/// # Safety
/// As for `fcntl`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fcntl(descriptor: c_int, command: c_int, argument: c_ulong) -> c_int {
    if command == libc::F_SETFL {
        fail_if_scheduled!(Call::SetFlags, target_of(descriptor));
    }
    match real!(c"fcntl", unsafe extern "C" fn(c_int, c_int, ...) -> c_int) {
        // SAFETY: the arguments are passed on as the caller gave them.
        Some(function) => unsafe { function(descriptor, command, argument) },
        None => fail(libc::ENOSYS),
    }
}

/// # Safety
/// As for `shutdown`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn shutdown(descriptor: c_int, how: c_int) -> c_int {
    fail_if_scheduled!(Call::Shutdown, target_of(descriptor));
    pass!(c"shutdown", fn(descriptor: c_int, how: c_int) -> c_int)
}

/// # Safety
/// As for `epoll_ctl`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_ctl(
    epoll: c_int,
    operation: c_int,
    descriptor: c_int,
    event: *mut epoll_event,
) -> c_int {
    if operation == libc::EPOLL_CTL_ADD {
        fail_if_scheduled!(Call::EpollAdd, target_of(descriptor));
    }
    pass!(
        c"epoll_ctl",
        fn(epoll: c_int, operation: c_int, descriptor: c_int, event: *mut epoll_event) -> c_int
    )
}

/// # Safety
/// As for `epoll_wait`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut epoll_event,
    most: c_int,
    timeout: c_int,
) -> c_int {
    fail_if_scheduled!(Call::EpollWait, NOWHERE);
    pass!(c"epoll_wait", fn(epoll: c_int, events: *mut epoll_event, most: c_int, timeout: c_int) -> c_int)
}

/// # Safety
/// As for `epoll_pwait2`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_pwait2(
    epoll: c_int,
    events: *mut epoll_event,
    most: c_int,
    timeout: *const timespec,
    mask: *const sigset_t,
) -> c_int {
    fail_if_scheduled!(Call::EpollWait, NOWHERE);
    pass!(
        c"epoll_pwait2",
        fn(
            epoll: c_int,
            events: *mut epoll_event,
            most: c_int,
            timeout: *const timespec,
            mask: *const sigset_t,
        ) -> c_int
    )
}

/// # Safety
/// As for `poll`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn poll(descriptors: *mut pollfd, count: nfds_t, timeout: c_int) -> c_int {
    fail_if_scheduled!(Call::Poll, NOWHERE);
    pass!(c"poll", fn(descriptors: *mut pollfd, count: nfds_t, timeout: c_int) -> c_int)
}

/// # Safety
/// As for `ppoll`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn ppoll(
    descriptors: *mut pollfd,
    count: nfds_t,
    timeout: *const timespec,
    mask: *const sigset_t,
) -> c_int {
    fail_if_scheduled!(Call::Poll, NOWHERE);
    pass!(
        c"ppoll",
        fn(descriptors: *mut pollfd, count: nfds_t, timeout: *const timespec, mask: *const sigset_t) -> c_int
    )
}

/// # Safety
/// As for `write`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(descriptor: c_int, buffer: *const c_void, size: size_t) -> ssize_t {
    let found = match descriptor {
        libc::STDOUT_FILENO => fault(Call::StandardOutput, || NOWHERE),
        _ if SETTINGS.get().is_some() && is_regular_file(descriptor) => fault(Call::File, || NOWHERE),
        _ => None,
    };
    let size = match found {
        Some(Fault::Errno(errno)) => return fail(errno) as ssize_t,
        Some(Fault::Short) => size.min(1),
        Some(Fault::Kill) => size / 2,
        None => size,
    };
    let wrote = pass!(c"write", fn(descriptor: c_int, buffer: *const c_void, size: size_t) -> ssize_t);
    if found == Some(Fault::Kill) {
        // SAFETY: sends a signal to this process alone.
        unsafe { libc::kill(libc::getpid(), libc::SIGKILL) };
    }
    wrote
}
