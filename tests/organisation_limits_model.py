"""Model of organisations with limits, for tests of real schedulers.

Adds to ``worker_lives_model`` jobs of several organisations, gangs and limits
that change. The checks compare what the workers run with the limits and with
the ledger of the leader:

1. A start that a worker carries out brings its organisation above no limit that
   was in force within ``CONFIGURATION_S`` before.
2. The ledger of the leader has at least what the organisation runs.
"""

import asyncio

import msgspec
from batch_builders import desired_state, job_spec, step
from worker_lives_model import World, name_of

from bulrushcove.batch.job_spec import TaskSize
from bulrushcove.batch.policy import Organisation
from bulrushcove.exceptions import BulrushcoveError
from bulrushcove.ids import OrganisationId

ORGANISATIONS = ('mill', 'quarry')
FIRST_LIMIT = 4
# A start that was sent under an earlier limit may be carried out this long.
CONFIGURATION_S = 4.0


class LimitWorld(World):
    """Workers that tell what organisations run on them."""

    def __init__(self, clock, loop, **options):
        super().__init__(clock, loop, **options)
        # Times and limits, the newest last.
        self._limits = {
            name: [(self.now_s, FIRST_LIMIT)] for name in ORGANISATIONS
        }
        self._organisations = {}
        self._version = 1

    def set_limit(self, name, limit):
        """Change the limit of an organisation, for the leader at once."""
        self.log(f'{name} may run {limit}')
        self._limits[name].append((self.now_s, limit))
        self._version += 1
        self._configure()

    async def submit_for(self, name, count, work_s, *, is_gang, is_urgent):
        """Submit a job of an organisation until it is accepted."""
        spec = job_spec(
            f'j{len(self._jobs)}',
            step(count, is_gang=is_gang),
            attempts=1000,
            priority=0 if is_urgent else 1,
            organisation=OrganisationId(name),
        )
        spec = msgspec.structs.replace(spec, payload=str(work_s))
        self._jobs.append(spec.job)
        self._organisations[spec.job] = name
        self.log(f'{spec.job} of {name}: {count} of {work_s} s')
        while True:
            try:
                await self._submit(spec)
                return
            except (BulrushcoveError, TimeoutError):
                await asyncio.sleep(0.3)

    async def heal(self):
        for name in ORGANISATIONS:
            self.set_limit(name, FIRST_LIMIT)
        await super().heal()

    def check_start(self, run):
        """Check a start that a worker carries out."""
        self.runs.append(run)
        name = self._organisations[run.ref.task.job]
        running = self._count_running(name) + 1
        limit = max(self._limits_in_force(name))
        if running > limit:
            self._note(f'1: {name_of(run.ref)}: {name} has {running} > {limit}')
        self._check_ledger(name, running)

    def check_order(self, leader, ref):
        """Do nothing: ``test_worker_lives`` checks it."""

    def check_acknowledgement(self, run, was_listed):
        """Do nothing: ``test_worker_lives`` checks it."""

    def _check_starts_after_ends(self):
        """Do nothing: ``test_worker_lives`` checks it."""

    def _check_ledger(self, name, running):
        scheduler = self.leader.scheduler
        if not scheduler.is_loaded:
            return
        engine = scheduler.engine
        usage = engine.organisation_usage.update(engine.workers, engine.jobs)
        known = usage.get(OrganisationId(name), TaskSize()).accelerators
        if known < running:
            self._note(f'2: the ledger of {name} has {known} of {running}')

    def _count_running(self, name):
        return sum(
            self._organisations[ref.task.job] == name
            for worker in self.workers.values()
            if worker.life is not None
            for ref in worker.life.running
        )

    def _limits_in_force(self, name):
        """Return the limits that held within ``CONFIGURATION_S``."""
        limits = self._limits[name]
        ends = [since_s for since_s, _ in limits[1:]]
        return [
            limit
            for (_, limit), end_s in zip(limits[:-1], ends, strict=True)
            if self.now_s - end_s <= CONFIGURATION_S
        ] + [limits[-1][1]]

    async def _lead(self, *, has_previous_ended):
        await super()._lead(has_previous_ended=has_previous_ended)
        # The scheduler is still loading the jobs.
        self._configure()

    def _configure(self):
        state = desired_state()
        organisations = tuple(
            Organisation(
                name=OrganisationId(name),
                limit=TaskSize(0, 0, limits[-1][1]),
                weight=1.0,
                # All urgent work may stop other work of its organisation.
                guaranteed_accelerators=1000,
            )
            for name, limits in self._limits.items()
        )
        policy = msgspec.structs.replace(
            state.policy, organisations=organisations, version=self._version
        )
        self.leader.scheduler.set_desired_state(
            msgspec.structs.replace(state, policy=policy)
        )
