//! Callers: what they send, how long they wait, and when they send again.

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

/// How late an answer may be after its deadline.
const LATE: Duration = Duration::from_millis(100);

/// Something that a caller wants done.
#[derive(Debug, Clone)]
pub struct Action {
    /// What: an index into [`ClusterConfig::operations`].
    pub operation: usize,
    /// Its identity, which is also the body.
    pub body: String,
    /// Who asks.
    pub caller: Arc<str>,
    /// The key; `None` leaves it to the node, which makes one.
    pub key: Option<Arc<str>>,
    /// How long the caller waits for one attempt before it hangs up.
    pub attempt_timeout: Duration,
    /// Comes back after this time, whatever it was told.
    pub resend_delay: Option<Duration>,
    /// How often it sends again at most.
    pub resends: u32,
    /// Attempts so far.
    pub attempts: u32,
    /// The last attempt that was answered; its caller waits no more, if only to send again.
    pub answered: u32,
    /// When it was first sent.
    pub first_sent_at: Time,
    /// How it ended, and when.
    pub ended: Option<(Time, ActionOutcome)>,
}

/// How an action ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ActionOutcome {
    /// With the whole answer.
    Succeeded,
    /// With the backend server's own failure, whole.
    Failed,
    /// The last attempt was told not to have run.
    NotRun(Reason),
    /// The last attempt's end is unknown.
    Unknown(Reason),
    /// The caller hung up, or its node went away, and it did not send again.
    Abandoned,
}

/// Who waits for an answer.
#[derive(Debug, Clone)]
pub enum Waiter {
    /// A caller: the action, and which attempt.
    Caller {
        /// The action's index.
        action: usize,
        /// Which attempt, from 1.
        attempt: u32,
    },
    /// A backend server, for a child call.
    Child {
        /// The server's node.
        node: usize,
        /// The parent's work there.
        work: u64,
        /// Which child of it.
        nth: usize,
        /// What is asked.
        operation: usize,
        /// The child's body.
        body: Bytes,
    },
}

impl Action {
    /// An action with its body as key, one second of patience and three re-sends.
    pub fn new(operation: usize, body: &str) -> Self {
        Self {
            operation,
            body: body.to_owned(),
            caller: "shop".into(),
            key: Some(body.into()),
            attempt_timeout: Duration::from_secs(5),
            resend_delay: None,
            resends: 3,
            attempts: 0,
            answered: 0,
            first_sent_at: Time::ZERO,
            ended: None,
        }
    }
}

impl World {
    /// Has a caller send an action; `node` is where the first attempt goes, any node if `None`.
    pub fn submit(&mut self, at: Time, action: Action, node: Option<usize>) -> usize {
        let index = self.actions.len();
        self.actions.push(action);
        self.schedule_at(at, move |world| world.on_send(index, node));
        index
    }

    /// The caller sends an action again, whatever it was told, unless it has no key to do so with.
    pub fn send_again(&mut self, index: usize, node: Option<usize>) {
        if self.actions[index].attempts > 0 && self.has_key(index) {
            self.actions[index].ended = None;
            self.on_send(index, node);
        }
    }

    fn has_key(&self, index: usize) -> bool {
        let action = &self.actions[index];
        action.key.is_some() || self.cluster.operations[action.operation].idempotent
    }

