"""Which connections are closed beside a crowd outside the limits."""

import pytest

from bulrushcove.batch.policy import RequestLimits
from bulrushcove.node.connection_budget import (
    DEFAULT_DESCRIPTORS,
    DEFAULT_MEMORY_MB,
    MAX_BODY_S,
    BudgetLimits,
    ClientConnection,
    CloseReason,
    ConnectionBudget,
    derive_budget,
)
from bulrushcove.wire import MAX_FRAME_BYTES

LIMITS = RequestLimits()
BODY_BYTES = 262_143
ORDINARY_BYTES = 900


def accept(budget, now_s=0.0):
    connection = ClientConnection(now_s)
    budget.add(connection)
    return connection


def accept_peer(budget, now_s=0.0):
    """Return a stream whose hello was read."""
    peer = accept(budget, now_s)
    peer.is_internal = True
    peer.complete_request()
    return peer


def begin_body(budget, connection, held_bytes, now_s=0.0):
    connection.heard_at_s = now_s
    connection.begin_request(is_body=True)
    budget.hold(connection, held_bytes)


def close_excess(budget):
    closed = budget.choose_excess() if budget.is_exceeded else []
    for connection, _ in closed:
        budget.remove(connection)
    return dict(closed)


def test_a_crowd_of_unfinished_bodies_stays_within_the_memory():
    """900 bodies of just under 256 KB, and ordinary requests between them."""
    budget = ConnectionBudget(BudgetLimits(20 * 1024 * 1024, 2000))
    ordinary = [accept(budget) for _ in range(20)]
    closed = {}
    for number in range(900):
        begin_body(budget, accept(budget), BODY_BYTES)
        begin_body(budget, ordinary[number % 20], ORDINARY_BYTES)
        closed.update(close_excess(budget))
        assert budget.held_bytes <= budget.limits.held_bytes
    assert set(closed.values()) == {CloseReason.MEMORY}
    assert not closed.keys() & set(ordinary)


def test_the_largest_of_a_crowd_is_closed_first():
    budget = ConnectionBudget(BudgetLimits(1000, 100))
    small, large, larger = (accept(budget) for _ in range(3))
    begin_body(budget, small, 100)
    begin_body(budget, large, 400)
    begin_body(budget, larger, 600)
    assert close_excess(budget) == {larger: CloseReason.MEMORY}


def test_a_crowd_of_silent_connections_leaves_room_for_callers():
    """A thousand connections that send nothing, beside callers."""
    budget = ConnectionBudget(BudgetLimits(10**6, 100))
    callers = [accept(budget) for _ in range(10)]
    for caller in callers:
        caller.complete_request()
    closed = {}
    for number in range(1000):
        accept(budget, float(number))
        closed.update(close_excess(budget))
        assert len(budget.connections) <= budget.limits.connections
    assert set(closed.values()) == {CloseReason.CONNECTIONS}
    assert not closed.keys() & set(callers)


def test_the_longest_silent_of_those_served_is_closed_next():
    budget = ConnectionBudget(BudgetLimits(10**6, 2))
    connections = [accept(budget) for _ in range(3)]
    for now_s, connection in zip((3.0, 1.0, 2.0), connections, strict=True):
        connection.heard_at_s = now_s
        connection.complete_request()
    assert list(close_excess(budget)) == [connections[1]]


def test_a_new_caller_is_closed_after_idle_ones():
    """Connections that were served fill the budget."""
    budget = ConnectionBudget(BudgetLimits(10**6, 20))
    for number in range(20):
        accept(budget, float(number)).complete_request()
    caller = accept(budget, 30.0)
    closed = close_excess(budget)
    assert closed
    assert caller not in closed


def test_the_frame_of_a_peer_outlives_a_crowd_of_bodies():
    """A frame of 4 MB arrives beside 900 bodies of just under 256 KB."""
    budget = ConnectionBudget(BudgetLimits(20 * 1024 * 1024, 719))
    peer = accept_peer(budget)
    begin_body(budget, peer, MAX_FRAME_BYTES)
    closed = {}
    for _ in range(900):
        begin_body(budget, accept(budget), BODY_BYTES)
        closed.update(close_excess(budget))
        assert budget.held_bytes <= budget.limits.held_bytes
    assert closed
    assert peer not in closed


def test_frames_of_a_crowd_of_peers_leave_room_for_callers():
    budget = ConnectionBudget(BudgetLimits(20 * 1024 * 1024, 719))
    callers = [accept(budget) for _ in range(40)]
    for caller in callers:
        begin_body(budget, caller, BODY_BYTES)
    closed = {}
    for _ in range(100):
        begin_body(budget, accept_peer(budget), MAX_FRAME_BYTES)
        closed.update(close_excess(budget))
        assert budget.held_bytes <= budget.limits.held_bytes
    assert closed
    assert not closed.keys() & set(callers)


