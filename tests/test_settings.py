import copy

import pytest

from bulrushcove.settings import check_settings

MINIMAL_SETTINGS = {
    'vm': {'id': 'entry-1', 'domain': 'Luleå'},
    'entry': {'port': 8000},
    'control': {'stream_port': 8001, 'http_port': 8002},
    'platform': {
        'store_url': 'http://127.0.0.1:2379',
        'vm_list_url': 'http://127.0.0.1:2380/vms',
    },
}


def test_missing_keys_get_their_defaults():
    settings = check_settings(MINIMAL_SETTINGS)
    assert settings.vm.domain == 'Luleå'
    assert settings.logs.format == 'key_value'


@pytest.mark.parametrize(
    ('section', 'key', 'found', 'allowed'),
    [
        ('entry', 'port', 70000, '0 to 65535'),
        ('entry', 'host', 'localhost', 'an IP number'),
        ('platform', 'store_url', 'etcd', 'an http or https URL'),
        ('entry', 'prot', 1, 'host, port'),
    ],
)
def test_an_error_names_the_key_and_the_found_and_allowed_values(
    section, key, found, allowed
):
    document = copy.deepcopy(MINIMAL_SETTINGS)
    document[section][key] = found
    with pytest.raises(ExceptionGroup) as caught:
        check_settings(document)
    (error,) = caught.value.exceptions
    assert f'{section}.{key}: found {found!r}' in str(error)
    assert allowed in str(error)


def test_all_errors_are_reported_at_once():
    with pytest.raises(ExceptionGroup) as caught:
        check_settings({'vm': {'id': ''}, 'entry': {'port': 'x'}, 'logz': 1})
    keys = {error.key for error in caught.value.exceptions}
    assert {'logz', 'vm.domain', 'entry.port', 'control.http_port'} <= keys
