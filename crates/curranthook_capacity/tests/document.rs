//! Synthetic configurations have the requested size, and changes are as small as is typical.

use curranthook_capacity::document::{self, Shape};
use yare::parameterized;

fn shape(n_endpoints: usize) -> Shape {
    let address = "127.0.0.1:9".parse().expect("an address");
    Shape { n_sites: 3, n_domains: 9, n_endpoints, n_accounts: 1, address }
}

#[parameterized(small = { 10_000 }, large = { 100_000 })]
fn document_has_about_the_requested_size(bytes: usize) {
    let size = document::json_size(&shape(0).with_document_size(bytes).document());
    assert!((bytes..bytes * 5 / 4).contains(&size), "{size}");
}

#[test]
fn endpoints_are_distributed_over_all_sites() {
    let document = shape(90).document();
    let of_sites: Vec<usize> = document.sites.values().map(|it| it.endpoints.len()).collect();
    assert_eq!(of_sites, [30, 30, 30]);
}

#[test]
fn change_increments_epoch_and_modifies_one_endpoint() {
    let first = shape(9).document();
    let next = document::next_epoch(&first);
    assert_eq!(next.epoch.0, first.epoch.0 + 1);
    let endpoints = |it: &curranthook_settings::Document| {
        it.sites.values().flat_map(|it| it.endpoints.clone()).collect::<Vec<_>>()
    };
    let (before, after) = (endpoints(&first), endpoints(&next));
    assert_eq!(before.iter().zip(&after).filter(|(a, b)| a != b).count(), 1);
}
