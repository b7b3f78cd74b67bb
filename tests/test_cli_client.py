import msgspec
import pytest

from bulrushcove.cli_client import (
    EntryClient,
    NoAnswerError,
    NotSentError,
    Reply,
)
from bulrushcove.cli_errors import CommandRefusedError, CommandUnknownError
from bulrushcove.operator_api import ChangeAnswer, ChangeOrder, ErrorAnswer
from bulrushcove.states import Outcome

DONE = Reply(200, msgspec.json.encode(ChangeAnswer(True, 3, 'op')))
REFUSED = Reply(409, msgspec.json.encode(ErrorAnswer(Outcome.NOT_RUN, 'no')))
UNAVAILABLE = Reply(503, REFUSED.body)
UNKNOWN = Reply(504, msgspec.json.encode(ErrorAnswer(Outcome.UNKNOWN, 'hm')))
GARBLED = Reply(502, b'<html>')
NOT_SENT = NotSentError('refused connection')
NO_ANSWER = NoAnswerError('timeout')


async def send(replies):
    """Send a change to as many entry VMs as there are replies."""
    bodies = []

    async def exchange(entry, _method, _path, body):
        bodies.append(body)
        reply = replies[int(entry)]
        if isinstance(reply, Exception):
            raise reply
        return reply

    entries = tuple(str(number) for number in range(len(replies)))
    client = EntryClient(exchange, entries)
    answer = await client.change('PUT', '/', ChangeAnswer, ChangeOrder('op'))
    assert set(bodies) == {msgspec.json.encode(ChangeOrder('op'))}
    return answer


@pytest.mark.parametrize(
    'replies',
    [
        [DONE],
        [NOT_SENT, DONE],
        [UNAVAILABLE, DONE],
        [NO_ANSWER, DONE],
        [UNKNOWN, DONE],
    ],
)
async def test_a_change_is_done_once_an_entry_says_so(replies):
    assert (await send(replies)).revision == 3


@pytest.mark.parametrize(
    'replies',
    [[REFUSED, DONE], [NOT_SENT, REFUSED], [NOT_SENT], [UNAVAILABLE]],
)
async def test_a_refusal_is_told_when_nothing_is_in_doubt(replies):
    with pytest.raises(CommandRefusedError):
        await send(replies)


@pytest.mark.parametrize(
    'replies',
    [
        [NO_ANSWER, REFUSED],
        [NO_ANSWER, NOT_SENT],
        [UNKNOWN],
        [GARBLED, UNAVAILABLE],
    ],
)
async def test_a_lost_answer_stays_in_doubt(replies):
    with pytest.raises(CommandUnknownError):
        await send(replies)
