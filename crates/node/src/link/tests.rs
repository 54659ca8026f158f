//! Tests of the send queue of a link.

use super::SendQueue;
use super::SendQueueFull;
use super::MAX_QUEUED_FRAMES;
use bytes::Bytes;
use httpconn::ResponseBudget;
use proto::ActionId;
use proto::Call;
use proto::CallId;
use proto::CallRole;
use proto::Class;
use proto::Frame;
use proto::Incarnation;
use proto::Request;

fn call(number: u64, size: usize) -> Frame {
    Frame::Call(Box::new(Call {
        id: CallId {
            from: Incarnation(1),
            number,
        },
        action: ActionId(1),
        admission_sample: 0,
        class: Class::Lookup,
        priority: 0,
        passed_level: 0,
        role: CallRole::Serve,
        remaining_ms: 1000,
        objective_ms: None,
        retry_allowance: 0,
        possible_repeat: false,
        idempotent: true,
        key: None,
        first_attempt: false,
        depth: 0,
        redirects: 0,
        request: Request::new("press", "GET", "/days", Bytes::from(vec![7; size])),
    }))
}

/// Pushes calls of this size; checks how many are accepted and that they are drained in order.
fn check(size: usize, calls: u64, expected: usize) {
    let queue = SendQueue::new(ResponseBudget::new(1 << 20));
    let mut accepted = Vec::new();
    for number in 0..calls {
        let frame = call(number, size);
        match queue.push(frame.clone(), Bytes::from(proto::encode(&frame))) {
            Ok(()) => accepted.push(frame),
            Err(SendQueueFull(rejected)) => assert_eq!(rejected, frame),
        }
    }
    assert_eq!(accepted.len(), expected);
    assert_eq!(queue.drain(), accepted);
    assert_eq!(queue.drain(), []);
}

/// A peer does not read. Without bounds, its send queue would use up the node's memory.
#[test]
fn a_queue_is_bounded_by_frames_and_by_bytes() {
    check(10, 3, 3);
    check(10, 2000, MAX_QUEUED_FRAMES);
    check(1 << 20, 40, 15);
}

/// A link is lost while a call is still queued on its replacement, so the call is pushed again.
#[test]
fn a_queued_call_is_not_queued_again() {
    let queue = SendQueue::new(ResponseBudget::new(1 << 20));
    for number in [1, 2, 1, 2, 3] {
        let frame = call(number, 10);
        let encoded = Bytes::from(proto::encode(&frame));
        assert!(queue.push(frame, encoded).is_ok());
    }
    assert_eq!(queue.drain(), [call(1, 10), call(2, 10), call(3, 10)]);
}
