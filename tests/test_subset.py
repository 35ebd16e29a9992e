"""Which servers a router uses: a part that moves by just what came or went, and tells drains at once."""

from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from pearstall.net.inventory import Host, HostList
from pearstall.net.subset import Subset
from tests.net_support import cut_settings


def hosts(count: int, zones: int = 1) -> list[Host]:
    return [Host(f"s{n}", f"127.0.0.1:{n + 1}", f"z{n % zones}") for n in range(count)]


def test_parts_are_like_in_size_and_servers_get_a_like_number_of_routers() -> None:
    used: Counter[str] = Counter()
    for router in range(200):
        told = Subset(20, f"r{router}").take(HostList(hosts(100, 2)), True)
        assert len(told.hosts) == 20 and Counter(host.zone for host in told.hosts) == {"z0": 10, "z1": 10}
        used.update(host.name for host in told.hosts)
    assert len(used) == 100 and max(used.values()) < 2 * 40 and min(used.values()) > 40 / 2


def test_a_server_that_comes_takes_the_place_of_one_which_drains_in_peace() -> None:
    part = Subset(5, "r")
    first = {host.name for host in part.take(HostList(hosts(40)), True).hosts}
    gone = min(first)
    (left, came) = sorted(part.take(HostList([Host(gone, status="gone")]), False).hosts, key=lambda h: h.status)
    assert (left.name, left.status) == (gone, "gone") and came.name not in first and came.status == "ready"
    news = part.take(HostList([host for host in hosts(40) if host.name == gone]), False).hosts
    assert {(host.name, host.status) for host in news} == {(gone, "ready"), (came.name, "draining")}
    assert not part.take(HostList([next(host for host in hosts(40) if host.name not in part.told)]), False).hosts


@cut_settings
@given(st.lists(st.tuples(st.integers(0, 29), st.sampled_from(["ready", "draining", "gone"])), max_size=40))
def test_what_is_told_adds_up_to_the_part_whatever_comes(changes: list[tuple[int, str]]) -> None:
    part, all = Subset(6, "r"), hosts(30, 3)
    held = {host.name: host for host in part.take(HostList(all), True).hosts}
    listed = {host.name: host for host in all}
    for number, status in changes:
        host = replace(all[number], status=status)
        before = part.chosen()
        news = part.take(HostList([host]), False)
        listed.pop(host.name, None) if status == "gone" else listed.update({host.name: host})
        for one in news.hosts:
            held.pop(one.name, None) if one.status == "gone" else held.update({one.name: one})
        assert len(held) <= 6 + 3 + 6  # the part, a zone's rounding, and those that have left it
        assert held == part.told and held.keys() <= listed.keys()
        ready = {name for name, one in held.items() if one.status == "ready"}
        assert ready == part.chosen() and len(ready) >= min(6, sum(h.status == "ready" for h in listed.values()))
        assert len(before ^ ready) <= 2 * 3  # a zone's share may shift by one, and no more moves than that
        if status == "draining" and host.name in held:
            assert held[host.name].status == "draining"  # such news is never held back
