"""Messages about jobs between callers and the entry."""

import re

import msgspec

from .exceptions import RefusedError
from .ids import DomainName, JobId, OrganisationId
from .job import JobRecord, JobSpec
from .refusals import malformed
from .request_head import checked_id
from .states import JobState

ID_SEPARATOR = '/'
_unknown_field_pattern = re.compile('unknown field `([^`]*)`')


class JobSubmission(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Request body of a job submission."""

    job: str
    spec: JobSpec


class JobAnswer(msgspec.Struct, frozen=True):
    """State of a job in a response to its caller."""

    job: str
    state: JobState
    domain: DomainName
    attempts: int
    reason: str = ''
    cancel_requested: bool = False
    results: tuple[str, ...] = ()


def stored_job_id(organisation: OrganisationId, caller_id: str) -> JobId:
    """Return the id of the record; callers' ids are unique per organisation."""
    return JobId(f'{organisation}{ID_SEPARATOR}{caller_id}')


def caller_job_id(record: JobRecord) -> str:
    """Return the id that the caller gave to the job."""
    return record.job.removeprefix(f'{record.organisation}{ID_SEPARATOR}')


def parse_submission(body: bytes) -> JobSubmission:
    """Decode a submission; raises ``RefusedError`` (400) if it is invalid."""
    try:
        submission = msgspec.json.decode(body, type=JobSubmission)
    except msgspec.ValidationError as exc:
        raise _invalid_field_error(str(exc)) from exc
    except msgspec.DecodeError as exc:
        raise malformed('body', f'not valid JSON: {exc}', 'JSON') from exc
    checked_id('job', submission.job)
    return submission


def _invalid_field_error(message: str) -> RefusedError:
    """Return the refusal for the message of a validation error."""
    problem, _, location = message.partition(' - at ')
    path = location.strip('`').removeprefix('$').removeprefix('.')
    unknown = _unknown_field_pattern.search(problem)
    if unknown:
        path = f'{path}.{unknown.group(1)}'.removeprefix('.')
    return malformed(path or 'body', problem, 'job id and spec of a job')


def make_job_answer(
    record: JobRecord, *, with_results: bool = False
) -> JobAnswer:
    """Return the response to the caller about ``record``."""
    return JobAnswer(
        job=caller_job_id(record),
        state=record.state,
        domain=record.domain,
        attempts=record.attempts,
        reason=record.reason,
        cancel_requested=record.cancel_requested,
        results=record.results if with_results else (),
    )
