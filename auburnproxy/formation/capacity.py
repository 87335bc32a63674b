"""What a replica bears within the objectives of its callers, by the published times.

A replica works in passes: each produces one event for every running request, and reads
the prompts that have arrived since the last one. A request waits for the end of a pass,
is read in the next, and gets its first event at the end of that.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from ..gateway.cost_model import EngineTimes, engine_times, read_s
from ..gateway.route import EngineSpec, ModelSpec


class StreamObjective(NamedTuple):
    """What the callers of a route expect of a stream; 0 where nothing is expected."""

    first_event_s: float
    pause_s: float


def first_event_s(times: EngineTimes, running: int) -> float:
    """Return the time to the first event for the last of some running requests.

    :param times: times of the replica
    :param running: requests at the replica, with the new one
    """
    prompt_s = read_s(times, times.usual_prompt_tokens)
    return pause_s(times, running) + prompt_s + _pass_s(times, running)


def pause_s(times: EngineTimes, running: int) -> float:
    """Return the time between two events of a stream, in which prompts are read.

    :param times: times of the replica
    :param running: requests at the replica
    """
    events = max(times.usual_answer_tokens / times.tokens_per_pass, 1.0)
    # Each request that ends is followed by another one, whose prompt is read.
    prompts_s = read_s(times, times.usual_prompt_tokens) * running / events
    return _pass_s(times, running) + prompts_s


def bearable_requests(
    engine: EngineSpec, model: ModelSpec, objective: StreamObjective
) -> int:
    """Return how many requests a replica can run at once within an objective.

    :param engine: slots and published times
    :param model: the replica's model
    :param objective: what callers expect
    :return: at most the slots, which count where no times are published; 0 if even a
        single request would be late
    """
    times = engine_times(engine, model.pace, engine.slots)
    if times is None:
        return engine.slots
    for running in range(engine.slots, 0, -1):
        if _within(first_event_s(times, running), objective.first_event_s) and _within(
            pause_s(times, running), objective.pause_s
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


def _pass_s(times: EngineTimes, running: int) -> float:
    return times.pass_s + running * times.pass_s_per_stream


def _within(time_s: float, objective_s: float) -> bool:
    return not objective_s or time_s <= objective_s
