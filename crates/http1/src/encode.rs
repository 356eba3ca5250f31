//! Encoding of messages.

use std::io::Write;

/// Appends a request line of HTTP/1.1.
pub fn append_request_line(output: &mut Vec<u8>, method: &str, target: &str) {
    append(output, format_args!("{method} {target} HTTP/1.1\r\n"));
}

/// Appends a status line of HTTP/1.1 with the status's reason phrase.
pub fn append_status_line(output: &mut Vec<u8>, status: u16) {
    append(
        output,
        format_args!("HTTP/1.1 {status} {}\r\n", reason_phrase(status)),
    );
}

/// Appends a header field.
pub fn append_header(output: &mut Vec<u8>, name: &str, value: &[u8]) {
    output.extend_from_slice(name.as_bytes());
    output.extend_from_slice(b": ");
    output.extend_from_slice(value);
    output.extend_from_slice(b"\r\n");
}

/// Appends the empty line that ends a head.
pub fn append_head_end(output: &mut Vec<u8>) {
    output.extend_from_slice(b"\r\n");
}

/// Appends one chunk. Empty input appends nothing, since an empty chunk would end the body.
pub fn append_chunk(output: &mut Vec<u8>, bytes: &[u8]) {
    if bytes.is_empty() {
        return;
    }
    append(output, format_args!("{:x}\r\n", bytes.len()));
    output.extend_from_slice(bytes);
    output.extend_from_slice(b"\r\n");
}

/// Appends the last chunk and the empty line that end a chunked body.
pub fn append_last_chunk(output: &mut Vec<u8>) {
    output.extend_from_slice(b"0\r\n\r\n");
}

fn append(output: &mut Vec<u8>, text: std::fmt::Arguments<'_>) {
    output
        .write_fmt(text)
        .expect("writing to a vector does not fail");
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        100 => "Continue",
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
