"""Names of the histograms, counters and gauges."""

from __future__ import annotations

from enum import StrEnum


class Measure(StrEnum):
    """A duration that is recorded in a histogram."""

    QUEUE_WAIT = "queue_wait"
    """From arrival to dispatch."""
    FIRST_CHUNK = "first_chunk"
    """From arrival to the first chunk of a stream."""
    BETWEEN_CHUNKS = "between_chunks"
    """Between two consecutive chunks."""
    WHOLE_ANSWER = "whole_answer"
    """From arrival to the end of the response."""


class Counter(StrEnum):
    """An event that is counted."""

    ANSWERED = "answered"
    """Calls with a complete response."""
    REFUSED = "refused"
    """Refused calls, by refusal code."""
    UNKNOWN = "unknown"
    """Calls that ended with an unknown outcome, by code."""
    CANCELLED = "cancelled"
    """Calls whose caller disconnected."""
    RESUMED = "resumed"
    """Streams that were resumed at another replica."""
    RETRIED = "retried"
    """Second and later attempts of repeatable calls."""
    FORWARDED = "forwarded"
    """Calls forwarded to another daemon."""
    RETRY_DENIED = "retry_denied"
    """Retries that the retry budget did not allow, by failure of the last attempt."""
    CLOSED_CALLERS = "closed_callers"
    """Connections of callers that were closed for a limit, by limit."""
    STORE_CALL = "store_call"
    """Calls to the store, by topic; the code is the operation and its outcome."""


class Gauge(StrEnum):
    """A value that is read whenever the metrics are requested."""

    CONFIGURATION_VERSION = "configuration_version"
    CONFIGURATION_AGE = "configuration_age_seconds"
    """Time since the configuration came into force at this daemon."""
    RECORDS_AGE = "records_age_seconds"
    """Time since the last successful read, by topic."""
    STORE_ERA = "store_era"
    """Era of the store, which increases when it is restored from an older copy."""
    STORE_ERA_CHANGES = "store_era_changes"
    """Number of era changes since the daemon started."""
    HOSTS = "hosts"
    """Registered hosts by service."""
    REPLICAS = "replicas"
    """Recorded replicas by model and standing."""
    SPARES = "spares"
    """Hosts outside any replica that hold a model's weights, by model."""
    DAEMONS = "daemons"
    """Other daemons whose heartbeats are received."""
    PROMPT_PARTS = "prompt_parts"
    """Prompt parts that are suspected of crashing engines, or blocked, by state."""
    UPSTREAM_LIMITS = "upstream_limits"
    """Upstream processes that have named a limit of requests a second."""
    UPSTREAM_LIMITS_PER_S = "upstream_limits_per_second"
    """Sum of these limits."""
    FACTS_DROPPED = "facts_dropped"
    """Facts of other daemons that were dropped since the start, as too many."""
    IN_FLIGHT = "in_flight"
    """Callers' requests in progress."""
    CONNECTIONS = "connections"
    """Open connections of callers."""
    UNREAD_BYTES = "unread_bytes"
    """Bytes of answers that callers have not taken."""
    RETRIES_LEFT = "retries_left"
    """Retries that the retry budget currently allows, by service."""
