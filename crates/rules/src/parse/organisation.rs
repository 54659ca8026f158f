//! `organisation NAME keys=DIGEST[,DIGEST...] [rate=N] [burst=N] [priority=N]`

use super::operation::parse_priority;
use super::operation::PRIORITY;
use super::words::number;
use super::words::options;
use super::words::service;
use super::words::LineResult;
use super::words::Word;
use crate::KeyDigest;
use crate::Organisation;
use crate::OrganisationError;
use crate::Quota;
use crate::RuleErrorKind;
use crate::RuleOrigin;
use crate::Rules;

/// The highest rate and burst that a rule may set, in requests per second and in requests.
const MAX_QUOTA: u16 = u16::MAX;

pub(super) fn parse(
    words: &[Word],
    end: u32,
    origin: RuleOrigin,
    rules: &mut Rules,
) -> LineResult<()> {
    let name = service(words, end)?;
    let (mut keys, mut rate, mut burst, mut priority) = (None, None, None, None);
    for (column, option, value) in options(words, 1)? {
        match option {
            "keys" => keys = Some((column, digests(value).ok_or((column, KEYS))?)),
            "rate" => rate = Some(number(value, 1, MAX_QUOTA).ok_or((column, RATE))?),
            "burst" => burst = Some((column, number(value, 0, MAX_QUOTA).ok_or((column, BURST))?)),
            "priority" => priority = Some(parse_priority(value).ok_or((column, PRIORITY))?),
            _ => return Err((column, RuleErrorKind::UnknownOption(option.to_owned()))),
        }
    }
    let (keys_column, keys) = keys.ok_or((end, RuleErrorKind::Missing("keys")))?;
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
            OrganisationError::NameTwice { earlier } => (1, RuleErrorKind::Duplicate { earlier }),
            OrganisationError::KeyTwice { earlier } => {
                (keys_column, RuleErrorKind::SharedKey { earlier })
            }
        })
}

fn digests(value: &str) -> Option<Vec<KeyDigest>> {
    value.split(',').map(KeyDigest::parse).collect()
}

const KEYS: RuleErrorKind = RuleErrorKind::BadValue {
    option: "keys",
    allowed: "digests of keys as `bilberryctl key` prints them, with commas between them",
};
const RATE: RuleErrorKind = RuleErrorKind::BadValue {
    option: "rate",
    allowed: "a whole number of requests a second from 1 to 65535",
};
const BURST: RuleErrorKind = RuleErrorKind::BadValue {
    option: "burst",
    allowed: "a whole number of requests from 0 to 65535",
};
