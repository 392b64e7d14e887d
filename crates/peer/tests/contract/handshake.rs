//! The bytes of the handshake, checked by a client written for the test.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

use sha2::{Digest, Sha256};
use wagtail_peer::Limits;

use crate::control::wait_for_counts;
use crate::fleet::{FakeHandler, Fleet, SECRET};

const HELLO_BYTES: usize = 46;
const MAC_BYTES: usize = 32;

/// Computes the HMAC-SHA-256 (RFC 2104) with a key shorter than a block.
fn hmac(key: &[u8], message: &[u8]) -> [u8; MAC_BYTES] {
    let mut block = [0_u8; 64];
    block[..key.len()].copy_from_slice(key);
    let inner = Sha256::digest([block.map(|b| b ^ 0x36).as_slice(), message].concat());
    Sha256::digest([block.map(|b| b ^ 0x5c).as_slice(), &inner].concat()).into()
}

fn hello(name: &str, nonce: u8) -> Vec<u8> {
    let length = u8::try_from(name.len()).expect("short");
    let incarnation = 7_u64.to_be_bytes();
    [
        b"wtp1\0".as_slice(),
        &[nonce; 32],
        &incarnation,
        &[length],
        name.as_bytes(),
    ]
    .concat()
}

/// The acceptor's reply to a hello.
struct HelloReply {
    stream: TcpStream,
    hello: Vec<u8>,
    mac: Vec<u8>,
}

/// Sends a hello and reads the reply.
fn exchange_hello(addr: SocketAddr, mine: &[u8]) -> HelloReply {
    let mut stream = TcpStream::connect(addr).expect("connects");
    stream.write_all(mine).expect("sends");
    let mut hello = vec![0; HELLO_BYTES + "owner".len()];
    stream.read_exact(&mut hello).expect("receives a hello");
    let mut mac = vec![0; MAC_BYTES];
    stream.read_exact(&mut mac).expect("receives a code");
    HelloReply { stream, hello, mac }
}

#[test]
fn the_test_hmac_matches_the_rfc() {
    // RFC 4231, test case 2.
    let mac = hmac(b"Jefe", b"what do ya want for nothing?");
    assert_eq!(mac[..4], [0x5b, 0xdc, 0xc1, 0x46]);
}

// Guards against replay and reflection: a proof must hold only for the nonces of its own connection,
// and the acceptor's code sent back must not pass for a proof.
#[tokio::test]
async fn both_sides_prove_the_secret_and_a_proof_is_valid_once() {
    let fleet = Fleet::start(FakeHandler::echo(), Limits::default());
    let mine = hello("entry", 9);
    let mut first = exchange_hello(fleet.owner.addr(), &mine);
    let parts = [mine.as_slice(), &first.hello].concat();
    let theirs = hmac(
        SECRET.as_bytes(),
        &[b"acceptor".as_slice(), &parts].concat(),
    );
    assert_eq!(first.mac, theirs);
    let proof = hmac(
        SECRET.as_bytes(),
        &[b"connector".as_slice(), &parts].concat(),
    );
    assert_ne!(proof, theirs, "a code cannot be sent back as a proof");
    first.stream.write_all(&proof).expect("sends");
    // A frame over the limit is counted as malformed only if the proof was accepted.
    first
        .stream
        .write_all(&u32::MAX.to_le_bytes())
        .expect("sends");
    wait_for_counts(&fleet.owner, |c| c.malformed == 1).await;
    assert_eq!(fleet.owner.counts().auth_failures, 0);

    let mut second = exchange_hello(fleet.owner.addr(), &mine);
    assert_ne!(second.hello, first.hello, "the nonce is fresh");
    second.stream.write_all(&proof).expect("sends");
    wait_for_counts(&fleet.owner, |c| c.auth_failures == 1).await;

    let mut third = exchange_hello(fleet.owner.addr(), &mine);
    third.stream.write_all(&third.mac).expect("sends");
    wait_for_counts(&fleet.owner, |c| c.auth_failures == 2).await;
    let mut rest = [0; 1];
    match third.stream.read(&mut rest) {
        Ok(count) => assert_eq!(count, 0),
        Err(error) => assert_eq!(error.kind(), ErrorKind::ConnectionReset),
    }
}
