"""Faults that a stand-in shows on demand, set by flag or admin call."""

from typing import Any

from aiohttp import web
import msgspec


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Switches of one stand-in.

    Attributes:
        hang: Streams open now go silent for good; new ones work.
        late_s: Seconds that each answer is held back.
        cross: Answers carry the id of another attempt.
        crash_on: A prompt with this text ends the process.
        refuse: Requests are refused before they run.
        drop_events: Share of cache events that are lost.
        link_factor: Factor on the link's rate.
        full: Writes to the store are refused.
        lose_answer: Requests run, but their connections break.
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
        faults: The switches.
    """

    def __init__(self, faults: Faults | None = None) -> None:
        """Creates handlers over switches, all off by default."""
        self.faults = faults or Faults()

    def add_routes(self, app: web.Application) -> None:
        """Adds the admin route."""
        app.router.add_post("/admin/faults", self.set_faults)

    async def set_faults(self, request: web.Request) -> web.Response:
        """Serves ``POST /admin/faults`` with some switches."""
        given: dict[str, Any] = msgspec.json.decode(await request.read())
        merged = {**msgspec.structs.asdict(self.faults), **given}
        try:
            checked = msgspec.convert(merged, Faults)
        except msgspec.ValidationError as error:
            return web.Response(status=400, text=f"{error}\n")
        for name in given:
            setattr(self.faults, name, getattr(checked, name))
        return web.Response(text="set\n")
