//! Authentication of operators.

use ivytrail::settings::{
    credential::{digests_match, secret_digest},
    file::OperatorCredential,
};
use salvo::{Request, http::header::AUTHORIZATION};

/// Returns the name of the operator whose bearer token the request carries.
///
/// The token's digest is compared with those of all operators in constant time, so that the response time reveals
/// nothing about them.
pub(super) fn authenticate<'c>(
    req: &Request,
    operators: &'c [OperatorCredential],
) -> Option<&'c str> {
    let header = req.headers().get(AUTHORIZATION)?.to_str().ok()?;
    let digest = secret_digest(header.strip_prefix("Bearer ")?);
    let mut matching = None;
    for operator in operators {
        if digests_match(&operator.token_digest, &digest) {
            matching = Some(operator.name.as_str());
        }
    }
    matching
}
