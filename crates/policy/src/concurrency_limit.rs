//! The adaptive concurrency limit of one backend server.
//!
//! The limit follows the ratio of the backend server's own time, without its waits for child calls,
//! to the time that it takes when nothing is queued inside it. A longer time alone does not tell
//! whether work is queued inside the server or the server itself has become slower. A gradient
//! limit (Netflix's concurrency-limits) mistakes the second for the first and lowers the limit
//! until slots stand empty. A large rise is therefore probed once with a lower limit: if work was
//! queued inside the server, the time falls; if the server is slower, it does not. In the second
//! case the new time becomes the expected time and the limit is restored.

use proto::Class;
use std::time::Duration;
use stdx::Time;

/// Initial limit of a server without measurements.
const INITIAL_LIMIT: f64 = 16.0;

/// Below this ratio of measured to expected time the limit rises.
const RISE_BELOW: f64 = 1.15;

/// Above this ratio of measured to expected time the limit falls.
const FALL_ABOVE: f64 = 1.3;

/// Above this ratio the limit is lowered once to probe whether the server itself has become slower.
const PROBE_ABOVE: f64 = 2.0;

/// Factor applied to the limit during a probe.
const PROBE_FACTOR: f64 = 0.7;

/// Minimum number of measurements per decision.
const MIN_SAMPLES: f64 = 30.0;

/// Number of classes, each with an expected time of its own.
const CLASSES: usize = 5;

/// The adaptive concurrency limit of one backend server.
#[derive(Debug)]
pub(crate) struct ConcurrencyLimit {
    min: f64,
    max: f64,
    limit: f64,
    /// No congestion has been seen yet, so the limit doubles with each increase.
    cold: bool,
    /// The expected own time by class, in seconds.
    expected: [Option<f64>; CLASSES],
    window: Window,
    probe: Option<Probe>,
    /// Work that started before this is not measured, because it ran under another limit.
    measure_from: Time,
}

/// Measurements since the last decision.
#[derive(Debug, Default)]
struct Window {
    samples: u32,
    /// Sum of the measured own times, in seconds.
    measured_sum: f64,
    /// Sum of the expected times, in seconds.
    expected_sum: f64,
    /// Number of measurements taken while the limit was reached.
    at_limit_samples: u32,
    /// Whether the server refused work by itself.
    refused: bool,
    /// Number and sum of the measured own times by class.
    by_class: [(u32, f64); CLASSES],
}

/// The limit and the time ratio from before a probe.
#[derive(Debug)]
struct Probe {
    limit: f64,
    ratio: f64,
}

impl ConcurrencyLimit {
    pub(crate) fn new(min: u16, max: u16) -> Self {
        let mut limit = Self {
            min: f64::from(min),
            max: f64::from(max),
            limit: INITIAL_LIMIT,
            cold: true,
            expected: [None; CLASSES],
            window: Window::default(),
            probe: None,
            measure_from: Time::ZERO,
        };
        limit.clamp();
        limit
    }

    pub(crate) fn get(&self) -> u16 {
        self.limit as u16
    }

    /// The limit for protected classes. It is twice the limit while the server is cold, because the
    /// capacity of a cold server is unknown, and an order that may fit is not refused for that
    /// alone.
    pub(crate) fn for_protected(&self) -> u16 {
        if self.cold {
            (self.limit * 2.0).min(self.max) as u16
        } else {
            self.get()
        }
    }

    pub(crate) fn set_bounds(&mut self, min: u16, max: u16) {
        self.min = f64::from(min);
        self.max = f64::from(max);
        self.clamp();
    }

    /// Sets the limit to its upper bound, for a server without slow start.
    pub(crate) fn set_to_max(&mut self) {
        self.limit = self.max;
        self.cold = false;
    }

    /// Starts again from the initial limit after the server was down. A crash says nothing about
    /// congestion, so the expected times are kept.
    pub(crate) fn restart(&mut self, now: Time) {
        self.limit = INITIAL_LIMIT;
        self.cold = true;
        self.probe = None;
        self.window = Window::default();
        self.measure_from = now;
        self.clamp();
    }

    /// Records that the server refused work by itself.
    pub(crate) fn on_refused(&mut self) {
        self.window.refused = true;
    }

    /// Records a measurement: work of `class` that ended now and kept the server busy for
    /// `own_time`. `at_limit` tells whether the limit was reached.
    pub(crate) fn record(&mut self, now: Time, class: Class, own_time: Duration, at_limit: bool) {
        if now.since(self.measure_from) < own_time {
            return;
        }
        let own_time = own_time.as_secs_f64();
        let class = class as usize;
        let expected = *self.expected[class].get_or_insert(own_time);
        self.window.samples += 1;
        self.window.measured_sum += own_time;
        self.window.expected_sum += expected;
        self.window.at_limit_samples += u32::from(at_limit);
        self.window.by_class[class].0 += 1;
        self.window.by_class[class].1 += own_time;
        if f64::from(self.window.samples) >= (2.0 * self.limit).max(MIN_SAMPLES) {
            self.adjust(now);
        }
    }

    fn adjust(&mut self, now: Time) {
        let window = std::mem::take(&mut self.window);
        let ratio = window.measured_sum / window.expected_sum.max(1e-9);
        let at_limit = window.at_limit_samples * 2 > window.samples;
        if let Some(probe) = self.probe.take() {
            self.finish_probe(now, probe, ratio);
        } else if window.refused {
            self.limit *= 0.9;
            self.cold = false;
        } else if ratio > PROBE_ABOVE && at_limit {
            self.probe = Some(Probe {
                limit: self.limit,
                ratio,
            });
            self.limit *= PROBE_FACTOR;
            self.cold = false;
            self.measure_from = now;
        } else if ratio > FALL_ABOVE {
            self.limit -= (self.limit * 0.03).max(1.0);
            self.cold = false;
        } else if ratio < RISE_BELOW && at_limit {
            self.limit += if self.cold {
                self.limit
            } else {
                (self.limit * 0.05).max(1.0)
            };
        }
        self.update_expected(&window, at_limit);
        self.clamp();
    }

    /// Evaluates a probe. If the time did not fall with less concurrency, no work was queued inside
    /// the server: it is slower, and the limit from before the probe is restored.
    fn finish_probe(&mut self, now: Time, probe: Probe, ratio: f64) {
        let halfway = probe.ratio * (1.0 + PROBE_FACTOR) / 2.0;
        if ratio > halfway {
            for expected in self.expected.iter_mut().flatten() {
                *expected *= ratio;
            }
            self.limit = probe.limit;
            self.measure_from = now;
        }
    }

    /// Expected times follow a shorter measured time quickly, and a longer one slowly and only
    /// while the limit is not reached, when nothing can have been queued inside the server.
    fn update_expected(&mut self, window: &Window, at_limit: bool) {
        for (expected, (samples, measured)) in self.expected.iter_mut().zip(window.by_class) {
            let Some(expected) = expected.as_mut().filter(|_| samples >= 4) else {
                continue;
            };
            let mean = measured / f64::from(samples);
            if mean < *expected {
                *expected += 0.25 * (mean - *expected);
            } else if !at_limit {
                *expected += 0.1 * (mean - *expected);
            }
        }
    }

    fn clamp(&mut self) {
        self.limit = self.limit.clamp(self.min, self.max.max(self.min));
    }
}
