"""Clients outside the limits end no process.

Each test lets a crowd of one or two kinds of clients loose on one address of
a node program, which is its own leader, with the limits of its machine
lowered by its settings. While the connections of the crowd are still open,
the process has to live, to have stayed within its memory and descriptors, and
to serve one ordinary job.
"""

import asyncio
import contextlib
import logging

import aiohttp
import hostile_clients as clients
import pytest

from bulrushcove.hello import NODE_ROLE, make_hello
from bulrushcove.ids import DomainName, VmId
from dev.platform_standin.deployment import CONFIG, Deployment

logger = logging.getLogger(__name__)

FIRST_JOB = '5c0e7a21d94b36f0'
JOB = '5c0e7a21d94b36f8'
CROWD = 250
# A crowd on streams: each of its frames may hold 4 MB.
STREAM_CROWD = 40
# The memory of the machine is the bound: the node program begins with 45 MB.
MEMORY_MB = 80
# 200 descriptors are reserved for files, sockets share the remainder.
FILE_DESCRIPTORS = 200
DESCRIPTORS = 350
MANY_DESCRIPTORS = 4100
# Tries of the ordinary call, so that a test that fails ends.
ANSWER_TRIES = 20
ANSWER_PAUSE_S = 1.0
CONFIGURATION = {
    **CONFIG,
    'limits': {
        'max-header-bytes': 16_384,
        'max-body-bytes': clients.MAX_BODY_BYTES,
        'header-timeout-ms': 3000,
        'idle-timeout-ms': 15_000,
    },
}
PEER_HELLO = make_hello(VmId('vm-9'), DomainName('a'), NODE_ROLE)


@contextlib.asynccontextmanager
async def deployed(max_descriptors=MANY_DESCRIPTORS):
    """Run one node program with the lowered limits."""
    limits = {'memory-mb': MEMORY_MB, 'max-fds': max_descriptors}
    async with Deployment(nodes=1, limits=limits) as deployment:
        deployment.write_configuration({**CONFIGURATION, 'version': 4})
        await asyncio.sleep(1)
        # The leader serves: what it needs is loaded before the crowd comes.
        assert await submit_ordinary(deployment, FIRST_JOB) == 200
        await deployment.wait_for_state(FIRST_JOB, 'succeeded')
        yield deployment


async def submit_ordinary(deployment, job):
    """Return the status of one ordinary job, which a caller submits again."""
    status = None
    for _ in range(ANSWER_TRIES):
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with asyncio.timeout(5):
                status = await deployment.submit(job)
        if status == 200:
            break
        await asyncio.sleep(ANSWER_PAUSE_S)
    return status


async def check_crowds(deployment, *crowds, max_descriptors):
    """Let the crowds loose: pairs of an address and a kind, maybe a count."""
    process = deployment.nodes[0].process
    crowd = clients.Crowd()
    try:
        async with clients.sampled_sockets(process.pid) as samples:
            await asyncio.gather(*(crowd.send(*each) for each in crowds))
            sockets = clients.count_sockets(process.pid)
            status = await submit_ordinary(deployment, JOB)
        assert process.returncode is None
        found = (
            f'peak {clients.read_peak_mb(process.pid):.0f} MB, most sockets '
            f'{samples.most}, after it {sockets}, job {status}'
        )
        logger.warning(found)
        assert clients.read_peak_mb(process.pid) <= MEMORY_MB, found
        assert samples.most <= max_descriptors - FILE_DESCRIPTORS, found
        assert status == 200, found
        await deployment.wait_for_state(JOB, 'succeeded')
        assert process.returncode is None
    finally:
        crowd.close()


@pytest.mark.parametrize(
    'kind',
    [
        clients.tiny_chunks,
        clients.large_chunks,
        clients.short_body,
        clients.short_body_in_pieces,
        clients.whole_body,
        clients.endless_field,
        clients.endless_fields,
    ],
)
async def test_memory_stays_under_the_bound(kind):
    async with deployed() as deployment:
        await check_crowds(
            deployment,
            (deployment.nodes[0].api_address, kind, CROWD),
            max_descriptors=MANY_DESCRIPTORS,
        )


@pytest.mark.parametrize(
    'kind',
    [
        clients.empty_lines,
        clients.stopped_head,
        clients.silence,
        clients.short_body,
    ],
)
async def test_descriptors_stay_under_the_bound(kind):
    async with deployed(DESCRIPTORS) as deployment:
        await check_crowds(
            deployment,
            (deployment.nodes[0].api_address, kind, CROWD),
            max_descriptors=DESCRIPTORS,
        )


