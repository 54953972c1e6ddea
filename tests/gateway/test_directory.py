"""Choice of the router addresses that a caller gets."""

from collections import Counter
from types import SimpleNamespace

from chicorylead.gateway.directory import MAX_ADDRESSES, Directory
from tests.gateway.test_peers import _settings


def _directory(n_serving: int) -> Directory:
    addresses = [f"10.0.0.{n}:80" for n in range(n_serving)]
    return Directory(
        _settings(2, 1, 1), SimpleNamespace(addresses=lambda: list(addresses))
    )


def test_a_caller_gets_the_same_ready_routers_each_time():
    directory = _directory(300)
    addresses = directory.addresses_for("10.9.0.1")
    assert addresses == directory.addresses_for("10.9.0.1")
    assert len(addresses) == MAX_ADDRESSES


def test_callers_are_spread_over_all_serving_routers():
    directory = _directory(300)
    load = Counter()
    for caller in range(1000):
        load.update(directory.addresses_for(f"10.9.0.{caller}"))
    assert len(load) == 300
    assert max(load.values()) < 2 * min(load.values())


def test_few_serving_routers_are_listed_completely():
    assert len(_directory(5).addresses_for("10.9.0.1")) == 5
