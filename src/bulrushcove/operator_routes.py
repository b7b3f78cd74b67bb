"""HTTP routes for operators on an entry VM, under ``/v1/operator``."""

from collections.abc import Iterable

import msgspec
from aiohttp import web

from .configuration import Configuration
from .exceptions import (
    ConfigurationError,
    RefusedError,
    StoreUnavailableError,
)
from .ids import DomainName, JobId, OrganisationId
from .names import unknown_name_message
from .operator_api import (
    CONTRACTS_PATH,
    DOMAINS_PATH,
    JOBS_PATH,
    STATUS_PATH,
    WORKERS_PATH,
    ChangeOrder,
    ChangeResponse,
    ConfigurationResponse,
    ContractChange,
    DomainChange,
    StatusResponse,
)
from .operator_http import (
    HTTP_BAD_REQUEST,
    HTTP_UNAVAILABLE,
    operator_handler,
    read_message,
)
from .operator_job_routes import GetClusterView, JobRoutes
from .operator_jobs import OperatorJobs
from .operator_status import build_status, known_domains
from .operators import OperatorService
from .states import DomainState


def add_operator_routes(
    router: web.UrlDispatcher,
    operator_service: OperatorService,
    view: GetClusterView,
    *,
    jobs: OperatorJobs,
    token_sha256: Iterable[str],
) -> None:
    """Serve operators whose token's SHA-256 is in ``token_sha256``.

    ``view`` returns the last cluster view from the control on this VM.
    """
    hashes = tuple(token_sha256)
    configuration_routes = _ConfigurationRoutes(operator_service, view, jobs)
    job_routes = JobRoutes(operator_service, view, jobs)
    contract_path = f'{CONTRACTS_PATH}/{{organisation}}'
    job_path = f'{JOBS_PATH}/{{job}}'
    for method, path, typed_handler in (
        ('GET', CONTRACTS_PATH, configuration_routes.show),
        ('GET', DOMAINS_PATH, configuration_routes.show),
        ('PUT', contract_path, configuration_routes.apply_contract),
        ('DELETE', contract_path, configuration_routes.remove_contract),
        ('PUT', f'{DOMAINS_PATH}/{{domain}}', configuration_routes.set_domain),
        ('GET', STATUS_PATH, configuration_routes.status),
        ('GET', WORKERS_PATH, job_routes.workers),
        ('GET', JOBS_PATH, job_routes.list_jobs),
        ('GET', job_path, job_routes.show),
        ('GET', f'{job_path}/explain', job_routes.explain),
        ('POST', f'{job_path}/cancel', job_routes.cancel),
    ):
        handler = operator_handler(typed_handler, hashes)
        router.add_route(method, path, handler)


class _ConfigurationRoutes:
    def __init__(
        self,
        operator_service: OperatorService,
        view: GetClusterView,
        jobs: OperatorJobs,
    ) -> None:
        self._operator_service = operator_service
        self._view = view
        self._jobs = jobs

    async def show(self, _request: web.Request) -> ConfigurationResponse:
        try:
            configuration = await self._operator_service.current()
        except StoreUnavailableError:
            return _build_response(
                self._operator_service.active_configuration, stored=False
            )
        return _build_response(configuration, stored=True)

    async def apply_contract(self, request: web.Request) -> ChangeResponse:
        change = await read_message(request, ContractChange)
        organisation = request.match_info['organisation']
        if change.contract.organisation != organisation:
            raise RefusedError(
                HTTP_BAD_REQUEST,
                f'the path names {organisation!r}, but the contract is of '
                f'{change.contract.organisation!r}',
                field='contract.organisation',
            )
        return await self._operator_service.apply_contract(
            change.contract,
            change.order,
        )

    async def remove_contract(self, request: web.Request) -> ChangeResponse:
        order = await read_message(request, ChangeOrder)
        organisation = OrganisationId(request.match_info['organisation'])
        return await self._operator_service.remove_contract(organisation, order)

    async def set_domain(self, request: web.Request) -> ChangeResponse:
        change = await read_message(request, DomainChange)
        domain = DomainName(request.match_info['domain'])
        await self._check_domain(domain, change.order)
        response = await self._operator_service.set_domain(
            domain,
            change.state,
            change.order,
        )
        if change.state is DomainState.IN_SERVICE:
            return response
        return msgspec.structs.replace(
            response,
            affected_jobs=await self._affected_jobs(domain),
        )

    async def status(self, _request: web.Request) -> StatusResponse:
        return build_status(
            self._operator_service.active_configuration, self._view()
        )

    async def _check_domain(
        self,
        domain: DomainName,
        order: ChangeOrder,
    ) -> None:
        view = self._view()
        known = known_domains(await self._operator_service.current(), view)
        if domain in known or order.force:
            return
        if view is None or not view.vms:
            raise RefusedError(
                HTTP_UNAVAILABLE,
                f'domain {domain!r}: this VM has received no cluster view '
                'from its control yet, so the domain cannot be checked',
            )
        raise ConfigurationError(unknown_name_message('domain', domain, known))

    async def _affected_jobs(self, domain: DomainName) -> tuple[JobId, ...]:
        try:
            return await self._jobs.find_active_in_domain(domain)
        except StoreUnavailableError:
            # The change is already accepted and must be reported as such.
            return ()


def _build_response(
    configuration: Configuration, *, stored: bool
) -> ConfigurationResponse:
    return ConfigurationResponse(
        revision=configuration.revision,
        stored=stored,
        contracts=configuration.contracts,
        domains=configuration.domains,
        changes=configuration.changes,
    )
