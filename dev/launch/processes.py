"""Starts processes and ends each by its own pid."""

import ctypes
import os
import signal
import subprocess
import sys
import time
from collections.abc import Sequence
from pathlib import Path

import msgspec
import psutil

import bulrushcove

BYTES_PER_MB = 1024 * 1024
STOP_TIMEOUT_S = 5
PR_SET_PDEATHSIG = 1


class ProcessDiedError(Exception):
    """A started process ended unexpectedly."""


class StartedProcess(msgspec.Struct):
    """A started process and the file with its output."""

    name: str
    command: tuple[str, ...]
    process: subprocess.Popen[bytes]
    log_path: Path


class Processes:
    """All processes of one launch, by name."""

    def __init__(self, directory: Path) -> None:
        """Write the output of the processes below ``directory``."""
        self._directory = directory
        self._started: dict[str, StartedProcess] = {}

    def start(self, name: str, module: str, *arguments: str) -> None:
        """Start ``python -m module`` under ``name``."""
        command = (sys.executable, '-m', module, *arguments)
        self._start(name, command)

    def restart(self, name: str) -> None:
        """Start an ended process again with the same command."""
        self._start(name, self._started[name].command)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process."""
        self._started[name].process.send_signal(number)

    def wait(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for one process to end; returns its exit status."""
        return self._started[name].process.wait(timeout_s)

    def running_names(self) -> list[str]:
        """Return the names of the running processes."""
        return [
            started.name
            for started in self._started.values()
            if started.process.poll() is None
        ]

    def pids(self) -> list[int]:
        """Return the pids of all processes that were started."""
        return [started.process.pid for started in self._started.values()]

    def log_paths(self) -> list[Path]:
        """Return the output files of all processes."""
        return [started.log_path for started in self._started.values()]

    def check_running(self, names: Sequence[str]) -> None:
        """Raise ``ProcessDiedError`` when one of ``names`` has ended."""
        for name in names:
            started = self._started[name]
            status = started.process.poll()
            if status is not None:
                log_end = started.log_path.read_text()[-2000:]
                raise ProcessDiedError(f'{name}: status {status}\n{log_end}')

    def resident_mb(self, name: str) -> float:
        """Return the resident memory of one process in MB."""
        pid = self._started[name].process.pid
        return psutil.Process(pid).memory_info().rss / BYTES_PER_MB

    def cpu_s(self, name: str) -> float:
        """Return the CPU time of one process in seconds."""
        pid = self._started[name].process.pid
        times = psutil.Process(pid).cpu_times()
        return times.user + times.system

    def end(self) -> None:
        """End every process; kills those that ignore SIGTERM."""
        running = [self._started[name] for name in self.running_names()]
        for started in running:
            # A process stopped by SIGSTOP handles SIGTERM only after SIGCONT.
            started.process.send_signal(signal.SIGCONT)
            started.process.send_signal(signal.SIGTERM)
        end_s = time.monotonic() + STOP_TIMEOUT_S
        for waited in running:
            _wait_or_kill(waited.process, end_s)

    def _start(self, name: str, command: tuple[str, ...]) -> None:
        log_path = self._directory / f'{name}.log'
        with log_path.open('ab') as log_file:
            process = subprocess.Popen(
                command,
                env=_make_environment(),
                stdin=subprocess.DEVNULL,
                stdout=log_file,
                stderr=log_file,
                start_new_session=True,
                preexec_fn=_end_with_parent,
            )
        self._started[name] = StartedProcess(name, command, process, log_path)


def _wait_or_kill(process: subprocess.Popen[bytes], end_s: float) -> None:
    try:
        process.wait(max(end_s - time.monotonic(), 0))
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


def _make_environment() -> dict[str, str]:
    """Return an environment that imports the same code as this process."""
    roots = (
        Path(bulrushcove.__file__).parents[1],
        Path(__file__).parents[2],
    )
    path = os.pathsep.join([str(root) for root in roots])
    return {**os.environ, 'PYTHONPATH': path}


def _end_with_parent() -> None:
    """Have the kernel end the new process when its parent dies."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGTERM)