def test_handled_requests_close_no_small_ones():
    """Requests in the handler take all of the memory."""
    budget = ConnectionBudget(BudgetLimits(20 * 1024 * 1024, 719))
    for _ in range(100):
        handled = accept(budget)
        handled.is_handled = True
        budget.hold(handled, BODY_BYTES)
    begin_body(budget, accept(budget), ORDINARY_BYTES)
    assert budget.is_exceeded
    assert not close_excess(budget)


def test_a_crowd_of_callers_leaves_the_streams_of_peers():
    """Peers that last sent a frame before all callers."""
    budget = ConnectionBudget(BudgetLimits(10**6, 100))
    peers = [accept_peer(budget) for _ in range(12)]
    closed = {}
    for number in range(1000):
        caller = accept(budget, float(number))
        caller.heard_at_s = float(number)
        caller.complete_request()
        closed.update(close_excess(budget))
        assert len(budget.connections) <= budget.limits.connections
    assert not closed.keys() & set(peers)


def test_a_crowd_of_streams_leaves_callers():
    budget = ConnectionBudget(BudgetLimits(10**6, 100))
    callers = [accept(budget, 1.0) for _ in range(50)]
    for caller in callers:
        caller.complete_request()
    for _ in range(1000):
        accept_peer(budget)
        close_excess(budget)
        assert len(budget.connections) <= budget.limits.connections
    assert set(callers) <= budget.connections


def test_a_request_that_is_handled_is_never_closed():
    budget = ConnectionBudget(BudgetLimits(1000, 1))
    handled = accept(budget)
    handled.complete_request()
    handled.is_handled = True
    budget.hold(handled, 5000)
    late = accept(budget)
    assert list(close_excess(budget)) == [late]
    assert budget.choose_overdue(1000.0, LIMITS) == []


def test_a_removed_connection_holds_nothing():
    budget = ConnectionBudget(BudgetLimits(1000, 10))
    connection = accept(budget)
    begin_body(budget, connection, 700)
    budget.remove(connection)
    budget.hold(connection, 900)
    budget.remove(connection)
    assert budget.held_bytes == 0


@pytest.mark.parametrize(
    ('is_body', 'heard_at_s', 'now_s', 'reason'),
    [
        (False, 2.9, 3.0, None),
        (False, 2.9, 3.1, CloseReason.HEAD_LATE),
        (True, 14.0, 29.0, None),
        (True, 14.0, 29.1, CloseReason.BODY_LATE),
        (True, MAX_BODY_S, MAX_BODY_S + 0.1, CloseReason.BODY_LATE),
    ],
)
def test_a_request_must_arrive_in_time(is_body, heard_at_s, now_s, reason):
    """A byte now and then does not keep a head or a body open."""
    budget = ConnectionBudget(BudgetLimits(10**6, 10))
    connection = accept(budget)
    begin_body(budget, connection, 1)
    connection.heard_at_s = heard_at_s
    connection.begin_request(is_body=is_body)
    found = dict(budget.choose_overdue(now_s, LIMITS))
    assert found.get(connection) is reason


def test_the_wait_for_turns_is_not_the_time_of_the_client():
    budget = ConnectionBudget(BudgetLimits(10**6, 10))
    connection = accept(budget)
    begin_body(budget, connection, 1)
    connection.begin_decoding(10.0)
    assert budget.choose_overdue(1000.0, LIMITS) == []
    connection.end_decoding(1000.0)
    assert budget.choose_overdue(1004.9, LIMITS) == []
    found = budget.choose_overdue(1020.1, LIMITS)
    assert found == [(connection, CloseReason.BODY_LATE)]


def test_an_idle_connection_is_closed_by_the_limits_in_force():
    budget = ConnectionBudget(BudgetLimits(10**6, 10))
    caller = accept(budget)
    stream = accept(budget)
    stream.idle_timeout_s = 20.0
    assert budget.choose_overdue(15.0, LIMITS) == []
    assert budget.choose_overdue(16.0, LIMITS) == [(caller, CloseReason.IDLE)]
    shorter = RequestLimits(idle_timeout_ms=1000)
    assert budget.choose_overdue(2.0, shorter) == [(caller, CloseReason.IDLE)]
    assert len(budget.choose_overdue(21.0, LIMITS)) == 2


def test_the_budget_follows_from_the_machine():
    small = derive_budget(160, 1638)
    assert small == BudgetLimits(20 * 1024 * 1024, 719)
    # Many of the largest requests fit at once.
    assert small.held_bytes > 50 * (
        LIMITS.max_body_bytes + LIMITS.max_header_bytes
    )
    assert derive_budget(0, 0) == derive_budget(
        DEFAULT_MEMORY_MB, DEFAULT_DESCRIPTORS
    )
