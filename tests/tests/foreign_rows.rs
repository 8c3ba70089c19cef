//! Rows and announcements of other writers: what can't be used is left out, and everything else holds.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::Result;
use base64::{Engine, engine::general_purpose::STANDARD};
use ivytrail::mesh::table_watch::WatchTiming;
use ivytrail_platform::table::TableClient;
use ivytrail_tests::{
    mesh::MESH_LOCK,
    site::{TestSite, config_at_version, load::status_at, table::SiteTable},
};
use serde_json::json;
use tokio::time::timeout;

/// Table through which daemons discover each other.
const PEER_TABLE: &str = "ivytrail-daemons";
/// Table with the evidence against quarantined requests.
const SUSPECT_TABLE: &str = "ivytrail-quarantine";
/// Time within which a table of any content is read.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Writes rows whose values no daemon writes.
fn put_foreign_rows(table: &SiteTable, name: &str) {
    let nested = format!("{}{}", "[".repeat(5_000), "]".repeat(5_000));
    let texts = [
        "",
        "127.0.0.1:70000",
        "127.0.0.1:18446744073709551616",
        "127.0.0.1:-1",
        "127.0.0.1:0",
        "0.0.0.0:7000",
        "127.0.0.1",
        "localhost:7000",
        r#"{"address":"127.0.0.1:7000","slots":1e400}"#,
        &nested,
    ];
    for (idx, text) in texts.iter().enumerate() {
        table.put_row(name, &format!("foreign-{idx}"), text);
    }
    table.put_raw_row(name, "foreign-encoding", "%%%");
    table.put_raw_row(name, "foreign-bytes", &STANDARD.encode([0xff, 0xfe, 0x00]));
}

fn client_of(table: &SiteTable) -> Result<TableClient> {
    let timing = WatchTiming::new(Duration::from_secs(3));
    Ok(TableClient::new(&table.address().to_string(), timing)?)
}

/// Dialing what is no address takes a share of each quota and, under the name of a running daemon, replaces the link to
/// it.
#[tokio::test]
async fn rows_without_an_address_name_no_daemon() -> Result<()> {
    let table = SiteTable::start(config_at_version(1)).await?;
    table.put_row(PEER_TABLE, "instance-0", "127.0.0.1:7000");
    put_foreign_rows(&table, PEER_TABLE);

    let (peers, _) = client_of(&table)?.list_peers().await?;

    let names: Vec<&str> = peers.iter().map(|it| it.instance.as_str()).collect();
    assert_eq!(names, ["instance-0"]);
    Ok(())
}

#[tokio::test]
async fn unreadable_evidence_is_left_out() -> Result<()> {
    let table = SiteTable::start(config_at_version(1)).await?;
    put_foreign_rows(&table, SUSPECT_TABLE);

    assert!(client_of(&table)?.list_suspects().await?.is_empty());
    Ok(())
}

/// Keys are texts of any characters, also at the end of a page, from where the next page is requested.
#[tokio::test]
async fn a_table_with_keys_of_any_characters_is_read_to_its_end() -> Result<()> {
    let table = SiteTable::start(config_at_version(1)).await?;
    for idx in 0..1_200 {
        let key = format!("#{idx:04}&from=0%+ ?=\u{e9}");
        table.put_row(PEER_TABLE, &key, "127.0.0.1:7000");
    }
    let client = client_of(&table)?;

    let (peers, _) = timeout(READ_TIMEOUT, client.list_peers()).await??;

    assert_eq!(peers.len(), 1_200);
    Ok(())
}

/// Another writer has overwritten the row of a running daemon and added others. A daemon that starts then must serve, and
/// must not count what the rows name as parts of the fleet.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_starts_among_foreign_rows_serves() -> Result<()> {
    let _lock = MESH_LOCK.lock().await;
    let mut site = TestSite::start().await?;
    site.daemons[0].kill()?;
    site.table.put_row(PEER_TABLE, "instance-1", "127.0.0.1:70000");
    put_foreign_rows(&site.table, PEER_TABLE);
    put_foreign_rows(&site.table, SUSPECT_TABLE);

    site.daemons[0] = site.start_daemon(0)?;
    site.wait_until_serving(0).await?;

    for idx in 0..3 {
        assert_eq!(status_at(&site, idx, "/book/1", &format!("book-{idx}")).await, 200);
        assert_eq!(status_at(&site, idx, "/track/1", &format!("track-{idx}")).await, 200);
    }
    let log = site.daemon_log(0);
    assert!(!log.contains("event=peer_added peer=foreign"), "{log}");
    assert!(!log.contains("address=127.0.0.1:70000"), "{log}");
    assert!(log.contains("event=row_ignored"), "{log}");
    Ok(())
}

/// An announcement of another writer must not make those of the server look outdated.
#[tokio::test(flavor = "multi_thread")]
async fn announcements_that_cannot_be_read_change_nothing() -> Result<()> {
    let _lock = MESH_LOCK.lock().await;
    let site = TestSite::start().await?;
    let nested = format!(r#"{{"service":{}1{}}}"#, "[".repeat(5_000), "]".repeat(5_000));
    let heartbeat = |born: &str, slots: &str, sequence: &str| {
        format!(
            r#"{{"service":"booking","slots":{slots},"phase":"ready","sequence":{sequence},"born":{born}}}"#
        )
    };
    let bodies = [
        nested,
        heartbeat("18446744073709551615", "8", "1"),
        heartbeat("1e300", "8", "1"),
        heartbeat("1", "4294967296", "1"),
        heartbeat("1", "8", "18446744073709551616"),
        json!({"service": "booking", "slots": "8"}).to_string(),
        "\u{0}".to_string(),
    ];

    for body in bodies {
        let status = site.announce(0, "foreign", body).await?;
        assert_eq!(status, 400);
    }

    assert_eq!(status_at(&site, 0, "/book/1", "book-1").await, 200);
    assert!(site.is_ready(0).await);
    Ok(())
}

/// Another writer announces a server that does not run beside the daemon, and that seems to have started later.
#[tokio::test(flavor = "multi_thread")]
async fn announcements_of_another_writer_name_no_server() -> Result<()> {
    let _lock = MESH_LOCK.lock().await;
    let site = TestSite::start_with(&["booking", "tracker"], false).await?;
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH)?;
    let started_at_ms = u64::try_from(since_epoch.as_millis())? + 1_000;
    let heartbeat = |service: &str, address: &str, slots: u32, sequence: u64| {
        json!({
            "service": service, "address": address, "zone": "z", "version": "v1", "slots": slots,
            "phase": "ready", "warmup_left": 0, "sequence": sequence, "born": started_at_ms,
        })
        .to_string()
    };
    let bodies = [
        heartbeat("unheard-of", "127.0.0.1:8080", 8, 1),
        heartbeat("booking", "127.0.0.1:99999", 8, 1),
        heartbeat("booking", "127.0.0.1", 8, 1),
        heartbeat("booking", "127.0.0.1:8080", u32::MAX, 1),
        heartbeat("booking", "127.0.0.1:8080", 8, u64::MAX),
    ];

    let mut statuses = Vec::new();
    for (idx, body) in bodies.into_iter().enumerate() {
        statuses.push(site.announce(0, "foreign", body).await?);
        let id = format!("book-{idx}");
        assert_eq!(status_at(&site, 1, &format!("/book/{idx}"), &id).await, 200, "body {idx}");
    }

    assert_eq!(statuses, [200, 400, 400, 400, 400]);
    Ok(())
}
