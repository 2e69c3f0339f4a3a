"""What all requests that a VM forwards share."""

from collections.abc import Callable
from typing import NamedTuple

from prometheus_client import Counter

from _pistachiopond.decisions.shared_retry_budget import SharedRetryBudget
from _pistachiopond.vm.admission import Admitted
from _pistachiopond.vm.fleet import Fleet, ModelRef
from _pistachiopond.vm.hedging import Hedging
from _pistachiopond.vm.model_usage import ModelUsage
from _pistachiopond.vm.pacing import PromptPacing
from _pistachiopond.vm.peer_relays import PeerRelays
from _pistachiopond.vm.server_places import ServerPlaces
from _pistachiopond.vm.server_pools import ServerPools
from _pistachiopond.vm.server_reach import ServerReach
from _pistachiopond.vm.shutdown import Shutdown
from _pistachiopond.vm.stream_origins import StreamOrigins
from _pistachiopond.vm.suspects import Suspects


class ForwardDependencies(NamedTuple):
    """Dependencies shared by all requests.

    Attributes
    ----------
    fleet : Fleet
        The backend servers.
    pools : ServerPools
        Connections to them.
    model_usage : ModelUsage
        Counts the requests that use or wait for a model.
    retries : SharedRetryBudget
        This VM's part of the retry budget.
    refund : callable
        Returns the rate limit tokens of a request that no server has run.
    shutdown : Shutdown
        Ends requests when the process stops.
    model_load_s : callable
        Returns how long it takes to load a model.
    suspects : Suspects
        Requests that may have crashed their servers.
    pacing : PromptPacing
        Spreads prompts over time.
    places : ServerPlaces
        Places at servers that name a rate.
    origins : StreamOrigins
        The software versions at which streams began.
    resumptions : Counter
        Counts resumptions by callers, by outcome and basis.
    resumption_ends : Counter
        Counts what became of the streams that callers took up again.
    reach : ServerReach
        Says which services this VM cannot reach.
    relays : PeerRelays
        Other VMs, which forward requests for such services.
    relayed : Counter
        Requests passed on to other VMs, by outcome.
    hedging : Hedging
        Says which requests may get a second attempt.
    """

    fleet: Fleet
    pools: ServerPools
    model_usage: ModelUsage
    retries: SharedRetryBudget
    refund: Callable[[Admitted], None]
    shutdown: Shutdown
    model_load_s: Callable[[ModelRef], float]
    suspects: Suspects
    pacing: PromptPacing
    places: ServerPlaces
    origins: StreamOrigins
    resumptions: Counter
    resumption_ends: Counter
    reach: ServerReach
    relays: PeerRelays
    relayed: Counter
    hedging: Hedging
