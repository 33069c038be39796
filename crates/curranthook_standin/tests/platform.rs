//! Tests of the simulated platform's conditional writes and faults with the product's client.

use std::time::Duration;

use curranthook_platform::{Error, Objects, Table, Vms, Write};
use curranthook_standin::platform::fault::{Fault, Faults, Mode};
use curranthook_tests::{Site, run, standin::Platform};
use yare::parameterized;

const TABLE_AND_KEY: (&str, &str) = ("claims", "a/b");

fn platform(args: &[&str]) -> anyhow::Result<(tempfile::TempDir, Platform)> {
    let directory = tempfile::tempdir()?;
    let platform = Platform::start(directory.path(), args)?;
    Ok((directory, platform))
}

fn table_fault(fault: Fault) -> Faults {
    Faults { table: fault, ..Faults::default() }
}

#[test]
fn a_row_is_written_only_if_the_condition_holds() -> anyhow::Result<()> {
    run(async {
        let (_directory, platform) = platform(&[])?;
        let (client, (table, key)) = (platform.client(), TABLE_AND_KEY);
        let Write::Done(first) = client.insert(table, key, "1".into()).await? else {
            panic!("the row was there before it was inserted");
        };
        assert_eq!(client.insert(table, key, "2".into()).await?, Write::Conflict);
        assert_eq!(client.get_newer(table, key, Some(&first)).await?, None);
        let Write::Done(second) = client.replace(table, key, &first, "3".into()).await? else {
            panic!("the tag of the last write wasn't taken");
        };
        assert_ne!(first, second);
        assert_eq!(client.replace(table, key, &first, "4".into()).await?, Write::Conflict);
        let row = Table::get(&client, table, key).await?.expect("the row is there");
        assert_eq!((row.tag, &row.value[..]), (second, &b"3"[..]));
        assert_eq!(Table::list(&client, table, "a/").await?.len(), 1);
        assert_eq!(Table::list(&client, table, "b").await?.len(), 0);
        let counts = platform.counts().await?.table;
        assert_eq!((counts.writes, counts.reads, counts.not_modified), (4, 4, 1));
        Ok(())
    })
}

#[test]
fn one_of_many_concurrent_inserts_succeeds() -> anyhow::Result<()> {
    run(async {
        let (_directory, platform) = platform(&[])?;
        let tasks = (0..32).map(|n: u32| {
            let client = platform.client();
            curranthook_tests::executor().spawn(async move {
                client.insert(TABLE_AND_KEY.0, TABLE_AND_KEY.1, n.to_string().into()).await
            })
        });
        let mut n_inserted = 0;
        for task in tasks.collect::<Vec<_>>() {
            n_inserted += usize::from(matches!(task.await?, Write::Done(_)));
        }
        assert_eq!(n_inserted, 1);
        Ok(())
    })
}

#[test]
fn an_object_is_created_only_once() -> anyhow::Result<()> {
    run(async {
        let (_directory, platform) = platform(&[])?;
        let client = platform.client();
        assert!(matches!(client.put_if_absent("bills/1", "x".into()).await?, Write::Done(_)));
        assert_eq!(client.put_if_absent("bills/1", "y".into()).await?, Write::Conflict);
        assert_eq!(Objects::list(&client, "bills/").await?, ["bills/1"]);
        assert_eq!(platform.objects().await?["bills/1"], "x");
        Ok(())
    })
}

/// The platform executes an insert, but the connection is closed before the response is sent.
/// The client can find out only by a read whether the insert took effect.
#[test]
fn an_insert_whose_response_is_lost_takes_effect() -> anyhow::Result<()> {
    run(async {
        let (_directory, platform) = platform(&[])?;
        let (client, (name, key)) = (platform.client(), TABLE_AND_KEY);
        let once = Fault { mode: Mode::Lost, next: Some(1), ..Fault::default() };
        platform.set(&table_fault(once)).await?;
        let lost = client.insert(name, key, "mine".into()).await;
        assert!(matches!(lost, Err(Error::Lost(_))), "{lost:?}");
        let row = Table::get(&client, name, key).await?.expect("the insert has taken effect");
        assert_eq!(&row.value[..], b"mine");
        assert_eq!(client.insert(name, key, "other".into()).await?, Write::Conflict);
        Ok(())
    })
}

