"""The reference of settings, made from their types."""

import inspect
import re
from collections.abc import Iterator

import msgspec
from msgspec import Struct

from chicorylead.settings import RouterSettings

__all__ = ["settings_page"]

_FIELD = re.compile(r"^ {4}(\w+): (.*)$")
_HEAD = """# Settings of a router

Made by `chicorylead settings reference` from the types that check them. A gateway on
the users' platform has no settings of its own: it reads the platform's file, which
`chicorylead settings check FILE.json` checks.
"""


def settings_page() -> str:
    """Return the page, in Markdown."""
    sections = "\n".join(_section(RouterSettings, ""))
    return f"{_HEAD}\n{sections}\n"


def _section(kind: type[Struct], prefix: str) -> Iterator[str]:
    texts = _descriptions(kind)
    summary = (inspect.getdoc(kind) or "").partition("\n")[0]
    yield f"## `{prefix.rstrip('.')}`\n" if prefix else "## Top level\n"
    yield f"{summary}\n"
    yield "| field | default | meaning |\n|---|---|---|"
    nested = []
    for field in msgspec.structs.fields(kind):
        inner = _struct_of(field.type)
        if inner is not None:
            nested.append((inner, f"{prefix}{field.encode_name}."))
            continue
        meaning = texts.get(field.name, "")
        yield f"| `{field.encode_name}` | {_default(field)} | {meaning} |"
    yield ""
    for inner, path in nested:
        yield from _section(inner, path)


def _descriptions(kind: type[Struct]) -> dict[str, str]:
    """Return what the documentation of a class says of each field."""
    texts: dict[str, str] = {}
    name = ""
    for line in (inspect.getdoc(kind) or "").partition("Attributes:\n")[2].split("\n"):
        found = _FIELD.match(line)
        if found is not None:
            name = found[1]
            texts[name] = found[2]
        elif name and line.strip():
            texts[name] += " " + line.strip()
    return texts


def _struct_of(kind: object) -> type[Struct] | None:
    return kind if isinstance(kind, type) and issubclass(kind, Struct) else None


def _default(field: msgspec.structs.FieldInfo) -> str:
    if field.default is not msgspec.NODEFAULT:
        return f"`{field.default!r}`"
    if field.default_factory is not msgspec.NODEFAULT:
        return f"`{field.default_factory()!r}`"
    return "required"
