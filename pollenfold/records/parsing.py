"""Parses JSON records into frozen data classes, and describes invalid fields."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from expression import Error, Ok, Result
from pydantic import ValidationError

from ..core.configuration import Spec
from ..core.errors import ErrorKind, Failure
from ..core.records import RecordKind
from .models import LATEST_SCHEMA_VERSION, SPEC_MODELS, EnvelopeModel

MAX_RECORD_BYTES = 64 * 1024
"""Well below the size of a frame, since a record must fit into one frame on its way to
replicas and entries."""


@dataclass(frozen=True, slots=True)
class ParsedRecord:
    """A valid record: its fields as written, and its ``core.records`` spec.

    ``unknown_fields`` names the fields that this process doesn't know; they are kept
    in ``fields``.
    """

    kind: RecordKind
    name: str
    version: int
    fields: dict[str, Any]
    spec: Spec
    unknown_fields: tuple[str, ...]

    def encode(self) -> bytes:
        """Return the record as canonical JSON."""
        return encode_fields(self.fields)


def encode_fields(fields: dict[str, Any]) -> bytes:
    """Return the fields as JSON with sorted keys, the form in which they are stored.

    A retry may order the keys differently and is still the same record.
    """
    return json.dumps(fields, sort_keys=True, separators=(",", ":")).encode()


def parse_record(
    data: bytes, *, is_stored: bool = False
) -> Result[ParsedRecord, Failure]:
    """Parse one record; ``BAD_RECORD`` names the field, its value and the expected one.

    ``is_stored`` accepts a later schema version, which a newer control replica may
    have stored, and reads the fields that this process knows.
    """
    fields = _load_object(data)
    if fields.is_error():
        return Error(fields.error)
    return parse_fields(fields.ok, is_stored=is_stored)


def parse_fields(
    fields: dict[str, Any], *, is_stored: bool = False
) -> Result[ParsedRecord, Failure]:
    """Parse one record that is already decoded from JSON; see ``parse_record``."""
    readable = dict(fields)
    schema_version = fields.get("schema_version")
    if is_stored and type(schema_version) is int:
        readable["schema_version"] = min(schema_version, LATEST_SCHEMA_VERSION)
    try:
        envelope = EnvelopeModel.model_validate(readable)
    except ValidationError as error:
        return Error(Failure(ErrorKind.BAD_RECORD, _describe_error(error, "")))
    kind = RecordKind(envelope.kind)
    try:
        model = SPEC_MODELS[kind, envelope.schema_version].model_validate(envelope.spec)
    except ValidationError as error:
        return Error(Failure(ErrorKind.BAD_RECORD, _describe_error(error, "spec")))
    unknown = [*(envelope.model_extra or {}), *_unknown_names(model, "spec")]
    return Ok(
        ParsedRecord(
            kind,
            envelope.name,
            envelope.version,
            fields,
            model.to_spec(envelope.name, envelope.version),
            tuple(unknown),
        )
    )


def _load_object(data: bytes) -> Result[dict[str, Any], Failure]:
    if len(data) > MAX_RECORD_BYTES:
        detail = f"got {len(data)} bytes, expected at most {MAX_RECORD_BYTES}"
        return Error(Failure(ErrorKind.BAD_RECORD, detail))
    try:
        value = json.loads(data, parse_constant=_reject_constant)
    except RecursionError:
        detail = "got nested values, expected fewer levels"
        return Error(Failure(ErrorKind.BAD_RECORD, detail))
    except ValueError as error:
        detail = f"got {_shorten(data)}, expected a JSON object: {error}"
        return Error(Failure(ErrorKind.BAD_RECORD, detail))
    if not isinstance(value, dict):
        detail = f"got {_shorten(data)}, expected a JSON object"
        return Error(Failure(ErrorKind.BAD_RECORD, detail))
    return Ok(value)


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not a JSON number")


def _unknown_names(model: Any, prefix: str) -> list[str]:
    names = [f"{prefix}.{name}" for name in model.model_extra or {}]
    for index, rule in enumerate(getattr(model, "rules", [])):
        names += _unknown_names(rule, f"{prefix}.rules.{index}")
    return names


def _describe_error(error: ValidationError, prefix: str) -> str:
    """Return the field, the value and the expected value of the first error."""
    first = error.errors(include_url=False)[0]
    field = ".".join(
        str(part) for part in ([prefix] if prefix else []) + [*first["loc"]]
    )
    message = first["msg"]
    for start in ("Input should be ", "Value error, "):
        message = message.removeprefix(start)
    if first["type"] == "missing":
        return f"{field}: missing, expected a value"
    return f"{field or 'record'}: got {_shorten(first['input'])}, expected {message}"


def _shorten(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= 80 else text[:77] + "..."
