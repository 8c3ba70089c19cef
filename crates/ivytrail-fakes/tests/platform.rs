//! Tests of the fake platform: conformance to the platform's protocol, and fault injection.

use std::net::SocketAddr;

use ivytrail::platform::{
    KeyRange, RowWrite, TableRead, TableRows, TableTransaction, TransactionResult, VersionCheck,
};
use ivytrail_fakes::platform::{PlatformFake, PlatformFaults, PlatformRates};
use serde_json::json;

const EPHEMERAL_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

async fn platform() -> PlatformFake {
    PlatformFake::start(EPHEMERAL_ADDRESS, PlatformRates::default())
        .await
        .expect("failed to start the platform")
}

fn write(key: &str, value: serde_json::Value, version: u64) -> TableTransaction {
    TableTransaction {
        checks: vec![VersionCheck { key: key.to_string(), version }],
        writes: vec![RowWrite { key: key.to_string(), value }],
    }
}

async fn transact(
    platform: &PlatformFake,
    transaction: &TableTransaction,
) -> reqwest::Result<TransactionResult> {
    let url = format!("http://{}/table/transact", platform.address());
    reqwest::Client::new().post(url).json(transaction).send().await?.json().await
}

async fn read(platform: &PlatformFake, read: &TableRead) -> reqwest::Result<TableRows> {
    let url = format!("http://{}/table/read", platform.address());
    reqwest::Client::new().post(url).json(read).send().await?.json().await
}

async fn read_prefix(platform: &PlatformFake, prefix: &str) -> TableRows {
    let ranges = vec![KeyRange::with_prefix(prefix, 10)];
    read(platform, &TableRead { keys: vec![], ranges }).await.expect("failed to read the table")
}

#[tokio::test]
async fn concurrent_write_of_the_same_version_conflicts() {
    let platform = platform().await;

    let first = transact(&platform, &write("a/1", json!(1), 0)).await.unwrap();
    let second = transact(&platform, &write("a/1", json!(2), 0)).await.unwrap();

    assert_eq!(first, TransactionResult::Applied);
    assert_eq!(second, TransactionResult::Conflict { key: "a/1".to_string(), version: 1 });
    assert_eq!(read_prefix(&platform, "a/").await.rows[0].value, json!(1));
}

#[tokio::test]
async fn deleted_row_never_reuses_a_version() {
    let platform = platform().await;
    transact(&platform, &write("a/1", json!(1), 0)).await.unwrap();

    transact(&platform, &write("a/1", json!(null), 1)).await.unwrap();
    transact(&platform, &write("a/1", json!(3), 0)).await.unwrap();

    assert_eq!(read_prefix(&platform, "a/").await.rows[0].version, 3);
}

#[tokio::test]
async fn lost_response_keeps_the_effect() {
    let platform = platform().await;
    platform.set_faults(PlatformFaults { lose_next: 1, ..PlatformFaults::default() });

    let lost = transact(&platform, &write("a/1", json!(1), 0)).await;

    assert!(lost.is_err());
    assert_eq!(read_prefix(&platform, "a/").await.rows.len(), 1);
    assert_eq!(platform.counts().lost_answers, 1);
}

#[tokio::test]
async fn request_to_a_platform_that_is_down_has_no_effect() {
    let platform = platform().await;
    platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });

    let refused = transact(&platform, &write("a/1", json!(1), 0)).await;
    platform.set_faults(PlatformFaults::default());

    assert!(refused.is_err());
    assert_eq!(read_prefix(&platform, "a/").await.rows.len(), 0);
}

#[tokio::test]
async fn object_is_read_back_as_written() {
    let platform = platform().await;
    let url = format!("http://{}/objects/snapshot-7", platform.address());
    let client = reqwest::Client::new();

    let absent = client.get(&url).send().await.unwrap().status();
    client.put(&url).body("seven").send().await.unwrap();
    let body = client.get(&url).send().await.unwrap().text().await.unwrap();

    assert_eq!((absent.as_u16(), body.as_str()), (404, "seven"));
}
