import asyncio

import msgpack
import pytest

from bulrushcove.exceptions import WireError
from bulrushcove.ids import Revision
from bulrushcove.messages import ConfigurationRequest, parse_message
from bulrushcove.wire import MAX_FRAME_BYTES, decode_body, encode, read_frame


async def test_message_survives_encoding_and_decoding():
    message = ConfigurationRequest(newer_than=Revision(7))
    reader = asyncio.StreamReader()
    reader.feed_data(encode(message, correlation=3))
    frame = await read_frame(reader)
    assert (frame.kind, frame.correlation) == ('ConfigurationRequest', 3)
    assert parse_message(ConfigurationRequest, frame.fields) == message


@pytest.mark.parametrize(
    'body',
    [
        b'\xc1',
        b'',
        msgpack.packb({}),
        msgpack.packb([2, 'Hello', 0, {}]),
        msgpack.packb([1, 'k' * 65, 0, {}]),
        msgpack.packb([1, 5, 0, {}]),
        msgpack.packb([1, 'Hello', -1, {}]),
        msgpack.packb([1, 'Hello', 0, {}]) + b'\x00',
    ],
)
def test_malformed_frame_raises_wire_error(body):
    with pytest.raises(WireError):
        decode_body(body)


async def test_oversized_frame_is_rejected_before_its_body_is_read():
    reader = asyncio.StreamReader()
    reader.feed_data((MAX_FRAME_BYTES + 1).to_bytes(4, 'big'))
    with pytest.raises(WireError, match='over the limit'):
        await read_frame(reader)


def test_error_names_the_invalid_field():
    with pytest.raises(WireError, match='newer_than'):
        parse_message(ConfigurationRequest, {'newer_than': 'x'})
