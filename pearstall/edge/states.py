"""The states of an ask and all transitions between them, in one table.

An *ask* is a device's request, identified by an id that the device chooses. It is bound to at most one query of the
core. *Held* means that a connection is reading it, *away* that none is. `sessions.py` carries out the effects and the
tests check the table; no other code decides what happens to an ask next.
"""

from __future__ import annotations

from enum import IntEnum


class State(IntEnum):
    RUNNING_HELD = 0  # its query is open and a connection is reading it
    RUNNING_AWAY = 1  # its query is open and no connection is reading it
    ENDED_HELD = 2  # the final record exists and is being delivered
    ENDED_AWAY = 3  # the final record exists and waits for the device
    BURIED = 4  # it is a tombstone: acknowledged or expired; only id, digest and final record remain
    FORGOTTEN = 5  # nothing remains; the same id would be a new ask


class Input(IntEnum):
    ATTACH = 0  # a connection starts to read it
    DETACH = 1  # the connection that was reading it has closed
    FINAL = 2  # the core has finished the answer
    CANCEL = 3  # the device has cancelled it
    LINGERED = 4  # the linger timer expired: it was away, or its log full, for the longest time allowed
    ACKNOWLEDGED = 5  # the device has acknowledged the final record
    KEPT = 6  # expired: an ended ask or a tombstone has been stored for the longest time allowed
    EVICT = 7  # its memory is needed


class Effect(IntEnum):
    SUPERSEDE = 0  # notify the connection that was reading it
    REPLAY = 1  # send the new connection the records that it lacks
    START_LINGER = 2
    STOP_LINGER = 3
    RECORD = 4  # create the final record
    WITHDRAW = 5  # cancel its query: tell the core that the client has gone
    DELIVER = 6  # notify the reading connection of new records
    START_KEEP = 7
    STOP_KEEP = 8
    UNLOAD = 9  # drop the buffered events; the final record stays
    BURY = 10  # replace it by a tombstone: id, digest and final record
    FORGET = 11
    REPEAT = 12  # return the existing final record again


S, On, E = State, Input, Effect
Transition = tuple[State, tuple[Effect, ...]]

TABLE: dict[tuple[State, Input], Transition] = {
    (S.RUNNING_HELD, On.ATTACH): (S.RUNNING_HELD, (E.SUPERSEDE, E.REPLAY)),
    (S.RUNNING_HELD, On.DETACH): (S.RUNNING_AWAY, (E.START_LINGER,)),
    (S.RUNNING_HELD, On.FINAL): (S.ENDED_HELD, (E.STOP_LINGER, E.RECORD, E.DELIVER)),
    (S.RUNNING_HELD, On.CANCEL): (S.ENDED_HELD, (E.STOP_LINGER, E.RECORD, E.WITHDRAW, E.DELIVER)),
    (S.RUNNING_HELD, On.LINGERED): (S.ENDED_HELD, (E.STOP_LINGER, E.RECORD, E.WITHDRAW, E.DELIVER)),
    (S.RUNNING_AWAY, On.ATTACH): (S.RUNNING_HELD, (E.STOP_LINGER, E.REPLAY)),
    (S.RUNNING_AWAY, On.FINAL): (S.ENDED_AWAY, (E.STOP_LINGER, E.RECORD, E.START_KEEP)),
    (S.RUNNING_AWAY, On.CANCEL): (S.ENDED_AWAY, (E.STOP_LINGER, E.RECORD, E.WITHDRAW, E.START_KEEP)),
    (S.RUNNING_AWAY, On.LINGERED): (S.ENDED_AWAY, (E.STOP_LINGER, E.RECORD, E.WITHDRAW, E.START_KEEP)),
    (S.RUNNING_AWAY, On.EVICT): (S.ENDED_AWAY, (E.STOP_LINGER, E.RECORD, E.WITHDRAW, E.UNLOAD, E.START_KEEP)),
    (S.ENDED_HELD, On.ATTACH): (S.ENDED_HELD, (E.SUPERSEDE, E.REPLAY)),
    (S.ENDED_HELD, On.DETACH): (S.ENDED_AWAY, (E.START_KEEP,)),
    (S.ENDED_HELD, On.CANCEL): (S.ENDED_HELD, (E.REPEAT,)),  # the final record already exists and stays
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
