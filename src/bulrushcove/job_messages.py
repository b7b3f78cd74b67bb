"""Jobs as callers send and see them."""

import re

import msgspec

from .exceptions import RefusedError
from .ids import DomainName, JobId, OrganisationId
from .job import JobRecord, JobSpec
from .refusals import malformed
from .request_head import checked_id
from .states import JobState

ID_SEPARATOR = '/'
_unknown_field = re.compile('unknown field `([^`]*)`')


class JobSubmission(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a submission."""

    job: str
    spec: JobSpec


class JobAnswer(msgspec.Struct, frozen=True):
    """A job as its caller sees it."""

    job: str
    state: JobState
    domain: DomainName
    attempts: int
    reason: str = ''
    cancel_requested: bool = False
    results: tuple[str, ...] = ()


def stored_job_id(organisation: OrganisationId, caller_id: str) -> JobId:
    """Return the id of the record: callers' ids are per organisation."""
    return JobId(f'{organisation}{ID_SEPARATOR}{caller_id}')


def caller_job_id(record: JobRecord) -> str:
    """Return the id that the caller gave."""
    return record.job.removeprefix(f'{record.organisation}{ID_SEPARATOR}')


def parse_submission(body: bytes) -> JobSubmission:
    """Return the submission in ``body``; raises ``RefusedError`` (400)."""
    try:
        submission = msgspec.json.decode(body, type=JobSubmission)
    except msgspec.ValidationError as exc:
        raise _wrong_field(str(exc)) from exc
    except msgspec.DecodeError as exc:
        raise malformed('body', f'not JSON: {exc}', 'JSON') from exc
    checked_id('job', submission.job)
    return submission


def _wrong_field(error: str) -> RefusedError:
    """Return the refusal for the text of a validation error."""
    problem, _, place = error.partition(' - at ')
    path = place.strip('`').removeprefix('$').removeprefix('.')
    unknown = _unknown_field.search(problem)
    if unknown:
        path = f'{path}.{unknown.group(1)}'.removeprefix('.')
    return malformed(path or 'body', problem, 'job id and spec of a job')


def make_job_answer(
    record: JobRecord, *, with_results: bool = False
) -> JobAnswer:
    """Return what the caller may see of ``record``."""
    return JobAnswer(
        job=caller_job_id(record),
        state=record.state,
        domain=record.domain,
        attempts=record.attempts,
        reason=record.reason,
        cancel_requested=record.cancel_requested,
        results=record.results if with_results else (),
    )
