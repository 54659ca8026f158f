//! Simulated callers: the requests they send, their timeouts and their re-sends.

use crate::ClusterConfig;
use crate::World;
use bytes::Bytes;
use engine::Input;
use engine::RequestToken;
use proto::Incarnation;
use proto::Outcome;
use proto::Reason;
use proto::Request;
use proto::RunId;
use rand::RngExt;
use std::sync::Arc;
use std::time::Duration;
use stdx::Time;

/// How long after its deadline a request may still be answered without a violation.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(100);

/// An action that a caller requests, in one or more attempts.
#[derive(Debug, Clone)]
pub struct Action {
    /// The requested operation, as an index into [`ClusterConfig::operations`].
    pub operation: usize,
    /// The request body, which also identifies the action.
    pub body: String,
    /// The caller's name.
    pub caller: Arc<str>,
    /// The idempotency key; with `None` the node generates one.
    pub key: Option<Arc<str>>,
    /// How long the caller waits for an answer to one attempt before it disconnects.
    pub attempt_timeout: Duration,
    /// Delay before each re-send, in place of the one that depends on the answer. If set, the
    /// caller also re-sends an idempotent request after a complete but failed response.
    pub resend_delay: Option<Duration>,
    /// The maximum number of re-sends.
    pub max_resends: u32,
    /// Number of attempts sent so far.
    pub attempts: u32,
    /// The last attempt that was answered. Its timeout no longer applies, even if a re-send is due.
    pub last_answered_attempt: u32,
    /// When the first attempt was sent.
    pub first_sent_at: Time,
    /// When the action ended and with which outcome; `None` while it is in progress.
    pub ended: Option<(Time, ActionOutcome)>,
}

/// The outcome of an action as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ActionOutcome {
    /// A complete response with status 200.
    Succeeded,
    /// A complete response with another status, from the backend server itself.
    Failed,
    /// The last attempt was answered as not run.
    NotRun(Reason),
    /// It is unknown whether the last attempt ran.
    Unknown(Reason),
    /// The caller timed out, or its node failed, and it did not re-send.
    Abandoned,
}

/// The party that waits for the answer to a request.
#[derive(Debug, Clone)]
pub enum Waiter {
    /// A caller, with one attempt of an action.
    Caller {
        /// The action, as an index into [`World::actions`].
        action: usize,
        /// The number of the attempt, from 1.
        attempt: u32,
    },
    /// A backend server that called another service.
    Child {
        /// The node of the backend server, as an index into [`World::nodes`].
        node: usize,
        /// The id of the parent's work on that server.
        work_id: u64,
        /// The index of this call among the [children](crate::Operation::children) of the parent.
        child_index: usize,
        /// The called operation, as an index into [`ClusterConfig::operations`].
        operation: usize,
        /// The body of the child request.
        body: Bytes,
    },
}

impl Action {
    /// An action with its body as key, a timeout of five seconds and up to three re-sends.
    pub fn new(operation: usize, body: &str) -> Self {
        Self {
            operation,
            body: body.to_owned(),
            caller: "shop".into(),
            key: Some(body.into()),
            attempt_timeout: Duration::from_secs(5),
            resend_delay: None,
            max_resends: 3,
            attempts: 0,
            last_answered_attempt: 0,
            first_sent_at: Time::ZERO,
            ended: None,
        }
    }
}

impl World {
    /// Schedules a caller to send an action and returns the index of the action. The first attempt
    /// goes to `node`, or to a random node if `None`.
    pub fn submit(&mut self, at: Time, action: Action, node: Option<usize>) -> usize {
        let index = self.actions.len();
        self.actions.push(action);
        self.schedule_at(at, move |world| world.send_attempt(index, node));
        index
    }

    /// Sends an action again, whatever its outcome. Does nothing if it was never sent, or if it is
    /// not idempotent and has no key.
    pub fn send_again(&mut self, index: usize, node: Option<usize>) {
        if self.actions[index].attempts > 0 && self.can_resend(index) {
            self.actions[index].ended = None;
            self.send_attempt(index, node);
        }
    }

    /// Whether a re-send is safe: the action is idempotent or has a key.
    fn can_resend(&self, index: usize) -> bool {
        let action = &self.actions[index];
        action.key.is_some() || self.cluster.operations[action.operation].idempotent
    }

