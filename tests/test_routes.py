"""Tests of the route table and of the split of a route between services."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from crankhinge.decisions import CallerLimits, Route, RouteKind, RouteTable, ServiceWeight

CALLER_LIMITS = CallerLimits(16384, 65536, 3.0, 15.0)


def make_route(name: str, host: str, prefix: str, *split: ServiceWeight) -> Route:
    """Return a route of a host and path prefix, split between services by weight."""
    weights = split or (ServiceWeight("s", 1.0),)
    return Route(name, host, prefix, RouteKind.ONCE, 1.0, 0.1, 1, 1, False, weights)


def make_table(*routes: Route) -> RouteTable:
    """Return a route table with these routes."""
    return RouteTable(1, routes, {}, CALLER_LIMITS)


class TestMatch:
    """Which route of the table a request gets."""

    def test_longest_prefix_of_the_host_wins(self) -> None:
        """Routes of other hosts do not match, even with a longer path prefix."""
        routes = make_table(
            make_route("short", "h", "/a/"),
            make_route("long", "h", "/a/b/"),
            make_route("other", "g", "/a/b/c/"),
        )
        for path, name in (("/a/x", "short"), ("/a/b/x", "long"), ("/a/b/c/x", "long")):
            found = routes.match("h", path)
            assert found is not None
            assert found.name == name

    def test_host_is_compared_without_port_and_case(self) -> None:
        """A Host header may contain a port and capital letters."""
        routes = make_table(make_route("r", "h.example", "/a/"))
        assert routes.match("H.Example:8080", "/a/") is not None
        assert routes.match("h.example.org", "/a/") is None

    def test_path_without_matching_prefix_has_no_route(self) -> None:
        """The host has routes, but none whose path prefix matches."""
        routes = make_table(make_route("r", "h", "/a/"))
        assert routes.match("h", "/ab") is None
        assert routes.match("h", "/a") is None

    @given(st.lists(st.text("ab/", max_size=4), max_size=6), st.text("ab/", max_size=8))
    def test_match_agrees_with_a_search_of_all_routes(self, prefixes: list[str], path: str) -> None:
        """The result is the longest of all path prefixes that match."""
        routes = make_table(*(make_route(p, "h", p) for p in prefixes))
        matching = [prefix for prefix in prefixes if path.startswith(prefix)]
        found = routes.match("h", path)
        assert (found.prefix if found else None) == max(matching, key=len, default=None)


class TestTrafficSplit:
    """Which of the services of a route gets a request."""

    def test_service_is_picked_by_weight(self) -> None:
        """The services divide the range of random numbers from 0 to 1 by their weights."""
        route = make_route("r", "h", "/", ServiceWeight("a", 90), ServiceWeight("b", 10))
        assert [route.pick_service(draw) for draw in (0.0, 0.89, 0.91, 0.999)] == [
            "a",
            "a",
            "b",
            "b",
        ]

    def test_service_of_weight_zero_gets_no_request(self) -> None:
        """Operators set the weight to 0 to take a service out of the route."""
        route = make_route("r", "h", "/", ServiceWeight("a", 0), ServiceWeight("b", 1))
        assert {route.pick_service(n / 10) for n in range(10)} == {"b"}
