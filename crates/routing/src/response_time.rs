//! An estimate of how long discovery takes for an answer, as RFC 6298 makes it for TCP's retransmission timer.

/// Weight of a new sample in the smoothed time (RFC 6298: alpha).
const SMOOTHING_WEIGHT: f64 = 1.0 / 8.0;
/// Weight of a new sample in the mean deviation (RFC 6298: beta).
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// Deviations by which an answer may take longer than the smoothed time (RFC 6298: K).
const DEVIATIONS_ALLOWED: f64 = 4.0;
/// Seconds by which an answer may take longer even if the times never differed: scheduling on both sides (RFC 6298: G).
const MIN_MARGIN_SECONDS: f64 = 0.1;

/// Smoothed response time and its mean deviation, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Smoothed {
    time: f64,
    deviation: f64,
}

/// The estimated time within which an answer arrives. Without a sample there is no estimate.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResponseTime {
    smoothed: Option<Smoothed>,
}

impl ResponseTime {
    /// Records the time that an answer took, in seconds.
    pub fn record(&mut self, sample: f64) {
        self.smoothed = Some(match self.smoothed {
            None => Smoothed { time: sample, deviation: sample / 2.0 },
            Some(Smoothed { time, deviation }) => Smoothed {
                deviation: weigh(deviation, (sample - time).abs(), DEVIATION_WEIGHT),
                time: weigh(time, sample, SMOOTHING_WEIGHT),
            },
        });
    }

    /// Forgets all samples before this one, as they no longer describe discovery; seconds.
    pub fn restart(&mut self, sample: f64) {
        *self = ResponseTime::default();
        self.record(sample);
    }

    /// Returns the time within which the next answer is expected, in seconds, between `least` and `most`.
    pub fn expected_within(&self, least: f64, most: f64) -> f64 {
        let Some(Smoothed { time, deviation }) = self.smoothed else { return least };
        let margin = (DEVIATIONS_ALLOWED * deviation).max(MIN_MARGIN_SECONDS);
        (time + margin).min(most).max(least)
    }
}

/// Moves `mean` towards `sample` by this weight.
fn weigh(mean: f64, sample: f64, weight: f64) -> f64 {
    mean + weight * (sample - mean)
}
