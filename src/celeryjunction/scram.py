"""SCRAM-SHA-256 verifiers in the form that PostgreSQL stores them.

A verifier lets the proxy authenticate a login without knowing the password.
"""

from __future__ import annotations

import base64
import binascii
import re

from scramp import ScramException, ScramMechanism

MIN_ITERATIONS = 4096
"""Minimum iteration count of RFC 7677, and the default of PostgreSQL."""
MAX_ITERATIONS = 1_000_000
"""Clients compute this many hashes at each login; a higher count only slows them."""

_VERIFIER = re.compile(
    r"SCRAM-SHA-256\$([1-9][0-9]{0,8}):([A-Za-z0-9+/=]+)"
    r"\$([A-Za-z0-9+/=]+):([A-Za-z0-9+/=]+)\Z"
)
_KEY_BYTES = 32
_SALT_BYTES = range(12, 65)  # scramp rejects logins with a shorter salt


def make_verifier(
    password: str, *, iterations: int = MIN_ITERATIONS, salt: bytes | None = None
) -> str:
    """Return the verifier of a password, with a random salt unless one is given.

    Raises `ValueError` if the password is empty or contains characters that SASLprep
    prohibits, or if the iteration count or the length of the salt is out of range. The
    message never contains the password.
    """
    if not password:
        raise ValueError("the password is empty")
    if not MIN_ITERATIONS <= iterations <= MAX_ITERATIONS:
        limits = f"from {MIN_ITERATIONS} to {MAX_ITERATIONS}"
        raise ValueError(f"{iterations} iterations are not {limits}")
    if salt is not None and len(salt) not in _SALT_BYTES:
        limits = f"from {_SALT_BYTES[0]} to {_SALT_BYTES[-1]} bytes"
        raise ValueError(f"a salt of {len(salt)} bytes is not {limits}")
    try:
        salt, stored, server, _ = ScramMechanism("SCRAM-SHA-256").make_auth_info(
            password, iteration_count=iterations, salt=salt
        )
    except (ScramException, UnicodeError):
        message = "the password holds characters that SASLprep prohibits"
        raise ValueError(message) from None
    texts = [base64.b64encode(value).decode() for value in (salt, stored, server)]
    return f"SCRAM-SHA-256${iterations}:{texts[0]}${texts[1]}:{texts[2]}"


def verifier_error(verifier: str) -> str | None:
    """Return what is wrong with the format of a verifier, or None.

    The message contains no part of the verifier.
    """
    match = _VERIFIER.match(verifier)
    if match is None:
        return "the value is not a SCRAM-SHA-256 verifier"
    if not MIN_ITERATIONS <= int(match[1]) <= MAX_ITERATIONS:
        return f"the iteration count is not from {MIN_ITERATIONS} to {MAX_ITERATIONS}"
    if _decoded_length(match[2]) not in _SALT_BYTES:
        return f"the salt is not base64 of {_SALT_BYTES[0]} to {_SALT_BYTES[-1]} bytes"
    for name, text in (("stored", match[3]), ("server", match[4])):
        if _decoded_length(text) != _KEY_BYTES:
            return f"the {name} key is not base64 of {_KEY_BYTES} bytes"
    return None


def _decoded_length(text: str) -> int:
    try:
        return len(base64.b64decode(text, validate=True))
    except binascii.Error:
        return -1
