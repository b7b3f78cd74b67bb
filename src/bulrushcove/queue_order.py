"""Order in which a scheduling pass tries the queued jobs of a domain.

Urgent jobs come first. Among normal jobs, the organisation that uses the
smallest share of its guarantee is next. Within an organisation, the job with
the highest response ratio (waiting time plus run time, over run time) is
next, so that short jobs wait little and no job starves.
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

QueueEntry = tuple[float, str, JobRecord]


def is_urgent(record: JobRecord) -> bool:
    """Return whether the job has the urgency ``URGENT``."""
    return record.spec.urgency is Urgency.URGENT


def waited_s(record: JobRecord, now_unix_ms: int) -> float:
    """Return how long ago the job was accepted, in seconds."""
    return max(now_unix_ms - record.accepted_unix_ms, 0) / MS_PER_S


class Usage:
    """Accelerators in use by organisation."""

    def __init__(
        self,
        snapshot: DomainSnapshot,
        guaranteed: Mapping[OrganisationId, int],
    ) -> None:
        """Count the running gangs of ``snapshot``.

        ``guaranteed`` has the guaranteed accelerators by organisation.
        """
        self._guaranteed = guaranteed
        self._in_use: dict[OrganisationId, int] = defaultdict(int)
        self._borrowed: dict[OrganisationId, int] = defaultdict(int)
        self._urgent: dict[OrganisationId, int] = defaultdict(int)
        for gang in snapshot.running:
            self.add(gang.record, borrowed=gang.borrowed)

    def add(self, record: JobRecord, *, borrowed: bool) -> None:
        """Count a gang that runs or is about to start."""
        accelerators = record.spec.accelerators
        self._in_use[record.organisation] += accelerators
        if borrowed:
            self._borrowed[record.organisation] += accelerators
        if is_urgent(record):
            self._urgent[record.organisation] += accelerators

    def guarantee_ratio(self, organisation: OrganisationId) -> float:
        """Return the accelerators in use over those guaranteed."""
        guaranteed = self._guaranteed.get(organisation, 0)
        return self._in_use[organisation] / max(guaranteed, 1)

    def borrowed(self, organisation: OrganisationId) -> int:
        """Return the accelerators in use by borrowed work."""
        return self._borrowed[organisation]

    def urgent(self, organisation: OrganisationId) -> int:
        """Return the accelerators in use by urgent jobs."""
        return self._urgent[organisation]


def by_age(records: Iterable[JobRecord]) -> list[JobRecord]:
    """Return ``records`` in the order of acceptance."""
    return sorted(
        records, key=lambda record: (record.accepted_unix_ms, record.job)
    )


def fair_order(
    records: Iterable[JobRecord],
    usage: Usage,
    runtimes: RuntimeEstimates,
    now_unix_ms: int,
) -> Iterator[JobRecord]:
    """Yield the jobs in the fair order that the module describes.

    Changes of ``usage`` after a job is yielded affect the next one.
    """
    queues: dict[OrganisationId, list[QueueEntry]] = defaultdict(list)
    for record in records:
        wait_s = waited_s(record, now_unix_ms)
        run_s = max(runtimes.median_s(record), SHORTEST_RUN_S)
        # Negated, as the heap yields its smallest entry first.
        queues[record.organisation].append(
            (-(wait_s + run_s) / run_s, record.job, record)
        )
    for entries in queues.values():
        heapify(entries)
    by_ratio = [(usage.guarantee_ratio(name), name) for name in queues]
    heapify(by_ratio)
    while by_ratio:
        _, organisation = heappop(by_ratio)
        queue = queues[organisation]
        yield heappop(queue)[-1]
        if queue:
            heappush(
                by_ratio, (usage.guarantee_ratio(organisation), organisation)
            )
