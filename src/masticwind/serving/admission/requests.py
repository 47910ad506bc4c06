"""Admission of requests, and the progress of an admitted request."""

import random
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final

from masticwind.budget import MS_PER_S, boot_time
from masticwind.errors import ErrorKind, Failure, guarantees_not_run
from masticwind.serving.events import Event
from masticwind.serving.fingerprints import RequestFingerprint
from masticwind.serving.model import (
    CallerRequest,
    Endpoint,
    FleetConfig,
    Route,
    Service,
    Team,
)

# Attempts for one request, including refused ones.
MAX_ATTEMPTS: Final = 6
NO_TEAM: Final = Team(name='')


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmittedRequest:
    """A request and the configuration under which it was admitted.

    `deadline` is on the `boot_time` clock. `config_age_s` is an upper bound on
    the age of the configuration at admission.
    """

    req: CallerRequest
    route: Route
    service: Service
    team: Team
    deadline: float
    config_version: int
    config_age_s: float = 0

    def remaining_s(self) -> float:
        """Return the seconds until the deadline, at least zero."""
        return max(0.0, self.deadline - boot_time())

    @property
    def prompt_tokens(self) -> int:
        """Number of tokens of the prompt; zero for a plain call."""
        return 0 if self.req.tokens is None else self.req.tokens.prompt

    @property
    def priority(self) -> int:
        """Priority of the team if it has one, else of the route."""
        if self.team.priority is not None:
            return self.team.priority
        return self.route.priority


def admit(
    req: CallerRequest,
    route: Route,
    team: Team | None,
    config: FleetConfig,
) -> AdmittedRequest | Failure:
    """Choose the service of a request and set its deadline."""
    service = config.services.get(_choose_service(route))
    if service is None:
        return Failure(
            kind=ErrorKind.NO_CAPACITY,
            reason=f'the service of route {route.name} is not configured',
        )
    deadline = req.budget.deadline
    if route.timeout_ms:
        latest = boot_time() + route.timeout_ms / MS_PER_S
        deadline = min(deadline, latest)
    return AdmittedRequest(
        req=req,
        route=route,
        service=service,
        team=team or NO_TEAM,
        deadline=deadline,
        config_version=config.version,
    )


def draining_failure() -> Failure:
    """Return the failure of a request that another entry can serve at once."""
    return Failure(
        kind=ErrorKind.DRAINING, reason='shutting down', retry_after_ms=1
    )


def _choose_service(route: Route) -> str:
    weights = [candidate.weight for candidate in route.services]
    if len(weights) == 1 or not sum(weights):
        return route.services[0].service
    return random.choices(route.services, weights)[0].service


