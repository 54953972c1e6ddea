"""Addresses that callers are told."""

from collections import Counter
from types import SimpleNamespace

from chicorylead.gateway.directory import MAX_ADDRESSES, Directory
from tests.gateway.test_peers import _settings


def _directory(n_peers: int) -> Directory:
    peers = [
        SimpleNamespace(
            beacon=SimpleNamespace(callers=f"10.0.0.{n}:80", is_ready=n != 3)
        )
        for n in range(n_peers)
    ]
    link = SimpleNamespace(live=lambda: peers)
    directory = Directory(_settings(2, 1, 1), link)
    directory.is_ready = True
    return directory


def test_a_caller_is_told_the_same_routers_while_they_are_ready():
    directory = _directory(300)
    told = directory.addresses_for("10.9.0.1")
    assert told == directory.addresses_for("10.9.0.1")
    assert len(told) == MAX_ADDRESSES
    assert not any(address.startswith("10.0.0.3:") for address in told)


def test_all_routers_of_a_large_fleet_get_callers():
    directory = _directory(300)
    load = Counter()
    for caller in range(1000):
        load.update(directory.addresses_for(f"10.9.0.{caller}"))
    assert len(load) == 300
    assert max(load.values()) < 2 * min(load.values())


def test_a_small_fleet_is_told_whole():
    assert len(_directory(5).addresses_for("10.9.0.1")) == 5
