//! The callers' HTTP interface on real sockets.

mod workdir;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use serde_json::{Value, json};
use workdir::Deployment;

#[derive(Debug)]
struct HttpResponse {
    status: u16,
    head: String,
    body: String,
}

impl HttpResponse {
    fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }

    /// Skips the lines of the chunked encoding.
    fn events(&self) -> Vec<Value> {
        let lines = self.body.lines().filter(|line| line.starts_with('{'));
        lines.map(|line| serde_json::from_str(line).expect("events are JSON")).collect()
    }
}

fn send(address: &str, method: &str, path: &str, body: &str) -> HttpResponse {
    let mut stream = TcpStream::connect(address).expect("the instance listens");
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a timeout can be set");
    let length = body.len();
    write!(
        stream,
        "{method} {path} HTTP/1.0\r\nhost: {address}\r\ncontent-length: {length}\r\n\r\n{body}"
    )
    .expect("the request is sent");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("the response ends");
    let (head, body) = text.split_once("\r\n\r\n").expect("the response has a head");
    let status = head.split_whitespace().nth(1).expect("the response has a status");
    HttpResponse {
        status: status.parse().expect("the status is a number"),
        head: head.into(),
        body: body.into(),
    }
}

/// Guards against closing the connection before the body is read: the caller would get a reset
/// instead of the refusal.
#[test]
fn oversized_body_is_refused_while_it_is_still_sent() {
    const CHUNK_BYTES: usize = 1024 * 1024;
    let deployment = Deployment::start("large_body", 1);
    let address = deployment.http_address();
    let mut stream = TcpStream::connect(&address).expect("the instance listens");
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a timeout can be set");
    let length = 6 * CHUNK_BYTES;
    let head = format!(
        "POST /v1/programs HTTP/1.0\r\nhost: {address}\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("the head is sent");
    for _ in 0..6 {
        stream.write_all(&[b'x'; CHUNK_BYTES]).expect("the chunk is sent");
        std::thread::sleep(Duration::from_millis(50));
    }
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("the response ends");
    assert!(text.starts_with("HTTP/1.0 413") || text.starts_with("HTTP/1.1 413"), "{text}");
}

#[test]
fn invalid_requests_are_refused_without_changing_the_program() {
    let deployment = Deployment::start("bad_input", 1);
    let address = deployment.http_address();
    let create = ["workspace", "create", "studio", "--class", "paying", "--budget", "100000"];
    assert_eq!(deployment.operate(&create).code, 0);
    let register = ["program", "register", "studio", "cook", "--model", "dialogue"];
    assert_eq!(deployment.operate(&register).code, 0);
    let started = deployment.until(&["program", "start", "studio", "cook"]);
    let program = format!("/v1/programs/{}", started.stdout.trim());
    let calls = format!("{program}/calls");
    let call = |number: u32, input: &str| {
        json!({"number": number, "request_id": format!("r{number}"), "kind": "model",
               "max_tokens": 4, "input": input})
        .to_string()
    };
    let refused = [
        ("POST", &*calls, "{\"number\":".to_owned(), 400, "malformed"),
        ("POST", &*calls, call(0, "x"), 400, "malformed"),
        ("POST", &*calls, call(7, "x"), 409, "wrong_number"),
        ("POST", "/v1/programs/zz/calls", call(1, "x"), 400, "malformed"),
        ("POST", "/v1/programs/0001000000ffffff/calls", call(1, "x"), 404, "unknown_program"),
        ("GET", "/v1/programs/ffff000000000001", String::new(), 404, "unknown_program"),
        (
            "POST",
            "/v1/programs",
            json!({"workspace": "nobody", "definition": "cook"}).to_string(),
            404,
            "unknown_workspace",
        ),
        (
            "POST",
            "/v1/programs",
            json!({"workspace": "studio", "definition": "nothing"}).to_string(),
            404,
            "unknown_definition",
        ),
    ];
    for (method, path, body, status, reason) in refused {
        let response = send(&address, method, path, &body);
        assert_eq!(response.status, status, "{response:?}");
        assert_eq!(response.json()["outcome"], "not_run", "{response:?}");
        assert_eq!(response.json()["reason"], reason, "{response:?}");
    }
    let large = send(&address, "POST", &calls, &"x".repeat(5 * 1024 * 1024));
    assert_eq!(large.status, 413, "{}", large.head);
    assert_eq!(send(&address, "PUT", "/v1/nothing", "").status, 404);
    let state = send(&address, "GET", &program, "").json();
    assert_eq!(state["turns"], json!([]));
    assert_eq!(state["next_number"], 1);

    let first = send(&address, "POST", &calls, &call(1, "salt?"));
    assert_eq!(first.status, 200, "{first:?}");
    assert!(first.head.contains("x-merlinsaddle-owner"), "{first:?}");
    let last = first.events().pop().expect("there is a final event");
    assert_eq!((&last["event"], &last["outcome"]), (&json!("final"), &json!("answered")));
    let reused = send(&address, "POST", &calls, &call(1, "pepper?"));
    assert_eq!((reused.status, &reused.json()["reason"]), (409, &json!("request_reused")));
    let text = last["text"].as_str().expect("the answer has a text");
    let remainder = send(&address, "GET", &format!("{calls}/1?offset=6"), "");
    assert_eq!(remainder.events()[0]["text"], text[6..]);
}
