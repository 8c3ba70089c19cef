//! Text traces of simulated sessions, with one line per event and per effect.

use std::fmt::Write as _;

use ivytrail::{
    message::{AttemptResult, ControlMessage},
    reducer::{
        CallAnswer, CallSource, DaemonEffect, DaemonEvent, FleetUpdate, RunEnd, SettingsReading,
        TimedEvent,
    },
    settings::TreeEdit,
};

/// Text trace of a session.
///
/// Heartbeats (ticks, gossip, lease renewals) and reads of the platform that bring no changes are left out.
#[derive(Debug, Default)]
pub struct SessionTrace {
    text: String,
}

/// Trace lines of one event and its effects.
#[derive(Debug)]
pub struct EventTrace {
    event: Option<String>,
    effects: Vec<String>,
}

impl EventTrace {
    /// Appends the line of an effect.
    pub fn push_effect(&mut self, effect: &DaemonEffect) {
        self.effects.extend(effect_line(effect));
    }
}

impl SessionTrace {
    /// Returns the text traced so far.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Appends a heading at `now`, in microseconds of true time.
    pub fn push_heading(&mut self, now: u64, text: &str) {
        let _ = writeln!(self.text, "{:>10.3} -- {text}", now as f64 / 1e6);
    }

    /// Returns the trace lines of an event at the daemon `name`, still without effects.
    pub fn begin_event(&mut self, now: u64, name: &str, event: &TimedEvent) -> EventTrace {
        let at = format!("{:>10.3} {name}", now as f64 / 1e6);
        let line = event_line(&event.event);
        let is_tick = matches!(event.event, DaemonEvent::Tick);
        let event = line.or_else(|| is_tick.then(|| "timer tick".to_string()));
        EventTrace { event: event.map(|it| format!("{at} < {it}")), effects: Vec::new() }
    }

    /// Appends the lines of an event; a tick without effects has none.
    pub fn finish_event(&mut self, lines: EventTrace) {
        let is_quiet = lines.effects.is_empty();
        let event = lines.event.filter(|it| !is_quiet || !it.ends_with("timer tick"));
        if event.is_none() && is_quiet {
            return;
        }
        let _ =
            writeln!(self.text, "{}", event.unwrap_or_else(|| format!("{:>10} < (heartbeat)", "")));
        for effect in lines.effects {
            let _ = writeln!(self.text, "             > {effect}");
        }
    }
}

fn event_line(event: &DaemonEvent) -> Option<String> {
    Some(match event {
        DaemonEvent::CallReceived(request) => {
            let from = match request.source {
                CallSource::Caller(Some(_)) => "caller with key",
                CallSource::Caller(None) => "caller without key",
                CallSource::Nested(_) => "local backend server",
            };
            let key = request.idempotency_key.as_ref().map_or("", |_| " idempotency-key");
            let (method, path) = (&request.method, &request.path);
            format!("{} {method} {path} from {from}{key}", request.call)
        }
        DaemonEvent::AttemptAnswered { reply, body } => {
            let (attempt, result) = (&reply.attempt, result_text(&reply.result));
            format!("reply received for {attempt}: {result} body={body:?}")
        }
        DaemonEvent::AttemptFailed { serial, cause } => {
            format!("attempt {serial} failed: {cause:?}")
        }
        DaemonEvent::InquiryFailed { serial } => format!("status query for {serial} failed"),
        DaemonEvent::CallerDisconnected { call } => format!("{call}: caller disconnected"),
        DaemonEvent::AttemptReceived(header) => {
            let refused =
                header.entry_refusal.map_or(String::new(), |it| format!(" refuse-as={it}"));
            format!(
                "attempt {} {} {} account={} class={} retries={} depth={}{refused}",
                header.attempt,
                header.method,
                header.path,
                header.account.as_ref().map_or("-", |it| it.as_str()),
                header.priority,
                header.retry_tokens,
                header.depth,
            )
        }
        DaemonEvent::InquiryReceived { attempt } => format!("status query for {attempt}"),
        DaemonEvent::CancelReceived { attempt } => format!("cancel {attempt}"),
        DaemonEvent::RunEnded { attempt, end } => {
            format!("run of {attempt} ended: {}", run_end_text(end))
        }
        DaemonEvent::BackendProbed { is_alive } => format!("backend probed alive={is_alive}"),
        DaemonEvent::SettingsRead { reading: SettingsReading::Changes { changes, .. }, .. }
            if !changes.is_empty() =>
        {
            let texts = changes.iter().map(|it| format!("{} {}", it.revision, edit_text(&it.edit)));
            format!("settings changes read: {}", texts.collect::<Vec<_>>().join(", "))
        }
        DaemonEvent::ControlReceived { from, message } => {
            format!("{} from {}", control_text(message)?, from.instance)
        }
        DaemonEvent::ControlSendFailed { message } => {
            format!("send failed: {}", control_text(message)?)
        }
        DaemonEvent::DrainOrdered { member } => {
            format!("operator requested drain of {}", member.instance)
        }
        DaemonEvent::DrainRequested => "drain requested".to_string(),
        DaemonEvent::HandoverRequested => "handover requested".to_string(),
        DaemonEvent::FleetUpdated(FleetUpdate::Ring(_)) | DaemonEvent::Tick => return None,
        _ => return None,
    })
}

