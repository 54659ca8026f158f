//! What must always hold, checked at each step.

use crate::ClusterConfig;
use crate::Node;
use crate::Operation;
use bytes::Bytes;
use indexmap::IndexMap;
use proto::Call;
use proto::CallId;
use proto::Incarnation;
use proto::Outcome;
use proto::Reason;
use proto::Request;
use std::sync::Arc;
use std::time::Duration;
use stdx::Time;

/// After this long a leaving backend server gets nothing new.
const DRAINED_AFTER: Duration = Duration::from_secs(3);

type Key = (Arc<str>, Arc<str>, Arc<str>);

/// What is known of one piece of work, by operation and body.
#[derive(Debug, Default)]
struct Known {
    attempts: u32,
    not_run: u32,
    runs: u32,
}

/// A call of another node that has no answer yet.
#[derive(Debug)]
struct Waiting {
    body: Bytes,
    protected: bool,
    /// Something other than a lookup was refused for load since it came.
    refused_more: bool,
    /// It was handed to the backend server.
    started: bool,
}

/// What is known of an action and all below it.
#[derive(Debug, Default)]
struct Tree {
    /// Requests of the caller.
    roots: u64,
    /// Requests of the caller and of backend servers: the edges of the call tree.
    edges: u64,
    /// Work handed to backend servers.
    handed: u64,
    allowance: u64,
}

/// Counts the runs by key, and says when something is not as promised.
#[derive(Debug, Default)]
pub struct InvariantChecker {
    /// What was violated, with seed and time.
    pub violations: Vec<String>,
    /// A body that has one of these in it crashes each backend server that runs it.
    pub poison: Vec<Arc<str>>,
    /// Crashes of backend servers by each of them.
    pub crashes: IndexMap<Arc<str>, u32>,
    /// Checks that no lookup that waited when something else was refused for load is started. Calls
    /// and runs are matched by their bodies here, so it is only for callers that never re-send; the
    /// same is asserted inside `policy::ServerAdmission` for every run.
    pub lookups_go_first: bool,
    work: IndexMap<String, Known>,
    trees: IndexMap<String, Tree>,
    /// The key of each piece of work that a caller named one for: caller, service, key.
    keys: IndexMap<String, Key>,
    key_runs: IndexMap<Key, u32>,
    files: IndexMap<u64, Arc<str>>,
    /// Calls of other nodes that have no answer yet.
    waiting: IndexMap<Incarnation, IndexMap<CallId, Waiting>>,
}

fn name(operation: &Operation, body: &[u8]) -> String {
    let body = String::from_utf8_lossy(body);
    format!("{}{} {body}", operation.service, operation.path)
}

fn root(body: &[u8]) -> String {
    let body = String::from_utf8_lossy(body);
    body.split('>').next().unwrap_or_default().to_owned()
}

impl InvariantChecker {
    /// How often a backend server began the work.
    pub fn runs(&self, operation: &Operation, body: &[u8]) -> u32 {
        self.work
            .get(&name(operation, body))
            .map_or(0, |known| known.runs)
    }

    /// A caller or a backend server asks.
    pub(crate) fn on_attempt(&mut self, operation: &Operation, body: &[u8], is_root: bool) {
        self.work.entry(name(operation, body)).or_default().attempts += 1;
        let tree = self.trees.entry(root(body)).or_default();
        tree.edges += 1;
        if is_root {
            tree.roots += 1;
            tree.allowance = operation.retries;
        }
    }

    /// A caller names a key for its request.
    pub(crate) fn on_key(&mut self, operation: &Operation, body: &[u8], key: (Arc<str>, Arc<str>)) {
        let key = (key.0, operation.service.clone(), key.1);
        self.keys.insert(name(operation, body), key);
    }

