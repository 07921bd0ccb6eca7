//! The interposed functions of the C library. Each first consults the schedule and, unless a fault is scheduled, calls the
//! original function. None of them panics, and memory is allocated only while the library is being loaded.

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

use crate::schedule::{Call, Fault, Schedule, Target, call_name, fault_name};

/// Descriptors below this number are tracked in [`ACCEPTED`]; others count as opened by the program.
const TRACKED_DESCRIPTORS: usize = 4096;

/// Whether each descriptor is a connection that the program accepted, indexed by the descriptor.
static ACCEPTED: [AtomicBool; TRACKED_DESCRIPTORS] = [const { AtomicBool::new(false) }; TRACKED_DESCRIPTORS];
static SETTINGS: OnceLock<Settings> = OnceLock::new();

struct Settings {
    schedule: Schedule,
    /// Path of the file that arms the schedule; without one the schedule is always armed.
    arming_file: Option<CString>,
}

extern "C" fn load() {
    let Some(text) = std::env::var_os("SYSCALL_FAULTS") else { return };
    let arming_file =
        std::env::var_os("SYSCALL_FAULTS_ARMED").and_then(|path| CString::new(path.into_vec()).ok());
    match Schedule::parse(&text.to_string_lossy()) {
        Ok(schedule) => drop(SETTINGS.set(Settings { schedule, arming_file })),
        Err(error) => {
            // An invalid schedule must not be treated as one without faults.
            eprintln!("SYSCALL_FAULTS: {error}");
            std::process::exit(2);
        }
    }
}

/// Makes the dynamic loader call [`load`] before `main`.
#[used]
#[unsafe(link_section = ".init_array")]
static LOAD: extern "C" fn() = load;

