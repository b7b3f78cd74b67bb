"""Jobs come that can never be done; then a gang comes."""

import asyncio

from review.standins import (
    FINISH_S,
    IDLE_S,
    World,
    has_trouble,
    main,
    require,
)

MINIONS = 4
# Two jobs of forty can never be done, within 3 s: a share of 0.05.
SOUND_JOBS = 38
POISON_JOBS = 2
GANG = 6


async def play(folder):
    minions = [(f'i-{number}', ['a', 'r-1']) for number in range(MINIONS)]
    async with World(folder, minions) as world:
        hopeless = {
            'count': MINIONS,
            'cpu': 13000,
            'mem-mb': 19000,
            'gpu': 8,
            'estimated-ms': 8500,
        }
        spec = {'work-s': 0.5, 'ends-as': 'failed' if has_trouble() else 'done'}
        for number in range(SOUND_JOBS):
            sound = {'count': 1, 'cpu': 4000, 'gpu': 1, 'estimated-ms': 900}
            await world.submit(f'5{number:015x}', [sound], {'work-s': 0.5})
            await asyncio.sleep(0.06)
        poison = [f'{number:016x}' for number in range(POISON_JOBS)]
        for job in poison:
            await world.submit(job, [hopeless], spec)
        for job in poison:
            state = await world.wait_for(job, {'succeeded', 'failed'}, 45)
            require(state in {'succeeded', 'failed'}, f'job {job} is {state}')
        gang = {
            'count': GANG,
            'cpu': 2800,
            'mem-mb': 5700,
            'gpu': 1,
            'gang': True,
            'estimated-ms': 3000,
        }
        job = 'd' * 16
        accepted = await world.submit(
            job, [gang], {'work-s': 3.0, 'gang': GANG}
        )
        require(accepted, f'job {job} was not accepted')
        await asyncio.sleep(FINISH_S)
        state = await world.wait_for(job, {'succeeded'}, IDLE_S)
        if world.runs(job):
            return []
        # It does not run later either.
        await world.wait_for(job, {'succeeded'}, 20)
        return [
            f'job {job} is {state} and has not run, {len(world.runs(job))} '
            f'starts {FINISH_S + IDLE_S + 20} s after it was accepted; all '
            f'{MINIONS} minions have been idle'
        ]


main(play, __file__)
