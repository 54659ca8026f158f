//! Traces: scripts of calls and faults with the expected outcomes, one event per line.
//!
//! ```text
//! 5s    call POST /order/orders a1 at order-1
//! 5.5s  pause press-1 6s
//! 30s   expect a1 whole
//! 30s   expect-runs POST /order/orders a1 1
//! ```

use crate::plan::SETTLE_TIME;
use crate::Action;
use crate::ActionOutcome;
use crate::ClusterConfig;
use crate::Fault;
use crate::World;
use std::time::Duration;
use stdx::Time;

/// Why the replay of a trace failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TraceError {
    /// This line (from 1) cannot be parsed, or names something that does not exist.
    InvalidLine(usize),
    /// The outcome expected by this line (from 1) did not occur; the text says what was found.
    UnexpectedOutcome(usize, String),
    /// A guarantee was violated; the text is the report.
    Violation(String),
}

/// Replays a trace in a [`ClusterConfig::small`] cluster with seed 1.
///
/// # Errors
///
/// [`TraceError`] for the first invalid line, unexpected outcome or violated guarantee.
///
/// # Examples
///
/// ```
/// let text = "\
/// 5s  call POST /order/orders a1 at press-2
/// 10s expect a1 whole
/// 10s expect-runs POST /royalty/charges a1>0>0 1";
/// assert!(trial::replay(text).is_ok());
/// assert!(trial::replay("5s expect a1 whole").is_err());
/// ```
pub fn replay(text: &str) -> Result<World, TraceError> {
    let (world, result) = replay_with_world(text);
    result.map(|()| world)
}

/// As [`replay`], but also returns the world if the replay fails, in its state at the failure.
pub fn replay_with_world(text: &str) -> (World, Result<(), TraceError>) {
    let mut world = World::new(1, ClusterConfig::small());
    let mut result = Ok(());
    for (index, line) in text.lines().enumerate() {
        let line = line.split('#').next().unwrap_or_default();
        let words: Vec<&str> = line.split_whitespace().collect();
        result = run_line(&mut world, index + 1, &words);
        if result.is_err() {
            break;
        }
    }
    (world, result)
}

fn run_line(world: &mut World, line_number: usize, words: &[&str]) -> Result<(), TraceError> {
    let Some((at, words)) = words.split_first() else {
        return Ok(());
    };
    let at = parse_duration(at).ok_or(TraceError::InvalidLine(line_number))?;
    world.run_until(Time::ZERO + at);
    let result = run_command(world, words);
    if let Some(violation) = world.checker.violations.first() {
        return Err(TraceError::Violation(violation.clone()));
    }
    result.map_err(|error| match error {
        None => TraceError::InvalidLine(line_number),
        Some(actual) => TraceError::UnexpectedOutcome(line_number, actual),
    })
}

/// Runs one command. The error is `None` for an invalid line, otherwise the unexpected outcome.
fn run_command(world: &mut World, words: &[&str]) -> Result<(), Option<String>> {
    match words {
        ["call", method, path, body, options @ ..] => {
            let operation = world.cluster.operation_index(method, path).ok_or(None)?;
            let mut action = Action::new(operation, body);
            action.max_resends = 0;
            let mut node = None;
            for option in options.chunks(2) {
                match option {
                    ["at", name] => node = Some(world.node_index(name).ok_or(None)?),
                    ["key", key] => action.key = Some((*key).into()),
                    ["patience", time] => {
                        action.attempt_timeout = parse_duration(time).ok_or(None)?
                    }
                    ["resends", count] => action.max_resends = count.parse().map_err(|_| None)?,
                    _ => return Err(None),
                }
            }
            world.submit(world.now, action, node);
            Ok(())
        }
        ["again", body, "at", name] => {
            let node = Some(world.node_index(name).ok_or(None)?);
            let action = action_index(world, body)?;
            world.send_again(action, node);
            Ok(())
        }
        ["settle"] => {
            world.settle(SETTLE_TIME);
            Ok(())
        }
        ["expect", body, expected @ ..] => expect_one_of(
            expected,
            outcome_name(world.actions[action_index(world, body)?].ended),
        ),
        ["expect-runs", method, path, body, counts @ ..] => {
            let operation = world.cluster.operation_index(method, path).ok_or(None)?;
            let operation = &world.cluster.operations[operation];
            let runs = world.checker.run_count(operation, body.as_bytes());
            expect_one_of(counts, runs.to_string())
        }
        ["expect-crashes", poison, counts @ ..] => {
            let crashes = world.checker.crashes_by_poison.get(*poison).unwrap_or(&0);
            expect_one_of(counts, crashes.to_string())
        }
        ["expect-all", expected @ ..] => {
            let mut actual = world
                .actions
                .iter()
                .map(|action| (action, outcome_name(action.ended)));
            match actual.find(|(_, outcome)| !expected.contains(&&**outcome)) {
                None => Ok(()),
                Some((action, outcome)) => Err(Some(format!("{} {outcome}", action.body))),
            }
        }
        ["expect-version", version] => {
            let engines = world.nodes.iter().filter_map(|node| node.engine.as_ref());
            let versions: Vec<_> = engines.map(|e| e.rules_version().to_string()).collect();
            if versions.iter().all(|v| v == version) {
                Ok(())
            } else {
                Err(Some(format!("{versions:?}")))
            }
        }
        _ => {
            let fault = parse_fault(world, words).ok_or(None)?;
            world.inject_fault(fault);
            Ok(())
        }
    }
}

