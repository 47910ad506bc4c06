"""The learned speed of one engine.

Prefill is measured as service rate: computed prompt tokens over the time in
which any prompt was being computed. This includes the time that the engine
spends on decoding in between, which a new request has to wait for as well.
"""

import math
import time
from typing import Final

# Busy time after which an old measurement weighs 1/e.
MEMORY_S: Final = 5.0
# Smaller measurements are dominated by the engine's iteration time.
MIN_SAMPLE_S: Final = 0.001
MIN_SAMPLE_TOKENS: Final = 2048
MIN_PEAK_TOKENS: Final = 4096
PEAK_DECAY: Final = 0.95
DECODE_WEIGHT: Final = 0.05
OUTPUT_WEIGHT: Final = 0.05


class Rates:
    """Prefill rate, decode interval and usual output of one engine."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._busy_s = 0.0
        self._peak = 0.0
        self._outstanding = 0
        self._mark = 0.0
        self._sample_tokens = 0
        self.decode_s = 0.0
        self.output_share = 1.0
        self.computed_tokens = 0

    @property
    def prefill_tokens_per_s(self) -> float:
        """The measured prefill rate; zero before the first measurement."""
        if self._busy_s < MIN_SAMPLE_S:
            return 0
        return self._tokens / self._busy_s

    @property
    def peak_tokens_per_s(self) -> float:
        """The highest recent rate, for work that has the engine alone."""
        return max(self._peak, self.prefill_tokens_per_s)

    def prefill_started(self) -> float:
        """Note that a prompt, or a step of one, was given to the engine.

        Returns the time of the start, which `prefill_ended` takes.
        """
        if not self._outstanding:
            self._restart_sample()
        self._outstanding += 1
        return time.monotonic()

    def prefill_ended(self, started: float, computed_tokens: int) -> None:
        """Note that the engine has computed `computed_tokens`.

        Zero stands for work that was cancelled or failed: the time that it
        took cannot be attributed, and the measurement starts again.
        """
        self._outstanding -= 1
        if not computed_tokens:
            self._restart_sample()
            return
        self.computed_tokens += computed_tokens
        self._sample_tokens += computed_tokens
        now = time.monotonic()
        if computed_tokens >= MIN_PEAK_TOKENS and now > started:
            # An iteration decodes as well, which takes the usual interval.
            own_s = max((now - started) / 2, now - started - self.decode_s)
            own = computed_tokens / own_s
            self._peak = max(self._peak * PEAK_DECAY, own)
        spent = now - self._mark
        if self._sample_tokens >= MIN_SAMPLE_TOKENS and spent >= MIN_SAMPLE_S:
            self.learn_prefill(self._sample_tokens, spent)
            self._restart_sample()

    def learn_prefill(self, tokens: int, seconds: float) -> None:
        """Take a measurement of the prefill rate."""
        keep = math.exp(-seconds / MEMORY_S)
        self._tokens = self._tokens * keep + tokens
        self._busy_s = self._busy_s * keep + seconds

    def learn_decode(self, seconds: float) -> None:
        """Take the interval between two tokens of a stream."""
        if not self.decode_s:
            self.decode_s = seconds
        self.decode_s += DECODE_WEIGHT * (seconds - self.decode_s)

    def learn_output(self, count: int, max_tokens: int) -> None:
        """Take the output of a request that came to its end."""
        share = count / max(1, max_tokens)
        self.output_share += OUTPUT_WEIGHT * (share - self.output_share)

    def predict_prefill_s(self, tokens: int) -> float:
        """Predict the seconds that `tokens` of prefill take."""
        rate = self.prefill_tokens_per_s
        return tokens / rate if rate else 0

    def decode_total_s(self, max_tokens: int) -> float:
        """Predict the seconds that the output takes."""
        return max_tokens * self.output_share * self.decode_s

    def service_s(self, tokens: int, max_tokens: int) -> float:
        """Predict the seconds of a request that has no wait."""
        return self.predict_prefill_s(tokens) + self.decode_total_s(max_tokens)

    def least_service_s(self, tokens: int, max_tokens: int) -> float:
        """Predict the seconds of a request with the engine at its best."""
        peak = self.peak_tokens_per_s
        prefill_s = tokens / peak if peak else 0
        return prefill_s + self.decode_total_s(max_tokens)

    def _restart_sample(self) -> None:
        self._mark = time.monotonic()
        self._sample_tokens = 0
