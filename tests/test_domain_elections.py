import msgspec
import pytest

from bulrushcove import domain_elections
from bulrushcove.domain_elections import DomainElections
from bulrushcove.election import Election
from bulrushcove.messages import DomainView, VmStatus
from tests.domain_bench import DOMAIN, OTHER_DOMAIN, SETTINGS, Bench


class FakeController:
    """Replaces the controller, as only the elections are tested here."""

    def __init__(self, domain_lease, _context):
        self.domain_lease = domain_lease

    async def stop(self):
        """Do nothing."""


class Vm:
    """The elections of one VM on the bench's store and clock."""

    def __init__(self, bench, vm, domain):
        self.views = ()
        self.statuses = ()
        context = msgspec.structs.replace(
            bench.controls[0].context,
            vm=vm,
            views=lambda: self.views,
            statuses=lambda: self.statuses,
        )
        election = Election(
            bench.store,
            bench.clock,
            vm,
            f'{vm}-1',
            SETTINGS.control_lease_ms,
        )
        self.elections = DomainElections(domain, election, context)
        self.elections.add_runtime_dependency = _start_no_service

    async def try_to_win(self):
        await self.elections._campaign(DOMAIN)
        return DOMAIN in self.elections.controllers


async def _start_no_service(_service):
    """Do not start the service."""


def control_view(control='near', age_ms=0):
    return DomainView(DOMAIN, control, 1, 2, 2, 8, 8, 8, 8, 0, 0, age_ms)


@pytest.fixture
def bench(monkeypatch):
    monkeypatch.setattr(domain_elections, 'DomainController', FakeController)
    bench = Bench()
    yield bench
    bench.close()


async def test_a_remote_vm_wins_only_after_a_time_without_a_control(bench):
    local, remote = Vm(bench, 'near', DOMAIN), Vm(bench, 'far', OTHER_DOMAIN)
    assert not await remote.try_to_win()
    bench.clock.advance(SETTINGS.remote_takeover_ms / 1000 - 1)
    assert not await remote.try_to_win()
    bench.clock.advance(2)
    assert await remote.try_to_win()
    assert not await local.try_to_win()


async def test_the_time_without_a_control_restarts_after_a_control(bench):
    local, remote = Vm(bench, 'near', DOMAIN), Vm(bench, 'far', OTHER_DOMAIN)
    assert not await remote.try_to_win()
    bench.clock.advance(10)
    assert await local.try_to_win()
    assert not await remote.try_to_win()
    bench.clock.advance(10)
    assert not await remote.try_to_win()


async def test_a_remote_control_hands_back_to_local_vms_that_stay(bench):
    local, remote = Vm(bench, 'near', DOMAIN), Vm(bench, 'far', OTHER_DOMAIN)
    assert not await remote.try_to_win()
    bench.clock.advance(SETTINGS.remote_takeover_ms / 1000)
    assert await remote.try_to_win()
    remote.statuses = (VmStatus('near', DOMAIN, 1, True),)
    await remote.elections._hand_back(DOMAIN)
    assert DOMAIN in remote.elections.controllers
    remote.statuses = ()
    bench.clock.advance(domain_elections.HAND_BACK_AFTER_S)
    await remote.elections._hand_back(DOMAIN)
    remote.statuses = (VmStatus('near', DOMAIN, 1, True),)
    await remote.elections._hand_back(DOMAIN)
    assert DOMAIN in remote.elections.controllers
    domain_lease = remote.elections.controllers[DOMAIN].domain_lease
    for _ in range(int(domain_elections.HAND_BACK_AFTER_S)):
        bench.clock.advance(1)
        await remote.elections._election.renew(domain_lease)
    await remote.elections._hand_back(DOMAIN)
    assert not await remote.try_to_win()
    assert await local.try_to_win()


async def test_each_election_has_a_higher_epoch(bench):
    epochs = []
    for number in range(3):
        vm = Vm(bench, f'vm-{number}', DOMAIN)
        assert await vm.try_to_win()
        epochs.append(vm.elections.controllers[DOMAIN].domain_lease.epoch)
        await vm.elections.hand_over()
    assert epochs == [1, 2, 3]


async def test_a_vm_that_has_handed_over_does_not_win_again(bench):
    local = Vm(bench, 'near', DOMAIN)
    assert await local.try_to_win()
    await local.elections.hand_over()
    assert not await local.try_to_win()
    assert await Vm(bench, 'near-2', DOMAIN).try_to_win()


async def test_an_election_is_read_back_after_a_lost_response(bench):
    bench.store.lose_responses = 1
    assert await Vm(bench, 'near', DOMAIN).try_to_win()


async def test_the_store_is_not_read_while_views_are_recent(bench):
    local, standby = Vm(bench, 'near', DOMAIN), Vm(bench, 'near-2', DOMAIN)
    assert await local.try_to_win()
    assert not await standby.try_to_win()
    calls = bench.store.calls
    standby.views = (control_view(),)
    assert not await standby.try_to_win()
    assert bench.store.calls == calls
    standby.statuses = (VmStatus('near', DOMAIN, 1, True, leaving=True),)
    assert not await standby.try_to_win()
    assert bench.store.calls > calls


@pytest.mark.parametrize(
    'view', [control_view(age_ms=3000), control_view('near-2')]
)
async def test_a_control_without_recent_views_is_replaced_at_once(bench, view):
    local, standby = Vm(bench, 'near', DOMAIN), Vm(bench, 'near-2', DOMAIN)
    assert await local.try_to_win()
    assert not await standby.try_to_win()
    standby.views = (view,)
    bench.clock.advance(SETTINGS.control_lease_ms / 1000)
    assert await standby.try_to_win()
