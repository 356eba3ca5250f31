//! Decoding of bodies that arrive in pieces.

use apricotdale_http1::BodyDecoder;
use apricotdale_http1::BodyLength;
use apricotdale_http1::Error;
use apricotdale_http1::append_chunk;
use apricotdale_http1::append_last_chunk;
use rstest::rstest;

/// Decodes input in pieces of a length. Returns the body, whether it is complete, and the number of
/// unconsumed bytes.
fn decode(length: BodyLength, input: &[u8], piece: usize) -> (Vec<u8>, bool, usize) {
    let mut decoder = BodyDecoder::new(length);
    let mut body = Vec::new();
    let mut pending: Vec<u8> = Vec::new();
    let mut consumed = 0;
    for bytes in input.chunks(piece) {
        pending.extend_from_slice(bytes);
        let progress = decoder.decode(&pending, &mut body).expect("valid framing");
        pending.drain(..progress.consumed);
        consumed += progress.consumed;
        if progress.is_complete {
            break;
        }
    }
    (body, decoder.is_complete(), input.len() - consumed)
}

#[rstest]
fn chunks_in_pieces(#[values(1, 2, 3, 7, 1_000)] piece: usize) {
    let mut input = Vec::new();
    append_chunk(&mut input, b"hello ");
    append_chunk(&mut input, b"");
    append_chunk(&mut input, b"world");
    append_last_chunk(&mut input);
    input.extend_from_slice(b"NEXT");
    let (body, is_complete, unconsumed) = decode(BodyLength::Chunked, &input, piece);
    assert_eq!(body, b"hello world");
    assert!(is_complete);
    assert_eq!(unconsumed, 4);
}

#[rstest]
fn trailers_dropped(#[values(1, 1_000)] piece: usize) {
    let input = b"3\r\nabc\r\n0\r\nX-Sum: 1\r\n\r\n";
    let (body, is_complete, unconsumed) = decode(BodyLength::Chunked, input, piece);
    assert_eq!(
        (body.as_slice(), is_complete, unconsumed),
        (b"abc".as_slice(), true, 0)
    );
}

#[rstest]
fn length_in_pieces(#[values(1, 4, 100)] piece: usize) {
    let (body, is_complete, unconsumed) = decode(BodyLength::Bytes(5), b"abcdeNEXT", piece);
    assert_eq!(
        (body.as_slice(), is_complete, unconsumed),
        (b"abcde".as_slice(), true, 4)
    );
}

#[test]
fn unframed_body_until_close() {
    let mut decoder = BodyDecoder::new(BodyLength::UntilClose);
    let mut body = Vec::new();
    let progress = decoder.decode(b"abc", &mut body).expect("valid");
    assert!(!progress.is_complete);
    assert!(decoder.is_complete_at_close());
}

#[test]
fn chunked_body_cut_off() {
    let mut decoder = BodyDecoder::new(BodyLength::Chunked);
    let mut body = Vec::new();
    decoder.decode(b"3\r\nabc\r\n", &mut body).expect("valid");
    assert!(!decoder.is_complete_at_close());
}

#[rstest]
#[case::no_number(b"zz\r\nabc\r\n".as_slice())]
#[case::missing_end(b"3\r\nabcX\r\n".as_slice())]
fn malformed_chunks(#[case] input: &[u8]) {
    let mut decoder = BodyDecoder::new(BodyLength::Chunked);
    assert_eq!(
        decoder.decode(input, &mut Vec::new()),
        Err(Error::MalformedChunk)
    );
}
