//! Query parameters of edits and of the audit trail.
//!
//! Unknown parameters are rejected: a misspelt `dry_run` must not store the change.

use ivytrail::{
    error::Findings,
    settings::{Revision, store::EditMode},
};
use salvo::Request;

/// Maximum length of a change id, in bytes.
const MAX_CHANGE_ID_BYTES: usize = 64;

/// Query parameters of an edit.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct EditParameters {
    /// Revision at which the operator read the settings to be replaced.
    pub(super) base: Revision,
    /// Identifier that the operator's tool chooses once for each intended change.
    pub(super) change_id: String,
    /// Whether an earlier request with this change id got no response.
    pub(super) resent: bool,
    /// Whether to store the change or only to check it.
    pub(super) mode: EditMode,
}

impl EditParameters {
    /// Parses the parameters of a request and reports all invalid ones.
    pub(super) fn from_request(req: &Request) -> Result<EditParameters, Findings> {
        let mut findings = Findings::default();
        reject_unknown(req, &["base", "change_id", "resent", "dry_run"], &mut findings);
        let base = number(req, "base", &mut findings);
        if base.is_none() {
            findings
                .push("?base", "is missing; allowed: the revision at which the settings were read");
        }
        let mode = match flag(req, "dry_run", &mut findings) {
            true => EditMode::DryRun,
            false => EditMode::Commit,
        };
        let resent = flag(req, "resent", &mut findings);
        let change_id = text(req, "change_id").unwrap_or_default().to_string();
        let is_valid_length = (1..=MAX_CHANGE_ID_BYTES).contains(&change_id.len());
        if mode == EditMode::Commit && !is_valid_length {
            findings
                .push("?change_id", "allowed: an id of 1 to 64 bytes that is unique to the change");
        }
        let base = Revision(base.unwrap_or_default());
        findings.into_result(EditParameters { base, change_id, resent, mode })
    }
}

/// Query parameters of a page of the audit trail.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct AuditParameters {
    /// Revision after which the page starts.
    pub(super) after: Revision,
}

impl AuditParameters {
    /// Parses the parameters of a request and reports all invalid ones.
    pub(super) fn from_request(req: &Request) -> Result<AuditParameters, Findings> {
        let mut findings = Findings::default();
        reject_unknown(req, &["after"], &mut findings);
        let after = Revision(number(req, "after", &mut findings).unwrap_or_default());
        findings.into_result(AuditParameters { after })
    }
}

fn reject_unknown(req: &Request, known: &[&str], findings: &mut Findings) {
    for name in req.queries().keys().filter(|name| !known.contains(&name.as_str())) {
        let message = format!("unknown parameter; allowed: {}", known.join(", "));
        findings.push(format!("?{name}"), message);
    }
}

fn text<'r>(req: &'r Request, name: &str) -> Option<&'r str> {
    req.queries().get(name).map(String::as_str)
}

fn number(req: &Request, name: &str, findings: &mut Findings) -> Option<u64> {
    let text = text(req, name)?;
    let number = text.parse::<u64>().ok().filter(|number| *number < u64::MAX);
    if number.is_none() {
        findings.push(format!("?{name}"), format!("found \"{text}\"; allowed: a whole number"));
    }
    number.or(Some(0))
}

fn flag(req: &Request, name: &str, findings: &mut Findings) -> bool {
    match text(req, name) {
        None | Some("false") => false,
        Some("" | "true") => true,
        Some(other) => {
            findings.push(format!("?{name}"), format!("found \"{other}\"; allowed: true, false"));
            false
        }
    }
}
