//! Durations as written in rules and settings.

use std::time::Duration;

/// Parses a whole number followed by a unit: `ms`, `s`, `m` or `h`.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// assert_eq!(bilberry_rules::parse_duration("15m"), Some(Duration::from_secs(900)));
/// assert_eq!(bilberry_rules::parse_duration("15"), None);
/// ```
pub fn parse_duration(text: &str) -> Option<Duration> {
    let digits = text.find(|c: char| !c.is_ascii_digit())?;
    let number: u64 = text[..digits].parse().ok()?;
    let millis = match &text[digits..] {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        "h" => 3_600_000,
        _ => return None,
    };
    Some(Duration::from_millis(number.checked_mul(millis)?))
}
