"""What the system measures of the calls that it serves."""

from __future__ import annotations

from enum import StrEnum


class Measure(StrEnum):
    """A duration that a histogram holds."""

    QUEUE_WAIT = "queue_wait"
    """From arrival to dispatch."""
    FIRST_CHUNK = "first_chunk"
    """From arrival to the first chunk of a stream."""
    BETWEEN_CHUNKS = "between_chunks"
    """Between one chunk and the next."""
    WHOLE_ANSWER = "whole_answer"
    """From arrival to the end of the answer."""


class Counter(StrEnum):
    """An event that is counted."""

    ANSWERED = "answered"
    """Calls answered whole."""
    REFUSED = "refused"
    """Calls refused, by the refusal's code."""
    UNKNOWN = "unknown"
    """Calls that ended without a known outcome, by code."""
    CANCELLED = "cancelled"
    """Calls whose caller went away."""
    RESUMED = "resumed"
    """Streams that went on at another replica."""
    RETRIED = "retried"
    """Second and later tries of repeatable calls."""
    FORWARDED = "forwarded"
    """Calls handed to another daemon."""
    RETRY_DENIED = "retry_denied"
    """Tries that the bound on resends did not allow, by the last try's failure."""
    STORE_CALL = "store_call"
    """Calls to the store by topic; the code is the kind and the outcome."""


class Gauge(StrEnum):
    """A value that is read when somebody asks for the metrics."""

    CONFIGURATION_VERSION = "configuration_version"
    CONFIGURATION_AGE = "configuration_age_seconds"
    """Since the configuration came into force here."""
    RECORDS_AGE = "records_age_seconds"
    """Since the newest answered reading, by topic."""
    STORE_ERA = "store_era"
    """Era of the store, which rises when it comes back from an older copy."""
    STORE_ERA_CHANGES = "store_era_changes"
    """How often that happened since the start."""
    HOSTS = "hosts"
    """Registered hosts by service."""
    REPLICAS = "replicas"
    """Recorded replicas by model and standing."""
    SPARES = "spares"
    """Hosts in no replica that hold a model's weights, by model."""
    DAEMONS = "daemons"
    """Other daemons that are heard."""
    IN_FLIGHT = "in_flight"
    """Callers' requests that are being answered."""
    RETRIES_LEFT = "retries_left"
    """Tries that the bound on resends allows now, by service."""
