"""Salted hashes of passwords."""

import hashlib
import hmac
import secrets

SALT_BYTES = 16
SCRYPT_COST = 16_384
SCRYPT_BLOCK = 8
SCRYPT_LANES = 1


def hash_password(password: str, salt: bytes | None = None) -> str:
    """Return ``salt:hash`` in hex."""
    salt = salt or secrets.token_bytes(SALT_BYTES)
    digest = hashlib.scrypt(
        password.encode(),
        salt=salt,
        n=SCRYPT_COST,
        r=SCRYPT_BLOCK,
        p=SCRYPT_LANES,
    )
    return f'{salt.hex()}:{digest.hex()}'


def is_password(password: str, password_hash: str) -> bool:
    """Return True if the password has this hash."""
    salt = bytes.fromhex(password_hash.partition(':')[0])
    return hmac.compare_digest(hash_password(password, salt), password_hash)
