import signal
import subprocess
import sys
import tomllib

import psutil
import pytest
from msgspec import json

from bulrushcove.settings import check_settings
from bulrushcove.vm_list import VmList
from dev.launch.http import get_bytes
from dev.launch.ports import choose_ports
from dev.launch.settings_file import (
    NetworkPlan,
    format_settings,
    make_settings,
)
from dev.launcher import SMALL_SIZE, Cluster, LaunchOptions, planned
from dev.standins.faults import Faults

OPTIONS = LaunchOptions(sizes=SMALL_SIZE, with_links=True)


@pytest.fixture(scope='module')
def cluster():
    with planned(OPTIONS) as planned_cluster:
        planned_cluster.start_standins()
        yield planned_cluster


def read_vm_list(cluster, number):
    port = cluster.topology.domains[number].vm_list_port
    return json.decode(get_bytes(port, '/vms'), type=VmList).vms


def test_ports_differ():
    assert len(set(choose_ports(100))) == 100


def test_chosen_ports_are_not_chosen_again_before_they_are_bound():
    # Two choices need more ports than one block has.
    assert not set(choose_ports(200)) & set(choose_ports(200))


def test_concurrent_processes_choose_different_ports():
    """Two test suites on one machine chose the same port before binding it."""
    script = (
        'import sys; from dev.launch.ports import choose_ports;'
        'print(*choose_ports(3000), flush=True);'
        'sys.stdin.read()'
    )
    choosers = [
        subprocess.Popen(
            (sys.executable, '-c', script),
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(3)
    ]
    chosen = [set(chooser.stdout.readline().split()) for chooser in choosers]
    for chooser in choosers:
        chooser.communicate('')
    assert [len(ports) for ports in chosen] == [3000, 3000, 3000]
    assert not (chosen[0] & chosen[1] | chosen[0] & chosen[2])
    assert not chosen[1] & chosen[2]


def test_settings_file_is_valid(tmp_path):
    cluster = Cluster(OPTIONS, tmp_path)
    vm = cluster.entry_vms[0]
    settings = make_settings(
        vm,
        NetworkPlan(cluster.topology, cluster.links),
        {'poll_ms': 500},
        {},
    )
    document = tomllib.loads(format_settings(settings))
    assert check_settings(document) == settings
    assert settings.control.poll_ms == 500
    assert len(set(settings.control.peer_addresses)) == len(SMALL_SIZE)


def test_vm_list_replaces_ports_of_other_domains_by_links(cluster):
    own = cluster.topology.domains[0]
    listed = {entry.vm: entry for entry in read_vm_list(cluster, 0)}
    other = cluster.topology.domains[1].workers[0]
    assert listed[own.workers[0].description.worker].port == own.workers[0].port
    assert listed[other.description.worker].port != other.port
    port = listed[other.description.worker].port
    description = json.decode(get_bytes(port, '/v1/description'))
    assert description['worker'] == other.description.worker


def test_cut_link_forwards_nothing_until_it_is_restored(cluster):
    first, second, third = (
        plan.size.domain for plan in cluster.topology.domains
    )
    listed = {entry.vm: entry.port for entry in read_vm_list(cluster, 0)}
    ports = [
        listed[plan.backends[0].backend]
        for plan in cluster.topology.domains[1:]
    ]
    cluster.cut(first, second)
    with pytest.raises(TimeoutError):
        get_bytes(ports[0], '/v1/state')
    assert get_bytes(ports[1], '/v1/state')
    cluster.cut(first, second, cut=False)
    assert get_bytes(ports[0], '/v1/state')
    assert third != second


def test_faults_apply_to_one_server(cluster):
    first, second = cluster.topology.domains[0].backends
    cluster.put_faults(first.backend, Faults(down=True))
    with pytest.raises(OSError, match='refused'):
        get_bytes(first.port, '/v1/state')
    assert get_bytes(second.port, '/v1/state')
    cluster.put_faults(first.backend, Faults())
    assert get_bytes(first.port, '/v1/state')


def test_processes_are_ended_after_an_exception():
    pids = []
    with pytest.raises(KeyboardInterrupt):
        with planned(LaunchOptions(sizes=SMALL_SIZE[:1])) as cluster:
            cluster.start_standins()
            pids = cluster.processes.pids()
            cluster.processes.signal('platform', signal.SIGSTOP)
            raise KeyboardInterrupt
    assert len(pids) == 4
    assert not any(psutil.pid_exists(pid) for pid in pids)
