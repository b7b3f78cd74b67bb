import msgspec
import pytest

from bulrushcove import domain_elections
from bulrushcove.domain_elections import DomainElections
from bulrushcove.election import Election
from bulrushcove.messages import DomainView, VmStatus
from tests.domain_bench import DOMAIN, OTHER_DOMAIN, SETTINGS, Bench


class StillController:
    """Stands in for the controller; only the election is tested here."""

    def __init__(self, domain_lease, _context):
        self.domain_lease = domain_lease

    async def stop(self):
        """Do nothing."""


class Vm:
    """The campaigns of one VM on the bench's store and clock."""

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
        self.elections.add_runtime_dependency = _start_nothing

    async def wins(self):
        await self.elections._campaign(DOMAIN)
        return DOMAIN in self.elections.controllers


async def _start_nothing(_service):
    """Leave the service as it is."""


def heard(control='near', age_ms=0):
    return DomainView(DOMAIN, control, 1, 2, 2, 8, 8, 8, 8, 0, 0, age_ms)


@pytest.fixture
def bench(monkeypatch):
    monkeypatch.setattr(domain_elections, 'DomainController', StillController)
    bench = Bench()
    yield bench
    bench.close()


async def test_a_near_vm_goes_first_and_a_far_one_only_after_absence(bench):
    near, far = Vm(bench, 'near', DOMAIN), Vm(bench, 'far', OTHER_DOMAIN)
    assert not await far.wins()
    bench.clock.advance(SETTINGS.remote_takeover_ms / 1000 - 1)
    assert not await far.wins()
    bench.clock.advance(2)
    assert await far.wins()
    assert not await near.wins()


async def test_absence_counts_anew_after_a_holder_was_seen(bench):
    near, far = Vm(bench, 'near', DOMAIN), Vm(bench, 'far', OTHER_DOMAIN)
    assert not await far.wins()
    bench.clock.advance(10)
    assert await near.wins()
    assert not await far.wins()
    bench.clock.advance(10)
    assert not await far.wins()


async def test_a_far_holder_hands_back_to_near_vms_that_stay(bench):
    near, far = Vm(bench, 'near', DOMAIN), Vm(bench, 'far', OTHER_DOMAIN)
    assert not await far.wins()
    bench.clock.advance(SETTINGS.remote_takeover_ms / 1000)
    assert await far.wins()
    far.statuses = (VmStatus('near', DOMAIN, 1, True),)
    await far.elections._hand_back(DOMAIN)
    assert DOMAIN in far.elections.controllers
    far.statuses = ()
    bench.clock.advance(domain_elections.HAND_BACK_AFTER_S)
    await far.elections._hand_back(DOMAIN)
    far.statuses = (VmStatus('near', DOMAIN, 1, True),)
    await far.elections._hand_back(DOMAIN)
    assert DOMAIN in far.elections.controllers
    domain_lease = far.elections.controllers[DOMAIN].domain_lease
    for _ in range(int(domain_elections.HAND_BACK_AFTER_S)):
        bench.clock.advance(1)
        await far.elections._election.renew(domain_lease)
    await far.elections._hand_back(DOMAIN)
    assert not await far.wins()
    assert await near.wins()


async def test_epochs_only_grow(bench):
    epochs = []
    for number in range(3):
        vm = Vm(bench, f'vm-{number}', DOMAIN)
        assert await vm.wins()
        epochs.append(vm.elections.controllers[DOMAIN].domain_lease.epoch)
        await vm.elections.hand_over()
    assert epochs == [1, 2, 3]


async def test_a_vm_that_has_handed_over_does_not_win_again(bench):
    near = Vm(bench, 'near', DOMAIN)
    assert await near.wins()
    await near.elections.hand_over()
    assert not await near.wins()
    assert await Vm(bench, 'near-2', DOMAIN).wins()


async def test_a_lost_answer_to_the_election_is_read_back(bench):
    bench.store.lose_answers = 1
    assert await Vm(bench, 'near', DOMAIN).wins()


async def test_the_store_is_spared_while_the_control_is_heard(bench):
    near, standby = Vm(bench, 'near', DOMAIN), Vm(bench, 'near-2', DOMAIN)
    assert await near.wins()
    assert not await standby.wins()
    calls = bench.store.calls
    standby.views = (heard(),)
    assert not await standby.wins()
    assert bench.store.calls == calls
    standby.statuses = (VmStatus('near', DOMAIN, 1, True, leaving=True),)
    assert not await standby.wins()
    assert bench.store.calls > calls


@pytest.mark.parametrize('view', [heard(age_ms=3000), heard('near-2')])
async def test_a_silent_control_is_replaced_at_once(bench, view):
    near, standby = Vm(bench, 'near', DOMAIN), Vm(bench, 'near-2', DOMAIN)
    assert await near.wins()
    assert not await standby.wins()
    standby.views = (view,)
    bench.clock.advance(SETTINGS.control_lease_ms / 1000)
    assert await standby.wins()
