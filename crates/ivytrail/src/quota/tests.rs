use std::time::Duration;

use super::*;
use crate::{id::CallId, time::TimePoint};

#[test]
fn request_waits_for_a_grant_and_is_admitted() {
    let account = AccountName::from("meteo");
    let mut stash = QuotaStash::new(QuotaOptions::default(), 1);
    let mut home = QuotaHome::new(QuotaOptions::default());
    stash.set_account(TimePoint::ORIGIN, &account, 100.0, 50.0);
    home.set_account(TimePoint::ORIGIN, &account, 100.0, 50.0);
    (0..MAX_SHARES).for_each(|it| home.gain(TimePoint::ORIGIN, &account, it));
    let now = TimePoint::from_millis(5_000);
    let mut out = Vec::new();

    let verdict = stash.request(now, &account, CallId(1), &mut out);
    let Some(QuotaEffect::Ask { ask, .. }) = out.pop() else { panic!("no ask in {out:?}") };
    let grant = home.ask(now, now.plus(Duration::from_secs(1)), &ask);
    stash.receive(now, &grant, &mut out);

    assert_eq!(verdict, QuotaVerdict::Waiting);
    assert_eq!(out, [QuotaEffect::Admit { call: CallId(1) }]);
}
