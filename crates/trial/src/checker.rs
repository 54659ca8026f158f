//! The guarantees of the system, checked at each step of a simulation.

use crate::server_reports::ReportedServer;
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

/// How long a node may still submit runs to its backend server after it was asked to stop.
const DRAIN_PERIOD: Duration = Duration::from_secs(3);

/// An idempotency key with its scope: caller, service and key. Equal keys of different callers or
/// for different services are independent.
type Key = (Arc<str>, Arc<str>, Arc<str>);

/// Attempts, refusals and runs of one piece of work, identified by operation and body.
#[derive(Debug, Default)]
struct WorkRecord {
    attempts: u32,
    not_run: u32,
    runs: u32,
}

/// A call from another node that has not been answered yet.
#[derive(Debug)]
struct PendingCall {
    body: Bytes,
    protected: bool,
    /// Since its arrival the node has refused a protected call because of overload.
    protected_call_refused: bool,
    /// The node has submitted it to its backend server.
    submitted: bool,
}

/// Counts for an action and all calls below it.
#[derive(Debug, Default)]
struct CallTree {
    /// Requests of the caller itself.
    root_requests: u64,
    /// Requests of the caller and of backend servers: the edges of the call tree.
    requests: u64,
    /// Runs submitted to backend servers.
    submitted_runs: u64,
    /// Retries allowed for each request of the caller.
    retry_allowance: u64,
}

/// Records requests, calls, runs and answers, and detects violated guarantees.
#[derive(Debug, Default)]
pub struct InvariantChecker {
    /// Reports of the violations, each with seed and time.
    pub violations: Vec<String>,
    /// A request whose body contains one of these crashes each backend server that runs it.
    pub poison_bodies: Vec<Arc<str>>,
    /// Number of backend server crashes caused by each entry of `poison_bodies`.
    pub crashes_by_poison: IndexMap<Arc<str>, u32>,
    /// Checks that no lookup is submitted that was queued while a protected call was refused
    /// because of overload. Calls and runs are matched by body, so the check is only valid if
    /// callers never re-send. `policy::ServerAdmission` asserts the same in every run.
    pub check_lookups_shed_first: bool,
    work: IndexMap<String, WorkRecord>,
    trees: IndexMap<String, CallTree>,
    /// The key of each piece of work for which the caller supplied one.
    keys: IndexMap<String, Key>,
    /// Number of runs of each key.
    key_runs: IndexMap<Key, u32>,
    /// The rules file of each version that any node has had in force.
    rules_files: IndexMap<u64, Arc<str>>,
    /// What each backend server has reported about itself, and the requests that it got, by the
    /// index of its node.
    pub(crate) servers: IndexMap<usize, ReportedServer>,
    /// Unanswered calls from other nodes, by the incarnation that received them.
    pending_calls: IndexMap<Incarnation, IndexMap<CallId, PendingCall>>,
}

/// The identifier of a piece of work.
fn work_name(operation: &Operation, body: &[u8]) -> String {
    let body = String::from_utf8_lossy(body);
    format!("{}{} {body}", operation.service, operation.path)
}

/// The body of the caller's request at the root of the call tree; see
/// [`ClusterConfig::child_body`].
fn root_body(body: &[u8]) -> String {
    let body = String::from_utf8_lossy(body);
    body.split('>').next().unwrap_or_default().to_owned()
}

impl InvariantChecker {
    /// How many times a backend server has started this work.
    pub fn run_count(&self, operation: &Operation, body: &[u8]) -> u32 {
        self.work
            .get(&work_name(operation, body))
            .map_or(0, |record| record.runs)
    }

    /// Records a request of a caller (`is_root`) or of a backend server.
    pub(crate) fn on_attempt(&mut self, operation: &Operation, body: &[u8], is_root: bool) {
        self.work
            .entry(work_name(operation, body))
            .or_default()
            .attempts += 1;
        let tree = self.trees.entry(root_body(body)).or_default();
        tree.requests += 1;
        if is_root {
            tree.root_requests += 1;
            tree.retry_allowance = operation.retries;
        }
    }

    /// Records the key that a caller supplied with its request.
    pub(crate) fn on_key(&mut self, operation: &Operation, body: &[u8], key: (Arc<str>, Arc<str>)) {
        let key = (key.0, operation.service.clone(), key.1);
        self.keys.insert(work_name(operation, body), key);
    }

