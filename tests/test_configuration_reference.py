import re
from pathlib import Path

import pytest

from bulrushcove.contract import Contract
from bulrushcove.settings import Settings
from tests.configuration_reference import Definition, definitions

PAGE = Path(__file__).parent.parent / 'docs' / 'CONFIGURATION.md'
ROW = re.compile(r'^\| `([a-z0-9_.]+)` \| (.+?) \| (.+?) \| (.+?) \|$')


def read_rows(heading):
    """Return the table rows of the section ``heading`` of the page."""
    text = PAGE.read_text(encoding='utf-8')
    section = text.split(f'\n## {heading}\n')[1].split('\n## ')[0]
    matches = [ROW.match(line) for line in section.splitlines()]
    return [match.groups() for match in matches if match]


@pytest.mark.parametrize(
    ('heading', 'struct_type'),
    [('Settings of a VM', Settings), ('Contracts', Contract)],
)
def test_reference_page_lists_every_key_with_its_type_and_default(
    heading, struct_type
):
    rows = read_rows(heading)
    assert [Definition(*row[:3]) for row in rows] == list(
        definitions(struct_type)
    )
    assert all(row[-1].strip() for row in rows)
