"""Bytes of the configuration in the platform's store: msgpack, compressed."""

import zlib

import msgspec

from .configuration import Configuration
from .exceptions import ConfigurationError

# The platform's values are limited to one megabyte.
MAX_ENCODED_BYTES = 1_000_000
MAX_DECODED_BYTES = 67_108_864

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Configuration)


def encode_configuration(configuration: Configuration) -> bytes:
    """Return the bytes that the store keeps.

    Raises ``ConfigurationError`` when they are over the store's limit.
    """
    encoded = zlib.compress(_encoder.encode(configuration))
    if len(encoded) > MAX_ENCODED_BYTES:
        raise ConfigurationError(
            f'configuration of {len(encoded)} bytes is over the limit '
            f'of {MAX_ENCODED_BYTES}',
        )
    return encoded


def decode_configuration(encoded: bytes) -> Configuration:
    """Return the configuration in ``encoded``.

    Raises ``ConfigurationError`` when it is damaged.
    """
    inflater = zlib.decompressobj()
    try:
        packed = inflater.decompress(encoded, MAX_DECODED_BYTES)
    except zlib.error as exc:
        raise ConfigurationError(f'stored configuration: {exc}') from exc
    if not inflater.eof:
        raise ConfigurationError('stored configuration is cut or too large')
    try:
        return _decoder.decode(packed)
    except msgspec.DecodeError as exc:
        raise ConfigurationError(f'stored configuration: {exc}') from exc