    /// An engine hands work to its backend server.
    pub(crate) fn on_run_asked(
        &mut self,
        node: &Node,
        now: Time,
        req: &Request,
    ) -> Result<(), String> {
        if node
            .heard_stop
            .is_some_and(|at| now.since(at) > DRAINED_AFTER)
        {
            return Err(format!("{} starts work while it is leaving", node.name));
        }
        let version = node
            .engine
            .as_ref()
            .map_or(0, |engine| engine.rules_version());
        if version < node.known_version {
            return Err(format!(
                "{} works with old rules, version {version}",
                node.name
            ));
        }
        let waiting = self.waiting.entry(node.incarnation).or_default();
        // A call that has started may still be in flight while the node starts the same request
        // of a caller of its own, which is no call of another node and waited for nothing.
        let mut calls = waiting.values_mut();
        let mine = calls.find(|call| call.body == req.body && !call.started);
        let first = mine.is_some_and(|call| {
            call.started = true;
            !call.protected && call.refused_more
        });
        if self.lookups_go_first && first {
            return Err(format!(
                "{} starts {} that waited while it refused more",
                node.name,
                String::from_utf8_lossy(&req.body)
            ));
        }
        let tree = self.trees.entry(root(&req.body)).or_default();
        tree.handed += 1;
        if tree.handed > tree.edges + tree.allowance * tree.roots {
            return Err(format!(
                "more attempts than allowed: {} {tree:?}",
                root(&req.body)
            ));
        }
        Ok(())
    }

    /// A call arrives at a node.
    pub(crate) fn on_arrival(&mut self, node: &Node, call: &Call) {
        let waiting = Waiting {
            body: call.request.body.clone(),
            protected: call.class.is_protected(),
            refused_more: false,
            started: false,
        };
        let calls = self.waiting.entry(node.incarnation).or_default();
        calls.entry(call.id).or_insert(waiting);
    }

    /// A node answers a call of another node.
    pub(crate) fn on_answer_sent(&mut self, node: &Node, id: CallId, outcome: &Outcome) {
        let calls = self.waiting.entry(node.incarnation).or_default();
        let answered = calls.shift_remove(&id);
        let Outcome::NotRun(refusal) = outcome else {
            return;
        };
        let for_load = matches!(refusal.reason, Reason::Shed | Reason::QueueFull);
        if for_load && answered.is_some_and(|call| call.protected) {
            calls.values_mut().for_each(|call| call.refused_more = true);
        }
    }

    /// A backend server begins the work.
    pub(crate) fn on_run(&mut self, operation: &Operation, body: &[u8]) -> Result<(), String> {
        let name = name(operation, body);
        let known = self.work.entry(name.clone()).or_default();
        known.runs += 1;
        if known.runs > 1 && !operation.idempotent {
            return Err(format!("{name} runs {} times", known.runs));
        }
        if let Some(key) = self.keys.get(&name) {
            let runs = self.key_runs.entry(key.clone()).or_default();
            *runs += 1;
            if *runs > 1 {
                return Err(format!("{name} runs though {key:?} has run"));
            }
        }
        if known.attempts == known.not_run {
            return Err(format!(
                "{name} runs though every attempt was told not to: {known:?}"
            ));
        }
        Ok(())
    }

    /// An engine answers a request.
    pub(crate) fn on_outcome(
        &mut self,
        cluster: &ClusterConfig,
        operation: usize,
        body: &[u8],
        outcome: &Outcome,
    ) -> Result<(), String> {
        let name = name(&cluster.operations[operation], body);
        let known = self.work.entry(name.clone()).or_default();
        match outcome {
            Outcome::NotRun(refusal) => {
                known.not_run += 1;
                let of_all = !cluster.operations[operation].idempotent && !refusal.attempt_only;
                if known.runs > 0 && (of_all || known.attempts == known.not_run) {
                    return Err(format!("{name} was told {refusal:?} but ran: {known:?}"));
                }
            }
            Outcome::Completed(response) => {
                let expected = cluster.expected(operation, body);
                let fits = match response.status {
                    200 => response.body == expected,
                    _ => response.body == "[failed]",
                };
                if !fits || known.runs == 0 {
                    return Err(format!(
                        "{name} got an answer that is not its own: {response:?}"
                    ));
                }
            }
            Outcome::Unknown(_) => {}
        }
        Ok(())
    }

    /// An engine has another version of the rules.
    pub(crate) fn on_version(
        &mut self,
        before: u64,
        version: u64,
        file: &Arc<str>,
    ) -> Result<(), String> {
        if version < before {
            return Err(format!("version {before} went back to {version}"));
        }
        let known = self.files.entry(version).or_insert_with(|| file.clone());
        if known != file {
            return Err(format!("version {version} is not the same file everywhere"));
        }
        Ok(())
    }
}
