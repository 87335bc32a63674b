"""Text logs on standard error, with the component's name before each message."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from loguru import Logger

FORMAT = "{time:HH:mm:ss.SSS} {level:<7} {extra[part]}: {message}{extra[request]}"


def configure_logs(*, level: str = "INFO", json: bool = False) -> None:
    """Configure logging to standard error.

    :param level: lowest level that is logged
    :param json: whether to write each message as a JSON object on one line
    """
    logger.remove()
    logger.configure(extra={"part": "daemon", "request": ""})
    logger.add(sys.stderr, level=level, serialize=json, format=FORMAT)


def component_logger(name: str) -> Logger:
    """Return the logger of a component, which prefixes each message with its name.

    :param name: name of the component
    """
    return logger.bind(part=name)
