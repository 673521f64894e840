"""Fault injection for simulated targets, set through an admin route."""

from typing import Any

from aiohttp import web
import msgspec

# A hung request ends only with its connection or its process.
HANG_S = 3_600.0


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults injected into one simulated target.

    Attributes:
        hang: On a runner, streams opened before ``POST /admin/hang`` stay
            silent forever; on a plain service, no request is answered.
        late_s: Delay of each response in seconds.
        cross: Responses carry the id of another attempt.
        crash_on: A prompt that contains this text ends the process.
        refuse: Requests are rejected before they run.
        drop_events: Fraction of cache events that are lost before publication,
            from 0 to 1.
        link_factor: Multiplier of the link rate.
        full: Writes to the store are rejected.
        lose_answer: Requests run, but their connections are closed before
            the response.
    """

    hang: bool = False
    late_s: float = 0.0
    cross: bool = False
    crash_on: str = ""
    refuse: bool = False
    drop_events: float = 0.0
    link_factor: float = 1.0
    full: bool = False
    lose_answer: bool = False


class FaultHandlers:
    """Admin route that sets faults.

    Attributes:
        faults: The active faults.
    """

    def __init__(self, faults: Faults | None = None) -> None:
        """Creates handlers; by default no fault is active."""
        self.faults = faults or Faults()

    def add_routes(self, app: web.Application) -> None:
        """Adds the admin route."""
        app.router.add_post("/admin/faults", self.set_faults)

    async def set_faults(self, request: web.Request) -> web.Response:
        """Serves ``POST /admin/faults``; faults not named stay as they are."""
        overrides: dict[str, Any] = msgspec.json.decode(await request.read())
        merged = {**msgspec.structs.asdict(self.faults), **overrides}
        try:
            validated = msgspec.convert(merged, Faults)
        except msgspec.ValidationError as error:
            return web.Response(status=400, text=f"{error}\n")
        for name in overrides:
            setattr(self.faults, name, getattr(validated, name))
        return web.Response(text="faults updated\n")
