"""Schema versions of records: validation and conversion to the model.

The log holds records of old and new schemas. A record is kept as it was published,
unknown fields included, and is converted to the model when it is read.
"""

from typing import Any

import msgspec
from msgspec import Struct, field

from chicorylead.errors import ErrorKind, Refusal
from chicorylead.records.model import (
    Contract,
    Model,
    Organisation,
    Policy,
    RecordKind,
    Service,
    Upstream,
)

__all__ = ["NEWEST_SCHEMA", "Record", "decode_record", "to_model"]

NEWEST_SCHEMA = 2
MAX_NAME_LENGTH = 128

Spec = dict[str, Any]


class Record(Struct, frozen=True, kw_only=True):
    """A configuration record as published.

    Attributes:
        kind: One of the record kinds, as text so that newer kinds are preserved.
        schema: Schema version of `spec`.
        name: Name, unique within the kind.
        spec: Content, as the schema defines it.
        deleted: Whether this record removes the name.
        publish_id: Id that the publisher gave to this change.
        if_version: Offset of the version that it replaces, 0 if there is none; None
            replaces any version.
    """

    kind: str
    schema: int
    name: str
    spec: Spec = field(default_factory=dict)
    deleted: bool = False
    publish_id: str = ""
    if_version: int | None = None

    @property
    def key(self) -> tuple[str, str]:
        """Return the kind and name, which identify the record."""
        return (self.kind, self.name)


def decode_record(data: bytes | str) -> Record:
    """Decode one record.

    Raises:
        Refusal: BAD_REQUEST, naming the invalid field.
    """
    try:
        return msgspec.json.decode(data, type=Record)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise Refusal(ErrorKind.BAD_REQUEST, f"record: {exc}") from exc


def to_model(record: Record) -> Model:
    """Convert a record to its model.

    Raises:
        Refusal: SCHEMA_UNKNOWN for a kind or schema that this version does not
            support, BAD_REQUEST for invalid content.
    """
    if not record.name or len(record.name) > MAX_NAME_LENGTH:
        raise Refusal(
            ErrorKind.BAD_REQUEST,
            f"{record.kind}: name must have 1 to {MAX_NAME_LENGTH} characters",
        )
    kind = _parse_kind(record)
    model_type, upgrade = _CONVERTERS[kind]
    if not 1 <= record.schema <= NEWEST_SCHEMA:
        raise Refusal(
            ErrorKind.SCHEMA_UNKNOWN,
            f"{record.kind} {record.name!r}: unknown schema {record.schema}; "
            f"known are 1 to {NEWEST_SCHEMA}",
        )
    try:
        spec = upgrade(record.spec) if record.schema == 1 else record.spec
        return msgspec.convert({**spec, "name": record.name}, model_type)
    except (
        msgspec.ValidationError,
        AttributeError,
        KeyError,
        TypeError,
        ValueError,
    ) as exc:
        reason = f"field {exc} is missing" if isinstance(exc, KeyError) else exc
        raise Refusal(
            ErrorKind.BAD_REQUEST, f"{record.kind} {record.name!r}: {reason}"
        ) from exc


def _parse_kind(record: Record) -> RecordKind:
    try:
        return RecordKind(record.kind)
    except ValueError:
        known = ", ".join(kind.value for kind in RecordKind)
        raise Refusal(
            ErrorKind.SCHEMA_UNKNOWN,
            f"unknown record kind {record.kind!r}; known are {known}",
        ) from None


def _organisation_v1(spec: Spec) -> Spec:
    return {**spec, "token_sha256": [spec["token_sha256"]]}


def _contract_v1(spec: Spec) -> Spec:
    reach = [{"service": name} for name in spec["services"]]
    return {**spec, "reach": reach}


def _service_v1(spec: Spec) -> Spec:
    once = set(spec.get("non_idempotent", ()))
    key_field = spec.get("key_field")
    operations = {
        name: {"idempotent": name not in once, "key_field": key_field}
        for name in spec["operations"]
    }
    return {**spec, "operations": operations}


def _upstream_v1(spec: Spec) -> Spec:
    host, _, port = spec["address"].rpartition(":")
    return {**spec, "host": host, "port": int(port), "window": spec.get("slots", 8)}


def _policy_v1(spec: Spec) -> Spec:
    return spec


_CONVERTERS = {
    RecordKind.ORGANISATION: (Organisation, _organisation_v1),
    RecordKind.CONTRACT: (Contract, _contract_v1),
    RecordKind.SERVICE: (Service, _service_v1),
    RecordKind.UPSTREAM: (Upstream, _upstream_v1),
    RecordKind.POLICY: (Policy, _policy_v1),
}
