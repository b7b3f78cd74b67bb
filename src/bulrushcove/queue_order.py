"""Order in which the queued jobs of a domain are tried.

Urgent jobs come first. Between organisations the one that holds least for
its guarantee is next; within one, a job's turn comes by how long it has
waited against how long it likely runs, so short jobs wait little and no job
waits for ever.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping
from heapq import heapify, heappop, heappush

from .clock import MS_PER_S
from .ids import OrganisationId
from .job import JobRecord
from .runtime_estimates import RuntimeEstimates
from .scheduling_model import DomainSnapshot
from .states import Urgency

SHORTEST_RUN_S = 1.0

Turn = tuple[float, str, JobRecord]


def is_urgent(record: JobRecord) -> bool:
    """Return whether the job asks to be served first."""
    return record.spec.urgency is Urgency.URGENT


def waited_s(record: JobRecord, now_unix_ms: int) -> float:
    """Return how long ago the job was accepted, in seconds."""
    return max(now_unix_ms - record.accepted_unix_ms, 0) / MS_PER_S


class Usage:
    """Accelerators that organisations hold against their guarantee."""

    def __init__(
        self,
        snapshot: DomainSnapshot,
        guaranteed: Mapping[OrganisationId, int],
    ) -> None:
        """Count what runs in ``snapshot``."""
        self._guaranteed = guaranteed
        self._held: dict[OrganisationId, int] = defaultdict(int)
        self._borrowed: dict[OrganisationId, int] = defaultdict(int)
        self._urgent: dict[OrganisationId, int] = defaultdict(int)
        for gang in snapshot.running:
            self.add(gang.record, borrowed=gang.borrowed)

    def add(self, record: JobRecord, *, borrowed: bool) -> None:
        """Count a gang that runs or is about to."""
        accelerators = record.spec.accelerators
        self._held[record.organisation] += accelerators
        if borrowed:
            self._borrowed[record.organisation] += accelerators
        if is_urgent(record):
            self._urgent[record.organisation] += accelerators

    def guarantee_ratio(self, organisation: OrganisationId) -> float:
        """Return what the organisation holds over what it is guaranteed."""
        guaranteed = self._guaranteed.get(organisation, 0)
        return self._held[organisation] / max(guaranteed, 1)

    def borrowed(self, organisation: OrganisationId) -> int:
        """Return the accelerators that the organisation borrows."""
        return self._borrowed[organisation]

    def urgent(self, organisation: OrganisationId) -> int:
        """Return the accelerators that its urgent jobs hold."""
        return self._urgent[organisation]


def by_age(records: Iterable[JobRecord]) -> list[JobRecord]:
    """Return ``records``, the oldest first."""
    return sorted(
        records, key=lambda record: (record.accepted_unix_ms, record.job)
    )


def fair_order(
    records: Iterable[JobRecord],
    usage: Usage,
    runtimes: RuntimeEstimates,
    now_unix_ms: int,
) -> Iterator[JobRecord]:
    """Yield each job in turn, following ``usage`` as it changes meanwhile."""
    queues: dict[OrganisationId, list[Turn]] = defaultdict(list)
    for record in records:
        wait_s = waited_s(record, now_unix_ms)
        run_s = max(runtimes.median_s(record), SHORTEST_RUN_S)
        # A heap yields its least entry, so the largest ratio is negated.
        queues[record.organisation].append(
            (-(wait_s + run_s) / run_s, record.job, record)
        )
    for unordered in queues.values():
        heapify(unordered)
    turns = [(usage.guarantee_ratio(name), name) for name in queues]
    heapify(turns)
    while turns:
        _, organisation = heappop(turns)
        queue = queues[organisation]
        yield heappop(queue)[-1]
        if queue:
            heappush(turns, (usage.guarantee_ratio(organisation), organisation))
