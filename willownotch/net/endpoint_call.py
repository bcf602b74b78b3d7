"""One call to a host: its request is written on a new connection, which is then read to its end."""

from __future__ import annotations

import socket
from collections.abc import Callable, Hashable
from datetime import datetime

from willownotch.net import sockets
from willownotch.net.answer_reading import MIN_SOCKET_TIMEOUT, AnswerReader
from willownotch.net.answer_stream import Answer, AnswerStream, Ending, Evidence
from willownotch.net.attempts import Relay
from willownotch.net.clock import Clock, millis, seconds
from willownotch.net.log import Log


class EndpointCall:
    """A request on a new connection, and what was read behind it.

    The fields are set by `run`. `sent`: all of the request was written; otherwise it was not executed.
    """

    def __init__(self, relays: list[Relay], sock: socket.socket, clock: Clock, log: Log) -> None:
        self.relays, self.sock, self.clock, self.log = relays, sock, clock, log
        self.stream = AnswerStream(optional=(b"server-load",))
        self.reader = AnswerReader(sock, self.stream, clock)
        self.sent = False
        self.ending = Ending.OPEN
        self._sent_at = clock.now()

    def run(self, request: list[bytes], attend: Callable[[datetime], datetime]) -> None:
        """Write the request, which is taken out of its list to free the memory, and read to the end.

        `attend` as in `AnswerReader.read_to_end`.
        """
        try:
            left = attend(self.clock.now()) - self.clock.now()
            self.sock.settimeout(seconds(max(MIN_SOCKET_TIMEOUT, left)))
            sockets.send_all(self.sock, request.pop())
        except OSError:
            return
        self.sent, self._sent_at = True, self.clock.now()
        self.ending = self.reader.read_to_end(attend, self._is_awaited)

    def _is_awaited(self) -> bool:
        """Whether a relay is still waited for; else `EndpointSide.cancel` shuts the connection down."""
        return any(relay.is_awaited() for relay in self.relays)

    def evidence(self, meaning: Callable[[Answer], Hashable]) -> Evidence:
        """What the connection proves of the call; counted, and logged if it is not one plain answer."""
        found = self.stream.evidence(self.ending, meaning)
        repeated = found is Evidence.ANSWERED and len(self.stream.answers) > 1
        self.log.counters.add("endpoint answer", "repeated" if repeated else found.value)
        if repeated or found not in (Evidence.ANSWERED, Evidence.NO_ANSWER):
            self._say("repeated" if repeated else found.value)
        return found

    def _say(self, found: str) -> None:
        """Log what came on the connection, which had carried no call before this one."""
        relay, statuses = self.relays[0], [answer.head.status for answer in self.stream.answers]
        self.log.say(
            "answer",
            f"{found}: {relay.host.name} on {relay.message.ref} attempt {relay.number}, statuses "
            f"{statuses}, {self.stream.damage or self.ending.value}, last byte "
            f"{millis(self.reader.last_byte_at - self._sent_at)} ms behind the call, "
            f"first line {self.stream.first_line()}",
        )
