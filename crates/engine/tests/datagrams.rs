//! Datagrams that a node cannot process.

use bilberry_engine::Config;
use bilberry_engine::Counter;
use bilberry_engine::Engine;
use bilberry_engine::Input;
use bilberry_engine::LinkEvent;
use bilberry_engine::Output;
use proto::Datagram;
use proto::Incarnation;
use proto::Instance;
use proto::MemberMessage;
use proto::PROTOCOL_VERSION;
use stdx::Time;

/// Checks what an engine counts when it receives a pull message of this protocol version, and
/// whether it answers.
fn check_pull(version: u16, counted: &[Counter], answers: bool) {
    let instance = Instance {
        incarnation: Incarnation(1),
        service: "press".into(),
        failure_domain: "milano-1".into(),
        region: "lombardia".into(),
        addr: ([127, 0, 0, 1], 7000).into(),
    };
    let datagram = Datagram::Member {
        version,
        progress: proto::SyncProgress::default(),
        message: MemberMessage::Pull {
            digests: Vec::new(),
        },
    };
    let from = ([127, 0, 0, 1], 7001).into();
    let mut engine = Engine::new(Config::default(), instance);
    let outputs = engine.handle(Time::ZERO, Input::Datagram { from, datagram });
    let counters = outputs.iter().filter_map(|output| match output {
        Output::Count(counter) => Some(*counter),
        _ => None,
    });
    assert_eq!(counters.collect::<Vec<_>>(), counted);
    let answered = |output: &Output| matches!(output, Output::Datagram { to, .. } if *to == from);
    assert_eq!(outputs.iter().any(answered), answers);
}

/// During an upgrade nodes of two versions run side by side. A node cannot interpret a datagram of
/// another version, and an operator has to be able to tell such datagrams from malformed ones.
#[test]
fn datagram_of_other_version_is_counted_and_not_answered() {
    check_pull(PROTOCOL_VERSION, &[], true);
    let wrong_version = Counter::Link(LinkEvent::WrongVersion);
    check_pull(PROTOCOL_VERSION + 1, &[wrong_version], false);
}
