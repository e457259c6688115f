//! Measures how long a caller waits for requests sent all at once, with and
//! without concurrent execution.
//!
//! ```sh
//! cargo run --release -p threadledge-net --example pipelined
//! ```

use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::{AsyncReadExt, AsyncWriteExt};
use http_types::{Request, Response};
use threadledge_net::{
    ConcurrentHandler, ConnectionInfo, Instant, ServerLimits, StopSignal, serve, timer,
};

/// Time that the handler spends on each request.
const WORK: Duration = Duration::from_millis(50);
/// Number of requests sent at once.
const REQUEST_COUNT: usize = 8;

fn main() -> std::io::Result<()> {
    task::block_on(async {
        for max_pipelined_requests in [0, ServerLimits::default().max_pipelined_requests] {
            let elapsed = measure(max_pipelined_requests).await?;
            println!(
                "{max_pipelined_requests} pipelined: {REQUEST_COUNT} requests of {WORK:?} took {elapsed:?}"
            );
        }
        Ok(())
    })
}

async fn measure(max_pipelined_requests: usize) -> std::io::Result<Duration> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let stop = StopSignal::new();
    let handler = ConcurrentHandler {
        handler: |_request: Request, _connection: ConnectionInfo| async {
            timer::sleep(WORK).await;
            Response::new(200)
        },
        may_run_concurrently: |_request: &Request| true,
    };
    let limits = ServerLimits {
        max_pipelined_requests,
        ..ServerLimits::default()
    };
    let server = task::spawn(serve(listener, limits, stop.clone(), handler));
    let mut caller = TcpStream::connect(address).await?;
    let start = Instant::now();
    let requests = "GET / HTTP/1.1\r\nhost: a\r\n\r\n".repeat(REQUEST_COUNT);
    caller.write_all(requests.as_bytes()).await?;
    let mut text = String::new();
    let mut buffer = [0; 4096];
    while text.matches("\r\n\r\n").count() < REQUEST_COUNT {
        let count = caller.read(&mut buffer).await?;
        if count == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        text.push_str(&String::from_utf8_lossy(&buffer[..count]));
    }
    let elapsed = start.elapsed();
    stop.stop();
    server.await;
    Ok(elapsed)
}