    /// Checks a run that an engine submits to its backend server.
    pub(crate) fn on_run_submitted(
        &mut self,
        node: &Node,
        now: Time,
        req: &Request,
    ) -> Result<(), String> {
        if node
            .stop_received_at
            .is_some_and(|at| now.since(at) > DRAIN_PERIOD)
        {
            return Err(format!(
                "{} submits a run more than {DRAIN_PERIOD:?} after it was asked to stop",
                node.name
            ));
        }
        let version = node
            .engine
            .as_ref()
            .map_or(0, |engine| engine.rules_version());
        if version < node.version_at_start {
            return Err(format!(
                "{} submits a run under outdated rules version {version}",
                node.name
            ));
        }
        let pending_by_id = self.pending_calls.entry(node.incarnation).or_default();
        // Calls that were already submitted are left out: such a call may still be in flight while
        // the node submits an equal request of one of its own callers, which is not a call from
        // another node and was not queued.
        let mut calls = pending_by_id.values_mut();
        let matching = calls.find(|call| call.body == req.body && !call.submitted);
        let submitted_out_of_order = matching.is_some_and(|call| {
            call.submitted = true;
            !call.protected && call.protected_call_refused
        });
        if self.check_lookups_shed_first && submitted_out_of_order {
            return Err(format!(
                "{} submits lookup {} that was queued while a protected call was refused",
                node.name,
                String::from_utf8_lossy(&req.body)
            ));
        }
        let tree = self.trees.entry(root_body(&req.body)).or_default();
        tree.submitted_runs += 1;
        if tree.submitted_runs > tree.requests + tree.retry_allowance * tree.root_requests {
            return Err(format!(
                "more runs than the retry allowance permits: {} {tree:?}",
                root_body(&req.body)
            ));
        }
        Ok(())
    }

    /// Records the arrival of a call at a node.
    pub(crate) fn on_arrival(&mut self, node: &Node, call: &Call) {
        let pending_call = PendingCall {
            body: call.request.body.clone(),
            protected: call.class.is_protected(),
            protected_call_refused: false,
            submitted: false,
        };
        let calls = self.pending_calls.entry(node.incarnation).or_default();
        calls.entry(call.id).or_insert(pending_call);
    }

    /// Records a node's answer to a call from another node.
    pub(crate) fn on_answer_sent(&mut self, node: &Node, id: CallId, outcome: &Outcome) {
        let calls = self.pending_calls.entry(node.incarnation).or_default();
        let answered = calls.shift_remove(&id);
        let Outcome::NotRun(refusal) = outcome else {
            return;
        };
        let refused_for_load = matches!(refusal.reason, Reason::Shed | Reason::QueueFull);
        if refused_for_load && answered.is_some_and(|call| call.protected) {
            calls
                .values_mut()
                .for_each(|call| call.protected_call_refused = true);
        }
    }

    /// Records and checks the start of work on a backend server.
    pub(crate) fn on_run_started(
        &mut self,
        operation: &Operation,
        body: &[u8],
    ) -> Result<(), String> {
        let name = work_name(operation, body);
        let record = self.work.entry(name.clone()).or_default();
        record.runs += 1;
        if record.runs > 1 && !operation.idempotent {
            return Err(format!(
                "{name} is not idempotent but ran {} times",
                record.runs
            ));
        }
        if let Some(key) = self.keys.get(&name) {
            let runs = self.key_runs.entry(key.clone()).or_default();
            *runs += 1;
            if *runs > 1 {
                return Err(format!("{name} runs although key {key:?} has already run"));
            }
        }
        if record.attempts == record.not_run {
            return Err(format!(
                "{name} runs although every attempt was answered as not run: {record:?}"
            ));
        }
        Ok(())
    }

    /// Records and checks an engine's answer to a request.
    pub(crate) fn on_outcome(
        &mut self,
        cluster: &ClusterConfig,
        operation: usize,
        body: &[u8],
        outcome: &Outcome,
    ) -> Result<(), String> {
        let name = work_name(&cluster.operations[operation], body);
        let record = self.work.entry(name.clone()).or_default();
        match outcome {
            Outcome::NotRun(refusal) => {
                record.not_run += 1;
                let for_all_attempts =
                    !cluster.operations[operation].idempotent && !refusal.attempt_only;
                if record.runs > 0 && (for_all_attempts || record.attempts == record.not_run) {
                    return Err(format!(
                        "{name} was answered {refusal:?} but has run: {record:?}"
                    ));
                }
            }
            Outcome::Completed(response) => {
                let expected = cluster.expected_response(operation, body);
                let is_expected = match response.status {
                    200 => response.body == expected,
                    _ => response.body == "[failed]",
                };
                if !is_expected || record.runs == 0 {
                    return Err(format!(
                        "{name} was answered with an unexpected response: {response:?}"
                    ));
                }
            }
            Outcome::Unknown(_) => {}
        }
        Ok(())
    }

    /// Checks a change of the rules version in an engine.
    pub(crate) fn on_rules_version(
        &mut self,
        before: u64,
        version: u64,
        file: &Arc<str>,
    ) -> Result<(), String> {
        if version < before {
            return Err(format!(
                "rules version went back from {before} to {version}"
            ));
        }
        let recorded_file = self
            .rules_files
            .entry(version)
            .or_insert_with(|| file.clone());
        if recorded_file != file {
            return Err(format!(
                "nodes have different rules files for version {version}"
            ));
        }
        Ok(())
    }
}
