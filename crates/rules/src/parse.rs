//! Parsing, line by line. All faults of a file are reported, not only the first.

mod limits;
mod operation;
mod organisation;
mod words;

use crate::RuleError;
use crate::RuleErrorKind;
use crate::RuleOrigin;
use crate::Rules;
use words::column_at;
use words::words;
use words::LineResult;

/// The largest rules file, in bytes. It travels in one record of the log.
pub const MAX_FILE_BYTES: usize = 256 * 1024;

/// The most rules in a file. Each call is held against the operations of its service in turn.
pub const MAX_RULES: usize = 2000;

/// The most faults that are reported. A file with more is something else altogether.
const MAX_ERRORS: usize = 100;

impl Rules {
    /// Parses a rules file.
    ///
    /// # Errors
    ///
    /// The faults of the file, with line and column; the first hundred, if there are more.
    ///
    /// # Examples
    ///
    /// ```
    /// let errors = bilberry_rules::Rules::parse("limit press queue=1s").unwrap_err();
    /// assert_eq!(errors[0].kind, bilberry_rules::RuleErrorKind::NobodyAsked);
    /// ```
    pub fn parse(text: &str) -> Result<Rules, Vec<RuleError>> {
        if text.len() > MAX_FILE_BYTES {
            return Err(vec![whole_file(RuleErrorKind::TooLarge)]);
        }
        let mut rules = Rules::default();
        let mut errors = Vec::new();
        let mut count = 0;
        for (line, number) in text.lines().zip(1..) {
            match parse_line(line, number, &mut rules) {
                Ok(is_rule) => count += usize::from(is_rule),
                Err((column, kind)) => errors.push(RuleError {
                    line: number,
                    column,
                    kind,
                }),
            }
            if count > MAX_RULES {
                return Err(vec![whole_file(RuleErrorKind::TooManyRules)]);
            }
            if errors.len() == MAX_ERRORS {
                return Err(errors);
            }
        }
        if errors.is_empty() && rules.operations.is_empty() {
            errors.push(whole_file(RuleErrorKind::Empty));
        }
        if errors.is_empty() {
            Ok(rules)
        } else {
            Err(errors)
        }
    }
}

fn whole_file(kind: RuleErrorKind) -> RuleError {
    RuleError {
        line: 1,
        column: 1,
        kind,
    }
}

/// Says whether the line holds a rule.
fn parse_line(line: &str, number: u32, rules: &mut Rules) -> LineResult<bool> {
    let (rule, comment) = match line.split_once('#') {
        Some((rule, comment)) => (rule, Some(comment)),
        None => (line, None),
    };
    let mut words = words(rule);
    if words.is_empty() {
        return Ok(false);
    }
    let end = column_at(line, rule.len());
    let by = comment
        .and_then(|comment| comment.trim().strip_prefix("asked by "))
        .map(str::trim)
        .filter(|by| !by.is_empty())
        .ok_or((end, RuleErrorKind::NobodyAsked))?;
    let origin = RuleOrigin {
        line: number,
        requested_by: by.into(),
    };
    let (column, kind) = words.remove(0);
    match kind {
        "operation" => operation::parse(&words, end, origin, rules)?,
        "limit" => limits::parse_limit(&words, end, origin, rules)?,
        "keys" => limits::parse_keys(&words, end, origin, rules)?,
        "organisation" => organisation::parse(&words, end, origin, rules)?,
        "resends" => limits::parse_resends(&words, end, origin, rules)?,
        other => return Err((column, RuleErrorKind::UnknownKind(other.to_owned()))),
    }
    Ok(true)
}
