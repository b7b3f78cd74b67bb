from bulrushcove.ids import DomainName, VmId
from bulrushcove.membership import Membership
from bulrushcove.messages import DomainView, Heartbeat

DOMAIN = DomainName('Guichón')


def view(control, epoch, age_ms=0):
    return DomainView(DOMAIN, VmId(control), epoch, *range(8), age_ms=age_ms)


def heartbeat(vm, *views):
    return Heartbeat(VmId(vm), vm, 1, None, domains=views)


def test_a_view_of_a_higher_epoch_replaces_a_newer_view():
    membership = Membership(peer_timeout_ms=3000)
    membership.record_heartbeat(
        heartbeat('a', view('new', epoch=2, age_ms=5000)), 10
    )
    membership.record_heartbeat(heartbeat('b', view('old', epoch=1)), 11)
    assert membership.find_active_control(DOMAIN, 11) == 'new'


def test_relayed_views_keep_their_age_and_old_views_are_dropped():
    membership = Membership(peer_timeout_ms=3000)
    membership.record_heartbeat(
        heartbeat('a', view('c', epoch=1, age_ms=2000)), 10
    )
    assert membership.domain_views(11)[0].age_ms == 3000
    assert membership.domain_views(60) == ()


def test_a_peer_is_unreachable_after_its_timeout():
    membership = Membership(peer_timeout_ms=3000)
    membership.record_heartbeat(heartbeat('a'), 10)
    assert membership.is_reachable('a', 12.9)
    assert not membership.is_reachable('a', 13)
    assert not membership.is_reachable('b', 10)
