//! Parses fault scripts.

use crate::fault_proxy::LinkFaults;

use super::{Fault, Step};

/// Reason why a script cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {source}")]
pub struct ScriptError {
    /// Number of the line, counted from one.
    pub line: usize,
    /// Reason why the line is rejected.
    pub source: StepError,
}

/// Reason why a line of a script is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StepError {
    /// The line does not start with a time of zero or more seconds.
    #[error("a step begins with its time in seconds")]
    NoTime,
    /// A router name does not have the form `r2`, or its index is not below the number of routers.
    #[error("no router is called {0:?}")]
    UnknownRouter(String),
    /// The step is unknown, or its arguments are missing or superfluous.
    #[error("unknown step {0:?}")]
    UnknownStep(String),
    /// The name of a link fault is unknown.
    #[error("no link fault is called {0:?}")]
    UnknownLinkFault(String),
    /// The value of a link fault is out of range.
    #[error("{0:?}: expected a number from 0 to 1")]
    BadLinkFault(String),
    /// A number of clients is not a valid integer.
    #[error("load: {0}")]
    BadLoad(#[from] std::num::ParseIntError),
}

/// Parses a script with one step on each line: `1.5 kill r2`, `2 stop leader`, `2 part r0,r1 r2,r3`, `3 cut r0 r1`,
/// `3 links lost=0.1 twice=0.1 delay=0.02`, `4 heal`, `5 start r2`, `5 term r1`, `6 load 4,0,40`. A `#` starts a comment.
/// Returns the steps in the order of their times. The error contains the number of the line.
pub fn parse_script(text: &str, routers: usize) -> Result<Vec<Step>, ScriptError> {
    let parser = StepParser { routers };
    let mut steps = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let step = parser.step(line).map_err(|source| ScriptError { line: index + 1, source })?;
        steps.extend(step);
    }
    steps.sort_by(|a: &Step, b| a.at.total_cmp(&b.at));
    Ok(steps)
}

struct StepParser {
    /// Number of routers.
    routers: usize,
}

impl StepParser {
    /// Returns the step on a line, or `None` if the line is empty or a comment.
    fn step(&self, line: &str) -> Result<Option<Step>, StepError> {
        let line = line.split('#').next().unwrap_or("");
        let words: Vec<&str> = line.split_whitespace().collect();
        let Some((time, words)) = words.split_first() else { return Ok(None) };
        let at = parse_time(time).ok_or(StepError::NoTime)?;
        Ok(Some(Step { at, fault: self.fault(words)? }))
    }

    fn fault(&self, words: &[&str]) -> Result<Fault, StepError> {
        Ok(match words {
            ["start", router] => Fault::Start(self.router(router)?),
            ["kill", router] => Fault::Kill(self.router(router)?),
            // "keeper" and "weather" are the former names of "leader" and "links".
            ["stop", "leader" | "keeper"] => Fault::Pause(None),
            ["stop", router] => Fault::Pause(Some(self.router(router)?)),
            ["continue", router] => Fault::Resume(self.router(router)?),
            ["term", router] => Fault::Terminate(self.router(router)?),
            ["reload", router] => Fault::Reload(self.router(router)?),
            ["part", sides @ ..] => Fault::Partition(self.sides(sides)?),
            ["cut", from, to] => Fault::Cut(self.router(from)?, self.router(to)?),
            ["links" | "weather", faults @ ..] => Fault::Links(parse_link_faults(faults)?),
            ["heal"] => Fault::Heal,
            ["load", counts] => Fault::Load(parse_load(counts)?),
            _ => return Err(StepError::UnknownStep(words.join(" "))),
        })
    }

    fn router(&self, word: &str) -> Result<usize, StepError> {
        let index = word.strip_prefix('r').and_then(|digits| digits.parse().ok());
        let index = index.filter(|index| *index < self.routers);
        index.ok_or_else(|| StepError::UnknownRouter(word.to_string()))
    }

    fn sides(&self, words: &[&str]) -> Result<Vec<Vec<usize>>, StepError> {
        let side = |word: &&str| word.split(',').map(|router| self.router(router)).collect();
        words.iter().map(side).collect()
    }
}

fn parse_time(word: &str) -> Option<f64> {
    word.parse().ok().filter(|time: &f64| time.is_finite() && *time >= 0.0)
}

fn parse_load(counts: &str) -> Result<Vec<usize>, StepError> {
    Ok(counts.split(',').map(str::parse).collect::<Result<_, _>>()?)
}

fn parse_link_faults(words: &[&str]) -> Result<LinkFaults, StepError> {
    let mut faults = LinkFaults::default();
    for word in words {
        let (name, value) = word.split_once('=').unwrap_or((word, ""));
        let value = value.parse::<f64>().ok().filter(|value| (0.0..=1.0).contains(value));
        let value = value.ok_or_else(|| StepError::BadLinkFault(word.to_string()))?;
        match name {
            "lost" => faults.loss = value,
            "twice" => faults.duplication = value,
            "delay" => faults.max_delay_seconds = value,
            "held" => faults.held = value > 0.0,
            _ => return Err(StepError::UnknownLinkFault(name.to_string())),
        }
    }
    Ok(faults)
}
