//! Parsing, line by line. All faults of a file are reported, not only the first.

mod limits;
mod operation;
mod organisation;
mod words;

use crate::Asked;
use crate::RuleError;
use crate::RuleProblem;
use crate::Rules;
use words::column_at;
use words::words;
use words::LineResult;

/// The largest rules file, in bytes. It travels in one record of the log.
pub const MAX_FILE: usize = 256 * 1024;

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
    /// assert_eq!(errors[0].problem, bilberry_rules::RuleProblem::NobodyAsked);
    /// ```
    pub fn parse(text: &str) -> Result<Rules, Vec<RuleError>> {
        if text.len() > MAX_FILE {
            return Err(vec![whole_file(RuleProblem::TooLarge)]);
        }
        let mut rules = Rules::default();
        let mut errors = Vec::new();
        let mut count = 0;
        for (line, number) in text.lines().zip(1..) {
            match parse_line(line, number, &mut rules) {
                Ok(is_rule) => count += usize::from(is_rule),
                Err((column, problem)) => errors.push(RuleError {
                    line: number,
                    column,
                    problem,
                }),
            }
            if count > MAX_RULES {
                return Err(vec![whole_file(RuleProblem::TooManyRules)]);
            }
            if errors.len() == MAX_ERRORS {
                return Err(errors);
            }
        }
        if errors.is_empty() && rules.operations.is_empty() {
            errors.push(whole_file(RuleProblem::Empty));
        }
        if errors.is_empty() {
            Ok(rules)
        } else {
            Err(errors)
        }
    }
}

fn whole_file(problem: RuleProblem) -> RuleError {
    RuleError {
        line: 1,
        column: 1,
        problem,
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
        .ok_or((end, RuleProblem::NobodyAsked))?;
    let asked = Asked {
        line: number,
        by: by.into(),
    };
    let (column, kind) = words.remove(0);
    match kind {
        "operation" => operation::parse(&words, end, asked, rules)?,
        "limit" => limits::parse_limit(&words, end, asked, rules)?,
        "keys" => limits::parse_keys(&words, end, asked, rules)?,
        "organisation" => organisation::parse(&words, end, asked, rules)?,
        "resends" => limits::parse_resends(&words, end, asked, rules)?,
        other => return Err((column, RuleProblem::UnknownKind(other.to_owned()))),
    }
    Ok(true)
}
