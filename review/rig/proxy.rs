//! A link with a constant delay each way. It keeps the order of the bytes and changes none of them.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

/// Starts a link to `to`, and returns its address.
pub fn link(to: SocketAddr, delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| crate::cannot_run(&e.to_string()));
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(to) else { continue };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            if let (Ok(near_too), Ok(far_too)) = (near.try_clone(), far.try_clone()) {
                carry(near, far, delay);
                carry(far_too, near_too, delay);
            }
        }
    });
    address
}

fn carry(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let (sender, receiver) = mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        let mut buffer = [0; 1 << 16];
        loop {
            let read = from.read(&mut buffer).unwrap_or(0);
            // An empty chunk is the end.
            if sender.send((Instant::now() + delay, buffer[..read].to_vec())).is_err() || read == 0 {
                return;
            }
        }
    });
    thread::spawn(move || {
        for (due, bytes) in receiver {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if bytes.is_empty() || to.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
    });
}