/// Looks up the next definition of a function after this library, as an `Option` of a function pointer.
macro_rules! next_function {
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

/// Calls the next definition of a function after this library; fails with `ENOSYS` if there is none.
macro_rules! call_next {
    ($name:literal, fn($($argument:ident: $type:ty),* $(,)?) -> $result:ty) => {
        match next_function!($name, unsafe extern "C" fn($($type),*) -> $result) {
            // SAFETY: the arguments are passed on as the caller gave them.
            Some(function) => unsafe { function($($argument),*) },
            None => fail(libc::ENOSYS) as $result,
        }
    };
}

/// Sets `errno` and returns -1, as a failed call does.
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

/// Records whether a new descriptor was accepted, and returns the descriptor.
fn record_origin(descriptor: c_int, accepted: bool) -> c_int {
    if let Some(flag) = usize::try_from(descriptor).ok().and_then(|index| ACCEPTED.get(index)) {
        flag.store(accepted, Ordering::Relaxed);
    }
    descriptor
}

/// Returns the fault scheduled for this call, if there is one and the schedule is armed. Preserves `errno`.
fn scheduled_fault(call: Call, target: impl FnOnce() -> Target) -> Option<Fault> {
    let settings = SETTINGS.get()?;
    let saved_errno = errno();
    let found = match &settings.arming_file {
        // SAFETY: the path ends with a zero byte.
        Some(path) if unsafe { libc::access(path.as_ptr(), libc::F_OK) } != 0 => None,
        arming_file => {
            let target = target();
            let found = settings.schedule.next_fault(call, target);
            if let (Some(fault), Some(path)) = (found, arming_file) {
                record_fault(path, call, target, fault);
            }
            found
        }
    };
    fail(saved_errno);
    found
}

/// Appends the fault to the arming file, so that the test can verify that it occurred.
fn record_fault(path: &CStr, call: Call, target: Target, fault: Fault) {
    let side = if target.accepted { "@client " } else { " " };
    let parts = [call_name(call), side, fault_name(fault), "\n"];
    let parts = parts.map(|text| iovec { iov_base: text.as_ptr() as *mut c_void, iov_len: text.len() });
    // SAFETY: the path ends with a zero byte, the parts are static strings, and the descriptor is this function's own.
    unsafe {
        let file = libc::open(path.as_ptr(), libc::O_WRONLY | libc::O_APPEND | libc::O_CLOEXEC);
        if file >= 0 {
            libc::writev(file, parts.as_ptr(), parts.len() as c_int);
            libc::close(file);
        }
    }
}

/// Target of calls that are not made on a connection.
const NO_TARGET: Target = Target { accepted: false, peer_port: 0 };

fn target_of(descriptor: c_int) -> Target {
    // SAFETY: an all-zero address is valid, and its length is passed along.
    let (has_peer, address) = unsafe {
        let mut address: libc::sockaddr_storage = mem::zeroed();
        let mut length = mem::size_of_val(&address) as socklen_t;
        (libc_getpeername(descriptor, (&raw mut address).cast(), &mut length) == 0, address)
    };
    let peer_port = if has_peer { port_of((&raw const address).cast()) } else { 0 };
    Target { accepted: was_accepted(descriptor), peer_port }
}

/// # Safety
/// As for `getpeername`.
unsafe fn libc_getpeername(descriptor: c_int, address: *mut sockaddr, length: *mut socklen_t) -> c_int {
    call_next!(c"getpeername", fn(descriptor: c_int, address: *mut sockaddr, length: *mut socklen_t) -> c_int)
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
    let status = call_next!(
        c"getsockopt",
        fn(
            descriptor: c_int,
            level: c_int,
            option: c_int,
            value: *mut c_void,
            length: *mut socklen_t,
        ) -> c_int
    );
    status == 0 && kind == libc::SOCK_DGRAM
}

fn is_regular_file(descriptor: c_int) -> bool {
    // SAFETY: an all-zero `stat` is valid, and `fstat` fills it.
    unsafe {
        let mut stat: libc::stat = mem::zeroed();
        libc::fstat(descriptor, &mut stat) == 0 && stat.st_mode & libc::S_IFMT == libc::S_IFREG
    }
}

/// Fails a transfer. If the error means that a stream is broken, also shuts the stream down in both directions, so that
/// it stays broken at both ends.
fn fail_transfer(descriptor: c_int, errno: c_int) -> ssize_t {
    let breaks = [libc::ECONNRESET, libc::EHOSTUNREACH, libc::EPIPE, libc::ETIMEDOUT].contains(&errno);
    if breaks && !is_datagram(descriptor) {
        let how = libc::SHUT_RDWR;
        call_next!(c"shutdown", fn(descriptor: c_int, how: c_int) -> c_int);
    }
    fail(errno) as ssize_t
}

/// Returns from the hook with an error if one is scheduled for this call.
macro_rules! fail_if_scheduled {
    ($call:expr, $target:expr) => {
        if let Some(Fault::Errno(errno)) = scheduled_fault($call, || $target) {
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
    fail_if_scheduled!(Call::Accept, NO_TARGET);
    record_origin(
        call_next!(
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
    fail_if_scheduled!(Call::Accept, NO_TARGET);
    record_origin(
        call_next!(c"accept", fn(listener: c_int, address: *mut sockaddr, length: *mut socklen_t) -> c_int),
        true,
    )
}

/// # Safety
/// As for `socket`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    fail_if_scheduled!(Call::Socket, NO_TARGET);
    record_origin(call_next!(c"socket", fn(domain: c_int, kind: c_int, protocol: c_int) -> c_int), false)
}

/// # Safety
/// As for `connect`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(descriptor: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    let target = || Target { accepted: false, peer_port: port_of(address) };
    let start = || {
        call_next!(c"connect", fn(descriptor: c_int, address: *const sockaddr, length: socklen_t) -> c_int)
    };
    match scheduled_fault(Call::Connect, target) {
        Some(Fault::Errno(libc::EINTR)) => {
            // An interrupted connect continues asynchronously.
            start();
            fail(libc::EINTR)
        }
        Some(Fault::Errno(errno)) => fail(errno),
        _ => start(),
    }
}

/// # Safety
/// As for `recv`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(descriptor: c_int, buffer: *mut c_void, size: size_t, flags: c_int) -> ssize_t {
    let call = if is_datagram(descriptor) { Call::ReceiveDatagram } else { Call::Receive };
    let size = match scheduled_fault(call, || target_of(descriptor)) {
        Some(Fault::Errno(errno)) => return fail_transfer(descriptor, errno),
        Some(_) => size.min(1),
        None => size,
    };
    call_next!(c"recv", fn(descriptor: c_int, buffer: *mut c_void, size: size_t, flags: c_int) -> ssize_t)
}

/// # Safety
/// As for `recvmsg`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recvmsg(descriptor: c_int, message: *mut msghdr, flags: c_int) -> ssize_t {
    let shortened = match scheduled_fault(Call::Receive, || target_of(descriptor)) {
        Some(Fault::Errno(errno)) => return fail_transfer(descriptor, errno),
        // SAFETY: the caller's message is valid.
        Some(_) => unsafe { copy_first_buffer(message) },
        None => None,
    };
    let Some((mut header, mut buffer)) = shortened else {
        return call_next!(c"recvmsg", fn(descriptor: c_int, message: *mut msghdr, flags: c_int) -> ssize_t);
    };
    buffer.iov_len = buffer.iov_len.min(1);
    header.msg_iov = &raw mut buffer;
    header.msg_iovlen = 1;
    let caller_message = message;
    let message = &raw mut header;
    let received =
        call_next!(c"recvmsg", fn(descriptor: c_int, message: *mut msghdr, flags: c_int) -> ssize_t);
    // SAFETY: the caller's message is valid; it gets what the system has written to the copy.
    unsafe {
        (*caller_message).msg_controllen = header.msg_controllen;
        (*caller_message).msg_flags = header.msg_flags;
        (*caller_message).msg_namelen = header.msg_namelen;
    }
    received
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
    let size = match scheduled_fault(Call::Send, || target_of(descriptor)) {
        Some(Fault::Errno(errno)) => return fail_transfer(descriptor, errno),
        Some(_) => size.min(1),
        None => size,
    };
    call_next!(c"send", fn(descriptor: c_int, buffer: *const c_void, size: size_t, flags: c_int) -> ssize_t)
}

/// # Safety
/// As for `sendmsg`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn sendmsg(descriptor: c_int, message: *const msghdr, flags: c_int) -> ssize_t {
    let shortened = match scheduled_fault(Call::Send, || target_of(descriptor)) {
        Some(Fault::Errno(errno)) => return fail_transfer(descriptor, errno),
        // SAFETY: the caller's message is valid.
        Some(_) => unsafe { copy_first_buffer(message) },
        None => None,
    };
    if let Some((mut header, mut buffer)) = shortened {
        buffer.iov_len = buffer.iov_len.min(1);
        header.msg_iov = &raw mut buffer;
        header.msg_iovlen = 1;
        let message = &raw const header;
        return call_next!(
            c"sendmsg",
            fn(descriptor: c_int, message: *const msghdr, flags: c_int) -> ssize_t
        );
    }
    call_next!(c"sendmsg", fn(descriptor: c_int, message: *const msghdr, flags: c_int) -> ssize_t)
}

