//! Choice of the route and the service of a request.

use std::sync::Arc;

use apricotdale_core::names::GroupName;
use apricotdale_fleet::Route;
use apricotdale_fleet::RouteKind;
use apricotdale_fleet::RouteTable;
use apricotdale_fleet::SplitShare;
use rstest::rstest;

fn route(name: &str, host: &str, prefix: &str, shares: &[(&str, u32)]) -> Arc<Route> {
    let share = |(service, weight): &(&str, u32)| SplitShare {
        service: GroupName::from(*service),
        weight: *weight,
    };
    Arc::new(Route {
        name: Arc::from(name),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        timeout_ms: 1_000,
        target_ms: 100,
        gap_target_ms: 0,
        attempts: 1,
        rank: 0,
        shares: shares.iter().map(share).collect(),
        public: false,
    })
}

#[rstest]
#[case::longest("h.example", "/a/b/c", Some("long"))]
#[case::shorter("h.example", "/a/x", Some("short"))]
#[case::query("h.example", "/a/?b/", Some("short"))]
#[case::port_and_case("H.Example:80", "/a/", Some("short"))]
#[case::other_host("g.example", "/a/b/", None)]
#[case::not_a_segment("h.example", "/ab/", None)]
#[case::no_slash("h.example", "/a", None)]
fn longest_prefix(#[case] host: &str, #[case] target: &str, #[case] expected: Option<&str>) {
    let table = RouteTable::new(&[
        route("short", "h.example", "/a/", &[("s", 1)]),
        route("long", "h.example", "/a/b/", &[("s", 1)]),
    ]);
    let found = table.find(host, target).map(|route| &*route.name);
    assert_eq!(found, expected);
}

#[test]
fn split_follows_weights() {
    let route = route("r", "h", "/", &[("old", 90), ("new", 10)]);
    let new = GroupName::from("new");
    let taken = (0..1_000_u64)
        .filter(|draw| route.service(*draw) == Some(&new))
        .count();
    assert_eq!(taken, 100);
}

#[test]
fn zero_weight_share() {
    let route = route("r", "h", "/", &[("old", 0), ("new", 3)]);
    let new = GroupName::from("new");
    assert!((0..100_u64).all(|draw| route.service(draw) == Some(&new)));
}

#[test]
fn route_without_services() {
    assert_eq!(route("r", "h", "/", &[]).service(7), None);
}