@dataclass(slots=True)
class RequestProgress:
    """Attempts and events of one request.

    `may_have_run_at` has the endpoints that may have run it, and
    `excluded_endpoints` those that get no further attempt. Of these, the
    `unreached_endpoints` gave no connection, so nothing was sent to them.
    `candidate_count` is the number of candidates of the last placement.
    `last_event_id` is the id of the last event that the caller has received.
    The answer is not `is_resumable` once a part of it has been passed on that
    another attempt could not continue.
    `denied_endpoints` did not grant a permit to send it. `passed_over_for` has
    the causes for which endpoints were not used. In `cut_zone_pairs`, a lead of
    the first zone could not use a helper of the second one. `predicted_ms` is
    the predicted time of the current attempt, and `is_sent` tells whether an
    endpoint may have received it. `call_fingerprint` is made when it is needed.
    `config_version` is the version under which the request was admitted, and
    `last_refusal` the kind of the last placement that was refused.
    `return_key` recognizes the request after a refusal, and one that was
    refused before and promised room `has_returned`.
    """

    attempts: int = 0
    may_have_run_at: set[str] = field(default_factory=set)
    excluded_endpoints: set[str] = field(default_factory=set)
    unreached_endpoints: set[str] = field(default_factory=set)
    denied_endpoints: set[str] = field(default_factory=set)
    passed_over_for: set[str] = field(default_factory=set)
    cut_zone_pairs: set[tuple[str, str]] = field(default_factory=set)
    candidate_count: int = 0
    predicted_ms: float = 0
    is_sent: bool = False
    config_version: int | None = None
    last_refusal: ErrorKind | None = None
    return_key: int = 0
    has_returned: bool = False
    call_fingerprint: RequestFingerprint | None = None
    last_event_id: int | None = None
    is_resumable: bool = True
    event_count: int = 0
    first_event_ms: int = 0
    last_event_at: float = 0
    max_event_gap_s: float = 0
    admitted_at: float = field(default_factory=time.monotonic)

    def elapsed_ms(self) -> float:
        """Return the milliseconds since the request was admitted."""
        return (time.monotonic() - self.admitted_at) * MS_PER_S

    def silence_ms(self) -> int | None:
        """Return the milliseconds since the last event, None before one."""
        if not self.event_count:
            return None
        return round((time.monotonic() - self.last_event_at) * MS_PER_S)

    def record_events(self, events: Sequence[Event]) -> None:
        """Record events that have just arrived and go to the caller."""
        now = time.monotonic()
        for event in events:
            if event.event_id is not None:
                self.last_event_id = event.event_id
        if self.event_count:
            gap_s = now - self.last_event_at
            self.max_event_gap_s = max(self.max_event_gap_s, gap_s)
        else:
            self.first_event_ms = round(self.elapsed_ms())
        self.last_event_at = now
        self.event_count += len(events)

    def record_failure(
        self, lead: Endpoint, at_fault: Endpoint, failure: Failure
    ) -> None:
        """Record a failed attempt, and the endpoint at fault."""
        self.is_sent = False
        self.excluded_endpoints.add(at_fault.identity)
        if failure.kind is ErrorKind.NO_CAPACITY:
            self.unreached_endpoints.add(at_fault.identity)
        if guarantees_not_run(failure.kind):
            # It may have been silent before it refused.
            self.may_have_run_at.discard(lead.identity)
        else:
            self.record_possible_run(lead)

    def record_helper_fault(self, lead: Endpoint, helper: Endpoint) -> None:
        """Record that a lead has refused the request because of a helper."""
        if lead.zone != helper.zone:
            self.cut_zone_pairs.add((lead.zone, helper.zone))

    def readmit(self, identity: str) -> None:
        """Allow another attempt at an endpoint that was not reached."""
        self.excluded_endpoints.discard(identity)
        self.unreached_endpoints.discard(identity)

    def record_possible_run(self, lead: Endpoint) -> None:
        """Record that an endpoint may have run the request; it gets no other
        attempt.
        """
        self.excluded_endpoints.add(lead.identity)
        self.may_have_run_at.add(lead.identity)

    def record_recall(self, lead: Endpoint) -> None:
        """Record that an attempt was recalled, which says nothing of `lead`."""
        self.is_sent = False
        self.may_have_run_at.add(lead.identity)

    def may_retry_after(
        self, lead: Endpoint, admitted: AdmittedRequest
    ) -> bool:
        """Tell whether another endpoint could still run the request if the
        attempt at `lead` fails.
        """
        if not self.is_resumable:
            return False
        may_have_run_at = self.may_have_run_at | {lead.identity}
        return (
            admitted.route.repeatable
            and self.candidate_count > 1
            and len(may_have_run_at) < admitted.route.max_endpoints
            and self.attempts < MAX_ATTEMPTS
        )

    def may_retry(self, admitted: AdmittedRequest) -> bool:
        """Tell whether the request may be sent again."""
        if self.attempts >= MAX_ATTEMPTS or not self.is_resumable:
            return False
        if self.may_have_run_at and not admitted.route.repeatable:
            return False
        return len(self.may_have_run_at) < admitted.route.max_endpoints

    def given_up_failure(self) -> Failure:
        """Return the failure of a request that this process gives up."""
        if self.is_sent or self.may_have_run_at:
            return Failure(
                kind=ErrorKind.OUTCOME_UNKNOWN, reason='shutting down'
            )
        return draining_failure()

    def final_failure(self, failure: Failure) -> Failure:
        """Return the failure to report if `failure` ends the request.

        If the last attempt was refused, an earlier one may still have run.
        """
        if not self.may_have_run_at or not guarantees_not_run(failure.kind):
            return failure
        return Failure(
            kind=ErrorKind.FAILED_AFTER_START,
            reason=f'an earlier attempt may have run: {failure.reason}',
        )
