"""Which jobs leave a failure domain, and where they go, without I/O."""

from collections import Counter
from collections.abc import Iterable, Sequence

import msgspec

from .configuration import Configuration
from .ids import DomainName, JobId
from .job import JobRecord, JobSpec
from .messages import DomainView
from .states import Adjacency, DomainState

# A domain that returns must not be flooded: moves for room are a trickle.
MAX_BALANCING_MOVES = 2
# Moves out of a domain that cannot run them, in one pass.
MAX_FORCED_MOVES = 64
# Views older than this say too little about the room.
MAX_VIEW_AGE_MS = 5000


class JobMove(msgspec.Struct, frozen=True):
    """Give the job's record to another domain."""

    job: JobId
    domain: DomainName


def must_leave(
    record: JobRecord, domain: DomainName, configuration: Configuration
) -> bool:
    """Return whether the job may not run in ``domain``.

    That is so when operators took the domain out, or when the contract of
    the organisation hides it.
    """
    if configuration.revision == 0:
        return False
    if configuration.domains.get(domain) is not DomainState.IN:
        return True
    contract = configuration.contracts.get(record.organisation)
    return contract is not None and domain in contract.hidden_domains


class MovePlanner:
    """Finds domains for records, counting the room it has given away."""

    def __init__(
        self,
        domain: DomainName,
        configuration: Configuration,
        views: Iterable[DomainView],
    ) -> None:
        """Plan moves out of ``domain`` by the newest ``views``."""
        self._configuration = configuration
        self._views = {
            view.domain: view
            for view in views
            if view.domain != domain
            and view.age_ms <= MAX_VIEW_AGE_MS
            and configuration.domains.get(view.domain) is DomainState.IN
        }
        self._given: Counter[DomainName] = Counter()

    def forced_moves(self, records: Sequence[JobRecord]) -> list[JobMove]:
        """Return moves of jobs that can run here no more."""
        moves = []
        for record in records[:MAX_FORCED_MOVES]:
            domain = self._best(record)
            if domain is not None:
                moves.append(self._give(record, domain))
        return moves

    def balancing_moves(self, records: Sequence[JobRecord]) -> list[JobMove]:
        """Return moves of jobs that wait, to domains with idle room."""
        moves: list[JobMove] = []
        for record in records:
            if len(moves) == MAX_BALANCING_MOVES:
                break
            domain = self._best(record)
            if domain is not None and self._has_idle_room(record, domain):
                moves.append(self._give(record, domain))
        return moves

    def _best(self, record: JobRecord) -> DomainName | None:
        allowed = [
            name
            for name, view in self._views.items()
            if _fits(record.spec, view) and not self._is_hidden(record, name)
        ]
        return max(allowed, key=self._free, default=None)

    def _give(self, record: JobRecord, domain: DomainName) -> JobMove:
        self._given[domain] += record.spec.accelerators
        return JobMove(record.job, domain)

    def _free(self, domain: DomainName) -> int:
        view = self._views[domain]
        return view.free_accelerators - self._given[domain]

    def _has_idle_room(self, record: JobRecord, domain: DomainName) -> bool:
        idle = not self._views[domain].queued_jobs
        return idle and self._free(domain) >= record.spec.accelerators

    def _is_hidden(self, record: JobRecord, domain: DomainName) -> bool:
        contract = self._configuration.contracts.get(record.organisation)
        return contract is None or domain in contract.hidden_domains


def _fits(spec: JobSpec, view: DomainView) -> bool:
    limits = {
        Adjacency.WORKER: view.largest_worker,
        Adjacency.RACK: view.largest_rack,
        Adjacency.DOMAIN: view.total_accelerators,
    }
    one_fits = spec.accelerators_per_task <= view.largest_worker
    return one_fits and spec.accelerators <= limits[spec.adjacency]
