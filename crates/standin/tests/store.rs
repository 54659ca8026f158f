//! Features of the real store that the stand-in implements although nodes do not use them.

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

/// The body of an append: each record after its 4-byte length.
fn encode_records(texts: &[&str]) -> Bytes {
    let mut body = BytesMut::new();
    for text in texts {
        body.put_u32(text.len() as u32);
        body.put_slice(text.as_bytes());
    }
    body.freeze()
}

/// Sends a POST request. Returns the status and the JSON body, or null if the body is not JSON.
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
    send(url, encode_records(texts)).await
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

/// Joins a member with a long time to live. Returns the generation and the number of partitions
/// that the member owns.
async fn join(store: &Store, member: &str, generation: u64) -> (u64, usize) {
    join_for(store, member, generation, 3600.0).await
}

/// Like [`join`], with a time to live in seconds.
async fn join_for(store: &Store, member: &str, generation: u64, ttl: f64) -> (u64, usize) {
    let body = json!({
        "group": "g", "member": member, "topics": ["work"], "ttl_s_time": ttl,
        "generation": generation,
    });
    let (status, assignment) = post(store, "log-join", body).await;
    assert_eq!(status, 200);
    let generation = assignment["generation"].as_u64().unwrap();
    (generation, assignment["parts"].as_array().unwrap().len())
}

/// Commits an offset in the first partition and returns the status.
async fn commit(store: &Store, member: &str, generation: u64) -> u16 {
    let body = json!({
        "group": "g", "member": member, "generation": generation, "topic": "work",
        "part": 0, "offset": 5,
    });
    post(store, "log-commit", body).await.0
}

/// The owner of the first partition and the committed offset.
async fn owner(store: &Store) -> (Option<String>, u64) {
    let (_, body) = get(store, "log-owners?group=g").await;
    let owners: Vec<(String, u32, Option<String>, u64)> = serde_json::from_slice(&body).unwrap();
    let (_, _, member, offset) = owners[0].clone();
    (member, offset)
}

#[actix_rt::test]
async fn lower_epoch_is_fenced_and_repeated_append_gets_the_same_answer() {
    let store = start().await;
    let first = append(&store, "&producer=w&epoch=7&sequence=12", &["ab", "c"]).await;
    assert_eq!(first, (200, json!({"offset": 0, "end": 2})));
    let again = append(&store, "&producer=w&epoch=7&sequence=12", &["ab", "c"]).await;
    assert_eq!(again, first);
    let skipped = append(&store, "&producer=w&epoch=7&sequence=14", &["d"]).await;
    assert_eq!(skipped, (409, json!({"why": "seq", "expected": 13})));
    // An append without records sets the epoch.
    let new_epoch = append(&store, "&producer=w&epoch=8&sequence=0", &[]).await;
    assert_eq!(new_epoch.0, 200);
    let fenced = append(&store, "&producer=w&epoch=7&sequence=13", &["d"]).await;
    assert_eq!(fenced, (409, json!({"why": "fenced"})));
    let next = append(&store, "&producer=w&epoch=8&sequence=3", &["d"]).await;
    assert_eq!(next, (200, json!({"offset": 2, "end": 3})));
}

#[actix_rt::test]
async fn trimmed_records_are_gone() {
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

/// A partition gets a new owner only after the old one has learned of the new generation, has left,
/// or has let its membership expire. With two owners at once, both would do the same work.
#[actix_rt::test]
async fn partition_has_one_owner() {
    let store = start().await;
    let (first, parts) = join(&store, "a", 0).await;
    assert_eq!(parts, 12);
    let (second, parts) = join(&store, "b", 0).await;
    assert!(second > first);
    assert_eq!(parts, 0, "a does not know the new generation yet");
    // A join with the old generation does not release the partitions either.
    assert_eq!(join(&store, "a", first).await, (second, 6));
    assert_eq!(join(&store, "b", second).await, (second, 0));
    assert_eq!(join(&store, "a", second).await, (second, 6));
    assert_eq!(join(&store, "b", second).await, (second, 6));
    assert_eq!(commit(&store, "a", second).await, 200);
    assert_eq!(commit(&store, "b", second).await, 409);
    post(&store, "log-leave", json!({"group": "g", "member": "a"})).await;
    let (third, parts) = join(&store, "b", second).await;
    assert!(third > second);
    assert_eq!(parts, 12);
    assert_eq!(owner(&store).await, (Some("b".to_owned()), 5));
}

#[actix_rt::test]
async fn expired_member_loses_its_partitions() {
    let store = start().await;
    join_for(&store, "a", 0, 0.01).await;
    while owner(&store).await.0.is_some() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(join(&store, "b", 0).await.1, 12);
}

/// A rebalance that no member caused. The owner learns of it with its next join.
#[actix_rt::test]
async fn rebalance_starts_a_new_generation() {
    let store = start().await;
    let (first, _) = join(&store, "a", 0).await;
    store.rebalance();
    let (second, parts) = join(&store, "a", first).await;
    assert!(second > first);
    assert_eq!(parts, 12);
}
