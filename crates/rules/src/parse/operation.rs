//! `operation SERVICE METHOD PATH class=CLASS deadline=TIME [priority=N] [retries=N] [idempotent] [public]`

use super::words::duration;
use super::words::number;
use super::words::options;
use super::words::positional;
use super::words::service;
use super::words::LineResult;
use super::words::Word;
use crate::Operation;
use crate::RuleErrorKind;
use crate::RuleOrigin;
use crate::Rules;
use proto::Class;

pub(super) fn parse(
    words: &[Word],
    end: u32,
    origin: RuleOrigin,
    rules: &mut Rules,
) -> LineResult<()> {
    let service = service(words, end)?;
    let (column, method) = positional(words, 1, "the method", end)?;
    if !is_method(method) {
        return Err((column, METHOD));
    }
    let (column, path) = positional(words, 2, "the path", end)?;
    if !is_path(path) {
        return Err((column, PATH));
    }
    let mut class = None;
    let mut deadline = None;
    let mut priority = 0;
    let mut retries = 0;
    let mut idempotent = false;
    let mut public = false;
    for (column, option, value) in options(words, 3)? {
        match option {
            "class" => class = Some(parse_class(value).ok_or((column, CLASS))?),
            "deadline" => deadline = Some(duration(value).ok_or((column, DEADLINE))?),
            "priority" => priority = parse_priority(value).ok_or((column, PRIORITY))?,
            "retries" => retries = number(value, 0, 10).ok_or((column, RETRIES))?,
            "idempotent" if value.is_empty() => idempotent = true,
            "idempotent" => return Err((column, IDEMPOTENT)),
            "public" if value.is_empty() => public = true,
            "public" => return Err((column, PUBLIC)),
            _ => return Err((column, RuleErrorKind::UnknownOption(option.to_owned()))),
        }
    }
    let operation = Operation {
        service: service.into(),
        method: method.into(),
        path: path.into(),
        class: class.ok_or((end, RuleErrorKind::Missing("class")))?,
        idempotent,
        deadline: deadline.ok_or((end, RuleErrorKind::Missing("deadline")))?,
        priority,
        retries,
        public,
        origin,
    };
    refuse_hidden(rules, &operation)?;
    rules.operations.push(operation);
    Ok(())
}

/// Refuses an operation that an earlier one hides. Its author would believe it to be in force, and
/// a payment might be treated as the lookup that stands above it.
fn refuse_hidden(rules: &Rules, operation: &Operation) -> LineResult<()> {
    let hides = |earlier: &&Operation| earlier.covers(operation);
    let Some(earlier) = rules.operations.iter().find(hides) else {
        return Ok(());
    };
    let same = earlier.method == operation.method && earlier.path == operation.path;
    let earlier = earlier.origin.line;
    Err((
        1,
        match same {
            true => RuleErrorKind::Duplicate { earlier },
            false => RuleErrorKind::Unreachable { earlier },
        },
    ))
}

fn is_method(method: &str) -> bool {
    let letters = method.bytes().all(|b| b.is_ascii_uppercase() || b == b'-');
    method == "*" || (letters && method.len() <= 16)
}

/// A path without a query; `*` only at its end.
fn is_path(path: &str) -> bool {
    let stem = path.strip_suffix('*').unwrap_or(path);
    path.starts_with('/') && !stem.contains(['*', '?'])
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
    let priority = number(value, 0, u16::from(MAX_PRIORITY))?;
    u8::try_from(priority).ok()
}

/// The least urgent priority that a rule may name.
const MAX_PRIORITY: u8 = 9;

const METHOD: RuleErrorKind = RuleErrorKind::BadValue {
    option: "method",
    allowed: "a method in capitals, or `*` for any",
};
const PATH: RuleErrorKind = RuleErrorKind::BadValue {
    option: "path",
    allowed: "a path that starts with `/`, without a query, with `*` only at its end",
};
const CLASS: RuleErrorKind = RuleErrorKind::BadValue {
    option: "class",
    allowed: "lookup, order, booking, payment or print-job",
};
const DEADLINE: RuleErrorKind = RuleErrorKind::BadValue {
    option: "deadline",
    allowed: "a duration from 1ms to 24h",
};
pub(super) const PRIORITY: RuleErrorKind = RuleErrorKind::BadValue {
    option: "priority",
    allowed: "a whole number from 0, the most urgent, to 9",
};
const RETRIES: RuleErrorKind = RuleErrorKind::BadValue {
    option: "retries",
    allowed: "a whole number from 0 to 10",
};
const IDEMPOTENT: RuleErrorKind = RuleErrorKind::BadValue {
    option: "idempotent",
    allowed: "no value",
};
const PUBLIC: RuleErrorKind = RuleErrorKind::BadValue {
    option: "public",
    allowed: "no value",
};
