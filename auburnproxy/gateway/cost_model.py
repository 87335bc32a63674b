"""Predicted times of a replica's requests, from published engine times and its load.

An engine works in passes. A pass writes a few tokens for each stream that has begun and
reads prompts of requests that have not, so a prompt delays the next event of every
stream there. All functions are pure; times are in seconds, sizes in tokens.
"""

from __future__ import annotations

from math import exp, log1p, pi, sqrt
from typing import NamedTuple

from .route import EngineSpec

MAX_EXPONENT = 8.0
"""Deviations from the slots beyond which the doubt about a load makes no difference."""
DEVIATION_SCALE = sqrt(3.0) / pi
"""Scale of a logistic distribution with a standard deviation of 1."""
UNLIMITED_TOKENS = 1e9
"""Prompt tokens that a step reads where no limit is published."""


class EngineTimes(NamedTuple):
    """Processing times of one replica."""

    pass_s: float
    """Time of a pass that writes for no stream."""
    tokens_per_pass: float
    """Tokens that a pass writes for each stream."""
    pass_s_per_stream: float
    """Time that each stream adds to a pass."""
    pass_s_per_held_token: float
    """Time that each token of a stream's context adds to a pass."""
    read_s_per_token: float
    read_s_per_pair: float
    """Time for each pair of a prompt token and an earlier one."""
    read_tokens_per_pass: float
    """Most prompt tokens that a pass reads."""
    slots: float
    """Requests that it processes concurrently."""
    capacity_tokens: float
    """Tokens that its memory holds, 0 if unknown."""
    usual_prompt_tokens: float
    usual_answer_tokens: float
    holding_s: float
    """How long the usual request holds a slot while all are taken."""
    longest_read_s: float
    """Longest time that a pass reads."""


class RequestSize(NamedTuple):
    """What one request brings to a replica, and what its caller expects."""

    prompt_tokens: float = 0.0
    """0 if the caller did not say."""
    answer_tokens: float = 0.0
    """Most tokens that it may write, 0 if the caller did not say."""
    objective_s: float = 0.0
    """Target time to the first event, 0 for none."""
    pause_objective_s: float = 0.0
    """Target for the longest pause between two events, 0 for none."""


class ReplicaLoad(NamedTuple):
    """The requests at a replica, as far as they are known."""

    streams: float
    """Requests that have begun to write."""
    waiting: float
    """Requests that have no event yet."""
    unread_tokens: float
    """Prompt tokens of the requests that have no event yet."""
    held_tokens: float
    """Tokens that all requests need in memory: their prompts and longest answers."""
    deviation: float = 0.0
    """Standard deviation of the number of requests, as reports are not current."""


class Prediction(NamedTuple):
    """Times that are expected if a replica gets a request."""

    first_event_s: float
    """Time to the first event of the request."""
    pause_before_s: float
    """Longest pause of the streams there without the request."""
    pause_s: float
    """Longest pause of the streams there, and of its own, with the request."""


def engine_times(engine: EngineSpec, factor: float, slots: int) -> EngineTimes | None:
    """Return the times of a replica, None if the engine's are not published.

    :param engine: the published parameters of the service's engines
    :param factor: factor on all processing times of the replica
    :param slots: requests that it processes concurrently
    """
    if not (engine.step_s > 0 and engine.prompt_tokens_per_s > 0 and factor > 0):
        return None
    steps, slots = max(engine.tokens_per_event, 1), max(slots, 1)
    pass_s = factor * steps * engine.step_s
    pass_s_per_stream = factor * steps * max(engine.step_per_request_s, 0.0)
    read_tokens = steps * (engine.chunk_tokens or UNLIMITED_TOKENS)
    answer_tokens = max(engine.usual_answer_tokens, 1.0)
    times = EngineTimes(
        pass_s=pass_s,
        tokens_per_pass=steps,
        pass_s_per_stream=pass_s_per_stream,
        pass_s_per_held_token=factor * steps * engine.step_s_per_held_token,
        read_s_per_token=factor / engine.prompt_tokens_per_s,
        read_s_per_pair=factor * engine.read_s_per_pair,
        read_tokens_per_pass=max(read_tokens, 1.0),
        slots=slots,
        capacity_tokens=engine.capacity_tokens,
        usual_prompt_tokens=max(engine.usual_prompt_tokens, 1.0),
        usual_answer_tokens=answer_tokens,
        holding_s=answer_tokens / steps * (pass_s + slots * pass_s_per_stream),
        longest_read_s=0.0,
    )
    return times._replace(longest_read_s=read_s(times, times.read_tokens_per_pass))


def read_s(times: EngineTimes, tokens: float, requests: float = 1.0) -> float:
    """Return the time to read the prompts of some requests of about equal size.

    :param tokens: tokens of all of them
    :param requests: number of requests
    """
    pairs = tokens * tokens / (requests + requests)
    return tokens * times.read_s_per_token + pairs * times.read_s_per_pair


def deviation(times: EngineTimes, requests: float, age_s: float) -> float:
    """Return the standard deviation of a number of requests that was reported earlier.

    As many requests have begun since as have ended.

    :param requests: the number that was reported
    :param age_s: age of the report
    """
    return sqrt(2.0 * requests * age_s / times.holding_s)


def fits(times: EngineTimes, load: ReplicaLoad, request: RequestSize) -> bool:
    """Return whether a replica's memory holds a request beside those it has."""
    needed = load.held_tokens + request.prompt_tokens + request.answer_tokens
    return not times.capacity_tokens or needed <= times.capacity_tokens


def predict(times: EngineTimes, load: ReplicaLoad, request: RequestSize) -> Prediction:
    """Return the times that are expected if a replica gets a request."""
    streams, waiting, unread, held, deviation = load
    slots, limit_s = times.slots, times.longest_read_s
    writing_s = (
        times.pass_s
        + (streams if streams < slots else slots) * times.pass_s_per_stream
        + held * times.pass_s_per_held_token
    )
    tokens = request.prompt_tokens or times.usual_prompt_tokens
    reading_s = tokens * (times.read_s_per_token + tokens * times.read_s_per_pair / 2)
    queued_s = read_s(times, unread, waiting or 1.0) if unread else 0.0
    reading_s += queued_s
    passes = -(-(unread + tokens) // times.read_tokens_per_pass)
    if streams:
        # A pass is half over on average when a request comes.
        passes += 0.5
    excess = streams + waiting + 1.0 - slots
    scale = DEVIATION_SCALE * deviation
    if -MAX_EXPONENT * scale < excess < MAX_EXPONENT * scale:
        excess = scale * log1p(exp(excess / scale))
    wait_s = excess * times.holding_s / slots if excess > 0 else 0.0
    return Prediction(
        passes * writing_s + reading_s + wait_s,
        writing_s + (queued_s if queued_s < limit_s else limit_s),
        writing_s
        + times.pass_s_per_stream
        + (reading_s if reading_s < limit_s else limit_s),
    )
