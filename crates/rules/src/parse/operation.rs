//! `operation SERVICE METHOD PATH class=CLASS deadline=TIME [objective=TIME] [priority=N] [retries=N]
//! [idempotent] [public]`.

use super::words::bounded_duration;
use super::words::parse_name;
use super::words::parse_number;
use super::words::parse_options;
use super::words::positional_word;
use super::words::LineResult;
use super::words::Word;
use crate::Operation;
use crate::RuleErrorKind;
use crate::RuleOrigin;
use crate::Rules;
use proto::Class;

pub(super) fn parse(
    words: &[Word],
    end_column: u32,
    origin: RuleOrigin,
    rules: &mut Rules,
) -> LineResult<()> {
    let service = parse_name(words, end_column)?;
    let (column, method) = positional_word(words, 1, "method", end_column)?;
    if !is_method(method) {
        return Err((column, BAD_METHOD));
    }
    let (column, path) = positional_word(words, 2, "path", end_column)?;
    if !is_path(path) {
        return Err((column, BAD_PATH));
    }
    let mut class = None;
    let mut deadline = None;
    let mut objective = None;
    let mut priority = 0;
    let mut retries = 0;
    let mut idempotent = false;
    let mut public = false;
    for (column, option, value) in parse_options(words, 3)? {
        match option {
            "class" => class = Some(parse_class(value).ok_or((column, BAD_CLASS))?),
            "deadline" => deadline = Some(bounded_duration(value).ok_or((column, BAD_DEADLINE))?),
            "objective" => {
                objective = Some(bounded_duration(value).ok_or((column, BAD_OBJECTIVE))?);
            }
            "priority" => priority = parse_priority(value).ok_or((column, BAD_PRIORITY))?,
            "retries" => retries = parse_number(value, 0, 10).ok_or((column, BAD_RETRIES))?,
            "idempotent" if value.is_empty() => idempotent = true,
            "idempotent" => return Err((column, BAD_IDEMPOTENT)),
            "public" if value.is_empty() => public = true,
            "public" => return Err((column, BAD_PUBLIC)),
            _ => return Err((column, RuleErrorKind::UnknownOption(option.to_owned()))),
        }
    }
    let deadline = deadline.ok_or((end_column, RuleErrorKind::Missing("deadline")))?;
    let operation = Operation {
        service: service.into(),
        method: method.into(),
        path: path.into(),
        class: class.ok_or((end_column, RuleErrorKind::Missing("class")))?,
        idempotent,
        deadline,
        latency_objective: objective.unwrap_or(deadline),
        priority,
        retries,
        public,
        origin,
    };
    check_reachable(rules, &operation)?;
    rules.operations.push(operation);
    Ok(())
}

/// Rejects an operation that can never match because an earlier one always matches first. Its
/// author would believe it to be in force, and a payment might be treated as the lookup above it.
fn check_reachable(rules: &Rules, operation: &Operation) -> LineResult<()> {
    let matches_first = |earlier: &&Operation| earlier.covers(operation);
    let Some(earlier) = rules.operations.iter().find(matches_first) else {
        return Ok(());
    };
    let is_same_pattern = earlier.method == operation.method && earlier.path == operation.path;
    let earlier = earlier.origin.line;
    Err((
        1,
        match is_same_pattern {
            true => RuleErrorKind::Duplicate { earlier },
            false => RuleErrorKind::Unreachable { earlier },
        },
    ))
}

fn is_method(method: &str) -> bool {
    let is_upper_case = method.bytes().all(|b| b.is_ascii_uppercase() || b == b'-');
    method == "*" || (is_upper_case && method.len() <= 16)
}

/// Whether this is a path without a query, with `*` only at its end.
fn is_path(path: &str) -> bool {
    let prefix = path.strip_suffix('*').unwrap_or(path);
    path.starts_with('/') && !prefix.contains(['*', '?'])
}

fn parse_class(value: &str) -> Option<Class> {
    let classes = [
        Class::Lookup,
        Class::Order,
        Class::Booking,
        Class::Payment,
        Class::PrintJob,
    ];
    classes.into_iter().find(|class| class.name() == value)
}

pub(super) fn parse_priority(value: &str) -> Option<u8> {
    let priority = parse_number(value, 0, u16::from(MAX_PRIORITY))?;
    u8::try_from(priority).ok()
}

/// The least urgent priority that a rule may set.
const MAX_PRIORITY: u8 = 9;

const BAD_METHOD: RuleErrorKind = RuleErrorKind::BadValue {
    option: "method",
    allowed: "an upper-case method, or `*` for any",
};
const BAD_PATH: RuleErrorKind = RuleErrorKind::BadValue {
    option: "path",
    allowed: "a path that starts with `/`, without a query, and with `*` only at the end",
};
const BAD_CLASS: RuleErrorKind = RuleErrorKind::BadValue {
    option: "class",
    allowed: "lookup, order, booking, payment or print-job",
};
const BAD_DEADLINE: RuleErrorKind = RuleErrorKind::BadValue {
    option: "deadline",
    allowed: "a duration from 1ms to 24h",
};
const BAD_OBJECTIVE: RuleErrorKind = RuleErrorKind::BadValue {
    option: "objective",
    allowed: "a duration from 1ms to 24h",
};
pub(super) const BAD_PRIORITY: RuleErrorKind = RuleErrorKind::BadValue {
    option: "priority",
    allowed: "a whole number from 0, the most urgent, to 9",
};
const BAD_RETRIES: RuleErrorKind = RuleErrorKind::BadValue {
    option: "retries",
    allowed: "a whole number from 0 to 10",
};
const BAD_IDEMPOTENT: RuleErrorKind = RuleErrorKind::BadValue {
    option: "idempotent",
    allowed: "no value",
};
const BAD_PUBLIC: RuleErrorKind = RuleErrorKind::BadValue {
    option: "public",
    allowed: "no value",
};
