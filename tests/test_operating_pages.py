import re
import shlex
from pathlib import Path

import pytest

from bulrushcove.cli import find_verb
from bulrushcove.cli_options import define_flags

DOCS = Path(__file__).parent.parent / 'docs'
COMMAND = re.compile(r'^ +(bulrushcove .+)$', re.MULTILINE)


@pytest.mark.parametrize('page', ['OPERATIONS.md', 'CONFIGURATION.md'])
def test_every_command_on_the_page_is_valid(page):
    text = (DOCS / page).read_text(encoding='utf-8')
    commands = COMMAND.findall(text)
    assert commands
    for command in commands:
        words = define_flags()(shlex.split(command))[1:]
        verb, rest = find_verb(words)
        assert len(rest) == len(verb.arguments), command


def test_the_glossary_is_sorted():
    text = (DOCS / 'GLOSSARY.md').read_text(encoding='utf-8')
    words = re.findall(r'^\| ([^|]+) \| .* \|$', text, re.MULTILINE)[1:]
    assert len(words) > 30
    assert words == sorted(words)
