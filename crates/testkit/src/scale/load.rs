//! Clients in an open loop: each request is sent when it is due, whether earlier ones are answered or not.

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

/// A session that has been idle for so long is not used again: the router ends idle ones after two seconds.
const MAX_IDLE: Duration = Duration::from_secs(1);

/// One request.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    /// When it is due, from the start of the load.
    at: Duration,
    number: u64,
    is_write: bool,
    group: u64,
}

/// The requests of a plan: a Poisson process, each request to a replica set drawn evenly.
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

/// Sends all requests of the plan, and returns once the last is answered, with what they were answered.
pub(super) fn run(plan: &ScalePlan, router: SocketAddr) -> Answers {
    let sessions = Sessions { router, idle: Mutex::new(Vec::new()) };
    let answers = Mutex::new(Answers::default());
    let send = |arrival| {
        let answer = sessions.ask(arrival);
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

/// Sessions with the router; there are as many as there were ever requests at a time.
struct Sessions {
    router: SocketAddr,
    /// With the time from which each has been idle, the longest first.
    idle: Mutex<Vec<(Instant, Client)>>,
}

impl Sessions {
    fn ask(&self, arrival: Arrival) -> io::Result<String> {
        let Arrival { number, is_write, group, .. } = arrival;
        let mut session = self.take()?;
        let answer = session.ask(&statement_text(number, is_write, group))?;
        lock(&self.idle).push((Instant::now(), session));
        Ok(answer)
    }

    /// The session that was used last, or a new one.
    fn take(&self) -> io::Result<Client> {
        let mut idle = lock(&self.idle);
        idle.retain(|(since, _)| since.elapsed() < MAX_IDLE);
        if let Some((_, session)) = idle.pop() {
            return Ok(session);
        }
        drop(idle);
        let mut session = Client::connect(self.router)?;
        session.socket.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        session.answer()?;
        Ok(session)
    }
}
