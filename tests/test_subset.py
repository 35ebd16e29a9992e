"""The subset of servers that a router uses: it changes only by the servers that joined or left, and
reports drains at once."""

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


def test_subsets_have_the_given_size_and_servers_get_similar_numbers_of_routers() -> None:
    used: Counter[str] = Counter()
    for router in range(200):
        update = Subset(20, f"r{router}").take(HostList(hosts(100, 2)), True)
        assert len(update.hosts) == 20 and Counter(host.zone for host in update.hosts) == {"z0": 10, "z1": 10}
        used.update(host.name for host in update.hosts)
    assert len(used) == 100 and max(used.values()) < 2 * 40 and min(used.values()) > 40 / 2


def test_a_server_that_joins_replaces_one_which_then_drains() -> None:
    subset = Subset(5, "r")
    first = {host.name for host in subset.take(HostList(hosts(40)), True).hosts}
    gone = min(first)
    (left, replacement) = sorted(
        subset.take(HostList([Host(gone, status="gone")]), False).hosts, key=lambda h: h.status
    )
    assert (
        (left.name, left.status) == (gone, "gone") and replacement.name not in first and replacement.status == "ready"
    )
    update = subset.take(HostList([host for host in hosts(40) if host.name == gone]), False).hosts
    assert {(host.name, host.status) for host in update} == {(gone, "ready"), (replacement.name, "draining")}
    assert not subset.take(
        HostList([next(host for host in hosts(40) if host.name not in subset.announced)]), False
    ).hosts


@cut_settings
@given(st.lists(st.tuples(st.integers(0, 29), st.sampled_from(["ready", "draining", "gone"])), max_size=40))
def test_the_updates_add_up_to_the_subset_for_any_changes(changes: list[tuple[int, str]]) -> None:
    subset, all = Subset(6, "r"), hosts(30, 3)
    announced = {host.name: host for host in subset.take(HostList(all), True).hosts}
    listed = {host.name: host for host in all}
    for number, status in changes:
        host = replace(all[number], status=status)
        before = subset.chosen()
        update = subset.take(HostList([host]), False)
        listed.pop(host.name, None) if status == "gone" else listed.update({host.name: host})
        for one in update.hosts:
            announced.pop(one.name, None) if one.status == "gone" else announced.update({one.name: one})
        assert len(announced) <= 6 + 3 + 6  # the subset, the rounding per zone, and servers that have left it
        assert announced == subset.announced and announced.keys() <= listed.keys()
        ready = {name for name, one in announced.items() if one.status == "ready"}
        assert ready == subset.chosen() and len(ready) >= min(6, sum(h.status == "ready" for h in listed.values()))
        assert len(before ^ ready) <= 2 * 3  # a zone's share may change by one, and no other server moves
        if status == "draining" and host.name in announced:
            assert announced[host.name].status == "draining"  # a drain is reported at once
