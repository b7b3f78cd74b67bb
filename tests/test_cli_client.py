import msgspec
import pytest

from bulrushcove.cli_client import (
    EntryClient,
    EntryOutcomeUnknownError,
    NotHandledError,
    Reply,
)
from bulrushcove.cli_errors import (
    CommandOutcomeUnknownError,
    CommandRefusedError,
)
from bulrushcove.operator_api import ChangeOrder, ChangeResponse, ErrorResponse
from bulrushcove.states import Outcome

DONE = Reply(200, msgspec.json.encode(ChangeResponse(True, 3, 'op')))
REFUSED = Reply(409, msgspec.json.encode(ErrorResponse(Outcome.NOT_RUN, 'no')))
UNAVAILABLE = Reply(503, REFUSED.body)
UNKNOWN = Reply(504, msgspec.json.encode(ErrorResponse(Outcome.UNKNOWN, 'hm')))
GARBLED = Reply(502, b'<html>')
NOT_HANDLED = NotHandledError('refused connection')
NO_RESPONSE = EntryOutcomeUnknownError('timeout')


async def send(replies):
    """Send a change to one entry VM per reply, which may be an error."""
    bodies = []

    async def exchange(entry, _method, _path, body):
        bodies.append(body)
        reply = replies[int(entry)]
        if isinstance(reply, Exception):
            raise reply
        return reply

    entries = tuple(str(number) for number in range(len(replies)))
    client = EntryClient(exchange, entries)
    response = await client.change(
        'PUT', '/', ChangeResponse, ChangeOrder('op')
    )
    assert set(bodies) == {msgspec.json.encode(ChangeOrder('op'))}
    return response


@pytest.mark.parametrize(
    'replies',
    [
        [DONE],
        [NOT_HANDLED, DONE],
        [UNAVAILABLE, DONE],
        [NO_RESPONSE, DONE],
        [UNKNOWN, DONE],
    ],
)
async def test_a_change_succeeds_after_failures_at_other_entry_vms(replies):
    assert (await send(replies)).revision == 3


@pytest.mark.parametrize(
    'replies',
    [[REFUSED, DONE], [NOT_HANDLED, REFUSED], [NOT_HANDLED], [UNAVAILABLE]],
)
async def test_a_refusal_is_reported_if_no_outcome_is_unknown(replies):
    with pytest.raises(CommandRefusedError):
        await send(replies)


@pytest.mark.parametrize(
    'replies',
    [
        [NO_RESPONSE, REFUSED],
        [NO_RESPONSE, NOT_HANDLED],
        [UNKNOWN],
        [GARBLED, UNAVAILABLE],
    ],
)
async def test_an_unknown_outcome_is_not_hidden_by_a_later_refusal(replies):
    with pytest.raises(CommandOutcomeUnknownError):
        await send(replies)
