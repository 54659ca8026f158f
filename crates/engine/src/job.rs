//! Jobs for this node's backend server, and what their runs report.

use crate::operation_key::OperationKey;
use crate::RequestToken;
use crate::RunEnd;
use crate::RunOrigin;
use indexmap::IndexMap;
use policy::RetryAllowance;
use policy::WorkOutcome;
use proto::ActionId;
use proto::CallId;
use proto::Class;
use proto::DownstreamSummary;
use proto::Fingerprint;
use proto::KeyHash;
use proto::Request;
use rules::Operation;
use std::sync::Arc;
use std::time::Duration;
use stdx::Time;

/// A request for this node's backend server, queued or running.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) owner: JobOwner,
    pub(crate) action_id: ActionId,
    pub(crate) admission_sample: u16,
    pub(crate) depth: u8,
    /// How many instances have refused the call before it came here.
    pub(crate) redirects: u8,
    /// When the job should have ended. Unlike at the deadline, it goes on after that.
    pub(crate) due: Time,
    pub(crate) deadline: Time,
    /// When the latency objective of the action ends, if work is scheduled by slack.
    pub(crate) objective: Option<Time>,
    /// Whether its operation is patient; see [`Operation::is_patient`].
    pub(crate) patient: bool,
    /// The latest start that still meets the objective, from the run times known when the job was
    /// offered.
    pub(crate) latest_start: Option<Time>,
    pub(crate) retry_allowance: RetryAllowance,
    /// Whether the run may repeat an earlier one, so that each of its child calls spends a retry.
    pub(crate) possible_repeat: bool,
    pub(crate) operation: Option<OperationKey>,
    pub(crate) fingerprint: Fingerprint,
    /// Whether the request has an idempotency key. The record of the key outlives the caller.
    pub(crate) keyed: bool,
    pub(crate) idempotent: bool,
    /// When the run counts as late, so that its ingress node may send the request to a second
    /// instance.
    pub(crate) late_at: Option<Time>,
    /// Whether the backend server was asked to cancel the run. If the connection breaks after that,
    /// the server has not crashed.
    pub(crate) cancelled: bool,
    /// Number of calls made directly and indirectly by the run, as far as answers have reported
    /// them.
    pub(crate) downstream_calls: u16,
    /// The level that the child calls of each operation reported last. Levels fall again during a
    /// run, so the highest level reported so far could be as old as the run.
    pub(crate) child_levels: IndexMap<OperationKey, u16>,
    /// The scope of the idempotency keys of child calls; identifies the job's place in the call
    /// tree.
    pub(crate) child_key_scope: Arc<str>,
    /// Number of child calls so far, by service and fingerprint.
    pub(crate) child_counts: IndexMap<(Arc<str>, Fingerprint), u32>,
    /// The class of the whole action.
    pub(crate) class: Class,
    pub(crate) priority: u8,
    /// The admission level that the action passed at its entry node.
    pub(crate) passed_level: u16,
    pub(crate) started: Option<Time>,
    /// The server incarnation that the job was given to.
    pub(crate) expected_server: Option<Arc<str>>,
    /// Child calls in flight.
    pub(crate) pending_children: Vec<RequestToken>,
    /// Since when at least one child call has been in flight. Valid only while there is one.
    pub(crate) children_pending_since: Time,
    /// The total time during which at least one child call was in flight, without the current such
    /// period.
    pub(crate) child_wait: Duration,
    pub(crate) request: Request,
}

/// Who receives the result of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JobOwner {
    /// An inbound call.
    Call(CallId),
    /// All calls that wait for an idempotency key.
    Key(KeyHash),
}

impl Job {
    /// The class and priority of a child call. A lookup that belongs to an order is handled like
    /// the order.
    pub(crate) fn child_class_and_priority(&self, child: &Operation) -> (Class, u8) {
        if child.class.is_protected() {
            (child.class, child.priority)
        } else {
            (self.class, self.priority)
        }
    }

    /// The way by which the request has reached this node.
    pub(crate) fn origin(&self) -> RunOrigin {
        if self.possible_repeat {
            RunOrigin::Repeat
        } else if self.depth > 0 {
            RunOrigin::Call
        } else {
            RunOrigin::Client
        }
    }

    pub(crate) fn on_child_started(&mut self, now: Time, child: RequestToken) {
        if self.pending_children.is_empty() {
            self.children_pending_since = now;
        }
        self.pending_children.push(child);
        self.downstream_calls = self.downstream_calls.saturating_add(1);
    }

    /// The admission level and the number of calls that the child calls of the run have reported so
    /// far.
    pub(crate) fn downstream(&self) -> DownstreamSummary {
        DownstreamSummary {
            level: self.child_levels.values().copied().max().unwrap_or(0),
            calls: self.downstream_calls,
        }
    }

    pub(crate) fn on_child_ended(&mut self, now: Time, child: RequestToken) {
        self.pending_children.retain(|pending| *pending != child);
        if self.pending_children.is_empty() {
            self.child_wait += now.since(self.children_pending_since);
        }
    }

    /// What the end of the run tells the concurrency controller. The duration of a response with a
    /// server error is left out: such responses are often quick and would raise the limit.
    pub(crate) fn server_feedback(&self, now: Time, end: &RunEnd) -> WorkOutcome {
        let elapsed = self.started.map_or(Duration::ZERO, |at| now.since(at));
        match end {
            RunEnd::Response(response) if response.status >= 500 => WorkOutcome::Failed,
            RunEnd::Response(_) => WorkOutcome::Completed {
                elapsed,
                own_time: elapsed.saturating_sub(self.child_wait),
            },
            RunEnd::Refused { .. } => WorkOutcome::Refused,
            RunEnd::NeverSent => WorkOutcome::Unreachable,
            RunEnd::TimedOut if self.pending_children.is_empty() => WorkOutcome::Abandoned {
                elapsed,
                own_time: elapsed.saturating_sub(self.child_wait),
            },
            RunEnd::Misdirected | RunEnd::TimedOut => WorkOutcome::Failed,
            RunEnd::Lost => WorkOutcome::Lost,
        }
    }
}
