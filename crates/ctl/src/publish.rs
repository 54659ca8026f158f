//! `publish`: one file, one verdict.

use crate::args::Publish;
use crate::error::CommandError;
use crate::rules_file::read_rules;
use crate::stream::Stream;
use journal::Record;
use platform::StoreError;
use std::time::Duration;

/// The operator of a publication that names none.
const NOBODY: &str = "unknown";

/// How often a publication without an answer is sent again.
const ATTEMPTS: u32 = 4;

/// How long to wait before it is sent again; doubled each time.
const PAUSE: Duration = Duration::from_millis(500);

/// How often a publication gives way to another record. Nodes that start write one record each.
const MAX_CONFLICTS: u32 = 10_000;

pub(crate) async fn publish(args: Publish) -> Result<(), CommandError> {
    let (file, _) = read_rules(&args.file)?;
    let user = std::env::var("USER").ok().filter(|user| !user.is_empty());
    let operator = args.operator.or(user).unwrap_or_else(|| NOBODY.to_owned());
    if !(1..=journal::MAX_NAME_LEN).contains(&operator.len()) {
        return Err(CommandError::OperatorName);
    }
    let store = args.store.ok_or(CommandError::NoAddress)?;
    let mut stream = Stream::open(store, &args.stream).await?;
    let expected = args.expect.unwrap_or(stream.state.rules_version);
    let publication = uuid::Uuid::new_v4().as_u128();
    let record = Record::Publish {
        version: expected + 1,
        publication,
        operator: operator.into(),
        file: file.into(),
    };
    settle(&mut stream, expected, publication, &record).await?;
    println!("version {} accepted", expected + 1);
    Ok(())
}

/// Appends until the stream shows this publication, or another one in its place.
///
/// Whether or not an answer comes, only the stream tells what became of a publication. Sending it
/// once more is safe, because both are appended only at the same offset, so one of them at most;
/// without that, the operator would have to guess whether the first one still arrives.
async fn settle(
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
            return Err(CommandError::Overtaken {
                expected,
                version: state.rules_version,
                operator: state.operator.clone(),
            });
        }
        let appended = stream.append(record).await;
        let cause = match (appended, stream.read().await) {
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
        if attempts == ATTEMPTS {
            return Err(CommandError::Open { publication, cause });
        }
        tokio::time::sleep(PAUSE * (1 << (attempts - 1))).await;
    }
}
