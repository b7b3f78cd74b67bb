import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bulrushcove.routing import (
    MAX_CONNECTIONS_PER_SERVER,
    SLOTS_PER_SERVER,
    Router,
)
from bulrushcove.states import VmRole, VmState
from bulrushcove.vm_list import VmEntry


def vm(name, domain='north', role=VmRole.BACKEND, state=VmState.LIVE, port=1):
    return VmEntry(name, role, domain, '127.0.0.1', port, state)


def entries(count, domain='north'):
    return [
        vm(f'e{number}', domain, VmRole.ENTRY, port=number)
        for number in range(count)
    ]


def make_router(*vms):
    router = Router('north', random.Random(1))
    router.update(vms)
    return router


def pick_all(router, now_s=0.0):
    """Acquire servers until no slot is free; return their names in order."""
    names = []
    while True:
        server = router.pick(now_s)
        if server is None:
            return names
        router.acquire(server, [])
        names.append(server.backend)


def test_local_servers_are_used_before_remote_ones():
    router = make_router(*entries(1), vm('n1'), vm('n2'), vm('f1', 'south'))
    names = pick_all(router)
    assert set(names[: 2 * SLOTS_PER_SERVER]) == {'n1', 'n2'}
    assert names[2 * SLOTS_PER_SERVER :] == ['f1']
    assert router.active_requests == len(names)


@pytest.mark.parametrize('count', [1, 2, 7, 8, 20, 32])
def test_entry_vms_together_stay_within_the_connections_of_a_server(count):
    router = make_router(*entries(count), vm('n1'))
    with_probe = router.per_server_limit() + 1
    assert with_probe * count <= MAX_CONNECTIONS_PER_SERVER


@pytest.mark.parametrize(
    'flag',
    [
        'listed_as_draining',
        'reports_draining',
        'is_unreachable',
        'is_unresponsive',
    ],
)
def test_each_flag_alone_excludes_a_server(flag):
    router = make_router(*entries(1), vm('n1'), vm('n2'))
    setattr(router.servers['n1'], flag, True)
    assert set(pick_all(router)) == {'n2'}


def test_stale_vm_list_does_not_clear_a_reported_drain():
    router = make_router(*entries(1), vm('n1'))
    router.servers['n1'].reports_draining = True
    router.update([*entries(1), vm('n1')])
    assert router.pick(0) is None
    router.update([*entries(1), vm('n1', port=2)])
    assert router.pick(0) is not None


def test_avoided_server_is_used_only_if_no_other_is_free():
    router = make_router(*entries(1), vm('n1'), vm('f1', 'south'))
    assert router.pick(0, frozenset(('n1',))).backend == 'f1'
    assert router.pick(0, frozenset(('n1', 'f1'))).backend in {'n1', 'f1'}


def test_backoff_of_a_busy_server_grows():
    router = make_router(*entries(1), vm('n1'))
    server = router.servers['n1']
    backoffs_s = []
    for _ in range(8):
        router.record_busy(server, 10.0)
        backoffs_s.append(server.busy_until_s - 10.0)
    assert backoffs_s == sorted(backoffs_s)
    assert router.pick(10.0) is None
    assert router.pick(11.0) is server


def acquire(router, acquired, now_s):
    server = router.pick(now_s)
    if server is not None:
        router.acquire(server, acquired)


def finish_first(router, acquired, _now_s):
    for server in acquired[:1]:
        router.record_success(server)
        router.release([acquired.pop(0)])


def refuse_first(router, acquired, now_s):
    for server in acquired[:1]:
        router.record_busy(server, now_s)
        router.release([acquired.pop(0)])


def wait(_router, _acquired, _now_s):
    """Do nothing: the test only advances the time."""


STEPS = {
    'take': acquire,
    'served': finish_first,
    'busy': refuse_first,
    'wait': wait,
}


@settings(derandomize=True, max_examples=200)
@given(
    st.integers(1, 12),
    st.lists(st.sampled_from(sorted(STEPS)), max_size=120),
)
def test_limits_stay_within_their_bounds(count, steps):
    router = make_router(*entries(count), vm('n1'), vm('f1', 'south'))
    now_s = 0.0
    acquired = []
    for step in steps:
        now_s += 0.05 * (step == 'wait')
        STEPS[step](router, acquired, now_s)
        for server in router.servers.values():
            assert 1 <= server.limit <= router.per_server_limit()
            assert 0 <= server.in_progress <= router.per_server_limit()
        assert router.active_requests == len(acquired)
        assert router.has_free_slot(now_s) == (router.pick(now_s) is not None)