/// Copies a message's header and its first buffer; `None` if the message has no buffer.
///
/// # Safety
/// The message is null or valid for `sendmsg`.
unsafe fn copy_first_buffer(message: *const msghdr) -> Option<(msghdr, iovec)> {
    // SAFETY: by this function's own condition the message has as many buffers as `msg_iovlen` says.
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
    call_next!(
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
    call_next!(
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
    call_next!(
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

/// Takes the third argument as a word whatever the command is, as the kernel does.
///
/// # Safety
/// As for `fcntl`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fcntl(descriptor: c_int, command: c_int, argument: c_ulong) -> c_int {
    if command == libc::F_SETFL {
        fail_if_scheduled!(Call::SetFlags, target_of(descriptor));
    }
    match next_function!(c"fcntl", unsafe extern "C" fn(c_int, c_int, ...) -> c_int) {
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
    call_next!(c"shutdown", fn(descriptor: c_int, how: c_int) -> c_int)
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
    call_next!(
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
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    fail_if_scheduled!(Call::EpollWait, NO_TARGET);
    call_next!(
        c"epoll_wait",
        fn(epoll: c_int, events: *mut epoll_event, max_events: c_int, timeout: c_int) -> c_int
    )
}

/// # Safety
/// As for `epoll_pwait2`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_pwait2(
    epoll: c_int,
    events: *mut epoll_event,
    max_events: c_int,
    timeout: *const timespec,
    mask: *const sigset_t,
) -> c_int {
    fail_if_scheduled!(Call::EpollWait, NO_TARGET);
    call_next!(
        c"epoll_pwait2",
        fn(
            epoll: c_int,
            events: *mut epoll_event,
            max_events: c_int,
            timeout: *const timespec,
            mask: *const sigset_t,
        ) -> c_int
    )
}

/// # Safety
/// As for `poll`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn poll(descriptors: *mut pollfd, count: nfds_t, timeout: c_int) -> c_int {
    fail_if_scheduled!(Call::Poll, NO_TARGET);
    call_next!(c"poll", fn(descriptors: *mut pollfd, count: nfds_t, timeout: c_int) -> c_int)
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
    fail_if_scheduled!(Call::Poll, NO_TARGET);
    call_next!(
        c"ppoll",
        fn(descriptors: *mut pollfd, count: nfds_t, timeout: *const timespec, mask: *const sigset_t) -> c_int
    )
}

/// # Safety
/// As for `write`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(descriptor: c_int, buffer: *const c_void, size: size_t) -> ssize_t {
    let fault = match descriptor {
        libc::STDOUT_FILENO => scheduled_fault(Call::StandardOutput, || NO_TARGET),
        _ if SETTINGS.get().is_some() && is_regular_file(descriptor) => {
            scheduled_fault(Call::File, || NO_TARGET)
        }
        _ => None,
    };
    let size = match fault {
        Some(Fault::Errno(errno)) => return fail(errno) as ssize_t,
        Some(Fault::Short) => size.min(1),
        Some(Fault::Kill) => size / 2,
        None => size,
    };
    let written = call_next!(c"write", fn(descriptor: c_int, buffer: *const c_void, size: size_t) -> ssize_t);
    if fault == Some(Fault::Kill) {
        // SAFETY: sends a signal to this process alone.
        unsafe { libc::kill(libc::getpid(), libc::SIGKILL) };
    }
    written
}