    pub(crate) fn on_send(&mut self, index: usize, node: Option<usize>) {
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
            return self.resend(index, Duration::from_millis(50), ActionOutcome::Abandoned);
        }
        let waiter = Waiter::Caller {
            action: index,
            attempt,
        };
        let travel = self.cluster.caller_latency;
        self.request(node, waiter, operation, body, caller, None, key, travel);
        self.schedule_after(attempt_timeout, move |world| {
            world.on_impatient(index, attempt)
        });
    }

    /// A backend server's call to another service, through its own node.
    pub(crate) fn request_child(
        &mut self,
        node: usize,
        work: u64,
        nth: usize,
        run: RunId,
        operation: usize,
        body: Bytes,
    ) {
        let waiter = Waiter::Child {
            node,
            work,
            nth,
            operation,
            body: body.clone(),
        };
        if self.nodes[node].engine.is_none() {
            return self.on_child_answer(waiter, None);
        }
        let context = Some(run.to_string().into());
        let travel = Duration::from_micros(100);
        self.request(
            node,
            waiter,
            operation,
            body,
            "".into(),
            context,
            None,
            travel,
        );
    }

    #[expect(clippy::too_many_arguments, reason = "they are the input's own fields")]
    fn request(
        &mut self,
        node: usize,
        waiter: Waiter,
        operation: usize,
        body: Bytes,
        caller: Arc<str>,
        context: Option<Arc<str>>,
        key: Option<Arc<str>>,
        travel: Duration,
    ) {
        let token = RequestToken(self.next_token);
        self.next_token += 1;
        let from = self.nodes[node].incarnation;
        self.nodes[node].waiting.insert(token, waiter.clone());
        let asked = &self.cluster.operations[operation];
        let is_root = matches!(waiter, Waiter::Caller { .. });
        self.checker.on_attempt(asked, &body, is_root);
        if let (Some(key), false) = (&key, asked.idempotent) {
            self.checker
                .on_key(asked, &body, (caller.clone(), key.clone()));
        }
        let due = asked.deadline + LATE;
        let request = Request::new(&asked.service, &asked.method, &asked.path, body);
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
        // The deadline counts from when the node takes the request, which may be frozen now.
        self.schedule_in_process(node, travel, move |world| {
            let place = &mut world.nodes[node];
            if place.waiting.contains_key(&token) {
                place.taken.insert(token);
            }
            world.schedule_in_process(node, due, move |world| world.on_due(node, from, token));
            world.feed(node, from, input);
        });
    }

    /// The engine's answer to a request.
    pub(crate) fn on_answer(
        &mut self,
        node: usize,
        token: RequestToken,
        outcome: Outcome,
        made_key: Option<Arc<str>>,
    ) {
        self.nodes[node].taken.swap_remove(&token);
        let Some(waiter) = self.nodes[node].waiting.swap_remove(&token) else {
            return self.violation(&format!("a second answer to {token:?}: {outcome:?}"));
        };
        let (operation, body) = self.asked(&waiter);
        let verdict = self
            .checker
            .on_outcome(&self.cluster, operation, &body, &outcome);
        self.check(verdict);
        let travel = match waiter {
            Waiter::Caller { .. } => self.cluster.caller_latency,
            Waiter::Child { .. } => Duration::from_micros(100),
        };
        self.schedule_after(travel, move |world| {
            world.on_reply(waiter, outcome, made_key)
        });
    }

    fn asked(&self, waiter: &Waiter) -> (usize, Bytes) {
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

    pub(crate) fn on_reply(&mut self, waiter: Waiter, outcome: Outcome, made: Option<Arc<str>>) {
        let Waiter::Caller {
            action: index,
            attempt,
        } = waiter
        else {
            return self.on_child_answer(waiter, Some(outcome));
        };
        let action = &mut self.actions[index];
        if attempt != action.attempts || action.ended.is_some() {
            return;
        }
        action.answered = attempt;
        if made.is_some() {
            action.key = made;
        }
        match outcome {
            Outcome::Completed(response) if response.status == 200 => {
                self.end(index, ActionOutcome::Succeeded)
            }
            Outcome::Completed(_) => {
                let again = action.resend_delay.is_some();
                let idempotent = self.cluster.operations[action.operation].idempotent;
                if again && idempotent {
                    self.resend(index, Duration::ZERO, ActionOutcome::Failed);
                } else {
                    self.end(index, ActionOutcome::Failed);
                }
            }
            Outcome::NotRun(refusal) => {
                let wait = Duration::from_millis(u64::from(refusal.retry_after_ms));
                self.resend(index, wait, ActionOutcome::NotRun(refusal.reason));
            }
            Outcome::Unknown(reason) => {
                self.resend(
                    index,
                    Duration::from_millis(100),
                    ActionOutcome::Unknown(reason),
                );
            }
        }
    }

    pub(crate) fn on_impatient(&mut self, index: usize, attempt: u32) {
        let action = &self.actions[index];
        let waits = action.attempts == attempt && action.answered < attempt;
        if !waits || action.ended.is_some() {
            return;
        }
        let nodes = self.nodes.iter().enumerate();
        let mut waiting = nodes.flat_map(|(at, node)| node.waiting.iter().map(move |w| (at, w)));
        let mine = waiting.find(|(_, (_, waiter))| {
            matches!(waiter, Waiter::Caller { action, attempt: n } if (*action, *n) == (index, attempt))
        });
        if let Some((node, (token, _))) = mine {
            let input = Input::CallerGone(*token);
            self.input(node, self.cluster.caller_latency, input);
        }
        self.resend(index, Duration::ZERO, ActionOutcome::Abandoned);
    }

    /// Sends again if the caller still wants to and has a key to send again with.
    fn resend(&mut self, index: usize, wait: Duration, end: ActionOutcome) {
        let can = self.has_key(index);
        self.end(index, end);
        let action = &mut self.actions[index];
        if can && action.attempts <= action.resends {
            action.ended = None;
            let wait = action.resend_delay.unwrap_or(wait);
            let attempt = action.attempts;
            self.schedule_after(wait, move |world| {
                let action = &world.actions[index];
                if action.attempts == attempt && action.ended.is_none() {
                    world.on_send(index, None);
                }
            });
        }
    }

    fn end(&mut self, index: usize, end: ActionOutcome) {
        let at = self.now;
        self.actions[index].ended = Some((at, end));
        let body = &self.actions[index].body;
        self.note(format!("{body} ends {end:?}"));
    }

    /// The node that had the request is gone, and the connection with it.
    pub(crate) fn on_node_gone(&mut self, _token: RequestToken, waiter: Waiter) {
        match waiter {
            Waiter::Caller { action, attempt } if self.actions[action].attempts == attempt => {
                if self.actions[action].ended.is_none() {
                    self.resend(action, Duration::from_millis(10), ActionOutcome::Abandoned);
                }
            }
            Waiter::Caller { .. } => {}
            Waiter::Child { .. } => self.on_child_answer(waiter, None),
        }
    }

    pub(crate) fn on_due(&mut self, node: usize, from: Incarnation, token: RequestToken) {
        let place = &self.nodes[node];
        if place.incarnation != from || !place.waiting.contains_key(&token) {
            return;
        }
        if self.now.since(place.moved) < LATE {
            return self
                .schedule_in_process(node, LATE, move |world| world.on_due(node, from, token));
        }
        let what = format!("no answer in time: {:?}", place.waiting[&token]);
        self.violation(&what);
    }
}

impl ClusterConfig {
    /// The index of an operation by its method and `/SERVICE/PATH`.
    pub fn operation(&self, method: &str, path: &str) -> Option<usize> {
        self.operations.iter().position(|operation| {
            &*operation.method == method
                && format!("/{}{}", operation.service, operation.path) == path
        })
    }
}
