"""No accepted change of the configuration is lost, no revision decreases.

Operators on three VMs change the configuration at the same time, while calls
of the store fail, lose their responses or arrive late.
"""

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
# No shrinking: any violation shows that the check detects the fault.
FAULTY_SETTINGS = settings(
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
# Some faults, in half of the cases followed by a long outage.
faults = st.builds(
    operator.add,
    st.lists(st.sampled_from(StoreFault), max_size=8),
    st.sampled_from([[], OUTAGE]),
)


async def no_workers():
    return ()


def no_problems(_contracts, _workers, _domains):
    return ()


class ConfigurationMachine(RuleBasedStateMachine):
    """Operators on three VMs change a configuration in a failing store."""

    store_type = RecordingStore
    configurations_type = ConfigurationStore
    holder_type = ConfigurationHolder

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.store = self.store_type()
        self.holders = [self.holder_type() for _ in range(VMS)]
        self.last_revisions = [0 for _ in range(VMS)]
        self.sent = {}
        self.unresolved = []
        # A VM that has just started has sent its empty configuration.
        self.messages = [empty_configuration()]

    def teardown(self):
        self.store.deliver_late_writes()
        self.nothing_is_lost()
        self.loop.close()

    @rule(
        wanted=st.lists(changes, min_size=1, max_size=3), scripted_faults=faults
    )
    def change(self, wanted, scripted_faults):
        """Operators send several changes at the same time."""
        self.store.scripted_faults.extend(scripted_faults)
        run(self.loop, *(self.send(*change) for change in wanted))
        self.store.scripted_faults.clear()

    @rule(vm=vms, scripted_faults=faults)
    def send_again(self, vm, scripted_faults):
        """An operator repeats a change whose outcome is unknown."""
        if self.unresolved:
            self.store.scripted_faults.extend(scripted_faults)
            operation, subject, variant = self.unresolved.pop()
            run(self.loop, self.send(vm, subject, variant, operation))
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
        """Deliver a message; it may be late, out of order or repeated."""
        self.holders[vm].adopt(self.messages[which % len(self.messages)])

    @rule(vm=vms)
    def restart(self, vm):
        self.holders[vm] = self.holder_type()
        self.last_revisions[vm] = 0

    @invariant()
    def nothing_is_lost(self):
        violations = find_violations(self.store.history, self.sent.values())
        assert not violations, violations

    @invariant()
    def no_revision_decreases(self):
        current = [holder.current.revision for holder in self.holders]
        decreases = [
            f'revision decreased from {previous} to {revision}'
            for previous, revision in zip(
                self.last_revisions, current, strict=True
            )
            if revision < previous
        ]
        assert not decreases, decreases
        self.last_revisions = current

    async def send(self, vm, subject, variant, operation=''):
        kind, name = subject
        known_revision = (
            self.store.history[-1].revision if self.store.history else 0
        )
        operation = operation or f'op-{len(self.sent)}'
        sent = self.sent.setdefault(
            operation, SentChange(operation, kind, name, known_revision)
        )
        order = ChangeOrder(operation, based_on=sent.based_on)
        try:
            response = await self.make_change(vm, subject, variant, order)
        except StoreOutcomeUnknownError:
            sent.is_outcome_unknown = True
            self.unresolved.append((operation, subject, variant))
        except (ConfigurationError, StoreUnavailableError):
            # An earlier write of the same operation may still arrive.
            sent.is_refused = not sent.is_outcome_unknown
        else:
            sent.accepted_revision = (
                response.revision if response.changed else None
            )

    async def make_change(self, vm, subject, variant, order):
        kind, name = subject
        operators = OperatorService(
            self.configurations_type(self.store, no_sleep),
            clock=ManualClock(),
            active_configuration=lambda: self.holders[vm].current,
            check=no_problems,
            workers=no_workers,
        )
        if kind is Subject.DOMAIN:
            state = list(DomainState)[variant]
            return await operators.set_domain(name, state, order)
        limits = JobLimits(max_queued=variant)
        contract = Contract(name, (), jobs=limits)
        return await operators.apply_contract(contract, order)


def test_no_accepted_change_is_lost_and_no_revision_decreases():
    run_state_machine_as_test(ConfigurationMachine, settings=MACHINE_SETTINGS)


class AssumesSuccess(ConfigurationStore):
    """Assumes that a write without a response took effect."""

    async def _resolve_unknown_outcome(self, write, replacement):
        return StoredConfiguration(replacement, write.expected_revision + 1)


class AssumesFailure(ConfigurationStore):
    """Assumes that a write without a response had no effect."""

    async def _resolve_unknown_outcome(self, write, replacement):
        raise StoreUnavailableError('no response')


class WritesUnconditionally(RecordingStore):
    """Writes without comparing the expected revision."""

    def _write(self, writes):
        from msgspec.structs import replace

        return super()._write(
            tuple(
                replace(write, expected_revision=self._revision(write.key))
                for write in writes
            )
        )


class AdoptsAnyRevision(ConfigurationHolder):
    """Adopts every configuration, even an older one."""

    def adopt(self, configuration):
        self._current = configuration
        return True


@pytest.mark.parametrize(
    ('attribute', 'faulty_type', 'violation'),
    [
        ('configurations_type', AssumesSuccess, 'was lost'),
        ('configurations_type', AssumesFailure, 'took effect'),
        ('store_type', WritesUnconditionally, 'was stored over'),
        ('holder_type', AdoptsAnyRevision, 'revision decreased'),
    ],
)
def test_check_detects_a_faulty_implementation(
    attribute, faulty_type, violation
):
    machine = type(
        'FaultyMachine', (ConfigurationMachine,), {attribute: faulty_type}
    )
    with pytest.raises(AssertionError, match=violation):
        run_state_machine_as_test(machine, settings=FAULTY_SETTINGS)


def test_check_detects_a_missing_conflict_check(monkeypatch):
    monkeypatch.setattr(
        operators_module, 'check_conflict', lambda *_arguments: None
    )
    with pytest.raises(AssertionError, match='silently overwrote'):
        run_state_machine_as_test(
            ConfigurationMachine, settings=FAULTY_SETTINGS
        )
