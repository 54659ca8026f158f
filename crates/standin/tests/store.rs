//! What the store's stand-in shares with the real one beyond what nodes use of it.

use awc::http::StatusCode;
use bilberry_standin::Store;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use serde_json::json;
use serde_json::Value;
use std::time::Duration;

async fn start() -> Store {
    Store::start(([127, 0, 0, 1], 0).into()).await.unwrap()
}

fn records(texts: &[&str]) -> Bytes {
    let mut body = BytesMut::new();
    for text in texts {
        body.put_u32(text.len() as u32);
        body.put_slice(text.as_bytes());
    }
    body.freeze()
}

/// Status and body of an answer; nothing where the body is no JSON.
async fn send(url: String, body: impl awc::body::MessageBody + 'static) -> (u16, Value) {
    let mut response = awc::Client::new().post(url).send_body(body).await.unwrap();
    let status = response.status().as_u16();
    let body = response.body().await.unwrap();
    (status, serde_json::from_slice(&body).unwrap_or(Value::Null))
}

async fn append(store: &Store, query: &str, texts: &[&str]) -> (u16, Value) {
    let url = format!(
        "http://{}/bilberrycove/log-append?topic=work&part=3{query}",
        store.addr
    );
    send(url, records(texts)).await
}

async fn post(store: &Store, call: &str, body: Value) -> (u16, Value) {
    let url = format!("http://{}/bilberrycove/{call}", store.addr);
    send(url, body.to_string()).await
}

async fn get(store: &Store, call: &str) -> (u16, Bytes) {
    let url = format!("http://{}/bilberrycove/{call}", store.addr);
    let mut response = awc::Client::new().get(url).send().await.unwrap();
    (response.status().as_u16(), response.body().await.unwrap())
}

/// The generation, and how many partitions the member has.
async fn join(store: &Store, member: &str, generation: u64) -> (u64, usize) {
    join_for(store, member, generation, 3600.0).await
}

async fn join_for(store: &Store, member: &str, generation: u64, ttl: f64) -> (u64, usize) {
    let body = json!({
        "group": "g", "member": member, "topics": ["work"], "ttl_s_time": ttl,
        "generation": generation,
    });
    let (status, share) = post(store, "log-join", body).await;
    assert_eq!(status, 200);
    let generation = share["generation"].as_u64().unwrap();
    (generation, share["parts"].as_array().unwrap().len())
}

async fn commit(store: &Store, member: &str, generation: u64) -> u16 {
    let body = json!({
        "group": "g", "member": member, "generation": generation, "topic": "work",
        "part": 0, "offset": 5,
    });
    post(store, "log-commit", body).await.0
}

/// The holder of the first partition, and how far it is.
async fn owner(store: &Store) -> (Option<String>, u64) {
    let (_, body) = get(store, "log-owners?group=g").await;
    let owners: Vec<(String, u32, Option<String>, u64)> = serde_json::from_slice(&body).unwrap();
    let (_, _, member, offset) = owners[0].clone();
    (member, offset)
}

#[actix_rt::test]
async fn a_lower_epoch_is_fenced_and_a_repeat_is_answered_again() {
    let store = start().await;
    let first = append(&store, "&producer=w&epoch=7&sequence=12", &["ab", "c"]).await;
    assert_eq!(first, (200, json!({"offset": 0, "end": 2})));
    let again = append(&store, "&producer=w&epoch=7&sequence=12", &["ab", "c"]).await;
    assert_eq!(again, first);
    let skipped = append(&store, "&producer=w&epoch=7&sequence=14", &["d"]).await;
    assert_eq!(skipped, (409, json!({"why": "seq", "expected": 13})));
    // A call without records sets the epoch.
    let epoch = append(&store, "&producer=w&epoch=8&sequence=0", &[]).await;
    assert_eq!(epoch.0, 200);
    let fenced = append(&store, "&producer=w&epoch=7&sequence=13", &["d"]).await;
    assert_eq!(fenced, (409, json!({"why": "fenced"})));
    let next = append(&store, "&producer=w&epoch=8&sequence=3", &["d"]).await;
    assert_eq!(next, (200, json!({"offset": 2, "end": 3})));
}

#[actix_rt::test]
async fn records_are_trimmed() {
    let store = start().await;
    append(&store, "", &["a", "b", "c"]).await;
    let trim = "log-trim?topic=work&part=3&before=2";
    assert_eq!(post(&store, trim, Value::Null).await.0, StatusCode::OK);
    assert_eq!(
        get(&store, "log-read?topic=work&part=3&from=1").await.0,
        410
    );
    let (status, body) = get(&store, "log-read?topic=work&part=3&from=2").await;
    assert_eq!((status, body.len()), (200, 16 + 5));
}

/// A partition goes to another member only once its holder has heard of it, has left, or has been
/// silent for its time. With two holders at once, both would do the same work.
#[actix_rt::test]
async fn a_partition_has_one_holder() {
    let store = start().await;
    let (one, parts) = join(&store, "a", 0).await;
    assert_eq!(parts, 12);
    let (two, parts) = join(&store, "b", 0).await;
    assert!(two > one);
    assert_eq!(parts, 0, "a has not heard yet");
    // By an older generation, a has not heard either.
    assert_eq!(join(&store, "a", one).await, (two, 6));
    assert_eq!(join(&store, "b", two).await, (two, 0));
    assert_eq!(join(&store, "a", two).await, (two, 6));
    assert_eq!(join(&store, "b", two).await, (two, 6));
    assert_eq!(commit(&store, "a", two).await, 200);
    assert_eq!(commit(&store, "b", two).await, 409);
    post(&store, "log-leave", json!({"group": "g", "member": "a"})).await;
    let (three, parts) = join(&store, "b", two).await;
    assert!(three > two);
    assert_eq!(parts, 12);
    assert_eq!(owner(&store).await, (Some("b".to_owned()), 5));
}

#[actix_rt::test]
async fn a_silent_member_loses_its_partitions() {
    let store = start().await;
    join_for(&store, "a", 0, 0.01).await;
    while owner(&store).await.0.is_some() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(join(&store, "b", 0).await.1, 12);
}

/// All partitions are dealt anew without any request; a holder hears of it with its next call.
#[actix_rt::test]
async fn partitions_may_be_dealt_anew() {
    let store = start().await;
    let (one, _) = join(&store, "a", 0).await;
    store.rebalance();
    let (two, parts) = join(&store, "a", one).await;
    assert!(two > one);
    assert_eq!(parts, 12);
}
