"""Property 9: accepted configuration is kept and no revision falls."""

import asyncio
import operator

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from bulrushcove import operators as operators_module
from bulrushcove.clock import ManualClock
from bulrushcove.configuration import Subject, empty_configuration
from bulrushcove.configuration_holder import ConfigurationHolder
from bulrushcove.configuration_store import (
    ConfigurationStore,
    StoredConfiguration,
)
from bulrushcove.contract import Contract, JobLimits
from bulrushcove.exceptions import (
    ConfigurationError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from bulrushcove.operator_api import ChangeOrder
from bulrushcove.operators import OperatorService
from bulrushcove.states import DomainState
from tests.configuration_history import (
    RecordingStore,
    SentChange,
    find_violations,
    run,
)
from tests.fake_store import StoreFault
from tests.operator_app import no_sleep

VMS = 3
MACHINE_SETTINGS = settings(
    max_examples=400,
    stateful_step_count=20,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
# A control need not be shrunk to the shortest breach.
CONTROL_SETTINGS = settings(
    MACHINE_SETTINGS,
    phases=[Phase.generate],
    report_multiple_bugs=False,
)
vms = st.integers(0, VMS - 1)
subjects = st.sampled_from(
    [(Subject.CONTRACT, 'Å'), (Subject.CONTRACT, 'B'), (Subject.DOMAIN, 'Ö')]
)
changes = st.tuples(vms, subjects, st.integers(0, 1))
OUTAGE = [StoreFault.DOWN for _ in range(40)]
# A few faults, some of them followed by a long outage.
faults = st.builds(
    operator.add,
    st.lists(st.sampled_from(StoreFault), max_size=8),
    st.sampled_from([[], OUTAGE]),
)


async def no_workers():
    return ()


def fits(_contracts, _workers, _domains):
    return ()


class ConfigurationMachine(RuleBasedStateMachine):
    """Operators on three VMs race over a store that fails."""

    store_type = RecordingStore
    configurations_type = ConfigurationStore
    holder_type = ConfigurationHolder

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.store = self.store_type()
        self.holders = [self.holder_type() for _ in range(VMS)]
        self.highest = [0 for _ in range(VMS)]
        self.sent = {}
        self.in_doubt = []
        # A message of a VM that has just booted is on the way.
        self.messages = [empty_configuration()]

    def teardown(self):
        self.store.deliver_late_writes()
        self.nothing_is_lost()
        self.loop.close()

    @rule(
        wanted=st.lists(changes, min_size=1, max_size=3), scripted_faults=faults
    )
    def change(self, wanted, scripted_faults):
        """Operators change things at the same time."""
        self.store.scripted_faults.extend(scripted_faults)
        run(self.loop, *(self.send(*change) for change in wanted))
        self.store.scripted_faults.clear()

    @rule(vm=vms, scripted_faults=faults)
    def send_again(self, vm, scripted_faults):
        """An operator sends a change of unknown outcome once more."""
        if self.in_doubt:
            self.store.scripted_faults.extend(scripted_faults)
            operation, subject, level = self.in_doubt.pop()
            run(self.loop, self.send(vm, subject, level, operation))
            self.store.scripted_faults.clear()

    @rule()
    def late_writes_arrive(self):
        self.store.deliver_late_writes()

    @rule(polling=st.sets(vms))
    def poll(self, polling):
        for vm in polling:
            if self.store.history:
                self.holders[vm].adopt(self.store.history[-1])

    @rule(vm=vms)
    def send_to_peers(self, vm):
        self.messages.append(self.holders[vm].current)

    @rule(vm=vms, which=st.integers(0, 9))
    def peer_message_arrives(self, vm, which):
        """Messages arrive late, out of order and more than once."""
        self.holders[vm].adopt(self.messages[which % len(self.messages)])

    @rule(vm=vms)
    def restart(self, vm):
        self.holders[vm] = self.holder_type()
        self.highest[vm] = 0

    @invariant()
    def nothing_is_lost(self):
        breaches = find_violations(self.store.history, self.sent.values())
        assert not breaches, breaches

    @invariant()
    def no_revision_falls(self):
        active_configuration = [
            holder.current.revision for holder in self.holders
        ]
        falls = [
            f'revision fell from {before} to {now}'
            for before, now in zip(
                self.highest, active_configuration, strict=True
            )
            if now < before
        ]
        assert not falls, falls
        self.highest = active_configuration

    async def send(self, vm, subject, level, operation=''):
        kind, name = subject
        known = self.store.history[-1].revision if self.store.history else 0
        operation = operation or f'op-{len(self.sent)}'
        sent = self.sent.setdefault(
            operation, SentChange(operation, kind, name, known)
        )
        order = ChangeOrder(operation, based_on=sent.based_on)
        try:
            answer = await self.make_change(vm, subject, level, order)
        except StoreOutcomeUnknownError:
            sent.in_doubt = True
            self.in_doubt.append((operation, subject, level))
        except (ConfigurationError, StoreUnavailableError):
            # An earlier sending of the same operation may still arrive.
            sent.refused = not sent.in_doubt
        else:
            sent.accepted_at = answer.revision if answer.changed else None

    async def make_change(self, vm, subject, level, order):
        kind, name = subject
        operators = OperatorService(
            self.configurations_type(self.store, no_sleep),
            clock=ManualClock(),
            active_configuration=lambda: self.holders[vm].current,
            check=fits,
            workers=no_workers,
        )
        if kind is Subject.DOMAIN:
            state = list(DomainState)[level]
            return await operators.set_domain(name, state, order)
        limits = JobLimits(max_queued=level)
        contract = Contract(name, (), jobs=limits)
        return await operators.apply_contract(contract, order)


def test_no_accepted_change_is_lost_and_no_revision_falls():
    run_state_machine_as_test(ConfigurationMachine, settings=MACHINE_SETTINGS)


class BelievesWrites(ConfigurationStore):
    """Takes a write without an answer as done."""

    async def _resolve_unknown_outcome(self, write, replacement):
        return StoredConfiguration(replacement, write.expected_revision + 1)


class DisbelievesWrites(ConfigurationStore):
    """Takes a write without an answer as not done."""

    async def _resolve_unknown_outcome(self, write, replacement):
        raise StoreUnavailableError('no answer')


class WritesOver(RecordingStore):
    """Does not compare before it swaps."""

    def _write(self, writes):
        from msgspec.structs import replace

        return super()._write(
            tuple(
                replace(write, expected_revision=self._revision(write.key))
                for write in writes
            )
        )


class AdoptsAnything(ConfigurationHolder):
    """Takes the last configuration heard for the newest."""

    def adopt(self, configuration):
        self._current = configuration
        return True


@pytest.mark.parametrize(
    ('attribute', 'without', 'breach'),
    [
        ('configurations_type', BelievesWrites, 'was lost'),
        ('configurations_type', DisbelievesWrites, 'took effect'),
        ('store_type', WritesOver, 'was stored over'),
        ('holder_type', AdoptsAnything, 'revision fell'),
    ],
)
def test_the_check_fails_without_the_mechanism(attribute, without, breach):
    machine = type('Control', (ConfigurationMachine,), {attribute: without})
    with pytest.raises(AssertionError, match=breach):
        run_state_machine_as_test(machine, settings=CONTROL_SETTINGS)


def test_the_check_fails_without_the_conflict_check(monkeypatch):
    monkeypatch.setattr(
        operators_module, 'check_conflict', lambda *_arguments: None
    )
    with pytest.raises(AssertionError, match='silently overwrote'):
        run_state_machine_as_test(
            ConfigurationMachine, settings=CONTROL_SETTINGS
        )
