"""The fingerprints of requests that crashes may speak against."""

from masticwind.serving.admission.requests import (
    AdmittedRequest,
    RequestProgress,
)
from masticwind.serving.fingerprints import (
    RequestFingerprint,
    call_fingerprint,
    fingerprint,
)
from masticwind.serving.quarantine import Quarantine


def known_fingerprint(
    admitted: AdmittedRequest,
    progress: RequestProgress,
    quarantine: Quarantine,
) -> RequestFingerprint:
    """Return the fingerprint of a request, or an empty one for a call that no
    crash can speak against.
    """
    if admitted.req.prompt_parts or not quarantine.tracks_calls:
        return fingerprint(admitted.req.prompt_parts)
    return fingerprint_of_call(admitted, progress)


def fingerprint_of_call(
    admitted: AdmittedRequest, progress: RequestProgress
) -> RequestFingerprint:
    """Return the fingerprint of a call, whose body is read once only."""
    if progress.call_fingerprint is None:
        progress.call_fingerprint = call_fingerprint(
            admitted.req, admitted.team.name
        )
    return progress.call_fingerprint
