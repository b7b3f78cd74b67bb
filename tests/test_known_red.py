from conftest import read_known_red


def test_only_entries_are_read(tmp_path):
    path = tmp_path / 'KNOWN-RED.txt'
    path.write_text('# head\n\ntests/test_a.py::test_b | make test | x | 4\n')
    assert list(read_known_red(path)) == ['tests/test_a.py::test_b']


def test_without_a_list_every_test_counts(tmp_path):
    assert read_known_red(tmp_path / 'KNOWN-RED.txt') == {}
