//! Injects system call faults into the built program under test.
//!
//! The shared library is loaded by `LD_PRELOAD` and interposes the functions of the C library that the program calls.
//! `SYSCALL_FAULTS` holds the fault schedule (see [`schedule`]); without it every call is forwarded unchanged. If
//! `SYSCALL_FAULTS_ARMED` names a file, faults occur only while that file exists, and each is appended to it as a line
//! (`accept4 EPROTO`, `recv@client ETIMEDOUT`), so that a test can choose the moment and verify that the fault occurred.
//!
//! Only calls made through the C library are intercepted. The crate `rustix` makes its system calls directly unless it is
//! built with its feature `use-libc`, which the tests of `ottersill` enable: with it, calls to `epoll_ctl`, `epoll_wait`,
//! `poll` and `accept4` in the program under test are intercepted. The release build makes the same calls without the C
//! library.
//!
//! Modules: [`schedule`] decides which calls fail and how; `hooks` contains the interposed functions.

mod hooks;
pub mod schedule;
