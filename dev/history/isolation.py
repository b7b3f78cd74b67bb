"""Checks that no organisation sees data of another."""

from collections.abc import Iterator

from dev.history.records import History, IsolationProbe


def find_leaks(history: History) -> list[str]:
    """Return each response that reveals something of another organisation."""
    return [leak for probe in history.probes for leak in _check_probe(probe)]


def _check_probe(probe: IsolationProbe) -> Iterator[str]:
    same_status = probe.status == probe.unknown_status
    if not same_status or probe.body != probe.unknown_body:
        yield (
            f'{probe.requester} can tell that {probe.target} exists: status'
            f' {probe.status}, status for an unknown id {probe.unknown_status}'
        )
    for secret in probe.secrets:
        if secret in probe.body:
            yield f'{probe.requester} saw {secret!r} in {probe.target}'
