"""Finds the route, the customer and the service of a request, and its cost."""

from collections.abc import Mapping
from typing import NamedTuple

from _pistachiopond.decisions.rendezvous import score
from _pistachiopond.schema.deployment import CustomerSpec, Deployment, Route

HASH_RANGE = 2.0**64


class RouteTable(NamedTuple):
    """The routes of one version of the configuration.

    Attributes
    ----------
    deployment : Deployment
        That version of the configuration.
    by_host : dict
        The routes of each host, by path prefix.
    """

    deployment: Deployment
    by_host: Mapping[str, Mapping[str, Route]]

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, or None."""
        routes = self.by_host.get(host)
        if routes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def customer_of(self, key: str) -> CustomerSpec | None:
        """Return the customer that the API key belongs to, or None."""
        name = self.deployment.customer_of_key.get(key)
        return None if name is None else self.deployment.customers[name]


def make_route_table(deployment: Deployment) -> RouteTable:
    """Return the route table of a version of the configuration."""
    by_host: dict[str, dict[str, Route]] = {}
    for route in deployment.routes:
        by_host.setdefault(route.host, {})[route.path_prefix] = route
    return RouteTable(deployment, by_host)


def choose_service(route: Route, attempt_id: str) -> str:
    """Return the service for a request, chosen by the weights of the route.

    The choice is a hash of the attempt's ID, so it is the same wherever it is made.
    """
    total = sum(part.weight for part in route.services)
    if len(route.services) == 1 or total <= 0:
        return route.services[0].service
    position = score(attempt_id, route.name) / HASH_RANGE * total
    for part in route.services:
        position -= part.weight
        if position < 0:
            return part.service
    return route.services[-1].service


def urgency_rank(route: Route, customer: CustomerSpec | None) -> int:
    """Return the urgency rank of a request; a customer's overrides the route's."""
    if customer is not None and customer.rank is not None:
        return customer.rank
    return route.urgency_rank


def request_cost(customer: CustomerSpec, tokens: int | None) -> float:
    """Return what a request costs of its customer's rate limit.

    Parameters
    ----------
    customer : CustomerSpec
        The customer, whose limit counts either tokens or requests.
    tokens : int or None
        Prompt and output tokens; None for a request that has no token count.
    """
    if not customer.counts_tokens:
        return 1.0
    return customer.default_tokens if tokens is None else float(tokens)
