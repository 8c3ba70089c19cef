//! Tests of the fake backend server: effect counts, fault injection and service times.

use std::time::Duration;

use ivytrail_fakes::{
    backend::{BackendFake, BackendSettings, NestedCall, ServerControl},
    response::{BodyCheck, ResponseBody, SERIAL_HEADER},
};
use reqwest::{RequestBuilder, Response};

async fn backend(settings: BackendSettings) -> BackendFake {
    BackendFake::start(settings).await.expect("failed to start the backend server")
}

fn request(backend: &BackendFake, serial: &str) -> RequestBuilder {
    let url = format!("http://{}/bookings", backend.address());
    reqwest::Client::new().post(url).header(SERIAL_HEADER, serial)
}

fn header<'a>(response: &'a Response, name: &str) -> &'a str {
    response.headers().get(name).map_or("", |value| value.to_str().expect("header is not text"))
}

#[tokio::test]
async fn response_identifies_its_request_and_echoes_the_attempt() {
    let backend = backend(BackendSettings::new("booking")).await;

    let response = request(&backend, "s-1").header("ivytrail-request", "a/1").send().await.unwrap();
    let attempt = header(&response, "ivytrail-request").to_string();
    let body = response.bytes().await.unwrap();

    assert_eq!(attempt, "a/1");
    assert_eq!(ResponseBody::check(&body, "s-1"), BodyCheck::Complete);
    assert_eq!(ResponseBody::check(&body, "s-2"), BodyCheck::Crossed);
    assert_eq!(ResponseBody::check(&body[..body.len() - 1], "s-1"), BodyCheck::Corrupt);
    assert_eq!(backend.log().effects("s-1"), 1);
}

#[tokio::test]
async fn truncated_response_follows_the_effect() {
    let backend = backend(BackendSettings::new("booking")).await;

    let response = request(&backend, "s-1").header("x-truncate", "1").send().await.unwrap();

    assert!(response.bytes().await.is_err());
    assert_eq!(backend.log().effects("s-1"), 1);
}

#[tokio::test]
async fn cancelled_request_takes_no_effect() {
    let service_time = Duration::from_secs(60);
    let settings = BackendSettings { service_time, ..BackendSettings::new("booking") };
    let backend = backend(settings).await;

    let cancelled = request(&backend, "s-1").timeout(Duration::from_millis(100)).send().await;
    while backend.log().cancelled == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }

    assert!(cancelled.is_err());
    assert_eq!(backend.log().effects("s-1"), 0);
}

#[tokio::test]
async fn requests_above_the_limit_are_shed_without_running() {
    let service_time = Duration::from_secs(1);
    let settings = BackendSettings {
        slots: 1,
        shed_multiple: 1.0,
        service_time,
        ..BackendSettings::new("booking")
    };
    let backend = backend(settings).await;

    let first = tokio::spawn(request(&backend, "s-1").send());
    while backend.log().peak_in_flight == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let second = request(&backend, "s-2").send().await.unwrap();
    first.await.unwrap().unwrap();

    assert_eq!((second.status().as_u16(), header(&second, "ivytrail-shed")), (503, "1"));
    assert_eq!((backend.log().effects("s-1"), backend.log().effects("s-2")), (1, 0));
}

#[tokio::test]
async fn crash_closes_every_connection_before_the_effect() {
    let backend = backend(BackendSettings::new("booking")).await;

    let crashed = request(&backend, "s-1").header("x-crash", "booking").send().await;
    let after = request(&backend, "s-2").send().await;

    assert!(crashed.is_err() && after.is_err());
    assert_eq!(backend.log().total_effects(), 0);
}

#[tokio::test]
async fn received_credential_is_counted() {
    let backend = backend(BackendSettings::new("booking")).await;

    request(&backend, "s-1").bearer_auth("secret").send().await.unwrap();

    assert_eq!(backend.log().keys_seen, 1);
}

#[tokio::test]
async fn nested_calls_forward_the_serial() {
    let launch = backend(BackendSettings::new("launch")).await;
    let nested_calls =
        vec![NestedCall { method: "POST".to_string(), path: "/launches".to_string() }];
    let daemon = Some(launch.address());
    let booking =
        backend(BackendSettings { daemon, nested_calls, ..BackendSettings::new("booking") }).await;

    let response = request(&booking, "s-1").send().await.unwrap();

    assert_eq!(response.status().as_u16(), 200);
    assert_eq!((booking.log().effects("s-1"), launch.log().effects("s-1")), (1, 1));
}

#[tokio::test]
async fn reported_load_can_be_stale() {
    let backend = backend(BackendSettings::new("booking")).await;
    let url = format!("http://{}/load", backend.address());
    backend.set_control(ServerControl { load_lag_ms: 5_000, ..ServerControl::default() });

    let body = reqwest::get(url).await.unwrap().text().await.unwrap();

    assert_eq!(body, r#"{"in_flight":0,"slots":16}"#);
}

#[tokio::test]
async fn mean_service_time_matches_the_settings() {
    let service_time = Duration::from_millis(6);
    let settings = BackendSettings { service_time, slots: 64, ..BackendSettings::new("booking") };
    let backend = backend(settings).await;

    for serial in 0..50 {
        request(&backend, &format!("s-{serial}")).send().await.unwrap();
    }

    let total_us: u64 = backend.log().runs.values().map(|record| record.slot_us).sum();
    assert!(300_000 <= total_us, "50 runs held slots for only {total_us} us");
}
