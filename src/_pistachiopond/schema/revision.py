"""The current configuration, folded from the log's ``config`` stream."""

from typing import NamedTuple

from _pistachiopond.schema.manifest import Manifest


class Revision(NamedTuple):
    """One accepted configuration.

    Attributes
    ----------
    number : int
        The log offset of the manifest's record plus 1, so that 0 means none.
    manifest : Manifest
        The manifest as published.
    withdrawn_digests : frozenset of str
        Key digests that are refused even where the manifest lists them.
    covers_offset : int
        The last offset of the stream that has been applied; -1 for none.
    """

    number: int
    manifest: Manifest
    withdrawn_digests: frozenset[str]
    covers_offset: int
