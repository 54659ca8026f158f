//! Replays the traces of calls and faults and checks their expected outcomes.

/// Defines a test for each trace file.
macro_rules! traces {
    ($($name:ident $file:literal)*) => {
        $(
            #[test]
            fn $name() {
                check(include_str!(concat!("../traces/", $file, ".trace")));
            }
        )*

        /// Guards against trace files that no test replays.
        #[test]
        fn every_trace_is_replayed() {
            let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/traces");
            let files = std::fs::read_dir(folder).unwrap().map(|file| file.unwrap().file_name());
            let mut files: Vec<_> = files.map(|name| name.into_string().unwrap()).collect();
            let mut replayed = [$(concat!($file, ".trace")),*];
            files.sort();
            replayed.sort();
            assert_eq!(files, replayed);
        }
    };
}

fn check(text: &str) {
    if let Err(e) = trial::replay(text) {
        panic!("{e:?}");
    }
}

traces! {
    all_instances_lost "all-instances-lost"
    graceful_stop "graceful-stop"
    graceful_stop_log_down "graceful-stop-log-down"
    killed_after "killed-after"
    killed_home "killed-home"
    log_answers_lost "log-answers-lost"
    log_down "log-down"
    log_silence "log-silence"
    log_slow "log-slow"
    one_way "one-way"
    operators_race "operators-race"
    paused_after_decision "paused-after-decision"
    paused_home "paused-home"
    poison "poison"
    poison_lookup "poison-lookup"
    quiet "quiet"
    regions_apart "regions-apart"
    resets "resets"
    server_crash "server-crash"
    silent "silent"
    slow_surge_retries "slow-surge-retries"
    together "together"
}
