import asyncio
import logging

from bulrushcove.node.background_tasks import BackgroundTasks


async def fail():
    raise LookupError('no such worker')


async def test_an_error_ends_one_task_and_is_logged(caplog):
    tasks = BackgroundTasks()
    other = asyncio.Event()
    tasks.spawn(fail())
    tasks.spawn(other.wait())
    with caplog.at_level(logging.ERROR):
        await asyncio.sleep(0)
        await asyncio.sleep(0)
    assert [record.exc_info[0] for record in caplog.records] == [LookupError]
    assert len(tasks._running) == 1
    tasks.cancel()
