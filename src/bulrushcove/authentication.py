"""Authenticates callers by bearer token."""

import hashlib
import hmac

import msgspec

from .configuration import Configuration
from .contract import Contract
from .exceptions import RefusedError

UNAUTHORISED = 401
UNAVAILABLE = 503
# Digests are looked up by prefix, then compared in constant time.
PREFIX_CHARACTERS = 8
BEARER = 'Bearer '
# Does not reveal whether an organisation exists.
UNKNOWN_TOKEN = 'the token is not known'


class _KnownToken(msgspec.Struct, frozen=True):
    sha256: str
    contract: Contract


class TokenIndex:
    """Contracts by token digest, rebuilt when the configuration changes."""

    def __init__(self) -> None:
        """Start without any token."""
        self._revision = -1
        self._by_prefix: dict[str, list[_KnownToken]] = {}

    def find(
        self, configuration: Configuration, authorization: str
    ) -> Contract:
        """Return the contract that the token of ``authorization`` belongs to.

        Raises ``RefusedError`` (401) for an unknown token and (503) while this
        process has no configuration.
        """
        if not configuration.revision:
            raise RefusedError(
                UNAVAILABLE, 'this VM has received no configuration yet'
            )
        if configuration.revision != self._revision:
            self._rebuild(configuration)
        digest = token_digest(authorization)
        for known in self._by_prefix.get(digest[:PREFIX_CHARACTERS], ()):
            if hmac.compare_digest(known.sha256, digest):
                return known.contract
        raise RefusedError(
            UNAUTHORISED,
            UNKNOWN_TOKEN,
            field='Authorization',
            limit='Bearer <token of a contract>',
        )

    def _rebuild(self, configuration: Configuration) -> None:
        self._by_prefix = {}
        for contract in configuration.contracts.values():
            for sha256 in contract.token_sha256:
                same_prefix = self._by_prefix.setdefault(
                    sha256[:PREFIX_CHARACTERS], []
                )
                same_prefix.append(_KnownToken(sha256, contract))
        self._revision = configuration.revision


def token_digest(authorization: str) -> str:
    """Return the sha256 (hex) of the token in an ``Authorization`` header."""
    token = authorization.removeprefix(BEARER)
    return hashlib.sha256(token.encode(errors='surrogateescape')).hexdigest()
