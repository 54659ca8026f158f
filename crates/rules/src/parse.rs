//! Parsing, line by line. All faults of a file are reported, not only the first.

use crate::parse_duration;
use crate::Asked;
use crate::Operation;
use crate::RuleError;
use crate::RuleProblem;
use crate::Rules;
use proto::Class;
use std::time::Duration;

/// The largest rules file, in bytes. It travels in one record of the log.
pub const MAX_FILE: usize = 256 * 1024;

/// The longest deadline and retention that a rule may set.
const MAX_DURATION: Duration = Duration::from_secs(24 * 3600);

impl Rules {
    /// Parses a rules file.
    ///
    /// # Errors
    ///
    /// Every fault of the file, with line and column.
    ///
    /// # Examples
    ///
    /// ```
    /// let errors = bilberry_rules::Rules::parse("limit press queue=1s").unwrap_err();
    /// assert_eq!(errors[0].problem, bilberry_rules::RuleProblem::NobodyAsked);
    /// ```
    pub fn parse(text: &str) -> Result<Rules, Vec<RuleError>> {
        if text.len() > MAX_FILE {
            return Err(vec![RuleError {
                line: 1,
                column: 1,
                problem: RuleProblem::TooLarge,
            }]);
        }
        let mut rules = Rules::default();
        let mut errors = Vec::new();
        for (line, number) in text.lines().zip(1..) {
            if let Err((column, problem)) = parse_line(line, number, &mut rules) {
                errors.push(RuleError {
                    line: number,
                    column,
                    problem,
                });
            }
        }
        if errors.is_empty() && rules.operations.is_empty() {
            errors.push(RuleError {
                line: 1,
                column: 1,
                problem: RuleProblem::Empty,
            });
        }
        if errors.is_empty() {
            Ok(rules)
        } else {
            Err(errors)
        }
    }
}

/// A word of a rule and its column, from 1.
type Word<'a> = (u32, &'a str);
type LineResult<T> = Result<T, (u32, RuleProblem)>;

fn parse_line(line: &str, number: u32, rules: &mut Rules) -> LineResult<()> {
    let (rule, comment) = match line.split_once('#') {
        Some((rule, comment)) => (rule, Some(comment)),
        None => (line, None),
    };
    let mut words = words(rule);
    if words.is_empty() {
        return Ok(());
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
        "operation" => parse_operation(&words, end, asked, rules),
        "limit" => parse_limit(&words, end, asked, rules),
        "keys" => parse_keys(&words, end, asked, rules),
        "resends" => parse_resends(&words, end, asked, rules),
        other => Err((column, RuleProblem::UnknownKind(other.to_owned()))),
    }
}

fn parse_operation(words: &[Word], end: u32, asked: Asked, rules: &mut Rules) -> LineResult<()> {
    let service = positional(words, 0, "the service", end)?;
    let method = positional(words, 1, "the method", end)?;
    let path = positional(words, 2, "the path", end)?;
    if !path.1.starts_with('/') {
        let problem = RuleProblem::BadValue {
            option: "path",
            allowed: "a path that starts with `/`",
        };
        return Err((path.0, problem));
    }
    let mut class = None;
    let mut deadline = None;
    let mut retries = 0;
    let mut idempotent = false;
    for &(column, word) in &words[3..] {
        let (option, value) = word.split_once('=').unwrap_or((word, ""));
        match option {
            "class" => class = Some(parse_class(value).ok_or((column, CLASS))?),
            "deadline" => deadline = Some(duration(value).ok_or((column, DEADLINE))?),
            "retries" => retries = number(value, 0, 10).ok_or((column, RETRIES))?,
            "idempotent" if value.is_empty() => idempotent = true,
            _ => return Err((column, RuleProblem::UnknownOption(option.to_owned()))),
        }
    }
    rules.operations.push(Operation {
        service: service.1.into(),
        method: method.1.into(),
        path: path.1.into(),
        class: class.ok_or((end, RuleProblem::Missing("class")))?,
        idempotent,
        deadline: deadline.ok_or((end, RuleProblem::Missing("deadline")))?,
        retries,
        asked,
    });
    Ok(())
}

