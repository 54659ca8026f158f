//! Line-based parser. It reports all errors of a file, not only the first.

mod limits;
mod operation;
mod organisation;
mod words;

use crate::RuleError;
use crate::RuleErrorKind;
use crate::RuleOrigin;
use crate::Rules;
use words::column_at;
use words::split_words;
use words::LineResult;

/// Maximum size of a rules file in bytes. A file is published as a single record of the log.
pub const MAX_FILE_BYTES: usize = 256 * 1024;

/// Maximum number of rules in a file. Each call is compared with the operations in file order.
pub const MAX_RULES: usize = 2000;

/// Maximum number of errors reported. A file with more is probably not a rules file at all.
const MAX_ERRORS: usize = 100;

impl Rules {
    /// Parses a rules file.
    ///
    /// # Errors
    ///
    /// The errors in the file with line and column, but no more than the first 100.
    ///
    /// # Examples
    ///
    /// ```
    /// let errors = bilberry_rules::Rules::parse("limit press queue=1s").unwrap_err();
    /// assert_eq!(errors[0].kind, bilberry_rules::RuleErrorKind::MissingRequester);
    /// ```
    pub fn parse(text: &str) -> Result<Rules, Vec<RuleError>> {
        if text.len() > MAX_FILE_BYTES {
            return Err(vec![file_error(RuleErrorKind::TooLarge)]);
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
                return Err(vec![file_error(RuleErrorKind::TooManyRules)]);
            }
            if errors.len() == MAX_ERRORS {
                return Err(errors);
            }
        }
        if errors.is_empty() && rules.operations.is_empty() {
            errors.push(file_error(RuleErrorKind::Empty));
        }
        if errors.is_empty() {
            Ok(rules)
        } else {
            Err(errors)
        }
    }
}

fn file_error(kind: RuleErrorKind) -> RuleError {
    RuleError {
        line: 1,
        column: 1,
        kind,
    }
}

/// Parses one line and returns whether it contains a rule.
fn parse_line(line: &str, number: u32, rules: &mut Rules) -> LineResult<bool> {
    let (rule, comment) = match line.split_once('#') {
        Some((rule, comment)) => (rule, Some(comment)),
        None => (line, None),
    };
    let mut words = split_words(rule);
    if words.is_empty() {
        return Ok(false);
    }
    let end_column = column_at(line, rule.len());
    let requester = comment
        .and_then(|comment| comment.trim().strip_prefix("asked by "))
        .map(str::trim)
        .filter(|requester| !requester.is_empty())
        .ok_or((end_column, RuleErrorKind::MissingRequester))?;
    let origin = RuleOrigin {
        line: number,
        requested_by: requester.into(),
    };
    let (column, keyword) = words.remove(0);
    match keyword {
        "operation" => operation::parse(&words, end_column, origin, rules)?,
        "limit" => limits::parse_limit(&words, end_column, origin, rules)?,
        "keys" => limits::parse_keys(&words, end_column, origin, rules)?,
        "organisation" => organisation::parse(&words, end_column, origin, rules)?,
        "resends" => limits::parse_resends(&words, end_column, origin, rules)?,
        other => return Err((column, RuleErrorKind::UnknownRule(other.to_owned()))),
    }
    Ok(true)
}
