"""Modules that a gateway loads at its start.

Most of the processor time of a start is imports. On a VM with a tenth of a core, each
0.1 s of it delays the return of the router by a second.
"""

import subprocess
import sys

_PRINT_PACKAGES = """
import sys
before = set(sys.modules)
import chicorylead.cli.main, chicorylead.cli.gateway_command
loaded = set(sys.modules) - before
own = {".".join(m.split(".")[:2]) for m in loaded if m.startswith("chicorylead.")}
others = {m.partition(".")[0] for m in loaded} - sys.stdlib_module_names
print(*sorted(own | others - {"chicorylead"}))
"""

EXTERNAL = {
    *("absl", "anyio", "click", "h11", "httptools", "msgspec", "sniffio", "starlette"),
    *("statsd", "typing_extensions", "uvicorn"),
    *("uvloop", "cython_runtime"),
}
OWN = {
    f"chicorylead.{name}"
    for name in (
        *("admission", "application", "cli", "decoding", "errors", "gateway"),
        *("http_client", "http_server", "ids", "log_output", "logs", "metrics"),
        *("outcome", "peer", "platform", "traffic", "upstream", "vm"),
    )
}


def test_a_gateway_loads_only_what_it_runs():
    done = subprocess.run(
        [sys.executable, "-c", _PRINT_PACKAGES],
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
    )
    loaded = {name for name in done.stdout.split() if not name.startswith("_")}
    assert loaded <= EXTERNAL | OWN, loaded - EXTERNAL - OWN
