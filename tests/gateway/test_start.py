"""Modules that a gateway loads at its start.

Most of the processor time of a start is imports. On a VM with a tenth of a core, each
0.1 s of it delays the return of the router by a second.
"""

import subprocess
import sys
from pathlib import Path

RUN = Path(__file__).parents[2] / "deploy" / "run.py"
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
        *(
            "http_chunks",
            "http_client",
            "http_protocol",
            "http_server",
            "ids",
            "log_output",
        ),
        *("logs", "memory", "metrics", "outcome", "peer", "platform"),
        *("traffic", "upstream", "vm"),
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


_RECORD_SIGHUP = """
import runpy, signal, sys, types

class Recorder(types.ModuleType):
    def __getattr__(self, name):
        if name == "main":
            print(signal.getsignal(signal.SIGHUP).name)
            return lambda: None
        raise AttributeError(name)

sys.modules["chicorylead.cli.main"] = Recorder("chicorylead.cli.main")
runpy.run_path(sys.argv[1], run_name="__main__")
"""


# Guards against a process that ends as its settings change while it is starting.
def test_a_router_ignores_sighup_before_it_loads_its_modules():
    done = subprocess.run(
        [sys.executable, "-c", _RECORD_SIGHUP, str(RUN)],
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
    )
    assert done.stdout.strip() == "SIG_IGN"
