"""What a client's request says: a hand-in as the decisions know it, and a request written again for another
process. It opens no socket."""

from __future__ import annotations

import re
from datetime import datetime, timedelta
from urllib.parse import parse_qs, urlsplit

from willownotch.journal.records import AcceptedMessage
from willownotch.net import http
from willownotch.net.config import Config

ID = re.compile(r"[\x21-\x7e]{1,128}\Z")
WHOLE = re.compile(r"[0-9]{1,9}\Z")
DEST = re.compile(r"(?:^|[;,\s])dest=([0-9]{1,9})(?:$|[;,\s])")


class RefusedError(ValueError):
    """A request that is none of ours, with the status that says so."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def read_message(head: http.Head, body: bytes, arrived: datetime, config: Config) -> AcceptedMessage:
    """A hand-in as the core knows it. Its time runs from the client's sending, its first byte here."""
    headers, settings = head.headers, config.settings
    ref, name, tenant = (headers.get(h, "") for h in ("request-id", "request-class", "tenant"))
    cls = config.rules.get(name)
    left, idempotency = headers.get("request-timeout-ms", ""), headers.get("idempotency-key")
    dest = DEST.search(headers.get("x-consignee", ""))
    keys = parse_qs(urlsplit(head.target).query).get("thread", [])
    faults = [
        (not ID.match(ref), "Request-Id is missing or unreadable"),
        (cls is None, f"unknown class {name!r}"),
        (
            bool(settings.tenants) and tenant not in [t.name for t in settings.tenants],
            f"unknown tenant {tenant!r}",
        ),
        (not WHOLE.match(left) or int(left) == 0, "Request-Timeout-Ms is not a whole number above 0"),
        (dest is None, "X-Consignee names no dest"),
        (idempotency is not None and not ID.match(idempotency), "Idempotency-Key is unreadable"),
        (len(keys) > 1 or any(len(key) > 256 for key in keys), "more than one key, or too long a one"),
    ]
    for wrong, text in faults:
        if wrong:
            raise RefusedError(400, text)
    return AcceptedMessage(
        ref=ref,
        destination=int(dest[1]),
        message_class=name,
        tenant=tenant,
        ends_at=arrived + timedelta(milliseconds=int(left)),
        key=keys[0] if keys and cls.in_order else None,
        idempotency_key=idempotency,
        is_retry="client-retry" in headers,
        body=body,
        at=arrived,
        rules=cls,
    )


def rewrite_request(head: http.Head, body: bytes, more: bytes) -> bytes:
    """A request as it can be read once more, and what came behind it."""
    framing = ("host", "content-length", "transfer-encoding", "expect", "connection")
    headers = [(name, value) for name, value in head.headers.items() if name not in framing]
    headers += [] if head.keeps_alive() else [("Connection", "close")]
    whole = body if body or head.method == "POST" else None
    return http.write_request(head.method, head.target, head.headers.get("host", ""), headers, whole) + more
