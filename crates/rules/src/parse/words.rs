//! Splits a line into words and options, and parses their values.

use crate::parse_duration;
use crate::RuleErrorKind;
use std::time::Duration;

/// A word of a rule with its column, from 1.
pub(super) type Word<'a> = (u32, &'a str);

/// The result of parsing a line; the error holds the column and kind.
pub(super) type LineResult<T> = Result<T, (u32, RuleErrorKind)>;

/// Maximum length of a service or organisation name, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Maximum for any duration in a rule.
const MAX_DURATION: Duration = Duration::from_secs(24 * 3600);

pub(super) fn split_words(rule: &str) -> Vec<Word<'_>> {
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

/// Returns the word at a fixed position.
pub(super) fn positional_word<'a>(
    words: &[Word<'a>],
    index: usize,
    what: &'static str,
    end_column: u32,
) -> LineResult<Word<'a>> {
    let word = words.get(index).copied();
    word.ok_or((end_column, RuleErrorKind::Missing(what)))
}

/// Returns the name that follows the keyword of every rule: the service or organisation.
pub(super) fn parse_name<'a>(words: &[Word<'a>], end_column: u32) -> LineResult<&'a str> {
    let (column, name) = positional_word(words, 0, "service", end_column)?;
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    // Nodes accept the same service names in their settings, so no instance has any other. In a
    // request path, `-` in place of a service refers to the node itself.
    let has_valid_form = name.len() <= MAX_NAME_BYTES && name.chars().all(is_allowed);
    if !has_valid_form || matches!(name, "-" | "." | "..") {
        return Err((column, BAD_NAME));
    }
    Ok(name)
}

/// Parses the words from `index` on as options, each with its column, name and value, and rejects
/// repeated names.
pub(super) fn parse_options<'a>(
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

pub(super) fn bounded_duration(value: &str) -> Option<Duration> {
    parse_duration(value).filter(|d| !d.is_zero() && *d <= MAX_DURATION)
}

pub(super) fn parse_number(value: &str, min: u16, max: u16) -> Option<u16> {
    let number = value.parse().ok();
    number.filter(|number| (min..=max).contains(number))
}

const BAD_NAME: RuleErrorKind = RuleErrorKind::BadValue {
    option: "service",
    allowed: "1 to 64 letters, digits, `-`, `_` or `.`",
};