fn effect_line(effect: &DaemonEffect) -> Option<String> {
    Some(match effect {
        DaemonEffect::AnswerCall { call, answer } => {
            format!("answer {call}: {}", answer_text(answer))
        }
        DaemonEffect::SendAttempt { call, to, header, .. } => {
            let claim = if header.claim.is_some() { " claimed" } else { "" };
            let refused =
                header.entry_refusal.map_or(String::new(), |it| format!(" refuse-as={it}"));
            let left = header.time_left.as_millis();
            let (attempt, retries) = (&header.attempt, header.retry_tokens);
            format!(
                "send {call} as {attempt} to {} left={left}ms retries={retries}{claim}{refused}",
                to.instance
            )
        }
        DaemonEffect::SendInquiry { address, attempt, .. } => {
            format!("send status query for {attempt} to {address}")
        }
        DaemonEffect::SendCancel { address, attempt } => format!("cancel {attempt} at {address}"),
        DaemonEffect::StartRun { attempt, header, time_left, .. } => {
            let account = header.account.as_ref().map_or("-", |it| it.as_str());
            let left = time_left.as_millis();
            format!(
                "run {attempt} {} {} account={account} left={left}ms",
                header.method, header.path
            )
        }
        DaemonEffect::ProbeBackend => "probe backend".to_string(),
        DaemonEffect::CancelRun { attempt } => format!("cancel run {attempt}"),
        DaemonEffect::SendReply { reply, body } => {
            let result = result_text(&reply.result);
            let (attempt, retries) = (&reply.attempt, reply.retry_tokens);
            format!("reply to {attempt}: {result} retries-returned={retries} body={body:?}")
        }
        DaemonEffect::SendControl { to, message, .. } => {
            format!("{} to {}", control_text(message)?, to.instance)
        }
        DaemonEffect::ProposeRing(ring) => {
            let members = ring.members.iter().map(|it| it.member.to_string());
            let members = members.collect::<Vec<_>>().join(",");
            format!("propose ring {} epoch={} members={members}", ring.name, ring.epoch)
        }
        DaemonEffect::ReadChanges { .. } | DaemonEffect::ReadTree => return None,
        DaemonEffect::Restart => "restart daemon".to_string(),
        DaemonEffect::LogLine(line) => format!("log {line}"),
    })
}

fn answer_text(answer: &CallAnswer) -> String {
    match answer {
        CallAnswer::Complete { status, body, .. } => format!("{status} body={body:?}"),
        CallAnswer::Refused { outcome, reason, retry_after } => {
            let wait = retry_after.map_or("-".to_string(), |it| format!("{}ms", it.as_millis()));
            format!("refused {outcome} because {reason} retry-after={wait}")
        }
    }
}

fn result_text(result: &AttemptResult) -> String {
    match result {
        AttemptResult::Answered { status, .. } => status.to_string(),
        AttemptResult::Refused { outcome, reason, local, .. } => {
            format!("refused {outcome} because {reason} local={local}")
        }
    }
}

fn run_end_text(end: &RunEnd) -> String {
    match end {
        RunEnd::Answered { status, body, .. } => format!("{status} body={body:?}"),
        end => format!("{end:?}"),
    }
}

fn edit_text(edit: &TreeEdit) -> String {
    match edit {
        TreeEdit::ReplaceSubtree { team, .. } => format!("subtree of {team}"),
        TreeEdit::IssueKey { name, .. } => format!("issue {name}"),
        TreeEdit::WithdrawKey { name } => format!("withdraw {name}"),
    }
}

/// Returns the text of a control message, or `None` for a heartbeat.
fn control_text(message: &ControlMessage) -> Option<String> {
    Some(match message {
        ControlMessage::Gossip(_) | ControlMessage::Lease(_) => return None,
        ControlMessage::QuotaAsk(ask) => format!(
            "quota ask #{} {}/{} waiting={} ahead={} spare={}",
            ask.serial, ask.account, ask.share, ask.waiting, ask.prefetch, ask.spare
        ),
        ControlMessage::QuotaGrant(grant) => format!(
            "quota grant #{} {}/{} ready={} later={} owner={}",
            grant.serial, grant.account, grant.share, grant.ready, grant.reserved, grant.is_owner
        ),
        ControlMessage::ClaimQuestion(_) => "claim question".to_string(),
        ControlMessage::ClaimAnswer(_) => "claim answer".to_string(),
        ControlMessage::ClaimHandover(it) => format!("claim handover of {}", it.claims.len()),
        ControlMessage::Drain => "drain".to_string(),
        ControlMessage::Suspicion(_) => "suspicion".to_string(),
        ControlMessage::Feed(_) | ControlMessage::Authority(_) | ControlMessage::Ring(_) => {
            return None;
        }
    })
}
