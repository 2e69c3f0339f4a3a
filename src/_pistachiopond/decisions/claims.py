"""The record by which a VM claims the lead."""

from typing import NamedTuple

from _pistachiopond.schema.store_position import StorePosition, fencing_token


class Claim(NamedTuple):
    """The newest claim.

    Attributes
    ----------
    position : StorePosition
        The offset of its record, in the era that its writer knew.
    leader : str
        The name of the VM.
    incarnation : str
        The incarnation of the process that claimed.
    address : str
        The address at which other VMs reach it.
    earlier_holders : tuple of str or None
        The VMs that may have sent orders shortly before this claim, before or after
        another VM did; None if unknown, as in claims of builds that do not tell.
    """

    position: StorePosition
    leader: str
    incarnation: str
    address: str
    earlier_holders: tuple[str, ...] | None = None

    @property
    def fence(self) -> int:
        """The fencing token."""
        return fencing_token(self.position)
