"""Requests that arrive in pieces of any size."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bulrushcove.batch.policy import RequestLimits
from bulrushcove.node.exceptions import RequestRefusedError
from bulrushcove.node.request_assembly import RequestAssembly

LIMITS = RequestLimits(max_header_bytes=200, max_body_bytes=100)
GET = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
CHUNKED = (
    b'POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n'
    b'X-Last: 1\r\n\r\n'
)
MANY = 10**6


def post(length):
    head = b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %b\r\n\r\n'
    return head % str(length).encode()


def decoded(body):
    """Return ``CHUNKED`` with ``body`` as it is handled."""
    length = b'Content-Length: %d' % len(body)
    return CHUNKED.replace(b'Transfer-Encoding: chunked', length) + body


def take_all(assembly, limits=LIMITS, max_chunks=MANY):
    """Return the whole requests that the assembly holds."""
    taken = []
    while True:
        assembly.advance(limits)
        while assembly.needs_decoding:
            if assembly.decode_chunks(max_chunks) < max_chunks:
                break
        if not assembly.is_whole:
            return taken
        taken.append(assembly.take())


def assemble(message, cuts=(), **options):
    assembly = RequestAssembly()
    taken = []
    start = 0
    for end in (*sorted(cuts), len(message)):
        assembly.feed(message[start:end])
        taken += take_all(assembly, **options)
        start = end
    return taken, assembly


STREAM = b''.join(
    (
        GET,
        b'\r\n',
        post(5),
        b'abcde',
        post(0),
        CHUNKED,
        b'3;note=x\r\nabc\r\n0A \r\n0123456789\r\n0\r\n\r\n',
        CHUNKED,
        b'1\r\nz\r\n0\r\nX-Trailer: 1\r\n\r\n',
        GET,
    )
)
REQUESTS = [
    GET,
    post(5) + b'abcde',
    post(0),
    decoded(b'abc0123456789'),
    decoded(b'z'),
    GET,
]


@given(
    cuts=st.lists(st.integers(0, len(STREAM)), max_size=30),
    max_chunks=st.integers(1, 3),
)
def test_requests_are_the_same_in_any_pieces(cuts, max_chunks):
    taken, assembly = assemble(STREAM, cuts, max_chunks=max_chunks)
    assert taken == REQUESTS
    assert assembly.is_empty
    assert assembly.held_bytes == 0


def test_single_bytes_make_the_same_requests():
    taken, _ = assemble(STREAM, range(len(STREAM)))
    assert taken == REQUESTS


def test_a_body_without_its_last_byte_is_not_whole():
    taken, assembly = assemble(post(100) + b'x' * 99)
    assert taken == []
    assert assembly.has_head
    assert assembly.held_bytes == len(post(100)) + 99


def test_chunks_are_kept_as_their_bytes_alone():
    chunks = b'1\r\nx\r\n' * 90
    _, assembly = assemble(CHUNKED + chunks)
    assert assembly.held_bytes == len(CHUNKED) + 90


@pytest.mark.parametrize(
    ('message', 'status'),
    [
        # Over the limit although the head is complete, and before it is.
        (GET[:-2] + b'X-Long: %b\r\n\r\n' % (b'x' * 200), 431),
        (GET[:-2] + b'X-Long: %b' % (b'x' * 200), 431),
        (b'\r\n' * 101, 431),
        (post(101), 413),
        (CHUNKED + b'64\r\n' + b'x' * 100 + b'\r\n1\r\n', 413),
        (CHUNKED + b'FFFFFFFFFFFF\r\n', 413),
        (CHUNKED + b'5\r\nabcdefg', 400),
        (CHUNKED + b'g\r\n', 400),
        (CHUNKED + b'-1\r\n', 400),
        (CHUNKED + b'1;' + b'x' * 1100, 400),
        (CHUNKED + b'0\r\n' + b'X: 1\r\n' * 50, 431),
        (post(-1), 400),
        (post('1, 1'), 400),
        (post(1)[:-2] + b'Content-Length: 2\r\n\r\n', 400),
        (CHUNKED[:-2] + b'Content-Length: 2\r\n\r\n', 400),
        (CHUNKED.replace(b'chunked', b'gzip, chunked'), 501),
    ],
)
def test_a_request_outside_the_limits_is_refused(message, status):
    with pytest.raises(RequestRefusedError) as raised:
        assemble(message)
    assert raised.value.status == status


def test_empty_lines_in_pieces_are_counted():
    with pytest.raises(RequestRefusedError):
        assemble(b'\r\n' * 101, range(0, 202, 2))


def test_the_largest_request_inside_the_limits_is_whole():
    padding = b'x' * (200 - len(post(100)) - len(b'X: \r\n'))
    message = post(100)[:-2] + b'X: %b\r\n\r\n' % padding + b'b' * 100
    assert assemble(message)[0] == [message]


def test_new_limits_hold_for_the_next_request():
    assembly = RequestAssembly()
    assembly.feed(post(50) + b'x' * 49)
    assert take_all(assembly) == []
    assembly.feed(b'x' + post(50))
    stricter = RequestLimits(max_header_bytes=200, max_body_bytes=10)
    assembly.advance(stricter)
    assert assembly.is_whole
    assembly.take()
    with pytest.raises(RequestRefusedError):
        assembly.advance(stricter)
