"""The learned speed of one engine.

Prefill is measured as service rate: computed prompt tokens over the time in
which any prompt was being computed. This includes the time that the engine
spends on decoding in between, which a new request has to wait for as well.
"""

import math
import time
from typing import Final

# Busy time after which an old measurement weighs 1/e.
RATE_DECAY_S: Final = 5.0
# Smaller measurements are dominated by the engine's iteration time.
MIN_SAMPLE_S: Final = 0.001
MIN_SAMPLE_TOKENS: Final = 2048
MIN_PEAK_SAMPLE_TOKENS: Final = 4096
PEAK_DECAY_FACTOR: Final = 0.95
DECODE_EWMA_WEIGHT: Final = 0.05
OUTPUT_EWMA_WEIGHT: Final = 0.05


class Rates:
    """Prefill rate, decode interval and usual output of one engine."""

    def __init__(self) -> None:
        self._decayed_tokens = 0.0
        self._decayed_busy_s = 0.0
        self._peak_tokens_per_s = 0.0
        self._outstanding_prefills = 0
        self._sample_started_at = 0.0
        self._sample_tokens = 0
        self.decode_interval_s = 0.0
        self.output_share = 1.0
        self.computed_tokens = 0

    @property
    def prefill_tokens_per_s(self) -> float:
        """The measured prefill rate; zero before the first measurement."""
        if self._decayed_busy_s < MIN_SAMPLE_S:
            return 0
        return self._decayed_tokens / self._decayed_busy_s

    @property
    def peak_tokens_per_s(self) -> float:
        """The highest recent rate, for work that has the engine alone."""
        return max(self._peak_tokens_per_s, self.prefill_tokens_per_s)

    def begin_prefill(self) -> float:
        """Note that a prompt, or a step of one, was given to the engine.

        Returns the time of the start, which `prefill_ended` takes.
        """
        if not self._outstanding_prefills:
            self._restart_sample()
        self._outstanding_prefills += 1
        return time.monotonic()

    def end_prefill(self, started_at: float, computed_tokens: int) -> None:
        """Note that the engine has computed `computed_tokens`.

        Zero stands for work that was cancelled or failed: the time that it
        took cannot be attributed, and the measurement starts again.
        """
        self._outstanding_prefills -= 1
        if not computed_tokens:
            self._restart_sample()
            return
        self.computed_tokens += computed_tokens
        self._sample_tokens += computed_tokens
        now = time.monotonic()
        if computed_tokens >= MIN_PEAK_SAMPLE_TOKENS and now > started_at:
            # An iteration decodes as well, which takes the usual interval.
            prefill_s = max(
                (now - started_at) / 2,
                now - started_at - self.decode_interval_s,
            )
            sample_tokens_per_s = computed_tokens / prefill_s
            self._peak_tokens_per_s = max(
                self._peak_tokens_per_s * PEAK_DECAY_FACTOR, sample_tokens_per_s
            )
        elapsed_s = now - self._sample_started_at
        if (
            self._sample_tokens >= MIN_SAMPLE_TOKENS
            and elapsed_s >= MIN_SAMPLE_S
        ):
            self.record_prefill(self._sample_tokens, elapsed_s)
            self._restart_sample()

    def record_prefill(self, tokens: int, seconds: float) -> None:
        """Take a measurement of the prefill rate."""
        decay = math.exp(-seconds / RATE_DECAY_S)
        self._decayed_tokens = self._decayed_tokens * decay + tokens
        self._decayed_busy_s = self._decayed_busy_s * decay + seconds

    def record_decode_interval(self, seconds: float) -> None:
        """Take the interval between two tokens of a stream."""
        if not self.decode_interval_s:
            self.decode_interval_s = seconds
        self.decode_interval_s += DECODE_EWMA_WEIGHT * (
            seconds - self.decode_interval_s
        )

    def record_output(self, count: int, max_tokens: int) -> None:
        """Take the output of a request that came to its end."""
        share = count / max(1, max_tokens)
        self.output_share += OUTPUT_EWMA_WEIGHT * (share - self.output_share)

    def predict_prefill_s(self, tokens: int) -> float:
        """Predict the seconds that `tokens` of prefill take."""
        rate = self.prefill_tokens_per_s
        return tokens / rate if rate else 0

    def predict_output_s(self, max_tokens: int) -> float:
        """Predict the seconds that the output takes."""
        return max_tokens * self.output_share * self.decode_interval_s

    def predict_service_s(self, tokens: int, max_tokens: int) -> float:
        """Predict the seconds of a request that has no wait."""
        return self.predict_prefill_s(tokens) + self.predict_output_s(
            max_tokens
        )

    def predict_min_service_s(self, tokens: int, max_tokens: int) -> float:
        """Predict the seconds of a request with the engine at its best."""
        peak = self.peak_tokens_per_s
        prefill_s = tokens / peak if peak else 0
        return prefill_s + self.predict_output_s(max_tokens)

    def _restart_sample(self) -> None:
        self._sample_started_at = time.monotonic()
        self._sample_tokens = 0