    pub(crate) fn send_attempt(&mut self, index: usize, node: Option<usize>) {
        let any = self.rng.random_range(0..self.nodes.len());
        let node = node.unwrap_or(any);
        let action = &mut self.actions[index];
        action.ended = None;
        action.attempts += 1;
        if action.attempts == 1 {
            action.first_sent_at = self.now;
        }
        let attempt = action.attempts;
        let (operation, attempt_timeout) = (action.operation, action.attempt_timeout);
        let (caller, key) = (action.caller.clone(), action.key.clone());
        let body = Bytes::from(action.body.clone());
        if self.nodes[node].engine.is_none() {
            return self.resend_or_end(index, Duration::from_millis(50), ActionOutcome::Abandoned);
        }
        let waiter = Waiter::Caller {
            action: index,
            attempt,
        };
        let latency = self.cluster.caller_latency;
        self.send_request(node, waiter, operation, body, caller, None, key, latency);
        self.schedule_after(attempt_timeout, move |world| {
            world.on_attempt_timeout(index, attempt)
        });
    }

    /// Sends a backend server's call to another service through the server's own node.
    pub(crate) fn request_child(
        &mut self,
        node: usize,
        work_id: u64,
        child_index: usize,
        run: RunId,
        operation: usize,
        body: Bytes,
    ) {
        let waiter = Waiter::Child {
            node,
            work_id,
            child_index,
            operation,
            body: body.clone(),
        };
        if self.nodes[node].engine.is_none() {
            return self.on_child_outcome(waiter, None);
        }
        let context = Some(run.to_string().into());
        let latency = Duration::from_micros(100);
        self.send_request(
            node,
            waiter,
            operation,
            body,
            "".into(),
            context,
            None,
            latency,
        );
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "they are the fields of the engine's input"
    )]
    fn send_request(
        &mut self,
        node: usize,
        waiter: Waiter,
        operation: usize,
        body: Bytes,
        caller: Arc<str>,
        context: Option<Arc<str>>,
        key: Option<Arc<str>>,
        latency: Duration,
    ) {
        let token = RequestToken(self.next_token);
        self.next_token += 1;
        let incarnation = self.nodes[node].incarnation;
        self.nodes[node]
            .pending_requests
            .insert(token, waiter.clone());
        let target = &self.cluster.operations[operation];
        let is_root = matches!(waiter, Waiter::Caller { .. });
        self.checker.on_attempt(target, &body, is_root);
        if let (Some(key), false) = (&key, target.idempotent) {
            self.checker
                .on_key(target, &body, (caller.clone(), key.clone()));
        }
        let due = target.deadline + DEADLINE_TOLERANCE;
        let request = Request::new(&target.service, &target.method, &target.path, body);
        let attempt_timeout = match waiter {
            Waiter::Caller { action, .. } => Some(self.actions[action].attempt_timeout),
            Waiter::Child { .. } => None,
        };
        let input = Input::Request {
            credential: None,
            token,
            caller,
            context,
            parent: None,
            key,
            caller_timeout: attempt_timeout,
            request,
        };
        // The deadline counts from when the node accepts the request, which is later if its process
        // is paused.
        self.schedule_in_process(node, latency, move |world| {
            let node_state = &mut world.nodes[node];
            if node_state.pending_requests.contains_key(&token) {
                node_state.accepted_requests.insert(token);
            }
            world.schedule_in_process(node, due, move |world| {
                world.check_answer_overdue(node, incarnation, token)
            });
            world.handle_input(node, incarnation, input);
        });
    }

    /// Handles the engine's answer to a request and passes it on to the waiter.
    pub(crate) fn on_answer(
        &mut self,
        node: usize,
        token: RequestToken,
        outcome: Outcome,
        generated_key: Option<Arc<str>>,
    ) {
        self.nodes[node].accepted_requests.swap_remove(&token);
        let Some(waiter) = self.nodes[node].pending_requests.swap_remove(&token) else {
            return self
                .record_violation(&format!("second answer to request {token:?}: {outcome:?}"));
        };
        let (operation, body) = self.operation_and_body(&waiter);
        let check_result = self
            .checker
            .on_outcome(&self.cluster, operation, &body, &outcome);
        self.record_check(check_result);
        let latency = match waiter {
            Waiter::Caller { .. } => self.cluster.caller_latency,
            Waiter::Child { .. } => Duration::from_micros(100),
        };
        self.schedule_after(latency, move |world| {
            world.on_answer_received(waiter, outcome, generated_key)
        });
    }

    fn operation_and_body(&self, waiter: &Waiter) -> (usize, Bytes) {
        match waiter {
            Waiter::Caller { action, .. } => {
                let action = &self.actions[*action];
                (action.operation, Bytes::from(action.body.clone()))
            }
            Waiter::Child {
                operation, body, ..
            } => (*operation, body.clone()),
        }
    }

    pub(crate) fn on_answer_received(
        &mut self,
        waiter: Waiter,
        outcome: Outcome,
        generated_key: Option<Arc<str>>,
    ) {
        let Waiter::Caller {
            action: index,
            attempt,
        } = waiter
        else {
            return self.on_child_outcome(waiter, Some(outcome));
        };
        let action = &mut self.actions[index];
        if attempt != action.attempts || action.ended.is_some() {
            return;
        }
        action.last_answered_attempt = attempt;
        if generated_key.is_some() {
            action.key = generated_key;
        }
        match outcome {
            Outcome::Completed(response) if response.status == 200 => {
                self.end_action(index, ActionOutcome::Succeeded)
            }
            Outcome::Completed(_) => {
                let resends_failures = action.resend_delay.is_some();
                let idempotent = self.cluster.operations[action.operation].idempotent;
                if resends_failures && idempotent {
                    self.resend_or_end(index, Duration::ZERO, ActionOutcome::Failed);
                } else {
                    self.end_action(index, ActionOutcome::Failed);
                }
            }
            Outcome::NotRun(refusal) => {
                let wait = Duration::from_millis(u64::from(refusal.retry_after_ms));
                self.resend_or_end(index, wait, ActionOutcome::NotRun(refusal.reason));
            }
            Outcome::Unknown(reason) => {
                self.resend_or_end(
                    index,
                    Duration::from_millis(100),
                    ActionOutcome::Unknown(reason),
                );
            }
        }
    }

    /// The caller's timeout: it disconnects if it still waits for the answer to this attempt.
    pub(crate) fn on_attempt_timeout(&mut self, index: usize, attempt: u32) {
        let action = &self.actions[index];
        let still_waiting = action.attempts == attempt && action.last_answered_attempt < attempt;
        if !still_waiting || action.ended.is_some() {
            return;
        }
        let nodes = self.nodes.iter().enumerate();
        let mut all_requests = nodes.flat_map(|(node_index, node)| {
            node.pending_requests
                .iter()
                .map(move |request| (node_index, request))
        });
        let own_request = all_requests.find(|(_, (_, waiter))| {
            matches!(waiter, Waiter::Caller { action, attempt: n } if (*action, *n) == (index, attempt))
        });
        if let Some((node, (token, _))) = own_request {
            let input = Input::CallerGone(*token);
            self.schedule_input(node, self.cluster.caller_latency, input);
        }
        self.resend_or_end(index, Duration::ZERO, ActionOutcome::Abandoned);
    }

    /// Re-sends the action after `wait` if it has re-sends left and a re-send is safe; otherwise
    /// the action ends with `outcome`.
    fn resend_or_end(&mut self, index: usize, wait: Duration, outcome: ActionOutcome) {
        let can_resend = self.can_resend(index);
        self.end_action(index, outcome);
        let action = &mut self.actions[index];
        if can_resend && action.attempts <= action.max_resends {
            action.ended = None;
            let wait = action.resend_delay.unwrap_or(wait);
            let attempt = action.attempts;
            self.schedule_after(wait, move |world| {
                let action = &world.actions[index];
                if action.attempts == attempt && action.ended.is_none() {
                    world.send_attempt(index, None);
                }
            });
        }
    }

    fn end_action(&mut self, index: usize, outcome: ActionOutcome) {
        let at = self.now;
        self.actions[index].ended = Some((at, outcome));
        let body = &self.actions[index].body;
        self.trace_event(format!("{body} ended: {outcome:?}"));
    }

    /// Handles the loss of the node to which the waiter sent its request.
    pub(crate) fn on_node_gone(&mut self, _token: RequestToken, waiter: Waiter) {
        match waiter {
            Waiter::Caller { action, attempt } if self.actions[action].attempts == attempt => {
                if self.actions[action].ended.is_none() {
                    self.resend_or_end(action, Duration::from_millis(10), ActionOutcome::Abandoned);
                }
            }
            Waiter::Caller { .. } => {}
            Waiter::Child { .. } => self.on_child_outcome(waiter, None),
        }
    }

    /// Records a violation if a request is still unanswered after its deadline. Checks again later
    /// if the process was paused or resumed within the last [`DEADLINE_TOLERANCE`].
    pub(crate) fn check_answer_overdue(
        &mut self,
        node: usize,
        incarnation: Incarnation,
        token: RequestToken,
    ) {
        let node_state = &self.nodes[node];
        if node_state.incarnation != incarnation
            || !node_state.pending_requests.contains_key(&token)
        {
            return;
        }
        if self.now.since(node_state.pause_changed_at) < DEADLINE_TOLERANCE {
            return self.schedule_in_process(node, DEADLINE_TOLERANCE, move |world| {
                world.check_answer_overdue(node, incarnation, token)
            });
        }
        let report = format!(
            "no answer by the deadline: {:?}",
            node_state.pending_requests[&token]
        );
        self.record_violation(&report);
    }
}

impl ClusterConfig {
    /// The index of the operation with this method and `/SERVICE/PATH`.
    pub fn operation_index(&self, method: &str, path: &str) -> Option<usize> {
        self.operations.iter().position(|operation| {
            &*operation.method == method
                && format!("/{}{}", operation.service, operation.path) == path
        })
    }
}
