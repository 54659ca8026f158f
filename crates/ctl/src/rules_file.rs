//! Reads rules files.

use crate::error::CommandError;
use rules::Rules;
use std::path::Path;

/// Reads and parses a rules file. Returns its text and its rules.
pub(crate) fn read_rules(path: &Path) -> Result<(String, Rules), CommandError> {
    let unreadable_file = |_| CommandError::UnreadableFile(path.to_owned());
    let text = std::fs::read_to_string(path).map_err(unreadable_file)?;
    let rules = Rules::parse(&text).map_err(|e| CommandError::InvalidRules(path.to_owned(), e))?;
    Ok((text, rules))
}
