from functools import partial

import pytest

from bulrushcove.contract import Contract, JobLimits
from bulrushcove.exceptions import (
    ConfigurationConflictError,
    GuaranteeBrokenError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from bulrushcove.operator_api import ChangeOrder
from bulrushcove.states import DomainState
from tests.fake_store import FakeStore
from tests.operator_app import OperatorApp

CONTRACT = Contract(organisation='Molino Ñandú', token_sha256=())


def make_service(store, active_configuration=None):
    app = OperatorApp(store)
    app.active_configuration = active_configuration or app.active_configuration
    return app.service


@pytest.fixture
def store():
    return FakeStore()


@pytest.fixture
async def service(store):
    service = make_service(store)
    await service.set_domain(
        'Luleå', DomainState.IN_SERVICE, ChangeOrder('first')
    )
    return service


async def test_an_accepted_change_has_a_revision(service):
    response = await service.apply_contract(CONTRACT, ChangeOrder('op'))
    assert (response.changed, response.revision) == (True, 2)
    assert (await service.current()).contracts == {'Molino Ñandú': CONTRACT}


async def test_the_same_operation_is_applied_once(service):
    first = await service.apply_contract(CONTRACT, ChangeOrder('op'))
    await service.remove_contract('Molino Ñandú', ChangeOrder('op-2'))
    assert await service.apply_contract(CONTRACT, ChangeOrder('op')) == first
    assert (await service.current()).contracts == {}
    with pytest.raises(ConfigurationConflictError, match='another change'):
        await service.set_domain(
            'Luleå', DomainState.OUT_OF_SERVICE, ChangeOrder('op')
        )


@pytest.mark.parametrize('fault', ['lose_responses', 'lose_writes'])
async def test_a_write_without_response_is_read_back(store, service, fault):
    setattr(store, fault, 2)
    response = await service.apply_contract(CONTRACT, ChangeOrder('op'))
    assert (response.changed, response.revision) == (True, 2)
    assert (await service.current()).revision == 2


async def test_a_write_that_cannot_be_read_back_is_unknown(store, service):
    store.lose_writes = 100
    with pytest.raises(StoreOutcomeUnknownError, match='revision 2'):
        await service.apply_contract(CONTRACT, ChangeOrder('op'))


async def test_a_store_outage_refuses_the_change(store, service):
    store.down = True
    with pytest.raises(StoreUnavailableError):
        await service.apply_contract(CONTRACT, ChangeOrder('op'))
    store.down = False
    assert (await service.current()).revision == 1


async def test_a_concurrent_change_of_another_subject_is_retried(
    store, service
):
    order = ChangeOrder('concurrent')
    store.before_write = partial(
        service.set_domain, 'Visby', DomainState.IN_SERVICE, order
    )
    response = await service.apply_contract(CONTRACT, ChangeOrder('op'))
    assert response.revision == 3
    assert len((await service.current()).domains) == 2


async def test_a_concurrent_change_of_the_same_contract_is_a_conflict(
    store, service
):
    other = Contract('Molino Ñandú', (), jobs=JobLimits(max_queued=3))
    order = ChangeOrder('concurrent', operator='ana')
    store.before_write = partial(service.apply_contract, other, order)
    with pytest.raises(ConfigurationConflictError) as caught:
        await service.apply_contract(CONTRACT, ChangeOrder('op'))
    assert caught.value.details == (
        "revision 2 by ana: contract 'Molino Ñandú': created",
    )
    assert (await service.current()).contracts['Molino Ñandú'] == other


async def test_a_change_based_on_an_older_revision_conflicts(service):
    await service.apply_contract(CONTRACT, ChangeOrder('op'))
    with pytest.raises(ConfigurationConflictError, match='after revision 1'):
        await service.apply_contract(CONTRACT, ChangeOrder('op-2', based_on=1))


async def test_a_broken_guarantee_is_named_and_can_be_forced(service):
    await service.apply_contract(CONTRACT, ChangeOrder('op'))
    take_out = partial(service.set_domain, 'Luleå', DomainState.OUT_OF_SERVICE)
    preview = await take_out(ChangeOrder('op-2', dry_run=True))
    assert preview.broken_guarantees == ('Molino Ñandú: no domain left',)
    assert not preview.changed
    with pytest.raises(GuaranteeBrokenError, match='force') as caught:
        await take_out(ChangeOrder('op-2'))
    assert caught.value.details == preview.broken_guarantees
    assert (await take_out(ChangeOrder('op-2', force=True))).changed


async def test_a_guarantee_that_was_already_broken_does_not_refuse_a_change(
    service,
):
    await service.apply_contract(CONTRACT, ChangeOrder('op'))
    out = ChangeOrder('op-2', force=True)
    await service.set_domain('Luleå', DomainState.OUT_OF_SERVICE, out)
    lower = Contract('Molino Ñandú', (), jobs=JobLimits(max_queued=3))
    response = await service.apply_contract(lower, ChangeOrder('op-3'))
    assert response.revision == 4


async def test_a_contract_that_breaks_guarantees_cannot_be_forced(store):
    service = make_service(store)
    order = ChangeOrder('op', force=True)
    with pytest.raises(GuaranteeBrokenError):
        await service.apply_contract(CONTRACT, order)


async def test_a_change_without_effect_is_not_written(service):
    order = ChangeOrder('again')
    response = await service.set_domain('Luleå', DomainState.IN_SERVICE, order)
    assert (response.changed, response.revision) == (False, 1)


async def test_a_store_that_lost_changes_gets_the_active_configuration(service):
    await service.apply_contract(CONTRACT, ChangeOrder('op'))
    active_configuration = await service.current()
    service_on_empty_store = make_service(FakeStore(), active_configuration)
    order = ChangeOrder('op-2')
    response = await service_on_empty_store.set_domain(
        'Visby', DomainState.IN_SERVICE, order
    )
    assert response.revision == 3
    assert (await service_on_empty_store.current()).contracts == {
        'Molino Ñandú': CONTRACT
    }


async def test_an_accepted_configuration_is_shared_before_the_response(store):
    app = OperatorApp(store)
    store.lose_responses = 1
    order = ChangeOrder('op')
    await app.service.set_domain('Luleå', DomainState.IN_SERVICE, order)
    assert app.pushed_revisions == [1]
    store.lose_writes = 100
    with pytest.raises(StoreOutcomeUnknownError):
        await app.service.set_domain(
            'Luleå', DomainState.OUT_OF_SERVICE, ChangeOrder('op-2')
        )
    assert app.pushed_revisions == [1]
