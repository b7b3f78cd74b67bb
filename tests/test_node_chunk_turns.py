"""Chunked bodies share the event loop out among them."""

import pytest

from bulrushcove.node.chunk_turns import MAX_CHUNKS_PER_TURN, ChunkTurns

MANY_CHUNKS = 262_144


class Body:
    """A body with so many chunks to decode."""

    def __init__(self, chunks):
        self.left = chunks

    def decode(self, max_chunks):
        decoded = min(self.left, max_chunks)
        self.left -= decoded
        return decoded


class Loop:
    def __init__(self):
        self.scheduled = []

    def call_soon(self, callback):
        self.scheduled.append(callback)

    def run_turn(self):
        callbacks = self.scheduled
        self.scheduled = []
        for callback in callbacks:
            callback()


def test_a_turn_decodes_a_few_chunks_of_a_crowd():
    """900 bodies in chunks of one byte arrive at once."""
    loop = Loop()
    turns = ChunkTurns(loop.call_soon)
    bodies = [Body(MANY_CHUNKS) for _ in range(900)]
    for body in bodies:
        turns.decode(0, body.decode)
    for _ in range(50):
        left = sum(body.left for body in bodies)
        loop.run_turn()
        decoded = left - sum(body.left for body in bodies)
        assert 0 < decoded <= MAX_CHUNKS_PER_TURN


def test_a_small_body_does_not_wait_for_a_crowd():
    loop = Loop()
    turns = ChunkTurns(loop.call_soon)
    for _ in range(900):
        turns.decode(0, Body(MANY_CHUNKS).decode)
    # Each of the crowd has had a turn.
    for _ in range(1000):
        loop.run_turn()
    small = Body(3)
    turns.decode(0, small.decode)
    loop.run_turn()
    assert small.left == 0


def test_all_chunks_are_decoded_and_nothing_runs_on():
    loop = Loop()
    turns = ChunkTurns(loop.call_soon)
    bodies = [Body(MAX_CHUNKS_PER_TURN * 2 + 7), Body(1)]
    for body in bodies:
        turns.decode(0, body.decode)
    turn_count = 0
    while loop.scheduled:
        loop.run_turn()
        turn_count += 1
        assert turn_count < 10
    assert [body.left for body in bodies] == [0, 0]


def test_an_error_of_one_body_does_not_stop_the_turns():
    loop = Loop()
    turns = ChunkTurns(loop.call_soon)

    def fail(_max_chunks):
        raise OSError

    first, last = Body(MAX_CHUNKS_PER_TURN), Body(3)
    turns.decode(0, first.decode)
    turns.decode(0, fail)
    turns.decode(1, last.decode)
    with pytest.raises(OSError):
        loop.run_turn()
    loop.run_turn()
    assert last.left == 0
    turns.decode(0, Body(3).decode)
    assert loop.scheduled