/// During an outage, calls get a 503 response and have no effect.
#[parameterized(
    all = { "", Err(()) },
    this_key = { "claims/a", Err(()) },
    another_key = { "sessions/", Ok(()) },
)]
fn an_outage_rejects_calls_to_keys_with_the_prefix(prefix: &str, expected: Result<(), ()>) {
    run(async {
        let (_directory, platform) = platform(&[]).expect("the platform starts");
        let client = platform.client();
        let fault = Fault { mode: Mode::Down, key_prefix: prefix.to_owned(), ..Fault::default() };
        platform.set(&table_fault(fault)).await.expect("the fault is set");
        let written = client.insert(TABLE_AND_KEY.0, TABLE_AND_KEY.1, "1".into()).await;
        let was_down = matches!(written, Err(Error::Down(_)));
        assert_eq!(if was_down { Err(()) } else { Ok(()) }, expected, "{written:?}");
        let rows = platform.rows(TABLE_AND_KEY.0).await.expect("control works during an outage");
        assert_eq!(rows.is_empty(), expected.is_err());
    });
}

#[test]
fn calls_above_the_rate_limit_are_rejected() -> anyhow::Result<()> {
    run(async {
        let (_directory, platform) = platform(&["--table-reads-per-second", "5"])?;
        let client = platform.client();
        let mut n_refused = 0;
        for _ in 0..20 {
            let read = Table::get(&client, TABLE_AND_KEY.0, TABLE_AND_KEY.1).await;
            n_refused += usize::from(matches!(read, Err(Error::Down(_))));
        }
        assert!((1..=15).contains(&n_refused), "{n_refused} were refused");
        assert!(matches!(
            client.insert(TABLE_AND_KEY.0, TABLE_AND_KEY.1, "1".into()).await?,
            Write::Done(_)
        ));
        Ok(())
    })
}

#[test]
fn changes_of_the_vm_list_become_visible_after_the_lag() -> anyhow::Result<()> {
    run(async {
        let (_directory, platform) = platform(&["--vm-list-lag-ms", "300"])?;
        let vm = curranthook_platform::Vm {
            id: "vm-1".into(),
            address: platform.addr(),
            failure_domain: "domain-1".into(),
            state: curranthook_platform::VmState::Live,
            role: curranthook_platform::Role::Entry,
        };
        platform.set_vms(std::slice::from_ref(&vm)).await?;
        assert_eq!(platform.client().all().await?, []);
        let is_seen = async || Ok(platform.client().all().await? == [vm.clone()]);
        curranthook_tests::eventually(Duration::from_secs(10), is_seen).await
    })
}

/// Every router reads the list every two seconds. If it were sent in full each time, a list of a
/// few dozen VMs would use up a router's entire bandwidth budget for control traffic.
#[test]
fn an_unchanged_vm_list_is_not_resent() -> anyhow::Result<()> {
    run(async {
        let (_directory, platform) = platform(&[])?;
        let client = platform.client();
        let vm = |id: &str| curranthook_platform::Vm {
            id: id.into(),
            address: platform.addr(),
            failure_domain: "domain-1".into(),
            state: curranthook_platform::VmState::Live,
            role: curranthook_platform::Role::Endpoint,
        };
        platform.set_vms(&[vm("vm-1")]).await?;
        for _ in 0..3 {
            assert_eq!(client.all().await?, [vm("vm-1")]);
        }
        platform.set_vms(&[vm("vm-1"), vm("vm-2")]).await?;
        for _ in 0..3 {
            assert_eq!(client.all().await?, [vm("vm-1"), vm("vm-2")]);
        }
        let counts = platform.counts().await?.vms;
        assert_eq!((counts.reads, counts.not_modified), (6, 4));
        Ok(())
    })
}

#[test]
fn a_site_without_routers_publishes_its_configuration() -> anyhow::Result<()> {
    run(async {
        let site = Site::builder()
            .engine("e1", &["m@1", "m@2"])
            .service("s1", "crates")
            .rater(0.0)
            .behind_proxy()
            .start()
            .await?;
        let document = site.publish(|it| it.by = "again".to_owned()).await?;
        assert_eq!(document, site.document().await?);
        assert_eq!(document.epoch.0, 2);
        let config = &document.sites[curranthook_tests::site::NAME];
        assert_eq!(config.accounts["main"].versions.len(), 2);
        // The endpoints' addresses are those of the proxy.
        let links = site.proxy().links().await?;
        assert_eq!(config.endpoints["e1"].address, links["endpoint/e1"].listen);
        assert_ne!(config.endpoints["e1"].address, site.engine("e1").addr());
        Ok(())
    })
}
