"""The states of an ask, and every move between them, in one table.

An *ask* is what a device wants answered, under an id of its own. It is bound to one query of the core at most.
*Held* means that a connection reads it now, *away* that none does. `sessions.py` carries the effects out; the
tests walk the table; nothing else decides what an ask does next.
"""

from __future__ import annotations

from enum import IntEnum


class State(IntEnum):
    RUNNING_HELD = 0  # its query is open, and a connection reads it
    RUNNING_AWAY = 1  # its query is open; nobody reads
    ENDED_HELD = 2  # the final record stands and is being delivered
    ENDED_AWAY = 3  # the final record stands and waits for the device
    BURIED = 4  # acknowledged, or kept too long: only id, digest and final record are left
    FORGOTTEN = 5  # nothing is left; the same id would be a new ask


class Input(IntEnum):
    ATTACH = 0  # a connection claims it
    DETACH = 1  # the connection that reads it has gone
    FINAL = 2  # the core gave its final answer
    CANCEL = 3  # the device wants no answer any more
    LINGERED = 4  # away, or its log full, for as long as it may be
    ACKNOWLEDGED = 5  # the device holds the final record
    KEPT = 6  # an ended ask has waited for its device for as long as it may
    EVICT = 7  # its room is wanted


class Effect(IntEnum):
    SUPERSEDE = 0  # tell the connection that read it until now
    REPLAY = 1  # give the new one what it lacks
    START_LINGER = 2
    STOP_LINGER = 3
    RECORD = 4  # write the final record
    WITHDRAW = 5  # tell the core that the client has gone
    DELIVER = 6  # let the reading connection take what is new
    START_KEEP = 7
    STOP_KEEP = 8
    UNLOAD = 9  # drop the events; the final record stays
    BURY = 10
    FORGET = 11
    REPEAT = 12  # give the final record that stands, once more


S, On, E = State, Input, Effect
Move = tuple[State, tuple[Effect, ...]]

TABLE: dict[tuple[State, Input], Move] = {
    (S.RUNNING_HELD, On.ATTACH): (S.RUNNING_HELD, (E.SUPERSEDE, E.REPLAY)),
    (S.RUNNING_HELD, On.DETACH): (S.RUNNING_AWAY, (E.START_LINGER,)),
    (S.RUNNING_HELD, On.FINAL): (S.ENDED_HELD, (E.STOP_LINGER, E.RECORD, E.DELIVER)),
    (S.RUNNING_HELD, On.CANCEL): (S.ENDED_HELD, (E.STOP_LINGER, E.RECORD, E.WITHDRAW, E.DELIVER)),
    (S.RUNNING_HELD, On.LINGERED): (S.ENDED_HELD, (E.STOP_LINGER, E.RECORD, E.WITHDRAW, E.DELIVER)),
    (S.RUNNING_AWAY, On.ATTACH): (S.RUNNING_HELD, (E.STOP_LINGER, E.REPLAY)),
    (S.RUNNING_AWAY, On.FINAL): (S.ENDED_AWAY, (E.STOP_LINGER, E.RECORD, E.START_KEEP)),
    (S.RUNNING_AWAY, On.CANCEL): (S.ENDED_AWAY, (E.STOP_LINGER, E.RECORD, E.WITHDRAW, E.START_KEEP)),
    (S.RUNNING_AWAY, On.LINGERED): (S.ENDED_AWAY, (E.STOP_LINGER, E.RECORD, E.WITHDRAW, E.START_KEEP)),
    (S.RUNNING_AWAY, On.EVICT): (
        S.ENDED_AWAY,
        (E.STOP_LINGER, E.RECORD, E.WITHDRAW, E.UNLOAD, E.START_KEEP),
    ),
    (S.ENDED_HELD, On.ATTACH): (S.ENDED_HELD, (E.SUPERSEDE, E.REPLAY)),
    (S.ENDED_HELD, On.DETACH): (S.ENDED_AWAY, (E.START_KEEP,)),
    (S.ENDED_HELD, On.CANCEL): (S.ENDED_HELD, (E.REPEAT,)),  # it crossed the final record, which stands
    (S.ENDED_HELD, On.ACKNOWLEDGED): (S.BURIED, (E.BURY,)),
    (S.ENDED_AWAY, On.ATTACH): (S.ENDED_HELD, (E.STOP_KEEP, E.REPLAY)),
    (S.ENDED_AWAY, On.CANCEL): (S.ENDED_AWAY, (E.REPEAT,)),
    (S.ENDED_AWAY, On.ACKNOWLEDGED): (S.BURIED, (E.STOP_KEEP, E.BURY)),
    (S.ENDED_AWAY, On.KEPT): (S.BURIED, (E.STOP_KEEP, E.BURY)),
    (S.ENDED_AWAY, On.EVICT): (S.BURIED, (E.STOP_KEEP, E.BURY)),
    (S.BURIED, On.ATTACH): (S.BURIED, (E.REPEAT,)),
    (S.BURIED, On.CANCEL): (S.BURIED, (E.REPEAT,)),
    (S.BURIED, On.ACKNOWLEDGED): (S.BURIED, ()),  # an acknowledgement sent twice
    (S.BURIED, On.EVICT): (S.FORGOTTEN, (E.FORGET,)),
    (S.BURIED, On.KEPT): (S.FORGOTTEN, (E.FORGET,)),
}

HELD = frozenset({S.RUNNING_HELD, S.ENDED_HELD})
RUNNING = frozenset({S.RUNNING_HELD, S.RUNNING_AWAY})
ENDED = frozenset({S.ENDED_HELD, S.ENDED_AWAY})
