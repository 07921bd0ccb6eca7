//! Open-loop load: each request is sent when it is due, whether or not earlier requests have been answered.

use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::cluster::{ANSWER_TIMEOUT, Answers, statement_text};
use crate::stand_in::Client;
use crate::sync::lock;

use super::plan::ScalePlan;

/// Sessions that have been idle for longer are not reused, as the router closes idle ones after two seconds.
const MAX_IDLE: Duration = Duration::from_secs(1);

/// One request of the load.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    /// Time from the start of the load at which the request is due.
    at: Duration,
    number: u64,
    is_write: bool,
    group: u64,
}

/// Draws the requests of a plan: their times from a Poisson process, the replica set of each from a uniform distribution.
fn arrivals(plan: &ScalePlan) -> Vec<Arrival> {
    let mut random = SmallRng::seed_from_u64(plan.seed);
    let mut times: Vec<Duration> =
        (0..plan.requests()).map(|_| plan.duration.mul_f64(random.random::<f64>())).collect();
    times.sort();
    let arrival = |(number, at)| Arrival {
        at,
        number: number as u64,
        is_write: plan.write_every > 0 && number % plan.write_every == 0,
        group: random.random_range(1..=plan.groups() as u64),
    };
    times.into_iter().enumerate().map(arrival).collect()
}

/// Sends all requests of the plan, waits for the last answer, and returns the counts of the answers.
pub(super) fn run(plan: &ScalePlan, router: SocketAddr) -> Answers {
    let sessions = Sessions { router, idle: Mutex::new(Vec::new()) };
    let answers = Mutex::new(Answers::default());
    let send = |arrival| {
        let answer = sessions.send(arrival);
        lock(&answers).count(answer.as_deref().ok());
    };
    let started = Instant::now();
    thread::scope(|scope| {
        for arrival in arrivals(plan) {
            thread::sleep(arrival.at.saturating_sub(started.elapsed()));
            let send = &send;
            scope.spawn(move || send(arrival));
        }
    });
    answers.into_inner().unwrap_or_default()
}

/// Sessions with the router. A new one is opened if all others are in use.
struct Sessions {
    router: SocketAddr,
    /// Idle sessions with the time at which each became idle, the longest idle first.
    idle: Mutex<Vec<(Instant, Client)>>,
}

impl Sessions {
    fn send(&self, arrival: Arrival) -> io::Result<String> {
        let Arrival { number, is_write, group, .. } = arrival;
        let mut session = self.acquire()?;
        let answer = session.query(&statement_text(number, is_write, group))?;
        lock(&self.idle).push((Instant::now(), session));
        Ok(answer)
    }

    /// Returns the session that was used last, or a new one if none is idle.
    fn acquire(&self) -> io::Result<Client> {
        let mut idle = lock(&self.idle);
        idle.retain(|(since, _)| since.elapsed() < MAX_IDLE);
        if let Some((_, session)) = idle.pop() {
            return Ok(session);
        }
        drop(idle);
        let mut session = Client::connect(self.router)?;
        session.socket.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        session.read_answer()?;
        Ok(session)
    }
}
