//! `limit SERVICE [concurrency=MIN..MAX] [queue=TIME]`, `keys SERVICE retention=TIME` and
//! `resends SERVICE percent=N`

use super::words::duration;
use super::words::number;
use super::words::options;
use super::words::service;
use super::words::LineResult;
use super::words::Word;
use crate::LimitKind;
use crate::RuleErrorKind;
use crate::RuleOrigin;
use crate::Rules;
use crate::ServiceLimits;

pub(super) fn parse_limit(
    words: &[Word],
    end: u32,
    origin: RuleOrigin,
    rules: &mut Rules,
) -> LineResult<()> {
    let service = service(words, end)?;
    let limit = rules.limits.entry(service.into()).or_default();
    let options = options(words, 1)?;
    if options.is_empty() {
        return Err((end, RuleErrorKind::Missing("concurrency or queue")));
    }
    for (column, option, value) in options {
        match option {
            "concurrency" => {
                let bounds = concurrency(value).ok_or((column, CONCURRENCY))?;
                (limit.min_concurrency, limit.max_concurrency) = bounds;
                set(limit, column, LimitKind::Concurrency, &origin)?;
            }
            "queue" => {
                limit.queue = duration(value).ok_or((column, QUEUE))?;
                set(limit, column, LimitKind::Queue, &origin)?;
            }
            _ => return Err((column, RuleErrorKind::UnknownOption(option.to_owned()))),
        }
    }
    Ok(())
}

pub(super) fn parse_keys(
    words: &[Word],
    end: u32,
    origin: RuleOrigin,
    rules: &mut Rules,
) -> LineResult<()> {
    let service = service(words, end)?;
    let limit = rules.limits.entry(service.into()).or_default();
    let (column, value) = only_option(words, end, "retention")?;
    limit.key_retention = duration(value).ok_or((column, RETENTION))?;
    set(limit, column, LimitKind::KeyRetention, &origin)
}

pub(super) fn parse_resends(
    words: &[Word],
    end: u32,
    origin: RuleOrigin,
    rules: &mut Rules,
) -> LineResult<()> {
    let service = service(words, end)?;
    let limit = rules.limits.entry(service.into()).or_default();
    let (column, value) = only_option(words, end, "percent")?;
    limit.resend_percent = number(value, 0, 1_000).ok_or((column, PERCENT))?;
    set(limit, column, LimitKind::Resends, &origin)
}

/// Notes who set a bound. Of two rules for the same bound one would be without effect.
fn set(
    limit: &mut ServiceLimits,
    column: u32,
    kind: LimitKind,
    origin: &RuleOrigin,
) -> LineResult<()> {
    if let Some(earlier) = limit.origin.get(&kind) {
        let earlier = earlier.line;
        return Err((column, RuleErrorKind::Duplicate { earlier }));
    }
    limit.origin.insert(kind, origin.clone());
    Ok(())
}

/// The value of the one option that a rule takes.
fn only_option<'a>(words: &[Word<'a>], end: u32, name: &'static str) -> LineResult<(u32, &'a str)> {
    let mut found = None;
    for (column, option, value) in options(words, 1)? {
        if option != name {
            return Err((column, RuleErrorKind::UnknownOption(option.to_owned())));
        }
        found = Some((column, value));
    }
    found.ok_or((end, RuleErrorKind::Missing(name)))
}

fn concurrency(value: &str) -> Option<(u16, u16)> {
    let (min, max) = value.split_once("..")?;
    let min = number(min, 1, 10_000)?;
    Some((min, number(max, min, 10_000)?))
}

const CONCURRENCY: RuleErrorKind = RuleErrorKind::BadValue {
    option: "concurrency",
    allowed: "MIN..MAX, each from 1 to 10000",
};
const QUEUE: RuleErrorKind = RuleErrorKind::BadValue {
    option: "queue",
    allowed: "a duration from 1ms to 24h",
};
const RETENTION: RuleErrorKind = RuleErrorKind::BadValue {
    option: "retention",
    allowed: "a duration from 1ms to 24h",
};
const PERCENT: RuleErrorKind = RuleErrorKind::BadValue {
    option: "percent",
    allowed: "a whole number from 0 to 1000",
};
