"""Explains to operators why a job waits, runs or has ended."""

from collections.abc import Iterator, Sequence

from .configuration import Configuration
from .contract import Contract
from .ids import DomainName
from .job import JobRecord
from .messages import ClusterView, DomainView
from .states import DomainState, JobState, Urgency


def explain(
    record: JobRecord,
    configuration: Configuration,
    view: ClusterView | None,
    all_records: Sequence[JobRecord] = (),
) -> tuple[str, ...]:
    """Return sentences about the job, starting with its current state.

    ``all_records`` are the records of all jobs: they show which jobs were
    queued before it and how much its organisation uses.
    """
    return (
        *_state_lines(record),
        *_waiting_lines(record, configuration, view),
        *_queue_lines(record, all_records),
        *_contract_lines(record, configuration),
        *_usage_lines(record, all_records),
    )


def _state_lines(record: JobRecord) -> Iterator[str]:
    spec = record.spec
    yield (
        f'Job {record.job!r} of {record.organisation!r} is '
        f'{record.state.value} in domain {record.domain!r}: {spec.tasks} tasks '
        f'with {spec.accelerators_per_task} accelerators each, within one '
        f'{spec.adjacency.value}, {spec.urgency.value}.'
    )
    if record.reason:
        yield f'Reason: {record.reason}.'
    if record.cancel_requested and not record.state.is_final:
        yield 'Its cancellation was requested and is in progress.'
    if record.current is not None:
        yield from _placement_lines(record)
    if record.attempts > 1:
        yield f'This is attempt {record.attempts}.'
    if record.state is JobState.UNKNOWN:
        yield (
            'It is not idempotent and its attempt may have run, so it is '
            'never started again.'
        )


def _placement_lines(record: JobRecord) -> Iterator[str]:
    current = record.current
    if current is None:
        return
    workers = ', '.join(
        f'{placed.worker} ({len(placed.parts)} tasks)'
        for placed in current.placement
    )
    yield f'Attempt {current.attempt!r} was placed on {workers}.'
    if not current.borrowed:
        yield 'That is within the guarantee of its organisation.'
        return
    yield (
        'That is beyond the guarantee of its organisation, on borrowed '
        'accelerators.'
    )
    if not record.state.is_final:
        yield 'It may be preempted for a guaranteed shape.'


def _waiting_lines(
    record: JobRecord,
    configuration: Configuration,
    view: ClusterView | None,
) -> Iterator[str]:
    if record.state is not JobState.QUEUED:
        return
    domain = record.domain
    if configuration.domains.get(domain) is not DomainState.IN_SERVICE:
        yield f'It waits because domain {domain!r} is not in service.'
    if view is None:
        yield (
            'This VM is not connected to its control, so nothing more is '
            'known here.'
        )
        return
    if domain not in view.permit_age_ms:
        yield f'No task can start in {domain!r}: there is no start permit.'
    yield _capacity_line(record, _find_view(view, domain))


def _capacity_line(record: JobRecord, reported: DomainView | None) -> str:
    if reported is None:
        return f'No active control reports domain {record.domain!r}.'
    needed = record.spec.accelerators
    return (
        f'It needs {needed} accelerators; domain {record.domain!r} has '
        f'{reported.free_accelerators} of {reported.total_accelerators} free, '
        f'and {reported.queued_jobs} jobs queued.'
    )


def _find_view(view: ClusterView, domain: DomainName) -> DomainView | None:
    for reported in view.domains:
        if reported.domain == domain:
            return reported
    return None


def _queue_lines(
    record: JobRecord,
    all_records: Sequence[JobRecord],
) -> Iterator[str]:
    if record.state is not JobState.QUEUED:
        return
    ahead = [
        other
        for other in all_records
        if other.state is JobState.QUEUED
        and other.domain == record.domain
        and other.accepted_unix_ms < record.accepted_unix_ms
    ]
    urgent = sum(other.spec.urgency is Urgency.URGENT for other in ahead)
    yield (
        f'{len(ahead)} queued jobs in domain {record.domain!r} were '
        f'accepted before it, {urgent} of them urgent.'
    )


def _usage_lines(
    record: JobRecord,
    all_records: Sequence[JobRecord],
) -> Iterator[str]:
    attempts = [
        (other.spec.accelerators, other.current.borrowed)
        for other in all_records
        if other.organisation == record.organisation
        and other.current is not None
        and not other.state.is_final
    ]
    used = sum(accelerators for accelerators, _ in attempts)
    borrowed = sum(
        accelerators for accelerators, is_borrowed in attempts if is_borrowed
    )
    yield (
        f'{record.organisation!r} has {len(attempts)} jobs placed on {used} '
        f'accelerators now, {borrowed} of them borrowed.'
    )


def _contract_lines(
    record: JobRecord,
    configuration: Configuration,
) -> Iterator[str]:
    contract = configuration.contracts.get(record.organisation)
    if contract is None:
        yield f'Organisation {record.organisation!r} has no contract now.'
        return
    yield (
        f'Its contract guarantees {_guaranteed_accelerators(contract)} '
        'accelerators and lets it borrow '
        f'{contract.jobs.max_borrowed_accelerators} more.'
    )
    if record.domain in contract.hidden_domains:
        yield f'Its contract hides domain {record.domain!r} from it.'


def _guaranteed_accelerators(contract: Contract) -> int:
    return sum(
        shape.accelerators * shape.count for shape in contract.guaranteed
    )
