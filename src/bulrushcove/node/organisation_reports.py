"""Reports of the limits and shares of organisations: log lines and gauges."""

import logging

from ..batch.engine import Engine
from ..batch.fair_shares import find_weights
from ..batch.job_spec import TaskSize
from ..batch.limit_gate import find_limits
from ..batch.organisation_status import (
    OrganisationStatus,
    describe_organisations,
)
from ..ids import OrganisationId
from ..logs import log_event

# Least time between two reports, and so between two lines of an organisation.
REPORT_INTERVAL_S = 1.0

logger = logging.getLogger(__name__)

# What an organisation waits for, and what it may have running.
_Situation = tuple[bool, bool, TaskSize]


class OrganisationReports:
    """Tells from time to time what organisations have and wait for."""

    def __init__(self) -> None:
        """Start without a report."""
        self._next_at_s = 0.0
        self._logged: dict[OrganisationId, _Situation] = {}

    def take(self, engine: Engine, now_s: float) -> list[OrganisationStatus]:
        """Return the state of each organisation; log those that changed.

        Empty where no limits or weights are in force, and for
        ``REPORT_INTERVAL_S`` after a report.
        """
        policy = engine.desired_state.policy
        if policy is None or now_s < self._next_at_s:
            return []
        if not find_limits(policy) and not find_weights(policy):
            return []
        self._next_at_s = now_s + REPORT_INTERVAL_S
        usage = engine.organisation_usage
        statuses = describe_organisations(
            policy.organisations,
            usage.update(engine.workers, engine.jobs),
            usage.waiting,
        )
        for status in statuses:
            self._log_change(status)
        return statuses

    def _log_change(self, status: OrganisationStatus) -> None:
        situation = (
            status.waiting_for_limit > 0,
            status.waiting_for_room > 0,
            status.limit,
        )
        if self._logged.get(status.name) == situation:
            return
        self._logged[status.name] = situation
        used, limit = status.used, status.limit
        log_event(
            logger,
            'organisation.usage',
            organisation=status.name,
            used_millicores=used.cpu_millicores,
            limit_millicores=limit.cpu_millicores or None,
            used_mb=used.memory_mb,
            limit_mb=limit.memory_mb or None,
            used_accelerators=used.accelerators,
            limit_accelerators=limit.accelerators or None,
            share_percent=status.share_percent,
            waiting_for_limit=status.waiting_for_limit,
            waiting_for_room=status.waiting_for_room,
        )
