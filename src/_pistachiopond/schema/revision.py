"""The configuration in force, as the fold of the log's ``config`` stream."""

from typing import NamedTuple

from _pistachiopond.schema.manifest import Manifest


class Revision(NamedTuple):
    """One accepted configuration.

    Attributes
    ----------
    number : int
        1 more than the log offset of the manifest's record, so that 0 means none.
    manifest : Manifest
        As published.
    withdrawn_digests : frozenset of str
        Key digests that are refused even where the manifest lists them.
    covers_offset : int
        The last offset of the stream that has been taken into account; -1 for none.
    """

    number: int
    manifest: Manifest
    withdrawn_digests: frozenset[str]
    covers_offset: int
