//! `organisation NAME keys=DIGEST[,DIGEST...] [rate=N] [burst=N] [priority=N]`.

use super::operation::parse_priority;
use super::operation::BAD_PRIORITY;
use super::words::parse_name;
use super::words::parse_number;
use super::words::parse_options;
use super::words::LineResult;
use super::words::Word;
use crate::KeyDigest;
use crate::Organisation;
use crate::OrganisationError;
use crate::Quota;
use crate::RuleErrorKind;
use crate::RuleOrigin;
use crate::Rules;

/// Upper bound for `rate`, in requests per second, and for `burst`, in requests.
const MAX_QUOTA: u16 = u16::MAX;

pub(super) fn parse(
    words: &[Word],
    end_column: u32,
    origin: RuleOrigin,
    rules: &mut Rules,
) -> LineResult<()> {
    let name = parse_name(words, end_column)?;
    let (mut keys, mut rate, mut burst, mut priority) = (None, None, None, None);
    for (column, option, value) in parse_options(words, 1)? {
        match option {
            "keys" => keys = Some((column, parse_digests(value).ok_or((column, BAD_KEYS))?)),
            "rate" => rate = Some(parse_number(value, 1, MAX_QUOTA).ok_or((column, BAD_RATE))?),
            "burst" => {
                burst = Some((
                    column,
                    parse_number(value, 0, MAX_QUOTA).ok_or((column, BAD_BURST))?,
                ))
            }
            "priority" => priority = Some(parse_priority(value).ok_or((column, BAD_PRIORITY))?),
            _ => return Err((column, RuleErrorKind::UnknownOption(option.to_owned()))),
        }
    }
    let (keys_column, keys) = keys.ok_or((end_column, RuleErrorKind::Missing("keys")))?;
    if let (None, Some((column, _))) = (rate, burst) {
        return Err((column, RuleErrorKind::Missing("rate")));
    }
    let quota = rate.map(|rate| Quota {
        per_kilosecond: u64::from(rate) * 1000,
        burst: burst.map_or(0, |(_, burst)| burst.into()),
    });
    let organisation = Organisation {
        name: name.into(),
        priority,
        quota,
        origin,
    };
    let organisations = rules.organisations.get_or_insert_default();
    organisations
        .insert(organisation, &keys)
        .map_err(|e| match e {
            OrganisationError::NameTaken { earlier } => (1, RuleErrorKind::Duplicate { earlier }),
            OrganisationError::KeyTaken { earlier } => {
                (keys_column, RuleErrorKind::SharedKey { earlier })
            }
        })
}

fn parse_digests(value: &str) -> Option<Vec<KeyDigest>> {
    value.split(',').map(KeyDigest::parse).collect()
}

const BAD_KEYS: RuleErrorKind = RuleErrorKind::BadValue {
    option: "keys",
    allowed: "comma-separated key digests as printed by `bilberryctl key`",
};
const BAD_RATE: RuleErrorKind = RuleErrorKind::BadValue {
    option: "rate",
    allowed: "a whole number of requests per second from 1 to 65535",
};
const BAD_BURST: RuleErrorKind = RuleErrorKind::BadValue {
    option: "burst",
    allowed: "a whole number of requests from 0 to 65535",
};
