"""OpenAPI document of the HTTP interface for callers."""

from typing import Any

__all__ = ["OPENAPI"]

Node = dict[str, Any]


def _header(name: str, text: str) -> Node:
    return {
        "name": name,
        "in": "header",
        "required": False,
        "schema": {"type": "string"},
        "description": text,
    }


def _path(name: str) -> Node:
    return {"name": name, "in": "path", "required": True, "schema": {"type": "string"}}


_ERROR = {"$ref": "#/components/schemas/Error"}
_JSON_ERROR = {"content": {"application/json": {"schema": _ERROR}}}
_ERRORS = {
    status: {"description": text, **_JSON_ERROR}
    for status, text in {
        "400": "Malformed; not run",
        "401": "Credential missing or wrong; not run",
        "403": "No contract for this operation; not run",
        "404": "No such service or operation; not run",
        "409": "Idempotency key in use or outcome unknown",
        "413": "Body too large; not run",
        "422": "Refused for its content; not run",
        "429": "Queue full; not run; see Retry-After",
        "502": "Upstream failed; it may have run",
        "503": "Not run; see Retry-After",
        "504": "Upstream too slow; it may have run",
    }.items()
}
_BODY = {
    "required": True,
    "content": {"application/json": {"schema": {"type": "object"}}},
}
_ANSWER = {"description": "The whole answer", "content": {"application/json": {}}}
_STREAM = {
    "description": "The whole answer, or events when text/event-stream is accepted",
    "content": {"application/json": {}, "text/event-stream": {}},
}
_SECURITY = [{"basic": []}, {"bearer": []}]


def _call(summary: str, answer: Node, headers: list[Node]) -> Node:
    return {
        "post": {
            "summary": summary,
            "security": _SECURITY,
            "parameters": [_path("service"), _path("operation"), *headers],
            "requestBody": _BODY,
            "responses": {"200": answer, **_ERRORS},
        }
    }


_KEY = _header("Idempotency-Key", "Makes a non-idempotent request run at most once")
_NEW_HEADERS = [
    _KEY,
    _header("Chicorylead-Deadline-Ms", "Time in which the answer is wanted"),
    _header("Chicorylead-Cost-Hint", "The caller's estimate of the cost"),
    _header("Chicorylead-Class", "short or long"),
    _header("Chicorylead-Request-Id", "Id by which the request can be cancelled"),
]

OPENAPI: Node = {
    "openapi": "3.1.0",
    "info": {"title": "chicorylead, callers' interface", "version": "2"},
    "paths": {
        "/v1/address": {
            "get": {
                "summary": "Routers to use, in order, and how long to keep them",
                "parameters": [
                    {"name": "zone", "in": "query", "schema": {"type": "string"}}
                ],
                "responses": {"200": {"description": "Addresses"}},
            }
        },
        "/v1/{service}/{operation}": _call("Old form", _ANSWER, [_KEY]),
        "/v2/{service}/{operation}": _call("New form", _STREAM, _NEW_HEADERS),
        "/v2/requests/{id}": {
            "delete": {
                "summary": "Cancel a request of the same organisation",
                "security": _SECURITY,
                "parameters": [_path("id")],
                "responses": {"200": {"description": "Cancelled"}, **_ERRORS},
            }
        },
        "/v2/outcomes/{service}/{key}": {
            "get": {
                "summary": "What became of an idempotency key",
                "security": _SECURITY,
                "parameters": [_path("service"), _path("key")],
                "responses": {"200": {"description": "Outcome"}, **_ERRORS},
            }
        },
    },
    "components": {
        "securitySchemes": {
            "basic": {"type": "http", "scheme": "basic"},
            "bearer": {"type": "http", "scheme": "bearer"},
        },
        "schemas": {
            "Error": {
                "type": "object",
                "required": ["error", "run_state", "detail"],
                "properties": {
                    "error": {"type": "string"},
                    "run_state": {"enum": ["not_run", "ran", "unknown"]},
                    "detail": {"type": "string"},
                    "request": {"type": "string"},
                },
            }
        },
    },
}
