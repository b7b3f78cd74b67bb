"""Start permits: recent proof that a failure domain is in service.

A proof is a point in time, on this process's monotonic clock, at which a
revision was certainly the newest configuration in the platform's store. It
comes from a read of the store or from a peer's heartbeat.
"""

from .clock import MS_PER_S
from .configuration import Configuration
from .ids import DomainName, Revision
from .states import DomainState


class StartPermits:
    """Decides about start permits from the newest proof."""

    def __init__(self) -> None:
        """Start without any proof."""
        self._proved_at_s: float | None = None
        self._revision = Revision(0)

    def record_proof(self, revision: Revision, proved_at_s: float) -> None:
        """Record that ``revision`` was the newest at ``proved_at_s``.

        A proof that is older than the recorded one is ignored.
        """
        if self._proved_at_s is None or proved_at_s > self._proved_at_s:
            self._proved_at_s = proved_at_s
            self._revision = max(revision, self._revision)

    def proof_age_ms(self, now_s: float) -> int | None:
        """Return the age of the newest proof; None without any."""
        if self._proved_at_s is None:
            return None
        return int((now_s - self._proved_at_s) * MS_PER_S)

    def may_start(
        self,
        domain: DomainName,
        configuration: Configuration,
        now_s: float,
        ttl_ms: int,
    ) -> bool:
        """Return whether a task may start in ``domain`` now.

        ``configuration`` must be at least as new as the newest proof, as a
        newer revision may have taken the domain out of service.
        """
        age_ms = self.proof_age_ms(now_s)
        if age_ms is None or age_ms > ttl_ms:
            return False
        if configuration.revision < self._revision:
            return False
        return configuration.domains.get(domain) is DomainState.IN_SERVICE

    def permit_ages_ms(
        self,
        configuration: Configuration,
        now_s: float,
        ttl_ms: int,
    ) -> dict[DomainName, int]:
        """Return the permit's age for each domain that tasks may start in."""
        age_ms = self.proof_age_ms(now_s)
        if age_ms is None:
            return {}
        return {
            domain: age_ms
            for domain in configuration.domains
            if self.may_start(domain, configuration, now_s, ttl_ms)
        }
