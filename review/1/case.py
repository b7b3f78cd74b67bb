"""More than 500 runs of a minion end while it is cut off."""

import asyncio

from review.standins import World, has_trouble, main, require

# One minion of six is cut off: a share of 0.17.
MINIONS = 6
JOBS = 12
TASKS = 50
WORK_S = 12.0
# From the first start to the cut; all runs end during the cut.
CUT_AFTER_S = 9.0
CUT_S = 5.5


async def play(folder):
    minions = [(f'i-{number}', ['a', 'r-1']) for number in range(MINIONS)]
    async with World(folder, minions) as world:
        step = {'count': TASKS, 'cpu': 40, 'mem-mb': 50, 'estimated-ms': 12000}
        jobs = [f'{number:016x}' for number in range(1, JOBS + 1)]
        for number, job in enumerate(jobs):
            accepted = await world.submit(
                job, [step], {'work-s': WORK_S}, number % 3
            )
            require(accepted, f'job {job} was not accepted')
            await asyncio.sleep(0.2)
        await asyncio.sleep(0.5)
        first_s = min(rows[0][1].begun_s for rows in world.runs().values())
        await world.sleep_until(first_s + CUT_AFTER_S)
        busiest = max(world.minions, key=lambda one: len(one.runs))
        require(len(busiest.runs) > 500, 'no minion has over 500 runs')
        if has_trouble():
            world.record.write(f'{busiest.id} is cut off for {CUT_S} s')
            busiest.is_cut = True
            await asyncio.sleep(CUT_S)
            world.record.write(f'{busiest.id} is reached again')
            busiest.is_cut = False
        for job in jobs:
            await world.wait_for(job, {'succeeded', 'failed'}, 30)
        return world.twice()


main(play, __file__)
