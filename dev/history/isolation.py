"""Check: no organisation sees what belongs to another."""

from collections.abc import Iterator

from dev.history.records import ForeignProbe, History


def find_leaks(history: History) -> list[str]:
    """Return each answer that tells of another organisation's things."""
    return [leak for probe in history.probes for leak in _leaks(probe)]


def _leaks(probe: ForeignProbe) -> Iterator[str]:
    same_status = probe.status == probe.unknown_status
    if not same_status or probe.body != probe.unknown_body:
        yield (
            f'{probe.asker} can tell that {probe.what} exists: status'
            f' {probe.status}, unknown ones {probe.unknown_status}'
        )
    for secret in probe.secrets:
        if secret in probe.body:
            yield f'{probe.asker} saw {secret!r} in {probe.what}'
