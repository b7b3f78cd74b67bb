import re
from pathlib import Path

import pytest
from aiohttp import web

from bulrushcove.metrics import add_metrics_route, new_metrics

ROOT = Path(__file__).parent.parent
NAME = re.compile(r"'(bulrushcove_\w+)'")


def test_the_page_lists_exactly_the_metrics_in_the_source():
    sources = (ROOT / 'src' / 'bulrushcove').rglob('*.py')
    in_source = {
        name
        for source in sources
        for name in NAME.findall(source.read_text(encoding='utf-8'))
    }
    page = (ROOT / 'docs' / 'METRICS.md').read_text(encoding='utf-8')
    assert in_source == set(re.findall(r'`(bulrushcove_\w+)`', page))


@pytest.mark.parametrize('accept', ['text/plain', '*/*'])
async def test_metrics_are_served_with_their_help_text(aiohttp_client, accept):
    metrics = new_metrics()
    metrics.counter('bulrushcove_tests_total', 'Tests run.').inc({'of': 'å'})
    application = web.Application()
    add_metrics_route(application.router, metrics)
    client = await aiohttp_client(application)
    response = await client.get('/metrics', headers={'Accept': accept})
    text = await response.text()
    assert '# HELP bulrushcove_tests_total Tests run.' in text
    assert 'bulrushcove_tests_total{of="å"} 1' in text
