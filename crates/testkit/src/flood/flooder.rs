//! Flooding clients: each sends at full speed and reads what comes back.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use super::FloodInput;
use super::input::half_statement;

/// Delay before a client that could not connect tries again.
const RECONNECT_DELAY: Duration = Duration::from_millis(5);
/// Time limit of a read or write, after which a client checks whether the load has ended.
const IO_TIMEOUT: Duration = Duration::from_millis(200);
const READ_BYTES: usize = 64 * 1024;

/// What all flooding clients have done so far.
#[derive(Default)]
struct Totals {
    connections: AtomicU64,
    bytes_received: AtomicU64,
}

/// Flooding clients that run until they are stopped.
pub struct Flood {
    stopped: Arc<AtomicBool>,
    totals: Arc<Totals>,
    threads: Vec<JoinHandle<()>>,
}

impl Flood {
    /// Starts clients, divided among the routers, and connections with half a statement.
    pub fn start(
        input: Option<FloodInput>,
        flooders: usize,
        half_sent: usize,
        routers: &[SocketAddr],
    ) -> Flood {
        let mut flood = Flood { stopped: Arc::default(), totals: Arc::default(), threads: Vec::new() };
        let flooders = if input.is_some() { flooders } else { 0 };
        for index in 0..flooders + half_sent {
            let input = input.filter(|_| index < flooders).unwrap_or(FloodInput::HalfStatements);
            let client = Flooder {
                input,
                router: routers[index % routers.len()],
                stopped: Arc::clone(&flood.stopped),
                totals: Arc::clone(&flood.totals),
            };
            flood.threads.push(thread::spawn(move || client.run()));
        }
        flood
    }

    /// Stops the clients. Returns the number of their connections and of the bytes that they received.
    pub fn stop(mut self) -> (u64, u64) {
        self.stopped.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
        let Totals { connections, bytes_received } = &*self.totals;
        (connections.load(Ordering::Relaxed), bytes_received.load(Ordering::Relaxed))
    }
}

/// One flooding client, which uses one connection at a time.
struct Flooder {
    input: FloodInput,
    router: SocketAddr,
    stopped: Arc<AtomicBool>,
    totals: Arc<Totals>,
}

impl Flooder {
    fn run(&self) {
        while !self.is_stopped() {
            // Any error ends a connection, and the next follows.
            if self.run_connection().is_err() {
                thread::sleep(RECONNECT_DELAY);
            }
        }
    }

    fn run_connection(&self) -> io::Result<()> {
        let mut socket = TcpStream::connect(self.router)?;
        self.totals.connections.fetch_add(1, Ordering::Relaxed);
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(IO_TIMEOUT))?;
        socket.set_write_timeout(Some(IO_TIMEOUT))?;
        socket.write_all(&self.input.preamble())?;
        if !self.input.is_stream() {
            return self.run_single_batch(socket);
        }
        thread::scope(|scope| {
            scope.spawn(|| {
                self.read_until_close(&socket);
                // Ends the writer too.
                let _ = socket.shutdown(Shutdown::Both);
            });
            let result = self.write_stream(&socket);
            let _ = socket.shutdown(Shutdown::Both);
            result
        })
    }

    fn run_single_batch(&self, mut socket: TcpStream) -> io::Result<()> {
        let batch =
            if self.input == FloodInput::HalfStatements { half_statement() } else { self.input.batch() };
        socket.write_all(&batch)?;
        if self.input.awaits_close() {
            self.read_until_close(&socket);
        } else if self.input == FloodInput::TlsConnections {
            let received = socket.read(&mut [0; 1])?;
            self.totals.bytes_received.fetch_add(received as u64, Ordering::Relaxed);
        }
        Ok(())
    }

    fn write_stream(&self, mut socket: &TcpStream) -> io::Result<()> {
        let one_by_one = self.input == FloodInput::SingleBytes;
        while !self.is_stopped() {
            let batch = self.input.batch();
            let chunk_bytes = if one_by_one { 1 } else { batch.len() };
            for chunk in batch.chunks(chunk_bytes) {
                self.write_chunk(&mut socket, chunk)?;
            }
        }
        Ok(())
    }

    /// Writes all bytes, however long the router lets the client wait.
    fn write_chunk(&self, socket: &mut &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() && !self.is_stopped() {
            match socket.write(bytes) {
                Ok(written) => bytes = &bytes[written..],
                Err(error) if is_timeout(&error) => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    fn read_until_close(&self, mut socket: &TcpStream) {
        let mut buffer = vec![0; READ_BYTES];
        while !self.is_stopped() {
            match socket.read(&mut buffer) {
                Ok(0) => return,
                Ok(received) => {
                    self.totals.bytes_received.fetch_add(received as u64, Ordering::Relaxed);
                }
                Err(error) if is_timeout(&error) => {}
                Err(_) => return,
            }
        }
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted)
}
