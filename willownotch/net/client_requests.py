"""Reads a hand-in from a client's request, and writes a request again for another process. No I/O."""

from __future__ import annotations

import re
from datetime import datetime, timedelta
from urllib.parse import parse_qs, urlsplit

from willownotch.journal.records import AcceptedMessage
from willownotch.net import http
from willownotch.net.config import Config

ID_PATTERN = re.compile(r"[\x21-\x7e]{1,128}\Z")
TIMEOUT_PATTERN = re.compile(r"[0-9]{1,9}\Z")
DESTINATION_PATTERN = re.compile(r"(?:^|[;,\s])dest=([0-9]{1,9})(?:$|[;,\s])")


class RefusedError(ValueError):
    """A request that cannot be accepted; `status` is the status to answer with."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def read_message(head: http.Head, body: bytes, arrived: datetime, config: Config) -> AcceptedMessage:
    """The message that a request hands in. Its time to deliver counts from the request's first byte.

    Raises `RefusedError` if a header is missing or invalid.
    """
    headers, settings = head.headers, config.settings
    ref, name, tenant = (headers.get(h, "") for h in ("request-id", "request-class", "tenant"))
    rules = config.rules.get(name)
    timeout_ms, idempotency = headers.get("request-timeout-ms", ""), headers.get("idempotency-key")
    destination = DESTINATION_PATTERN.search(headers.get("x-consignee", ""))
    keys = parse_qs(urlsplit(head.target).query).get("thread", [])
    checks = [
        (not ID_PATTERN.match(ref), "Request-Id is missing or unreadable"),
        (rules is None, f"unknown class {name!r}"),
        (
            bool(settings.tenants) and tenant not in [t.name for t in settings.tenants],
            f"unknown tenant {tenant!r}",
        ),
        (
            not TIMEOUT_PATTERN.match(timeout_ms) or int(timeout_ms) == 0,
            "Request-Timeout-Ms is not a whole number above 0",
        ),
        (destination is None, "X-Consignee names no dest"),
        (idempotency is not None and not ID_PATTERN.match(idempotency), "Idempotency-Key is unreadable"),
        (len(keys) > 1 or any(len(key) > 256 for key in keys), "more than one key, or too long a one"),
    ]
    for failed, text in checks:
        if failed:
            raise RefusedError(400, text)
    return AcceptedMessage(
        ref=ref,
        destination=int(destination[1]),
        message_class=name,
        tenant=tenant,
        ends_at=arrived + timedelta(milliseconds=int(timeout_ms)),
        key=keys[0] if keys and rules.in_order else None,
        idempotency_key=idempotency,
        is_retry="client-retry" in headers,
        body=body,
        at=arrived,
        rules=rules,
    )


def rewrite_request(head: http.Head, body: bytes, rest: bytes) -> bytes:
    """The bytes of a request, to be parsed by another process, and `rest`, which came after it."""
    replaced = ("host", "content-length", "transfer-encoding", "expect", "connection")
    headers = [(name, value) for name, value in head.headers.items() if name not in replaced]
    headers += [] if head.keeps_alive() else [("Connection", "close")]
    body_or_none = body if body or head.method == "POST" else None
    return (
        http.write_request(head.method, head.target, head.headers.get("host", ""), headers, body_or_none)
        + rest
    )
