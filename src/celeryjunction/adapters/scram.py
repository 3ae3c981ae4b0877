"""SCRAM-SHA-256 logins against stored verifiers, using scramp and pg-mimic.

A verifier has PostgreSQL's format, which does not contain the password:
``SCRAM-SHA-256$<iterations>:<salt>$<stored key>:<server key>``, the last three in
base64.
"""

from __future__ import annotations

import hashlib
import hmac
from base64 import b64decode, b64encode
from typing import NamedTuple

from pg_mimic import messages
from pg_mimic.auth import AuthPlugin, IdentityProvider
from pg_mimic.stream import PgStream
from scramp import ScramException, ScramMechanism

from celeryjunction.errors import ErrorKind, ProxyError

MECHANISM = "SCRAM-SHA-256"
ITERATIONS = 4096
"""PostgreSQL's default number of iterations, also shown to unknown users."""

_KEY_BYTES = 32


class Verifier(NamedTuple):
    """The parts of a stored verifier."""

    salt: bytes
    stored_key: bytes
    server_key: bytes
    iterations: int

    @classmethod
    def parse(cls, text: str) -> Verifier:
        """Parse PostgreSQL's format; raises ValueError without quoting the text."""
        try:
            mechanism, iterations_and_salt, keys = text.split("$")
            iterations, salt = iterations_and_salt.split(":")
            stored_key, server_key = keys.split(":")
            verifier = cls(
                b64decode(salt, validate=True),
                b64decode(stored_key, validate=True),
                b64decode(server_key, validate=True),
                int(iterations),
            )
        except ValueError:
            raise ValueError("malformed SCRAM verifier") from None
        if mechanism != MECHANISM or {
            len(verifier.stored_key),
            len(verifier.server_key),
        } != {_KEY_BYTES}:
            raise ValueError("malformed SCRAM verifier")
        return verifier

    @classmethod
    def fake(cls, user: str, secret: bytes) -> Verifier:
        """Return a verifier that matches no password, always the same for a user."""

        def derive(label: bytes) -> bytes:
            return hmac.digest(secret, label + user.encode(), hashlib.sha256)

        return cls(derive(b"salt:")[:16], derive(b"key:"), derive(b"srv:"), ITERATIONS)

    def __str__(self) -> str:
        salt, stored, server = (b64encode(part).decode() for part in self[:3])
        return f"{MECHANISM}${self.iterations}:{salt}${stored}:{server}"


class ScramAuthPlugin(AuthPlugin):
    """The server side of one SCRAM-SHA-256 exchange against a verifier."""

    def __init__(self, verifier: Verifier) -> None:
        self._verifier = verifier

    async def authenticate(
        self,
        stream: PgStream,
        username: str,
        identity_provider: IdentityProvider | None,
    ) -> bool:
        """Run the exchange; return False if the password is wrong.

        Raises `ProxyError` for messages that do not belong to the exchange.
        """
        server = ScramMechanism(MECHANISM).make_server(lambda _user: self._verifier)
        stream.write(messages.make_authentication_sasl([MECHANISM]))
        await stream.drain()
        client_first = _initial_response((await stream.read_message())[1])
        try:
            _set_client_first(server, client_first)
            reply = server.get_server_first().encode()
            stream.write(messages.make_authentication_sasl_continue(reply))
            await stream.drain()
            client_final = _decode((await stream.read_message())[1])
            server.set_client_final(client_final)
            final = server.get_server_final().encode()
        except ScramException:
            return False
        stream.write(messages.make_authentication_sasl_final(final))
        return True


def _violation(reason: str) -> ProxyError:
    return ProxyError(ErrorKind.PROTOCOL_VIOLATION, {"reason": reason})


def _decode(payload: bytes) -> str:
    try:
        return payload.decode()
    except UnicodeDecodeError:
        raise _violation("SASL message is not valid UTF-8") from None


def _initial_response(payload: bytes) -> str:
    """Return the client-first message of a SASLInitialResponse."""
    mechanism, separator, rest = payload.partition(b"\x00")
    if not separator or mechanism != MECHANISM.encode():
        raise _violation(f"the only authentication mechanism is {MECHANISM}")
    if len(rest) < 4 or int.from_bytes(rest[:4], "big") != len(rest) - 4:
        raise _violation("malformed SASLInitialResponse")
    return _decode(rest[4:])


def _set_client_first(server: object, client_first: str) -> None:
    """Pass the client-first message to scramp, filling in an empty user name.

    libpq leaves the name empty because the startup message has it, but scramp refuses
    an empty name. The signatures cover the message as the client sent it, so the
    original text is restored afterwards.
    """
    head, separator, rest = client_first.partition(",n=,")
    if not separator:
        server.set_client_first(client_first)
        return
    server.set_client_first(f"{head},n=user,{rest}")
    server.client_first_bare = f"n=,{rest}"
