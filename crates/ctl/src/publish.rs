//! The `publish` command: publishes a rules file and reports whether it was accepted.

use crate::args::Publish;
use crate::error::CommandError;
use crate::rules_file::read_rules;
use crate::stream::Stream;
use journal::Record;
use platform::StoreError;
use std::time::Duration;

/// Operator name of a publication if neither `--operator` nor `$USER` is set.
const UNKNOWN_OPERATOR: &str = "unknown";

/// How many times a publication is sent if the store fails or does not answer.
const MAX_ATTEMPTS: u32 = 4;

/// Delay before the first retry; doubled for each further one.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(500);

/// How many times a publication is appended again because another record took its offset. The
/// limit is high because every node that starts appends one record.
const MAX_CONFLICTS: u32 = 10_000;

/// Publishes a rules file on top of the version in force, or of the version given by `--expect`.
pub(crate) async fn publish(args: Publish) -> Result<(), CommandError> {
    let (file, _) = read_rules(&args.file)?;
    let user = std::env::var("USER").ok().filter(|user| !user.is_empty());
    let operator = args
        .operator
        .or(user)
        .unwrap_or_else(|| UNKNOWN_OPERATOR.to_owned());
    if !(1..=journal::MAX_NAME_LEN).contains(&operator.len()) {
        return Err(CommandError::InvalidOperatorName);
    }
    let store = args.store.ok_or(CommandError::MissingAddress)?;
    let mut stream = Stream::open(store, &args.stream).await?;
    let expected = args.expect.unwrap_or(stream.state.rules_version);
    let publication = uuid::Uuid::new_v4().as_u128();
    let record = Record::Publish {
        version: expected + 1,
        publication,
        operator: operator.into(),
        file: file.into(),
    };
    append_until_resolved(&mut stream, expected, publication, &record).await?;
    println!("version {} accepted", expected + 1);
    Ok(())
}

/// Appends a publication until the stream contains either it or another publication in its place.
///
/// An answer may be lost, so only the stream shows whether the publication was accepted. A retry is
/// safe because each append is conditional on the offset: of two appends at the same offset, at
/// most one takes effect. Without this condition, the operator would have to guess whether an
/// unanswered publication will still take effect.
async fn append_until_resolved(
    stream: &mut Stream,
    expected: u64,
    publication: u128,
    record: &Record,
) -> Result<(), CommandError> {
    let (mut attempts, mut conflicts) = (0, 0);
    loop {
        let state = &stream.state;
        if state.publication == publication {
            return Ok(());
        }
        if state.rules_version != expected {
            return Err(CommandError::VersionConflict {
                expected,
                version: state.rules_version,
                operator: state.operator.clone(),
            });
        }
        let appended = stream.append(record).await;
        let cause = match (appended, stream.catch_up().await) {
            (Ok(_), Ok(())) => continue,
            (Err(StoreError::Conflict), Ok(())) if conflicts < MAX_CONFLICTS => {
                conflicts += 1;
                continue;
            }
            (Err(e), _) | (_, Err(e)) => e,
        };
        if stream.state.publication == publication {
            return Ok(());
        }
        attempts += 1;
        if attempts == MAX_ATTEMPTS {
            return Err(CommandError::OutcomeUnknown { publication, cause });
        }
        tokio::time::sleep(INITIAL_RETRY_DELAY * (1 << (attempts - 1))).await;
    }
}
