"""Generate the settings reference from the types of the settings."""

import inspect
import re
from collections.abc import Iterator

import msgspec
from msgspec import Struct

from chicorylead.settings import RouterSettings

__all__ = ["settings_page"]

_FIELD = re.compile(r"^ {4}(\w+): (.*)$")
_HEADER = """# Settings of a router

Made by `chicorylead settings reference` from the types that check them. A gateway on
the users' platform has no settings of its own: it reads the platform's file, which
`chicorylead settings check FILE.json` checks.
"""


def settings_page() -> str:
    """Return the settings reference in Markdown."""
    sections = "\n".join(_section(RouterSettings, ""))
    return f"{_HEADER}\n{sections}\n"


def _section(struct_type: type[Struct], prefix: str) -> Iterator[str]:
    texts = _descriptions(struct_type)
    summary = (inspect.getdoc(struct_type) or "").partition("\n")[0]
    yield f"## `{prefix.rstrip('.')}`\n" if prefix else "## Top level\n"
    yield f"{summary}\n"
    yield "| field | default | meaning |\n|---|---|---|"
    nested = []
    for field in msgspec.structs.fields(struct_type):
        inner = _struct_of(field.type)
        if inner is not None:
            nested.append((inner, f"{prefix}{field.encode_name}."))
            continue
        meaning = texts.get(field.name, "")
        yield f"| `{field.encode_name}` | {_default(field)} | {meaning} |"
    yield ""
    for inner, path in nested:
        yield from _section(inner, path)


def _descriptions(struct_type: type[Struct]) -> dict[str, str]:
    """Return the description of each field, taken from the class's doc string."""
    texts: dict[str, str] = {}
    name = ""
    for line in (
        (inspect.getdoc(struct_type) or "").partition("Attributes:\n")[2].split("\n")
    ):
        found = _FIELD.match(line)
        if found is not None:
            name = found[1]
            texts[name] = found[2]
        elif name and line.strip():
            texts[name] += " " + line.strip()
    return texts


def _struct_of(type_: object) -> type[Struct] | None:
    return type_ if isinstance(type_, type) and issubclass(type_, Struct) else None


def _default(field: msgspec.structs.FieldInfo) -> str:
    if field.default is not msgspec.NODEFAULT:
        return f"`{field.default!r}`"
    if field.default_factory is not msgspec.NODEFAULT:
        return f"`{field.default_factory()!r}`"
    return "required"
