//! What must always hold, checked at each step.

use crate::Layout;
use crate::Node;
use crate::Operation;
use indexmap::IndexMap;
use indexmap::IndexSet;
use proto::Call;
use proto::CallId;
use proto::Outcome;
use proto::Reason;
use proto::Request;
use std::sync::Arc;
use std::time::Duration;
use stdx::Time;

/// After this long a leaving backend server gets nothing new.
const DRAINED_AFTER: Duration = Duration::from_secs(3);

/// What is known of one piece of work, by operation and body.
#[derive(Debug, Default)]
struct Known {
    attempts: u32,
    not_run: u32,
    runs: u32,
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
pub struct Judge {
    /// What was violated, with seed and time.
    pub violations: Vec<String>,
    /// A body that has one of these in it crashes each backend server that runs it.
    pub poison: Vec<Arc<str>>,
    /// Crashes by poison.
    pub crashes: u32,
    /// Lookups must be shed first: no lookup that waited when something else was refused for load
    /// may still be started.
    pub lookups_go_first: bool,
    work: IndexMap<String, Known>,
    trees: IndexMap<String, Tree>,
    files: IndexMap<u64, Arc<str>>,
    /// Calls that wait at a node: by node and body, since when.
    arrived: IndexMap<(String, String), Time>,
    /// What the calls without an answer wait as.
    unanswered: IndexMap<CallId, (String, String)>,
    /// Calls other than lookups that have no answer yet.
    protected: IndexSet<CallId>,
    /// When a node last refused something other than a lookup for load.
    refused: IndexMap<String, Time>,
}

fn name(operation: &Operation, body: &[u8]) -> String {
    let body = String::from_utf8_lossy(body);
    format!("{}{} {body}", operation.service, operation.path)
}

fn root(body: &[u8]) -> String {
    let body = String::from_utf8_lossy(body);
    body.split('>').next().unwrap_or_default().to_owned()
}

impl Judge {
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

    /// An engine hands work to its backend server.
    pub(crate) fn on_run_asked(
        &mut self,
        node: &Node,
        now: Time,
        req: &Request,
    ) -> Result<(), String> {
        if node
            .stopping
            .is_some_and(|at| now.since(at) > DRAINED_AFTER)
        {
            return Err(format!("{} starts work while it is leaving", node.name));
        }
        let arrived = self.arrived.swap_remove(&waits(node, &req.body));
        let refused = self.refused.get(&node.name);
        let waited = arrived
            .zip(refused)
            .is_some_and(|(arrived, refused)| arrived < *refused);
        if self.lookups_go_first && waited && &*req.method == "GET" {
            return Err(format!(
                "{} starts a lookup that waited while it refused more",
                node.name
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
    pub(crate) fn on_arrival(&mut self, node: &Node, now: Time, call: &Call) {
        let waits = waits(node, &call.request.body);
        self.arrived.insert(waits.clone(), now);
        self.unanswered.insert(call.id, waits);
        if &*call.request.method != "GET" {
            self.protected.insert(call.id);
        }
    }

    /// A node answers a call of another node.
    pub(crate) fn on_answer_sent(&mut self, node: &Node, now: Time, id: CallId, outcome: &Outcome) {
        let protected = self.protected.swap_remove(&id);
        let waited = self.unanswered.swap_remove(&id);
        let Outcome::NotRun(refusal) = outcome else {
            return;
        };
        // It waits no more. If it comes again from the node's own side, that is no arrival here.
        if let Some(waited) = waited {
            self.arrived.swap_remove(&waited);
        }
        if protected && matches!(refusal.reason, Reason::Shed | Reason::QueueFull) {
            self.refused.insert(node.name.clone(), now);
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
        layout: &Layout,
        operation: usize,
        body: &[u8],
        outcome: &Outcome,
    ) -> Result<(), String> {
        let name = name(&layout.operations[operation], body);
        let known = self.work.entry(name.clone()).or_default();
        match outcome {
            Outcome::NotRun(refusal) => {
                known.not_run += 1;
                if known.runs > 0 && known.attempts == known.not_run {
                    return Err(format!("{name} was told {refusal:?} but ran: {known:?}"));
                }
            }
            Outcome::Whole(response) => {
                let expected = layout.expected(operation, body);
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

fn waits(node: &Node, body: &[u8]) -> (String, String) {
    (
        node.name.clone(),
        String::from_utf8_lossy(body).into_owned(),
    )
}
