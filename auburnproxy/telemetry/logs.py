"""Logs: short sentences with a prefix for each part."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from loguru import Logger

FORMAT = "{time:HH:mm:ss.SSS} {level:<7} {extra[part]}: {message}{extra[request]}"


def configure_logs(*, level: str = "INFO", json: bool = False) -> None:
    """Send the logs to standard error.

    :param level: lowest level to write
    :param json: whether each line is one JSON object
    """
    logger.remove()
    logger.configure(extra={"part": "daemon", "request": ""})
    logger.add(sys.stderr, level=level, serialize=json, format=FORMAT)


def part(name: str) -> Logger:
    """Return the logger of one part; its name stands before each message.

    :param name: name of the slice
    """
    return logger.bind(part=name)