fn parse_limit(words: &[Word], end: u32, asked: Asked, rules: &mut Rules) -> LineResult<()> {
    let service = positional(words, 0, "the service", end)?;
    let limit = rules.limits.entry(service.1.into()).or_default();
    for &(column, word) in &words[1..] {
        let (option, value) = word.split_once('=').unwrap_or((word, ""));
        match option {
            "concurrency" => {
                let (min, max) = value.split_once("..").ok_or((column, CONCURRENCY))?;
                let min = number(min, 1, 10_000).ok_or((column, CONCURRENCY))?;
                let max = number(max, min, 10_000).ok_or((column, CONCURRENCY))?;
                (limit.min_concurrency, limit.max_concurrency) = (min, max);
            }
            "queue" => limit.queue = duration(value).ok_or((column, QUEUE))?,
            _ => return Err((column, RuleProblem::UnknownOption(option.to_owned()))),
        }
    }
    limit.asked.push(asked);
    Ok(())
}

fn parse_keys(words: &[Word], end: u32, asked: Asked, rules: &mut Rules) -> LineResult<()> {
    let service = positional(words, 0, "the service", end)?;
    let (column, word) = positional(words, 1, "retention", end)?;
    let value = word.strip_prefix("retention=").ok_or((column, RETENTION))?;
    let limit = rules.limits.entry(service.1.into()).or_default();
    limit.key_retention = duration(value).ok_or((column, RETENTION))?;
    limit.asked.push(asked);
    Ok(())
}

fn parse_resends(words: &[Word], end: u32, asked: Asked, rules: &mut Rules) -> LineResult<()> {
    let service = positional(words, 0, "the service", end)?;
    let (column, word) = positional(words, 1, "percent", end)?;
    let value = word.strip_prefix("percent=").ok_or((column, PERCENT))?;
    let limit = rules.limits.entry(service.1.into()).or_default();
    limit.resend_percent = number(value, 0, 1_000).ok_or((column, PERCENT))?;
    limit.asked.push(asked);
    Ok(())
}

const CLASS: RuleProblem = RuleProblem::BadValue {
    option: "class",
    allowed: "lookup, order, booking, payment or print-job",
};
const DEADLINE: RuleProblem = RuleProblem::BadValue {
    option: "deadline",
    allowed: "a duration from 1ms to 24h",
};
const RETRIES: RuleProblem = RuleProblem::BadValue {
    option: "retries",
    allowed: "a whole number from 0 to 10",
};
const CONCURRENCY: RuleProblem = RuleProblem::BadValue {
    option: "concurrency",
    allowed: "MIN..MAX, each from 1 to 10000",
};
const QUEUE: RuleProblem = RuleProblem::BadValue {
    option: "queue",
    allowed: "a duration from 1ms to 24h",
};
const RETENTION: RuleProblem = RuleProblem::BadValue {
    option: "retention",
    allowed: "a duration from 1ms to 24h",
};
const PERCENT: RuleProblem = RuleProblem::BadValue {
    option: "percent",
    allowed: "a whole number from 0 to 1000",
};

fn words(rule: &str) -> Vec<Word<'_>> {
    let mut words = Vec::new();
    for word in rule.split_whitespace() {
        let offset = word.as_ptr() as usize - rule.as_ptr() as usize;
        words.push((column_at(rule, offset), word));
    }
    words
}

fn column_at(line: &str, offset: usize) -> u32 {
    line[..offset].chars().count() as u32 + 1
}

fn positional<'a>(
    words: &[Word<'a>],
    index: usize,
    what: &'static str,
    end: u32,
) -> LineResult<Word<'a>> {
    words
        .get(index)
        .copied()
        .ok_or((end, RuleProblem::Missing(what)))
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

fn duration(value: &str) -> Option<Duration> {
    parse_duration(value).filter(|d| !d.is_zero() && *d <= MAX_DURATION)
}

fn number(value: &str, min: u16, max: u16) -> Option<u16> {
    value
        .parse()
        .ok()
        .filter(|number| (min..=max).contains(number))
}
