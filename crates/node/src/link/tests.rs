//! What waits for a link.

use super::Full;
use super::Queue;
use super::MAX_FRAMES;
use bytes::Bytes;
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
        retry_allowance: 0,
        possible_repeat: false,
        idempotent: true,
        key: None,
        first_attempt: false,
        depth: 0,
        request: Request::new("press", "GET", "/days", Bytes::from(vec![7; size])),
    }))
}

/// Pushes calls of this size, and checks how many fit and that these come out again in order.
fn check(size: usize, calls: u64, expected: usize) {
    let queue = Queue::default();
    let mut fitted = Vec::new();
    for number in 0..calls {
        let frame = call(number, size);
        match queue.push(frame.clone(), Bytes::from(proto::encode(&frame))) {
            Ok(()) => fitted.push(frame),
            Err(Full(refused)) => assert_eq!(refused, frame),
        }
    }
    assert_eq!(fitted.len(), expected);
    assert_eq!(queue.drain(), fitted);
    assert_eq!(queue.drain(), []);
}

/// A peer does not read, and its link's queue would take the node's memory call by call.
#[test]
fn a_queue_is_bounded_by_frames_and_by_bytes() {
    check(10, 3, 3);
    check(10, 2000, MAX_FRAMES);
    check(1 << 20, 40, 15);
}

/// A link is lost while a call waits for the one that took its place, and the call comes again.
#[test]
fn a_call_that_waits_is_not_entered_twice() {
    let queue = Queue::default();
    for number in [1, 2, 1, 2, 3] {
        let frame = call(number, 10);
        let encoded = Bytes::from(proto::encode(&frame));
        assert!(queue.push(frame, encoded).is_ok());
    }
    assert_eq!(queue.drain(), [call(1, 10), call(2, 10), call(3, 10)]);
}
