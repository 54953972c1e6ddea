"""Check credentials of callers and operators."""

import base64
import binascii
import hmac
from hashlib import sha256

from chicorylead.errors import ErrorKind, Refusal
from chicorylead.ids import OrganisationId
from chicorylead.records.store import RecordStore

__all__ = ["check_operator", "organisation_of", "token_digest"]

MAX_CREDENTIAL_LENGTH = 1024


def token_digest(token: str) -> str:
    """Return the SHA-256 digest of a credential, in hex, as records store it."""
    return sha256(token.encode()).hexdigest()


def organisation_of(authorization: str | None, store: RecordStore) -> OrganisationId:
    """Return the organisation that a credential belongs to.

    Args:
        authorization: `Bearer TOKEN`, or `Basic` with the organisation as user
            and the token as password.
        store: Records in force.

    Raises:
        Refusal: UNAUTHORISED if the credential is missing, malformed or unknown.
    """
    user, token = _parse(authorization)
    organisation = store.organisation_of_token(token_digest(token))
    if organisation is None or (user is not None and user != organisation):
        raise Refusal(ErrorKind.UNAUTHORISED, "the credential is unknown")
    return organisation


def check_operator(authorization: str | None, operator_token: str) -> None:
    """Check the credential of an operator.

    Raises:
        Refusal: UNAUTHORISED if the credential is missing, malformed or wrong.
    """
    _, token = _parse(authorization)
    if not hmac.compare_digest(token.encode(), operator_token.encode()):
        raise Refusal(ErrorKind.UNAUTHORISED, "the operator credential is wrong")


def _parse(authorization: str | None) -> tuple[str | None, str]:
    if not authorization or len(authorization) > MAX_CREDENTIAL_LENGTH:
        raise Refusal(ErrorKind.UNAUTHORISED, "no credential was given")
    scheme, _, value = authorization.partition(" ")
    match scheme.lower():
        case "bearer":
            return None, value.strip()
        case "basic":
            return _parse_basic(value.strip())
    raise Refusal(ErrorKind.UNAUTHORISED, f"unknown scheme {scheme[:20]!r}")


def _parse_basic(value: str) -> tuple[str, str]:
    try:
        user, colon, token = (
            base64.b64decode(value, validate=True).decode().partition(":")
        )
    except (binascii.Error, UnicodeDecodeError):
        raise Refusal(
            ErrorKind.UNAUTHORISED, "the credential is not Base64-encoded text"
        ) from None
    if not colon:
        raise Refusal(ErrorKind.UNAUTHORISED, "the credential has no password")
    return user, token
