"""Stream addresses that another writer left: no VM ends by them."""

import pytest
from odd_peers import PING, lives_on, odd_peer, peers
from odd_values import HUGE_DIGITS
from test_streams import HOST

from bulrushcove.node.messages import Pong
from bulrushcove.node.peers import PeerNotConnectedError

__all__ = ('odd_peer', 'peers')

ODD_ADDRESSES = (
    f'{HOST}:99999',
    f'{HOST}:-1',
    f'{HOST}:²',
    f'{HOST}:port',
    f'{HOST}:{HUGE_DIGITS}',
    'host',
    '',
    'host\0:80',
    '..:80',
    f'{"a" * 70}:80',
    '\udcff:80',
)


@pytest.mark.parametrize('address', ODD_ADDRESSES)
async def test_no_stream_is_opened_to_an_odd_address(peers, address):
    with pytest.raises(PeerNotConnectedError):
        await peers.request(address, PING, Pong, 1)


@pytest.mark.parametrize('address', ODD_ADDRESSES)
async def test_an_odd_address_is_not_passed_on(peers, address):
    peers.add_addresses((address, 'host:80'))
    assert peers.known_addresses == {'host:80'}


@pytest.mark.parametrize('address', ODD_ADDRESSES[:4])
async def test_a_follower_of_a_leader_at_an_odd_address_lives_on(
    peers, address
):
    """The service that follows the leader crashed, and the VM ended."""
    assert await lives_on(peers, address)


async def test_a_follower_that_asks_a_vm_at_an_odd_address_lives_on(
    peers, odd_peer
):
    """A silent leader is checked through VMs that the store lists."""
    peers.known_addresses.add(f'{HOST}:99999')
    odd_peer.is_mute = True
    assert await lives_on(peers, odd_peer.address)
