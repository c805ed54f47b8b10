"""Salted password hashes, made with scrypt."""

import hashlib
import hmac
import secrets

SALT_BYTES = 16
SCRYPT_COST = 16_384
SCRYPT_BLOCK_SIZE = 8
SCRYPT_PARALLELISM = 1


def hash_password(password: str, salt: bytes | None = None) -> str:
    """Return ``salt:hash`` in hex.

    :param salt: salt to use; a new random one if None.
    """
    salt = salt or secrets.token_bytes(SALT_BYTES)
    digest = hashlib.scrypt(
        password.encode(),
        salt=salt,
        n=SCRYPT_COST,
        r=SCRYPT_BLOCK_SIZE,
        p=SCRYPT_PARALLELISM,
    )
    return f'{salt.hex()}:{digest.hex()}'


def is_correct_password(password: str, password_hash: str) -> bool:
    """Return True if the password has this hash.

    :param password_hash: ``salt:hash`` in hex.
    """
    salt = bytes.fromhex(password_hash.partition(':')[0])
    return hmac.compare_digest(hash_password(password, salt), password_hash)
