"""The dispatcher's state of one request, and the estimate of its cost in tokens."""

from typing import Final, final

from _pistachiopond.decisions.dispatch_types import RequestFacts
from _pistachiopond.schema.verdict import Verdict

OUTPUT_LENGTH_SMOOTHING: Final = 0.05
INITIAL_OUTPUT_ESTIMATE_TOKENS: Final = 200.0
MIN_COST_TOKENS: Final = 1.0


@final
class Request:
    """A request that is queued, waits for its retry delay, or runs.

    `server` is the backend server that runs the request, or None while no server
    does.
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
        """Record that the next attempt starts on the server."""
        self.attempt += 1
        self.server = server
        self.started_s = now_s
        self.progress_s = None
        self.generated_tokens = 0
        self.unreachable_since_s = None
        self.was_suspect = is_suspect
        self.tried.append(server)

    def used_tokens(self, *, is_complete: bool) -> float:
        """Return the prompt and output tokens that the running attempt has used.

        The prompt counts once the first token has come or the attempt is complete.
        """
        used = float(self.generated_tokens)
        if is_complete or self.progress_s is not None:
            used += self.facts.prompt_tokens
        return used


@final
class OutputEstimates:
    """Moving averages of each model's output length, in tokens."""

    def __init__(self) -> None:
        self._mean_output_tokens: dict[str | None, float] = {}

    def cost_tokens(self, facts: RequestFacts) -> float:
        """Return the expected prompt and output tokens of a request."""
        if facts.model is None:
            return MIN_COST_TOKENS
        mean_tokens = self._mean_output_tokens.get(
            facts.model, INITIAL_OUTPUT_ESTIMATE_TOKENS
        )
        return facts.prompt_tokens + min(float(facts.max_tokens), mean_tokens)

    def learn(self, model: str | None, generated_tokens: int) -> None:
        """Update the model's average with the length of a complete response."""
        mean_tokens = self._mean_output_tokens.get(
            model, INITIAL_OUTPUT_ESTIMATE_TOKENS
        )
        step = OUTPUT_LENGTH_SMOOTHING * (generated_tokens - mean_tokens)
        self._mean_output_tokens[model] = mean_tokens + step
