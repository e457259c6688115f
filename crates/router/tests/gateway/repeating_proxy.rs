//! A path to a back end on which rejections are sent a second time, in the place
//! of the next response due.

use std::net::SocketAddr;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;

/// A proxy in front of one back end.
pub struct RepeatingProxy {
    pub address: SocketAddr,
}

/// Whether rejections name the request that they answer.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum RejectionIds {
    Kept,
    Omitted,
}

impl RepeatingProxy {
    pub async fn start(back_end: SocketAddr, ids: RejectionIds) -> RepeatingProxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        task::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                task::spawn(async move {
                    // The end of either side ends the connection.
                    let _ = relay(caller, back_end, ids).await;
                });
            }
        });
        RepeatingProxy { address }
    }
}

/// Passes on one request after the other with its response.
async fn relay(
    mut caller: TcpStream,
    back_end: SocketAddr,
    ids: RejectionIds,
) -> std::io::Result<()> {
    let mut back_end = TcpStream::connect(back_end).await?;
    let mut late: Option<Vec<u8>> = None;
    loop {
        let request = read_message(&mut caller).await?;
        back_end.write_all(&request).await?;
        if let Some(copy) = late.take() {
            caller.write_all(&copy).await?;
        }
        let mut response = read_message(&mut back_end).await?;
        let is_rejection = has_header(&response, "x-not-executed");
        if is_rejection && ids == RejectionIds::Omitted {
            response = without_id(&response);
        }
        caller.write_all(&response).await?;
        late = is_rejection.then_some(response);
    }
}

/// Reads a head and the body whose length it announces.
pub async fn read_message(stream: &mut TcpStream) -> std::io::Result<Vec<u8>> {
    let mut message = Vec::new();
    while !message.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).await?;
        message.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&message).to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"));
    let length = length.map_or(0, |length| length.trim().parse().expect("a length"));
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    message.extend(body);
    Ok(message)
}

fn has_header(message: &[u8], name: &str) -> bool {
    let text = String::from_utf8_lossy(message).to_ascii_lowercase();
    text.lines().any(|line| is_header(line, name))
}

/// Removes the header with the id of the request.
fn without_id(message: &[u8]) -> Vec<u8> {
    let text = String::from_utf8(message.to_vec()).expect("ASCII");
    let lines = text.split_inclusive("\r\n");
    let kept = lines.filter(|line| !is_header(&line.to_ascii_lowercase(), "x-request-id"));
    kept.collect::<String>().into_bytes()
}

fn is_header(line: &str, name: &str) -> bool {
    let rest = line.strip_prefix(name);
    rest.is_some_and(|rest| rest.starts_with(':'))
}
