"""One request in the dispatcher, and how much work it is expected to be."""

from typing import Final, final

from _pistachiopond.decisions.dispatch_types import RequestFacts
from _pistachiopond.schema.verdict import Verdict

OUTPUT_SMOOTHING: Final = 0.05
FIRST_OUTPUT_GUESS_TOKENS: Final = 200.0
MIN_COST_TOKENS: Final = 1.0


@final
class Request:
    """A request that has not been answered yet.

    It waits or is delayed while `server` is None, and runs there otherwise.
    """

    def __init__(self, facts: RequestFacts, now_s: float) -> None:
        self.facts = facts
        self.arrived_s = now_s
        self.attempt = 0
        self.server: str | None = None
        self.started_s = 0.0
        self.progress_s: float | None = None
        self.generated_tokens = 0
        self.cost_tokens = MIN_COST_TOKENS
        self.verdict = Verdict.NOT_RUN
        self.tried: list[str] = []
        self.not_before_s = now_s
        self.unreachable_since_s: float | None = None
        self.was_suspect = False

    def begin(self, server: str, now_s: float, *, is_suspect: bool) -> None:
        """Note that the next attempt starts on the server."""
        self.attempt += 1
        self.server = server
        self.started_s = now_s
        self.progress_s = None
        self.generated_tokens = 0
        self.unreachable_since_s = None
        self.was_suspect = is_suspect
        self.tried.append(server)

    def used_tokens(self, *, is_over: bool) -> float:
        """Return what the running attempt has used of the servers."""
        used = float(self.generated_tokens)
        if is_over or self.progress_s is not None:
            used += self.facts.prompt_tokens
        return used


@final
class OutputEstimates:
    """The smoothed length of each model's answers, in tokens."""

    def __init__(self) -> None:
        self._usual_tokens: dict[str | None, float] = {}

    def cost_tokens(self, facts: RequestFacts) -> float:
        """Return the expected work of a request, in tokens."""
        if facts.model is None:
            return MIN_COST_TOKENS
        usual = self._usual_tokens.get(facts.model, FIRST_OUTPUT_GUESS_TOKENS)
        return facts.prompt_tokens + min(float(facts.max_tokens), usual)

    def learn(self, model: str | None, generated_tokens: int) -> None:
        """Take the length of a whole answer into account."""
        usual = self._usual_tokens.get(model, FIRST_OUTPUT_GUESS_TOKENS)
        step = OUTPUT_SMOOTHING * (generated_tokens - usual)
        self._usual_tokens[model] = usual + step
