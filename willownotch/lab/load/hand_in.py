"""A hand-in's bytes, as every client of the laboratory sends it."""

from __future__ import annotations

from willownotch.net import http


def request(
    host: str,
    path: str,
    ref: str,
    cls: str,
    tenant: str,
    time_ms: int,
    dest: int,
    key: str | None,
    attempt: int,
    body: bytes,
) -> bytes:
    """One hand-in: `time_ms` is what the message has left, `attempt` counts a client's own retries from 0."""
    headers = [
        ("Request-Id", ref),
        ("Request-Class", cls),
        ("Tenant", tenant),
        ("Request-Timeout-Ms", str(time_ms)),
        ("X-Consignee", f"dest={dest}"),
        ("Idempotency-Key", f"i{ref}"),
    ]
    if attempt:
        headers.append(("Client-Retry", str(attempt)))
    return http.write_request("POST", path if key is None else f"{path}?thread={key}", host, headers, body)
