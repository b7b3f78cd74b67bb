"""Selects other failure domains for jobs; does no I/O."""

from collections import Counter
from collections.abc import Iterable, Sequence

import msgspec

from .configuration import Configuration
from .ids import DomainName, JobId
from .job import JobRecord, JobSpec
from .messages import DomainView
from .states import Adjacency, DomainState

# Balancing moves per pass; few, so that they do not flood a domain that has
# just returned.
MAX_BALANCING_MOVES = 2
# Moves per pass of jobs that cannot run in their domain.
MAX_FORCED_MOVES = 64
# Older views are too inaccurate about the free capacity.
MAX_VIEW_AGE_MS = 5000


class JobMove(msgspec.Struct, frozen=True):
    """Decision to move a queued job to another domain."""

    job: JobId
    domain: DomainName


def must_leave(
    record: JobRecord, domain: DomainName, configuration: Configuration
) -> bool:
    """Return whether the job may not run in ``domain``.

    This is the case if operators have taken the domain out of service, or if
    the contract of the organisation hides it.
    """
    if configuration.revision == 0:
        return False
    if configuration.domains.get(domain) is not DomainState.IN_SERVICE:
        return True
    contract = configuration.contracts.get(record.organisation)
    return contract is not None and domain in contract.hidden_domains


class MovePlanner:
    """Selects domains for jobs and counts the capacity it has assigned."""

    def __init__(
        self,
        domain: DomainName,
        configuration: Configuration,
        views: Iterable[DomainView],
    ) -> None:
        """Plan moves out of ``domain``; outdated ``views`` are ignored."""
        self._configuration = configuration
        self._views = {
            view.domain: view
            for view in views
            if view.domain != domain
            and view.age_ms <= MAX_VIEW_AGE_MS
            and configuration.domains.get(view.domain) is DomainState.IN_SERVICE
        }
        self._assigned: Counter[DomainName] = Counter()

    def forced_moves(self, records: Sequence[JobRecord]) -> list[JobMove]:
        """Return moves of jobs that can no longer run here."""
        moves = []
        for record in records[:MAX_FORCED_MOVES]:
            domain = self._best_domain(record)
            if domain is not None:
                moves.append(self._assign(record, domain))
        return moves

    def balancing_moves(self, records: Sequence[JobRecord]) -> list[JobMove]:
        """Return moves of waiting jobs to domains with idle capacity."""
        moves: list[JobMove] = []
        for record in records:
            if len(moves) == MAX_BALANCING_MOVES:
                break
            domain = self._best_domain(record)
            if domain is not None and self._has_idle_capacity(record, domain):
                moves.append(self._assign(record, domain))
        return moves

    def _best_domain(self, record: JobRecord) -> DomainName | None:
        allowed = [
            name
            for name, view in self._views.items()
            if _fits(record.spec, view) and not self._is_hidden(record, name)
        ]
        return max(allowed, key=self._free_accelerators, default=None)

    def _assign(self, record: JobRecord, domain: DomainName) -> JobMove:
        self._assigned[domain] += record.spec.accelerators
        return JobMove(record.job, domain)

    def _free_accelerators(self, domain: DomainName) -> int:
        view = self._views[domain]
        return view.free_accelerators - self._assigned[domain]

    def _has_idle_capacity(self, record: JobRecord, domain: DomainName) -> bool:
        idle = not self._views[domain].queued_jobs
        return (
            idle and self._free_accelerators(domain) >= record.spec.accelerators
        )

    def _is_hidden(self, record: JobRecord, domain: DomainName) -> bool:
        contract = self._configuration.contracts.get(record.organisation)
        return contract is None or domain in contract.hidden_domains


def _fits(spec: JobSpec, view: DomainView) -> bool:
    limits = {
        Adjacency.WORKER: view.largest_worker,
        Adjacency.RACK: view.largest_rack,
        Adjacency.DOMAIN: view.total_accelerators,
    }
    task_fits = spec.accelerators_per_task <= view.largest_worker
    return task_fits and spec.accelerators <= limits[spec.adjacency]
