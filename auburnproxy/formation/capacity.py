"""What a replica bears within the objectives of its callers, by the published times.

A replica works in passes: each produces one event for every running request, and reads
the prompts that have arrived since the last one. A request waits for the end of a pass,
is read in the next, and gets its first event at the end of that.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from ..gateway.route import EngineSpec, ModelSpec


class StreamObjective(NamedTuple):
    """What the callers of a route expect of a stream; 0 where nothing is expected."""

    first_event_s: float
    pause_s: float


def first_event_s(
    engine: EngineSpec, model: ModelSpec, running: int, *, slowdown: float = 1.0
) -> float:
    """Return the time to the first event for the last of some running requests.

    :param engine: the published times
    :param model: the replica's model
    :param running: requests at the replica, with the new one
    :param slowdown: factor on all times
    """
    scale = model.pace * slowdown
    events_s = scale * engine.tokens_per_event * _step_s(engine, running)
    prompt_s = scale * _prompt_s(engine)
    return pause_s(engine, model, running, slowdown=slowdown) + prompt_s + events_s


def pause_s(
    engine: EngineSpec, model: ModelSpec, running: int, *, slowdown: float = 1.0
) -> float:
    """Return the time between two events of a stream, in which prompts are read.

    :param engine: the published times
    :param model: the replica's model
    :param running: requests at the replica
    :param slowdown: factor on all times
    """
    events_s = engine.tokens_per_event * _step_s(engine, running)
    events = max(engine.usual_answer_tokens / max(engine.tokens_per_event, 1), 1.0)
    # Each request that ends is followed by another one, whose prompt is read.
    return model.pace * slowdown * (events_s + _prompt_s(engine) * running / events)


def bearable_requests(
    engine: EngineSpec,
    model: ModelSpec,
    objective: StreamObjective,
    *,
    slowdown: float = 1.0,
) -> int:
    """Return how many requests a replica can run at once within an objective.

    :param engine: slots and published times
    :param model: the replica's model
    :param objective: what callers expect
    :param slowdown: factor on all times
    :return: at most the slots; 0 if even a single request would be late
    """
    for running in range(engine.slots, 0, -1):
        first = first_event_s(engine, model, running, slowdown=slowdown)
        pause = pause_s(engine, model, running, slowdown=slowdown)
        if _within(first, objective.first_event_s) and _within(
            pause, objective.pause_s
        ):
            return running
    return 0


def replica_capacity(
    engine: EngineSpec, model: ModelSpec, objectives: Iterable[StreamObjective]
) -> int:
    """Return how many requests a replica bears within the objectives it can meet.

    Routes name no model. An objective that a model misses even with a single request
    is taken to belong to the routes of another one.

    :param engine: slots and published times
    :param model: the replica's model
    :param objectives: those of all routes of its service
    :return: 0 if it meets none; the slots if there are none
    """
    found = [bearable_requests(engine, model, each) for each in objectives]
    if not found:
        return engine.slots
    return min((count for count in found if count), default=0)


def _step_s(engine: EngineSpec, running: int) -> float:
    return engine.step_s + running * engine.step_per_request_s


def _prompt_s(engine: EngineSpec) -> float:
    if engine.prompt_tokens_per_s <= 0:
        return 0.0
    return engine.usual_prompt_tokens / engine.prompt_tokens_per_s


def _within(time_s: float, objective_s: float) -> bool:
    return not objective_s or time_s <= objective_s
