import re
import shlex
from pathlib import Path

from bulrushcove.cli import main

ROOT = Path(__file__).parent.parent
README = (ROOT / 'README.md').read_text(encoding='utf-8')
TRANSCRIPT = re.compile(
    r'^\$ bulrushcove (.+)\n((?:(?!\$|`).+\n)*)', re.MULTILINE
)


def test_the_transcript_matches_the_output_of_the_commands(monkeypatch, capsys):
    monkeypatch.chdir(ROOT)
    commands = TRANSCRIPT.findall(README)
    assert len(commands) == 2
    for arguments, printed in commands:
        main(shlex.split(arguments))
        out, err = capsys.readouterr()
        assert out + err == printed


def test_every_named_page_and_make_target_exists():
    for page in re.findall(r'\]\(([^)]+)\)', README):
        assert (ROOT / page).exists(), page
    makefile = (ROOT / 'Makefile').read_text(encoding='utf-8')
    for target in re.findall(r'`make ([a-z-]+)', README):
        assert f'\n{target}: ' in makefile, target
