//! Fault injection for system calls, for tests of the built program.
//!
//! The shared library is loaded by `LD_PRELOAD` and stands in front of the functions of the C library that the program
//! calls. `SYSCALL_FAULTS` holds the schedule, see [`schedule`]; without it every call passes through unchanged. If
//! `SYSCALL_FAULTS_ARMED` names a file, faults occur only while that file exists, and each is appended to it as a line
//! (`accept4 EPROTO`, `recv@client ETIMEDOUT`), so that a test can choose the moment and prove that the fault occurred.
//!
//! Only calls through the C library are seen. The crate `rustix` makes its system calls directly unless it is built with its
//! feature `use-libc`, which the tests of `ottersill` turn on: with it `epoll_ctl`, `epoll_wait`, `poll` and `accept4` of the
//! program under test pass through here. The release build makes the same calls without the C library.
//!
//! Modules: [`schedule`] says which call fails and how; `hooks` holds the replaced functions.

mod hooks;
pub mod schedule;
