"""Encodes the configuration for the store as zlib-compressed msgpack."""

import zlib

import msgspec

from .configuration import Configuration
from .exceptions import ConfigurationError

# The platform's store limits a value to one megabyte.
MAX_ENCODED_BYTES = 1_000_000
MAX_DECODED_BYTES = 67_108_864

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Configuration)


def encode_configuration(configuration: Configuration) -> bytes:
    """Return ``configuration`` as a value for the store.

    Raises ``ConfigurationError`` if it is over the store's size limit.
    """
    encoded = zlib.compress(_encoder.encode(configuration))
    if len(encoded) > MAX_ENCODED_BYTES:
        raise ConfigurationError(
            f'configuration of {len(encoded)} bytes is over the limit '
            f'of {MAX_ENCODED_BYTES}',
        )
    return encoded


def decode_configuration(encoded: bytes) -> Configuration:
    """Return the configuration in a value of the store.

    Raises ``ConfigurationError`` if it is corrupt or too large.
    """
    decompressor = zlib.decompressobj()
    try:
        packed = decompressor.decompress(encoded, MAX_DECODED_BYTES)
    except zlib.error as exc:
        raise ConfigurationError(f'stored configuration: {exc}') from exc
    if not decompressor.eof:
        raise ConfigurationError(
            'stored configuration is truncated or too large'
        )
    try:
        return _decoder.decode(packed)
    except msgspec.DecodeError as exc:
        raise ConfigurationError(f'stored configuration: {exc}') from exc
