"""Opens connections to endpoints on the line protocol: `EndpointDialer`."""

from __future__ import annotations

import asyncio

from celeryjunction.adapters.line_stream import LineStream
from celeryjunction.adapters.pipelined_link import LinkCounts, PipelinedLink
from celeryjunction.errors import ConnectionLost
from celeryjunction.platform.answer_parser import AnswerParser
from celeryjunction.platform.wire import FAULTS_BY_CODE, encode_command, parse_status
from celeryjunction.ports import Clock
from celeryjunction.replication.ports import (
    Answer,
    EndpointInfo,
    EndpointRefused,
    EndpointStatus,
    Fault,
)


class LineDialer:
    """Implements `EndpointDialer`.

    `client_name` is the name that the CONNECT message to endpoints gives on connections
    without an owner.
    """

    def __init__(self, *, client_name: str, clock: Clock) -> None:
        self._client_name = client_name.encode()
        self._clock = clock
        self.connections_opened = 0
        """Connections opened since the start."""
        self.counts = LinkCounts()

    async def connect(
        self, endpoint: EndpointInfo, *, timeout: float, owner: str = ""
    ) -> PipelinedLink:
        """Open a connection and wait until the endpoint is ready for statements.

        CONNECT gives the name of `owner`, or of this VM without one.

        Raises `EndpointRefused` if the endpoint answers with an error, and
        `ConnectionLost` if it can't be reached within `timeout` seconds.
        """
        stream: LineStream | None = None
        try:
            async with asyncio.timeout(timeout):
                loop = asyncio.get_running_loop()
                _, stream = await loop.create_connection(
                    LineStream, endpoint.host, endpoint.port
                )
                fields = (
                    endpoint.group.encode(),
                    owner.encode() or self._client_name,
                    endpoint.id.encode(),
                )
                stream.write(b"CONNECT %b %b %b\r\n" % fields)
                line = await stream.read_line()
        except TimeoutError:
            _abort(stream)
            raise ConnectionLost("silent", sent=False) from None
        except (OSError, OverflowError, UnicodeError) as error:
            _abort(stream)
            reason = type(error).__name__
            raise ConnectionLost(reason, sent=False) from None
        except BaseException:
            _abort(stream)
            raise
        self._check_ready(stream, line)
        self.connections_opened += 1
        return PipelinedLink(
            stream,
            endpoint=endpoint.id,
            encode=encode_command,
            parser=AnswerParser(greeting=line or b""),
            opened_at=self._clock.monotonic(),
            counts=self.counts,
            owner=owner,
        )

    @staticmethod
    def _check_ready(stream: LineStream, line: bytes | None) -> None:
        tag, _, rest = (line or b"").partition(b" ")
        if tag == b"READY":
            return
        _abort(stream)
        if tag != b"ERROR":
            raise ConnectionLost("closed while connecting", sent=False)
        code, _, text = rest.partition(b" ")
        fault = FAULTS_BY_CODE.get(code, Fault.OTHER)
        raise EndpointRefused(fault, text.decode("latin-1"))

    def status(self, answer: Answer) -> EndpointStatus | None:
        """Decode the answer to a status command; None if it holds no status."""
        if answer.fault is not None or not answer.rows:
            return None
        return parse_status(answer.rows[0])


def _abort(stream: LineStream | None) -> None:
    if stream is not None:
        stream.abort()
