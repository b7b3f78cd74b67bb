from conftest import read_known_red


def test_comments_and_blank_lines_are_ignored(tmp_path):
    path = tmp_path / 'KNOWN-RED.txt'
    path.write_text('# head\n\ntests/test_a.py::test_b | make test | x | 4\n')
    assert list(read_known_red(path)) == ['tests/test_a.py::test_b']


def test_missing_file_has_no_entries(tmp_path):
    assert read_known_red(tmp_path / 'KNOWN-RED.txt') == {}
