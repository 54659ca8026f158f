//! The words of a line, with their places, and the values in them.

use crate::parse_duration;
use crate::RuleErrorKind;
use std::time::Duration;

/// A word of a rule and its column, from 1.
pub(super) type Word<'a> = (u32, &'a str);

/// What came of a line, or the column and kind of its fault.
pub(super) type LineResult<T> = Result<T, (u32, RuleErrorKind)>;

/// The longest name of a service, in bytes.
const MAX_NAME: usize = 64;

/// The longest deadline and retention that a rule may set.
const MAX_DURATION: Duration = Duration::from_secs(24 * 3600);

pub(super) fn words(rule: &str) -> Vec<Word<'_>> {
    let mut words = Vec::new();
    for word in rule.split_whitespace() {
        let offset = word.as_ptr() as usize - rule.as_ptr() as usize;
        words.push((column_at(rule, offset), word));
    }
    words
}

pub(super) fn column_at(line: &str, offset: usize) -> u32 {
    line[..offset].chars().count() as u32 + 1
}

/// The word at a fixed place.
pub(super) fn positional<'a>(
    words: &[Word<'a>],
    index: usize,
    what: &'static str,
    end: u32,
) -> LineResult<Word<'a>> {
    let word = words.get(index).copied();
    word.ok_or((end, RuleErrorKind::Missing(what)))
}

/// The service, which comes first in every rule.
pub(super) fn service<'a>(words: &[Word<'a>], end: u32) -> LineResult<&'a str> {
    let (column, name) = positional(words, 0, "the service", end)?;
    let fits = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    // No instance can have another name, and `-` is the node itself in a path.
    let is_name = name.len() <= MAX_NAME && name.chars().all(fits);
    if !is_name || matches!(name, "-" | "." | "..") {
        return Err((column, SERVICE));
    }
    Ok(name)
}

/// The options from `index` on, as column, name and value; none stands twice.
pub(super) fn options<'a>(
    words: &[Word<'a>],
    index: usize,
) -> LineResult<Vec<(u32, &'a str, &'a str)>> {
    let mut options: Vec<(u32, &str, &str)> = Vec::new();
    for &(column, word) in words.iter().skip(index) {
        let (name, value) = word.split_once('=').unwrap_or((word, ""));
        if options.iter().any(|(_, earlier, _)| *earlier == name) {
            return Err((column, RuleErrorKind::RepeatedOption(name.to_owned())));
        }
        options.push((column, name, value));
    }
    Ok(options)
}

pub(super) fn duration(value: &str) -> Option<Duration> {
    parse_duration(value).filter(|d| !d.is_zero() && *d <= MAX_DURATION)
}

pub(super) fn number(value: &str, min: u16, max: u16) -> Option<u16> {
    let number = value.parse().ok();
    number.filter(|number| (min..=max).contains(number))
}

const SERVICE: RuleErrorKind = RuleErrorKind::BadValue {
    option: "service",
    allowed: "1 to 64 letters, digits, `-`, `_` or `.`",
};
