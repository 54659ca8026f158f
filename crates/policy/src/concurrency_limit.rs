//! The adaptive concurrency limit of one backend server.
//!
//! The measure is the backend server's own time, without its waits for child calls, against the
//! time that it takes when nothing waits inside it. A longer time alone does not say whether work
//! waits inside the server or the server itself has become slower: a gradient limit (Netflix's
//! concurrency-limits) takes the second for the first, and goes down until the slots stand empty.
//! So a large rise is put to the test once: with less concurrency the time falls if work waited
//! inside, and stays if the server is slower. In the second case the new time becomes the measure
//! and the limit comes back.

use proto::Class;
use std::time::Duration;
use stdx::Time;

/// The limit of a server about which nothing is known yet.
const COLD: f64 = 16.0;

/// Below this ratio of measured to expected time the limit rises.
const RISE_BELOW: f64 = 1.15;

/// Above this ratio it falls.
const FALL_ABOVE: f64 = 1.3;

/// Above this ratio it is put to the test whether the server itself has become slower.
const TEST_ABOVE: f64 = 2.0;

/// What is left of the limit during the test.
const TEST_CUT: f64 = 0.7;

/// The fewest measurements that a decision rests on.
const MIN_SAMPLES: f64 = 30.0;

/// The classes, each with an expected time of its own.
const CLASSES: usize = 5;

/// The adaptive concurrency limit of one backend server.
#[derive(Debug)]
pub(crate) struct Limit {
    min: f64,
    max: f64,
    limit: f64,
    /// Nothing has shown yet where the limit is: it doubles.
    cold: bool,
    /// The expected time by class, in seconds.
    expected: [Option<f64>; CLASSES],
    window: Window,
    test: Option<Test>,
    /// Work that began before this says nothing about the present limit.
    not_before: Time,
}

/// Measurements since the last decision.
#[derive(Debug, Default)]
struct Window {
    samples: u32,
    took: f64,
    expected: f64,
    full: u32,
    refused: bool,
    by_class: [(u32, f64); CLASSES],
}

/// What held before the limit was cut for a test.
#[derive(Debug)]
struct Test {
    limit: f64,
    ratio: f64,
}

impl Limit {
    pub(crate) fn new(min: u16, max: u16) -> Self {
        let mut limit = Self {
            min: f64::from(min),
            max: f64::from(max),
            limit: COLD,
            cold: true,
            expected: [None; CLASSES],
            window: Window::default(),
            test: None,
            not_before: Time::ZERO,
        };
        limit.clamp();
        limit
    }

    pub(crate) fn get(&self) -> u16 {
        self.limit as u16
    }

    /// The limit for protected classes. A cold server has not shown yet what it can do, and an order
    /// that fits is not refused for that alone.
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

    /// Goes to the upper bound, for a server that does not start slowly.
    pub(crate) fn set_to_max(&mut self) {
        self.limit = self.max;
        self.cold = false;
    }

    /// The server was down and comes back cold. A crash says nothing about congestion, so the
    /// expected times stay.
    pub(crate) fn restart(&mut self, now: Time) {
        self.limit = COLD;
        self.cold = true;
        self.test = None;
        self.window = Window::default();
        self.not_before = now;
        self.clamp();
    }

    /// The server refused work by itself.
    pub(crate) fn refused(&mut self) {
        self.window.refused = true;
    }

    /// Takes a measurement: work of `class` that ended now and kept the server busy for `own`.
    /// `full` says that as much was running as the limit allows.
    pub(crate) fn sample(&mut self, now: Time, class: Class, own: Duration, full: bool) {
        if now.since(self.not_before) < own {
            return;
        }
        let own = own.as_secs_f64();
        let class = class as usize;
        let expected = *self.expected[class].get_or_insert(own);
        self.window.samples += 1;
        self.window.took += own;
        self.window.expected += expected;
        self.window.full += u32::from(full);
        self.window.by_class[class].0 += 1;
        self.window.by_class[class].1 += own;
        if f64::from(self.window.samples) >= (2.0 * self.limit).max(MIN_SAMPLES) {
            self.decide(now);
        }
    }

    fn decide(&mut self, now: Time) {
        let window = std::mem::take(&mut self.window);
        let ratio = window.took / window.expected.max(1e-9);
        let full = window.full * 2 > window.samples;
        if let Some(test) = self.test.take() {
            self.conclude(now, test, ratio);
        } else if window.refused {
            self.limit *= 0.9;
            self.cold = false;
        } else if ratio > TEST_ABOVE && full {
            self.test = Some(Test {
                limit: self.limit,
                ratio,
            });
            self.limit *= TEST_CUT;
            self.cold = false;
            self.not_before = now;
        } else if ratio > FALL_ABOVE {
            self.limit -= (self.limit * 0.03).max(1.0);
            self.cold = false;
        } else if ratio < RISE_BELOW && full {
            self.limit += if self.cold {
                self.limit
            } else {
                (self.limit * 0.05).max(1.0)
            };
        }
        self.learn(&window, full);
        self.clamp();
    }

    /// With less concurrency the time fell if work had waited inside the server. If it did not,
    /// the server itself is slower and the old limit was right.
    fn conclude(&mut self, now: Time, test: Test, ratio: f64) {
        let halfway = test.ratio * (1.0 + TEST_CUT) / 2.0;
        if ratio > halfway {
            for expected in self.expected.iter_mut().flatten() {
                *expected *= ratio;
            }
            self.limit = test.limit;
            self.not_before = now;
        }
    }

    /// Expected times follow a shorter time at once, and a longer one only while nothing can have
    /// waited inside the server.
    fn learn(&mut self, window: &Window, full: bool) {
        for (expected, (samples, took)) in self.expected.iter_mut().zip(window.by_class) {
            let Some(expected) = expected.as_mut().filter(|_| samples >= 4) else {
                continue;
            };
            let mean = took / f64::from(samples);
            if mean < *expected {
                *expected += 0.25 * (mean - *expected);
            } else if !full {
                *expected += 0.1 * (mean - *expected);
            }
        }
    }

    fn clamp(&mut self) {
        self.limit = self.limit.clamp(self.min, self.max.max(self.min));
    }
}
