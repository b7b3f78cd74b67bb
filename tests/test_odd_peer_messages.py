"""Messages of a peer that do not match, and some that cannot be sent."""

import pytest
from odd_peers import PING, lives_on, odd_peer, peers

from bulrushcove.exceptions import PeerUnreachableError
from bulrushcove.ids import VmId
from bulrushcove.node.messages import Ping, Pong

__all__ = ('odd_peer', 'peers')


async def test_a_malformed_response_is_like_none(peers, odd_peer):
    with pytest.raises(PeerUnreachableError, match='Pong'):
        await peers.request(odd_peer.address, PING, Pong, 1)


async def test_a_follower_of_a_leader_with_odd_responses_lives_on(
    peers, odd_peer
):
    """The service that follows the leader crashed, and the VM ended."""
    assert await lives_on(peers, odd_peer.address)


@pytest.mark.parametrize('odd', ['\udcff', 2**64])
async def test_a_message_that_cannot_be_sent_fails_alone(peers, odd_peer, odd):
    """Text that is not Unicode, and a number beyond 64 bits."""
    message = Ping(VmId('b'), odd)
    with pytest.raises(PeerUnreachableError):
        await peers.request(odd_peer.address, message, Pong, 1)
