"""Random faults of nodes, workers and the store for the node soak."""

import asyncio
import random
import signal
import time

from dev.platform_standin.deployment import Deployment, Node
from dev.platform_standin.proxy import ProxyMode

MAX_PAUSE_S = 1.0
MAX_FAULT_S = 3.0
# Long enough for another node to replace the leader and accept jobs.
LEADER_SUSPENSION_S = 3.5
LATEST_SUSPENSION_S = 7.0
SEARCH_INTERVAL_S = 0.05


class NodeFaults:
    """Injects one fault after the other into a deployment."""

    def __init__(self, deployment: Deployment, source: random.Random) -> None:
        """Draw faults and their lengths from ``source``."""
        self.random = source
        self.deployment = deployment
        self.names: list[str] = []
        # When the last fault ended, in Unix time.
        self.ended_at_s = 0.0
        self._suspended: set[Node] = set()

    def draw_one_in(self, count: int) -> bool:
        """Return True once in ``count`` times."""
        return not self.random.randrange(count)

    async def inject(self, end_s: float) -> None:
        """Inject faults until ``end_s`` on the monotonic clock."""
        while time.monotonic() < end_s:
            fault = self.random.choice(
                (
                    self._restart_node,
                    self._pause_node,
                    self._disrupt_store_connection,
                    self._make_store_fail,
                    self._drop_worker_responses,
                )
            )
            self.names.append(fault.__name__)
            await fault(self.random.choice(self.deployment.nodes))
            self.ended_at_s = time.time()
            await asyncio.sleep(self.random.uniform(0, MAX_PAUSE_S))

    async def suspend_leader(self, source: random.Random) -> None:
        """Suspend the leader once, at a time drawn from ``source``."""
        await asyncio.sleep(source.uniform(0, LATEST_SUSPENSION_S))
        leader = self._find_leader()
        while leader is None:
            await asyncio.sleep(SEARCH_INTERVAL_S)
            leader = self._find_leader()
        self.names.append('suspend_leader')
        await self._suspend(leader, LEADER_SUSPENSION_S)
        self.ended_at_s = time.time()

    def find_lost_leader(self) -> Node | None:
        """Return the leader if it is suspended or dead and not replaced yet."""
        leader = self._find_leader()
        if leader is None or leader in self._suspended:
            return leader
        is_dead = leader.process.returncode is not None
        return leader if is_dead else None

    async def clear(self) -> None:
        """End all faults and wait until the nodes are ready."""
        self.deployment.store.responses_to_drop = 0
        for worker in self.deployment.workers:
            worker.responses_to_drop = 0
        for node in self.deployment.nodes:
            await self.deployment.wait_until_ready(node)
        self.ended_at_s = time.time()

    def _find_leader(self) -> Node | None:
        """Return the leader; None: there is none, or it has just restarted."""
        try:
            return self.deployment.find_leader()
        except LookupError:
            return None

    async def _restart_node(self, node: Node) -> None:
        stop_signal = self.random.choice((signal.SIGKILL, signal.SIGTERM))
        await node.stop(stop_signal)
        await asyncio.sleep(self.random.uniform(0, 1))
        await node.start(
            [other.stream_address for other in self.deployment.nodes]
        )

    async def _pause_node(self, node: Node) -> None:
        await self._suspend(node, self.random.uniform(0.5, MAX_FAULT_S))

    async def _suspend(self, node: Node, duration_s: float) -> None:
        node.send_signal(signal.SIGSTOP)
        self._suspended.add(node)
        await asyncio.sleep(duration_s)
        node.send_signal(signal.SIGCONT)
        self._suspended.discard(node)

    async def _disrupt_store_connection(self, node: Node) -> None:
        mode = self.random.choice(list(ProxyMode)[1:])
        node.proxy.switch_mode(mode)
        await asyncio.sleep(self.random.uniform(0.2, MAX_FAULT_S))
        node.proxy.switch_mode(ProxyMode.PASS_THROUGH)

    async def _make_store_fail(self, _node: Node) -> None:
        store = self.deployment.store
        store.responses_to_drop = self.random.randint(0, 4)
        store.is_unavailable = self.draw_one_in(2)
        await asyncio.sleep(self.random.uniform(0.2, MAX_FAULT_S))
        store.is_unavailable = False

    async def _drop_worker_responses(self, _node: Node) -> None:
        worker = self.random.choice(self.deployment.workers)
        worker.responses_to_drop = self.random.randint(1, 3)
