"""Simulated target of a plain service that records executed requests."""

import argparse
import asyncio
import time

from aiohttp import web
from chivelb_core import targets
import msgspec

from chivelb_cli.lab import announcer
from chivelb_cli.lab import faults as faults_lib
from chivelb_cli.lab import serving


class PlainTarget:
    """A simulated target of a plain (non-model) service.

    One process is one target; several targets with the same ``--service`` form
    a service.

    Attributes:
        executions: Body of each executed request, in order.
        faults: The active faults.
        readiness: ``ready``, or ``leaving`` before a planned stop.
    """

    def __init__(self, arguments: argparse.Namespace) -> None:
        """Creates a target without executions."""
        self.arguments = arguments
        self.executions: list[str] = []
        self.fault_handlers = faults_lib.FaultHandlers()
        self.faults = self.fault_handlers.faults
        self.readiness = "ready"
        self._incarnation = time.time_ns() // 1_000_000
        self._port = 0
        self._running = 0

    def app(self) -> web.Application:
        """Returns the application with all routes."""
        app = web.Application(client_max_size=64 << 20)
        app.router.add_get("/admin/executions", self.list_executions)
        app.router.add_get("/admin/state", self.state)
        app.router.add_post("/admin/leave", self.leave)
        self.fault_handlers.add_routes(app)
        app.router.add_route("*", "/{path:.*}", self.execute)
        return app

    async def execute(self, request: web.Request) -> web.StreamResponse:
        """Executes a request and echoes its path, workspace and body."""
        attempt_id = request.headers.get("X-Attempt-Id", "")
        body = (await request.read()).decode("utf-8", "replace")
        if self.faults.refuse or self.readiness != "ready":
            return web.Response(
                status=503,
                headers={"X-Not-Run": attempt_id},
                text="not ready\n",
            )
        self._running += 1
        try:
            await asyncio.sleep(self.arguments.work_s)
            self.executions.append(body)
            if self.faults.hang:
                await asyncio.sleep(faults_lib.HANG_S)
            if self.faults.late_s:
                await asyncio.sleep(self.faults.late_s)
        finally:
            self._running -= 1
        if self.faults.lose_answer:
            request.transport.close()
            return web.Response()
        if self.faults.cross:
            attempt_id = "x" + attempt_id
        return web.Response(
            body=msgspec.json.encode(
                {
                    "path": request.path,
                    "workspace": request.headers.get("X-Workspace", ""),
                    "body": body,
                    "executed": len(self.executions),
                }
            ),
            headers={"X-Attempt-Id": attempt_id},
            content_type="application/json",
        )

    async def list_executions(self, request: web.Request) -> web.Response:
        """Serves the bodies of executed requests, for tests."""
        return serving.json_response(self.executions)

    async def state(self, request: web.Request) -> web.Response:
        """Serves the number of executed requests, for tests."""
        return serving.json_response({"executed": len(self.executions)})

    async def leave(self, request: web.Request) -> web.Response:
        """Makes the target reject requests, as before a planned stop."""
        self.readiness = "leaving"
        return web.Response(text="leaving\n")

    def build_record(self) -> targets.TargetRecord:
        """Returns the target record to announce."""
        arguments = self.arguments
        return announcer.make_record(
            arguments,
            incarnation=self._incarnation,
            port=self._port,
            role="plain",
            service=arguments.service,
            state=self.readiness,
            slots=arguments.slots,
            running=self._running,
        )

    def background_tasks(self, port: int) -> list:
        """Returns the coroutines to run alongside the server.

        Args:
            port: Port that the server listens on.
        """
        self._port = port
        return [
            announcer.Announcer.from_arguments(
                self.arguments, self.build_record
            ).run()
        ]


def run(arguments: argparse.Namespace) -> int:
    """Runs ``chivelb lab service``."""
    return serving.run_target(PlainTarget, arguments)
