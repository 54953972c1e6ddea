"""Convert refusals to HTTP responses, using the table of error kinds."""

from math import ceil

import msgspec
from starlette.responses import Response

from chicorylead.errors import ErrorKind, Refusal
from chicorylead.ids import RequestId

__all__ = ["error_body", "error_response", "json_response"]


def json_response(body: object, status: int = 200) -> Response:
    """Return a JSON response."""
    return Response(msgspec.json.encode(body), status, media_type="application/json")


def error_body(exc: Refusal, request: RequestId | None = None) -> dict[str, object]:
    """Return the response body for a refusal."""
    body: dict[str, object] = {
        "error": exc.kind.value,
        "run_state": exc.response.run_state.value,
        "detail": exc.detail,
    }
    if request is not None:
        body["request"] = request
    return body


def error_response(exc: Refusal, request: RequestId | None = None) -> Response:
    """Return the HTTP response for a refusal."""
    response = json_response(error_body(exc, request), exc.response.status)
    response.headers["Chicorylead-Run-State"] = exc.response.run_state.value
    retry_after_s = exc.retry_after_s or exc.response.retry_after_s
    if retry_after_s is not None:
        response.headers["Retry-After"] = str(ceil(retry_after_s))
    if exc.kind is ErrorKind.UNAUTHORISED:
        response.headers["WWW-Authenticate"] = 'Basic realm="chicorylead"'
    return response