@pytest.mark.parametrize(
    ('kind', 'other_kind'),
    [
        (clients.tiny_chunks, clients.stopped_head),
        (clients.short_body, clients.empty_lines),
        (clients.large_chunks, clients.tiny_chunks),
    ],
)
async def test_two_kinds_at_once_stay_under_the_bounds(kind, other_kind):
    async with deployed(DESCRIPTORS) as deployment:
        address = deployment.nodes[0].api_address
        await check_crowds(
            deployment,
            (address, kind, CROWD),
            (address, other_kind, CROWD),
            max_descriptors=DESCRIPTORS,
        )


@pytest.mark.parametrize('server', ['readiness_address', 'metrics_address'])
@pytest.mark.parametrize('kind', [clients.short_body, clients.stopped_head])
async def test_the_other_http_addresses_stay_under_the_bounds(server, kind):
    async with deployed(DESCRIPTORS) as deployment:
        await check_crowds(
            deployment,
            (getattr(deployment.nodes[0], server), kind, CROWD),
            max_descriptors=DESCRIPTORS,
        )


@pytest.mark.parametrize(
    'kind',
    [
        clients.short_frame,
        clients.short_frame_after(PEER_HELLO),
    ],
    ids=['first frame', 'second frame'],
)
async def test_frames_without_an_end_stay_under_the_bound(kind):
    async with deployed() as deployment:
        await check_crowds(
            deployment,
            (deployment.nodes[0].stream_address, kind, STREAM_CROWD),
            max_descriptors=MANY_DESCRIPTORS,
        )


async def test_silent_streams_stay_under_the_bound():
    async with deployed(DESCRIPTORS) as deployment:
        await check_crowds(
            deployment,
            (
                deployment.nodes[0].stream_address,
                clients.silence,
                CROWD,
            ),
            max_descriptors=DESCRIPTORS,
        )


JOB_BODY = b'{"spec":"0.1","steps":[{"count":1,"cpu":1000}]}'
FULL_BODY = JOB_BODY.ljust(clients.MAX_BODY_BYTES)


async def exchange(address, message):
    """Send one request; return its status."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        for piece in clients.in_pieces(message):
            writer.write(piece)
            await writer.drain()
        async with asyncio.timeout(30):
            return int((await reader.readline()).split()[1])
    finally:
        writer.transport.abort()


@pytest.mark.parametrize(
    ('fields', 'body'),
    [
        (f'X-Long: {"x" * 9_000}\r\n', JOB_BODY),
        (f'X-Long: {"x" * 15_000}\r\n', JOB_BODY),
        (''.join(f'X-{number}: 1\r\n' for number in range(150)), JOB_BODY),
        ('', FULL_BODY),
    ],
    ids=['9000', '15000', '150 fields', 'full body'],
)
async def test_a_request_inside_the_limits_is_served(fields, body):
    async with deployed() as deployment:
        length = f'Content-Length: {len(body)}\r\n'
        message = clients.head(length + fields) + body
        address = deployment.nodes[0].api_address
        assert await exchange(address, message) == 200


async def test_a_chunked_request_inside_the_limits_is_served():
    async with deployed() as deployment:
        address = deployment.nodes[0].api_address
        chunks = b''.join(b'1\r\n%c\r\n' % byte for byte in FULL_BODY)
        message = (
            clients.head('Transfer-Encoding: chunked\r\n')
            + chunks
            + b'0\r\n\r\n'
        )
        assert await exchange(address, message) == 200


@pytest.mark.parametrize(
    ('fields', 'body', 'status'),
    [
        (f'X-Long: {"x" * 17_000}\r\n', JOB_BODY, 431),
        ('', FULL_BODY + b' ', 413),
    ],
    ids=['head', 'body'],
)
async def test_a_request_outside_the_limits_is_refused(fields, body, status):
    async with deployed() as deployment:
        length = f'Content-Length: {len(body)}\r\n'
        message = clients.head(length + fields) + body
        address = deployment.nodes[0].api_address
        assert await exchange(address, message) == status


async def test_new_limits_are_in_force_without_a_restart():
    async with deployed() as deployment:
        limits = {**CONFIGURATION['limits'], 'max-header-bytes': 2_000}
        deployment.write_configuration(
            {**CONFIGURATION, 'version': 5, 'limits': limits}
        )
        await asyncio.sleep(2)
        length = f'Content-Length: {len(JOB_BODY)}\r\n'
        fields = f'X-Long: {"x" * 3_000}\r\n'
        address = deployment.nodes[0].api_address
        message = clients.head(length + fields) + JOB_BODY
        assert await exchange(address, message) == 431