fn parse_fault(world: &World, words: &[&str]) -> Option<Fault> {
    let node = |name: &str| world.node_index(name);
    Some(match words {
        ["kill", a] => Fault::Kill(node(a)?),
        ["restart", a] => Fault::Restart(node(a)?),
        ["replace", a] => Fault::Replace(node(a)?),
        ["pause", a, time] => Fault::Pause(node(a)?, parse_duration(time)?),
        ["pause-at-run", a, time] => Fault::PauseAtRun(node(a)?, parse_duration(time)?),
        ["stop", a] => Fault::Stop(node(a)?),
        ["start", a] => Fault::Start(node(a)?),
        ["cut", a, b] => Fault::Cut(node(a)?, node(b)?),
        ["cut-one-way", a, b] => Fault::CutOneWay(node(a)?, node(b)?),
        ["cut-region", region] => Fault::CutRegion((*region).into()),
        ["heal"] => Fault::Heal,
        ["silent", a, b] => Fault::Silent(node(a)?, node(b)?),
        ["reset", a, b] => Fault::Reset(node(a)?, node(b)?),
        ["datagrams", loss, duplicates] => {
            Fault::Datagrams(loss.parse().ok()?, duplicates.parse().ok()?)
        }
        ["log", "down"] => Fault::LogDown(true),
        ["log", "up"] => Fault::LogDown(false),
        ["log", "cut", a] => Fault::LogCut(node(a)?, true),
        ["log", "mend", a] => Fault::LogCut(node(a)?, false),
        ["log", "slow", time] => Fault::LogSlow(parse_duration(time)?),
        ["log", "lose", count] => Fault::LogLose(count.parse().ok()?),
        ["log", "expire", keep] => Fault::LogExpire(keep.parse().ok()?),
        ["publish", operators] => Fault::Publish(operators.parse().ok()?),
        ["crash", a] => Fault::Crash(node(a)?),
        ["slow", service, factor] => Fault::Slow((*service).into(), factor.parse().ok()?),
        ["poison", body] => Fault::Poison((*body).into()),
        ["surge", service, count] => Fault::Surge((*service).into(), count.parse().ok()?),
        _ => return None,
    })
}

fn action_index(world: &World, body: &str) -> Result<usize, Option<String>> {
    world
        .actions
        .iter()
        .position(|action| action.body == body)
        .ok_or(None)
}

fn expect_one_of(expected: &[&str], actual: String) -> Result<(), Option<String>> {
    match expected.contains(&&*actual) {
        true => Ok(()),
        false => Err(Some(actual)),
    }
}

fn outcome_name(ended: Option<(Time, ActionOutcome)>) -> String {
    let Some((_, outcome)) = ended else {
        return "none".to_owned();
    };
    match outcome {
        ActionOutcome::Succeeded => "whole".to_owned(),
        ActionOutcome::Failed => "failed".to_owned(),
        ActionOutcome::NotRun(reason) => format!("not-run:{}", reason.name()),
        ActionOutcome::Unknown(reason) => format!("unknown:{}", reason.name()),
        ActionOutcome::Abandoned => "gave-up".to_owned(),
    }
}

fn parse_duration(word: &str) -> Option<Duration> {
    if let Some(millis) = word.strip_suffix("ms") {
        return millis.parse().ok().map(Duration::from_millis);
    }
    word.strip_suffix('s')?
        .parse()
        .ok()
        .map(Duration::from_secs_f64)
}
