//! `limit SERVICE [concurrency=MIN..MAX] [queue=TIME]`, `keys SERVICE retention=TIME` and
//! `resends SERVICE percent=N`.

use super::words::bounded_duration;
use super::words::parse_name;
use super::words::parse_number;
use super::words::parse_options;
use super::words::LineResult;
use super::words::Word;
use crate::LimitKind;
use crate::RuleErrorKind;
use crate::RuleOrigin;
use crate::Rules;
use crate::ServiceLimits;

pub(super) fn parse_limit(
    words: &[Word],
    end_column: u32,
    origin: RuleOrigin,
    rules: &mut Rules,
) -> LineResult<()> {
    let service = parse_name(words, end_column)?;
    let limit = rules.limits.entry(service.into()).or_default();
    let options = parse_options(words, 1)?;
    if options.is_empty() {
        return Err((end_column, RuleErrorKind::Missing("concurrency or queue")));
    }
    for (column, option, value) in options {
        match option {
            "concurrency" => {
                let bounds = parse_concurrency(value).ok_or((column, BAD_CONCURRENCY))?;
                (limit.min_concurrency, limit.max_concurrency) = bounds;
                record_origin(limit, column, LimitKind::Concurrency, &origin)?;
            }
            "queue" => {
                limit.max_queue_time = bounded_duration(value).ok_or((column, BAD_QUEUE))?;
                record_origin(limit, column, LimitKind::Queue, &origin)?;
            }
            _ => return Err((column, RuleErrorKind::UnknownOption(option.to_owned()))),
        }
    }
    Ok(())
}

pub(super) fn parse_keys(
    words: &[Word],
    end_column: u32,
    origin: RuleOrigin,
    rules: &mut Rules,
) -> LineResult<()> {
    let service = parse_name(words, end_column)?;
    let limit = rules.limits.entry(service.into()).or_default();
    let (column, value) = single_option(words, end_column, "retention")?;
    limit.key_retention = bounded_duration(value).ok_or((column, BAD_RETENTION))?;
    record_origin(limit, column, LimitKind::KeyRetention, &origin)
}

pub(super) fn parse_resends(
    words: &[Word],
    end_column: u32,
    origin: RuleOrigin,
    rules: &mut Rules,
) -> LineResult<()> {
    let service = parse_name(words, end_column)?;
    let limit = rules.limits.entry(service.into()).or_default();
    let (column, value) = single_option(words, end_column, "percent")?;
    limit.resend_percent = parse_number(value, 0, 1_000).ok_or((column, BAD_PERCENT))?;
    record_origin(limit, column, LimitKind::Resends, &origin)
}

/// Records the origin of a limit. A second rule for the same limit is rejected, because one of the
/// two would have no effect.
fn record_origin(
    limit: &mut ServiceLimits,
    column: u32,
    kind: LimitKind,
    origin: &RuleOrigin,
) -> LineResult<()> {
    if let Some(earlier) = limit.origins.get(&kind) {
        let earlier = earlier.line;
        return Err((column, RuleErrorKind::Duplicate { earlier }));
    }
    limit.origins.insert(kind, origin.clone());
    Ok(())
}

/// Returns the value of the only option that a rule accepts.
fn single_option<'a>(
    words: &[Word<'a>],
    end_column: u32,
    name: &'static str,
) -> LineResult<(u32, &'a str)> {
    let mut found = None;
    for (column, option, value) in parse_options(words, 1)? {
        if option != name {
            return Err((column, RuleErrorKind::UnknownOption(option.to_owned())));
        }
        found = Some((column, value));
    }
    found.ok_or((end_column, RuleErrorKind::Missing(name)))
}

fn parse_concurrency(value: &str) -> Option<(u16, u16)> {
    let (min, max) = value.split_once("..")?;
    let min = parse_number(min, 1, 10_000)?;
    Some((min, parse_number(max, min, 10_000)?))
}

const BAD_CONCURRENCY: RuleErrorKind = RuleErrorKind::BadValue {
    option: "concurrency",
    allowed: "MIN..MAX, each from 1 to 10000",
};
const BAD_QUEUE: RuleErrorKind = RuleErrorKind::BadValue {
    option: "queue",
    allowed: "a duration from 1ms to 24h",
};
const BAD_RETENTION: RuleErrorKind = RuleErrorKind::BadValue {
    option: "retention",
    allowed: "a duration from 1ms to 24h",
};
const BAD_PERCENT: RuleErrorKind = RuleErrorKind::BadValue {
    option: "percent",
    allowed: "a whole number from 0 to 1000",
};
