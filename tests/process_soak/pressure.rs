//! Trouble at the addresses of a process, apart from its requests: taken ports, and clients that do not
//! read.

use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;

use super::*;

/// One start in so many finds an address taken.
const TAKEN_STARTS: u32 = 4;
const UNREAD_INTERVAL: Duration = Duration::from_secs(4);
const UNREAD_TIME: Duration = Duration::from_secs(2);
const UNREAD_CONNECTIONS: usize = 10;
/// Requests that are sent at once.
const PIPELINED: usize = 200;
const SEND_TIMEOUT: Duration = Duration::from_millis(20);

/// Takes an address that the next start of a process needs, for a while.
pub async fn take_address(world: &SoakWorld, number: usize) {
    let rng = &mut world.settings.rng("taken", number + 64 * world.fleet.starts(number));
    if !rng.random_ratio(1, TAKEN_STARTS) {
        return;
    }
    let ports = [8141, 8143, 8144, 8149];
    let address = format!("{}:{}", world.fleet.ip(number), ports[rng.random_range(0..ports.len())]);
    let span = between(rng, 100, 1_500);
    // Does not listen, so that callers are refused.
    let holder = TcpSocket::new_v4().expect("a socket");
    // The last connections of the predecessor may still have it.
    if holder.bind(address.parse().expect("an address")).is_err() {
        return;
    }
    world.ledger.count("taken_starts");
    actix_rt::spawn(async move {
        sleep(span).await;
        drop(holder);
    });
}

/// Asks one process after the other for metrics and readiness, without reading the answers.
pub async fn ask_without_reading(world: Rc<SoakWorld>) {
    let rng = &mut world.settings.rng("unread", 0);
    while !world.is_over.get() {
        sleep(UNREAD_INTERVAL).await;
        let ip = world.fleet.ip(rng.random_range(0..world.settings.processes));
        let (port, target) = [(8144, "/metrics"), (8141, "/ready")][rng.random_range(0..2)];
        let request = format!("GET {target} HTTP/1.1\r\nhost: x\r\n\r\n").repeat(PIPELINED);
        let mut streams = Vec::new();
        for _ in 0..UNREAD_CONNECTIONS {
            streams.extend(TcpStream::connect((ip, port)).await);
        }
        let begun = Instant::now();
        while !streams.is_empty() && begun.elapsed() < UNREAD_TIME {
            for stream in &mut streams {
                // A write that does not end, or fails, is what the process answers with.
                let _ = timeout(SEND_TIMEOUT, stream.write_all(request.as_bytes())).await;
            }
            sleep(SEND_TIMEOUT).await;
        }
    }
}
