//! Parsing of ready lines.

use rstest::rstest;

use apricotdale_launcher::ready::DaemonAddresses;
use apricotdale_launcher::ready::ReadyLine;

fn address(text: &str) -> std::net::SocketAddr {
    text.parse().expect("the test's address is right")
}

#[test]
fn standin_address() {
    let line = ReadyLine::parse("listening 127.0.0.1:4000");
    assert_eq!(line, Some(ReadyLine::Standin(address("127.0.0.1:4000"))));
}

#[test]
fn daemon_addresses() {
    let text = "listening peers=127.0.0.1:4001 admin=127.0.0.1:4002 callers=127.0.0.1:4000";
    let expected = DaemonAddresses {
        callers: address("127.0.0.1:4000"),
        peers: address("127.0.0.1:4001"),
        admin: address("127.0.0.1:4002"),
    };
    assert_eq!(ReadyLine::parse(text), Some(ReadyLine::Daemon(expected)));
}

#[rstest]
#[case::other_line("starting 127.0.0.1:4000")]
#[case::no_address("listening")]
#[case::no_port("listening 127.0.0.1")]
#[case::address_missing("listening callers=127.0.0.1:4000 peers=127.0.0.1:4001")]
fn other_lines(#[case] text: &str) {
    assert_eq!(ReadyLine::parse(text), None);
}
