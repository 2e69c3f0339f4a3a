"""The unexpected exceptions that the product has contained during a test.

The plugin ``testing.plugins.unexpected_errors`` fails each test that leaves one here.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

from _pistachiopond.observe import containment

contained_errors: Final[list[tuple[str, BaseException]]] = []


def observe(kind: containment.ContainedKind, error: BaseException) -> None:
    """Keep an exception that the product has contained."""
    contained_errors.append((kind, error))


containment.observers.append(observe)


@contextmanager
def expected_errors() -> Iterator[list[tuple[str, BaseException]]]:
    """Return a list of the exceptions contained within the block, as no failures."""
    before = len(contained_errors)
    found: list[tuple[str, BaseException]] = []
    try:
        yield found
    finally:
        found += contained_errors[before:]
        del contained_errors[before:]
