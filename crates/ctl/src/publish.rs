//! `publish`: one file, one verdict.

use crate::args::Publish;
use crate::commands::read_rules;
use crate::error::CommandError;
use crate::stream::Stream;
use bytes::Bytes;
use journal::Record;
use journal::State;
use journal::Verdict;
use logservice::LogError;
use std::time::Duration;

/// The operator of a publication that names none.
const NOBODY: &str = "unknown";

/// How often a publication without an answer is sent again.
const ATTEMPTS: u32 = 4;

/// How long to wait before it is sent again; doubled each time.
const PAUSE: Duration = Duration::from_millis(500);

pub(crate) async fn publish(args: Publish) -> Result<(), CommandError> {
    let (file, _) = read_rules(&args.file)?;
    let user = std::env::var("USER").ok().filter(|user| !user.is_empty());
    let operator = args.operator.or(user).unwrap_or_else(|| NOBODY.to_owned());
    if !(1..=journal::MAX_NAME).contains(&operator.len()) {
        return Err(CommandError::OperatorName);
    }
    let log = args.log.ok_or(CommandError::NoAddress)?;
    if let Some(version) = args.begin_again {
        return begin_again(Stream::new(log, &args.stream), version, &file).await;
    }
    let mut stream = Stream::open(log, &args.stream).await?;
    let expected = args.expect.unwrap_or(stream.state.version);
    let publication = uuid::Uuid::new_v4().as_u128();
    let record = Record::Publish {
        expected,
        publication,
        operator: operator.into(),
        file: file.into(),
    };
    let verdict = settle(&mut stream, publication, proto::encode(&record).into()).await?;
    match verdict.result {
        Ok(version) => {
            println!("version {version} accepted at offset {}", verdict.offset);
            Ok(())
        }
        Err(rejection) => Err(CommandError::Rejected {
            expected,
            rejection,
            winner: match rejection {
                journal::Rejection::Overtaken(version) => winner(&stream.state, version),
                journal::Rejection::BadFile => None,
            },
        }),
    }
}

/// Appends until the stream shows the verdict.
///
/// Whether or not an answer comes, only the stream tells what became of a publication. Sending it
/// once more is safe, because a publication counts once, by its id; without that, the operator
/// would have to guess whether the first one still arrives.
async fn settle(
    stream: &mut Stream,
    publication: u128,
    record: Bytes,
) -> Result<Verdict, CommandError> {
    let mut cause = None;
    for attempt in 0..ATTEMPTS {
        if attempt > 0 {
            tokio::time::sleep(PAUSE * (1 << (attempt - 1))).await;
        }
        match append_and_read(stream, record.clone()).await {
            Ok(()) => {}
            Err(e) => cause = Some(e),
        }
        if let Some(verdict) = stream.state.verdicts.get(&publication) {
            return Ok(verdict.clone());
        }
    }
    Err(CommandError::Open { publication, cause })
}

async fn append_and_read(stream: &mut Stream, record: Bytes) -> Result<(), LogError> {
    let appended = stream.log.append(record).await;
    stream.read().await?;
    appended.map(|_| ())
}

fn winner(state: &State, version: u64) -> Option<(String, u64)> {
    let verdict = state.winner(version)?;
    Some((verdict.operator.to_string(), verdict.offset))
}

/// Writes a state without a past, in a stream that has lost its own.
async fn begin_again(mut stream: Stream, version: u64, file: &str) -> Result<(), CommandError> {
    stream.read().await?;
    if !stream.state.is_scanning() {
        return Err(CommandError::HasState);
    }
    let state = State::without_past(stream.state.read_from(), version, file);
    let record = Record::Snapshot(Box::new(state));
    let appended = append_and_read(&mut stream, proto::encode(&record).into()).await;
    if stream.state.is_scanning() {
        return Err(appended.map_or_else(CommandError::Log, |()| CommandError::NoState));
    }
    println!("version {} in force", stream.state.version);
    Ok(())
}
