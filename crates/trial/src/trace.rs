//! Recorded traces of calls and faults, with stated outcomes: one event a line.
//!
//! ```text
//! 5s    call POST /order/orders a1 at order-1
//! 5.5s  pause press-1 6s
//! 30s   expect a1 whole
//! 30s   expect-runs POST /order/orders a1 1
//! ```

use crate::plan::SETTLE;
use crate::Action;
use crate::ActionOutcome;
use crate::ClusterConfig;
use crate::Fault;
use crate::World;
use std::time::Duration;
use stdx::Time;

/// Why a trace cannot be replayed, or did not end as it says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TraceError {
    /// The line (from 1) makes no sense.
    BadLine(usize),
    /// The line's stated outcome is not what happened.
    Unexpected(usize, String),
    /// Something that must always hold did not.
    Violation(String),
}

/// Replays a trace.
///
/// # Errors
///
/// [`TraceError`] for a line that makes no sense, or the first thing that is not as stated.
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
    let (world, result) = replay_all(text);
    result.map(|()| world)
}

/// Replays a trace; gives the world at its end, or where it was not as stated.
pub fn replay_all(text: &str) -> (World, Result<(), TraceError>) {
    let mut world = World::new(1, ClusterConfig::small());
    let mut result = Ok(());
    for (nth, line) in text.lines().enumerate() {
        let line = line.split('#').next().unwrap_or_default();
        let words: Vec<&str> = line.split_whitespace().collect();
        result = run_line(&mut world, nth + 1, &words);
        if result.is_err() {
            break;
        }
    }
    (world, result)
}

fn run_line(world: &mut World, number: usize, words: &[&str]) -> Result<(), TraceError> {
    let Some((at, words)) = words.split_first() else {
        return Ok(());
    };
    let at = duration(at).ok_or(TraceError::BadLine(number))?;
    world.run_until(Time::ZERO + at);
    let step = step(world, words);
    if let Some(violation) = world.checker.violations.first() {
        return Err(TraceError::Violation(violation.clone()));
    }
    step.map_err(|problem| match problem {
        None => TraceError::BadLine(number),
        Some(got) => TraceError::Unexpected(number, got),
    })
}

/// `None` as an error stands for a line that makes no sense, else it says what was found.
fn step(world: &mut World, words: &[&str]) -> Result<(), Option<String>> {
    match words {
        ["call", method, path, body, options @ ..] => {
            let operation = world.cluster.operation(method, path).ok_or(None)?;
            let mut action = Action::new(operation, body);
            action.resends = 0;
            let mut node = None;
            for option in options.chunks(2) {
                match option {
                    ["at", name] => node = Some(world.node(name).ok_or(None)?),
                    ["key", key] => action.key = Some((*key).into()),
                    ["patience", time] => action.attempt_timeout = duration(time).ok_or(None)?,
                    ["resends", count] => action.resends = count.parse().map_err(|_| None)?,
                    _ => return Err(None),
                }
            }
            world.submit(world.now, action, node);
            Ok(())
        }
        ["again", body, "at", name] => {
            let node = Some(world.node(name).ok_or(None)?);
            let action = find(world, body)?;
            world.send_again(action, node);
            Ok(())
        }
        ["settle"] => {
            world.settle(SETTLE);
            Ok(())
        }
        ["expect", body, ends @ ..] => {
            stated(ends, outcome_name(world.actions[find(world, body)?].ended))
        }
        ["expect-runs", method, path, body, counts @ ..] => {
            let operation = world.cluster.operation(method, path).ok_or(None)?;
            let operation = &world.cluster.operations[operation];
            let runs = world.checker.runs(operation, body.as_bytes());
            stated(counts, runs.to_string())
        }
        ["expect-crashes", poison, counts @ ..] => {
            let crashes = world.checker.crashes.get(*poison).unwrap_or(&0);
            stated(counts, crashes.to_string())
        }
        ["expect-all", ends @ ..] => {
            let mut got = world
                .actions
                .iter()
                .map(|action| (action, outcome_name(action.ended)));
            match got.find(|(_, end)| !ends.contains(&&**end)) {
                None => Ok(()),
                Some((action, end)) => Err(Some(format!("{} {end}", action.body))),
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
            let fault = fault(world, words).ok_or(None)?;
            world.inject_fault(fault);
            Ok(())
        }
    }
}

fn fault(world: &World, words: &[&str]) -> Option<Fault> {
    let node = |name: &str| world.node(name);
    Some(match words {
        ["kill", a] => Fault::Kill(node(a)?),
        ["restart", a] => Fault::Restart(node(a)?),
        ["replace", a] => Fault::Replace(node(a)?),
        ["pause", a, time] => Fault::Pause(node(a)?, duration(time)?),
        ["pause-at-run", a, time] => Fault::PauseAtRun(node(a)?, duration(time)?),
        ["stop", a] => Fault::Stop(node(a)?),
        ["start", a] => Fault::Start(node(a)?),
        ["cut", a, b] => Fault::Cut(node(a)?, node(b)?),
        ["cut-one-way", a, b] => Fault::CutOneWay(node(a)?, node(b)?),
        ["cut-region", region] => Fault::CutRegion((*region).into()),
        ["heal"] => Fault::Heal,
        ["silent", a, b] => Fault::Silent(node(a)?, node(b)?),
        ["reset", a, b] => Fault::Reset(node(a)?, node(b)?),
        ["datagrams", loss, twice] => Fault::Datagrams(loss.parse().ok()?, twice.parse().ok()?),
        ["log", "down"] => Fault::LogDown(true),
        ["log", "up"] => Fault::LogDown(false),
        ["log", "cut", a] => Fault::LogCut(node(a)?, true),
        ["log", "mend", a] => Fault::LogCut(node(a)?, false),
        ["log", "slow", time] => Fault::LogSlow(duration(time)?),
        ["log", "lose", count] => Fault::LogLose(count.parse().ok()?),
        ["log", "expire", keep] => Fault::LogExpire(keep.parse().ok()?),
        ["publish", operators] => Fault::Publish(operators.parse().ok()?),
        ["crash", a] => Fault::Crash(node(a)?),
        ["slow", service, times] => Fault::Slow((*service).into(), times.parse().ok()?),
        ["poison", body] => Fault::Poison((*body).into()),
        ["surge", service, count] => Fault::Surge((*service).into(), count.parse().ok()?),
        _ => return None,
    })
}

fn find(world: &World, body: &str) -> Result<usize, Option<String>> {
    world
        .actions
        .iter()
        .position(|action| action.body == body)
        .ok_or(None)
}

fn stated(allowed: &[&str], got: String) -> Result<(), Option<String>> {
    match allowed.contains(&&*got) {
        true => Ok(()),
        false => Err(Some(got)),
    }
}

fn outcome_name(end: Option<(Time, ActionOutcome)>) -> String {
    let Some((_, end)) = end else {
        return "none".to_owned();
    };
    match end {
        ActionOutcome::Succeeded => "whole".to_owned(),
        ActionOutcome::Failed => "failed".to_owned(),
        ActionOutcome::NotRun(reason) => format!("not-run:{}", reason.name()),
        ActionOutcome::Unknown(reason) => format!("unknown:{}", reason.name()),
        ActionOutcome::Abandoned => "gave-up".to_owned(),
    }
}

fn duration(word: &str) -> Option<Duration> {
    if let Some(millis) = word.strip_suffix("ms") {
        return millis.parse().ok().map(Duration::from_millis);
    }
    word.strip_suffix('s')?
        .parse()
        .ok()
        .map(Duration::from_secs_f64)
}
