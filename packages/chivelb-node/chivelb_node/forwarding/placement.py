"""Chooses a target for a call from load, failures and cache contents.

A runner is a target that runs a model with an engine; targets of a plain
service run no model. A part is a section of a prompt; a source is a runner or
a store that holds the KV cache of parts, completely or up to some token.
"""

from chivelb_core import document
from chivelb_core import forwarding
from chivelb_core import targets
from chivelb_core.forwarding import choice as choice_lib
from chivelb_core.forwarding import fetch_plan as fetch_plan_lib
from chivelb_core.kv_cache import parts as parts_lib

from chivelb_node import context as context_lib

FAILURE_COOLDOWN_S = 1.0
# Parts of a prompt are expected at a runner for this long after the prompt was
# placed there: by then a part is cached, or was never computed.
EXPECTED_PART_TTL_S = 2.0
STORE_MAX_FILL_RATIO = 0.97


class PlacementPolicy:
    """Chooses placements from targets, their load and the parts they hold.

    Attributes:
        context: Shared state of the instance.
        directory: Prompt parts by the source that holds their KV cache.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        directory: parts_lib.PartDirectory,
    ) -> None:
        """Creates a placement policy."""
        self.context = context
        self.directory = directory

    def eligible(
        self, call: forwarding.Call, now: float
    ) -> list[targets.TargetRecord]:
        """Returns the targets that may serve a call.

        Targets that failed within ``FAILURE_COOLDOWN_S`` are left out unless no
        other target remains.
        """
        table = self.context.targets
        records = [
            record
            for record in table.eligible(call.service, now)
            if record.identity not in call.tried
        ]
        failing = set(table.recent_failures(now, FAILURE_COOLDOWN_S))
        healthy = [r for r in records if r.identity not in failing]
        return healthy or records

    def place(
        self, call: forwarding.Call, now: float
    ) -> choice_lib.Placement | None:
        """Returns the best placement, or None if no target has capacity."""
        service = self.context.document.services.get(call.service)
        if service is None:
            return None
        records = self.eligible(call, now)
        if service.engine is None or call.prompt is None:
            return choice_lib.choose_plain_target(
                records,
                load=self.context.load,
                zone=self.context.settings.instance.zone,
                now=now,
                rng=self.context.rng,
            )
        return self._place_on_runner(call, records, service.engine, now)

    def _place_on_runner(
        self,
        call: forwarding.Call,
        records: list[targets.TargetRecord],
        engine: document.EngineConfig,
        now: float,
    ) -> choice_lib.Placement | None:
        candidates = [
            candidate
            for record in records
            if choice_lib.has_capacity(
                call, candidate := self._snapshot_load(record, now), engine
            )
        ]
        links = self.links(call.service, engine, now)
        best = None
        best_cost = 0.0
        for candidate in self._sample_candidates(call, candidates):
            placement = self._plan_placement(
                call, candidate, engine, links, now
            )
            cost = choice_lib.placement_cost(
                placement,
                zone=self.context.settings.instance.zone,
                engine=engine,
            )
            if best is None or cost < best_cost:
                best, best_cost = placement, cost
        return best

    def _snapshot_load(
        self, record: targets.TargetRecord, now: float
    ) -> choice_lib.TargetCandidate:
        load = self.context.load
        identity = record.identity
        return choice_lib.TargetCandidate(
            record,
            load.running(identity, now),
            load.used_kv_tokens(identity, now),
            load.pending(identity, now),
        )

    def _plan_placement(
        self,
        call: forwarding.Call,
        candidate: choice_lib.TargetCandidate,
        engine: document.EngineConfig,
        links: dict[str, fetch_plan_lib.Link],
        now: float,
    ) -> choice_lib.Placement:
        record = candidate.record
        salt = forwarding.sharing_scope(record.weight_version, call)
        plan = fetch_plan_lib.plan_fetches(
            call.prompt,
            salt,
            address=record.address,
            zone=record.zone,
            engine=engine,
            directory=self.directory,
            links=links,
            now=now,
        )
        return choice_lib.Placement(candidate, plan, salt)

    def _sample_candidates(
        self,
        call: forwarding.Call,
        candidates: list[choice_lib.TargetCandidate],
    ) -> list[choice_lib.TargetCandidate]:
        """Returns the runners to compare.

        These are a random sample and the runners that hold the largest
        shared part of the prompt.
        """
        if len(call.prompt.parts) < 2 or not candidates:
            return choice_lib.sample_runners(
                candidates, set(), self.context.rng
            )
        # All parts but the last may be shared with other prompts. The largest
        # of them saves most prefill where it is cached, so its holders are
        # compared in addition to the sample.
        part = max(call.prompt.parts[:-1], key=lambda part: part.tokens)
        version = candidates[0].record.weight_version
        key = parts_lib.part_key(
            forwarding.sharing_scope(version, call), part.part_id
        )
        holders = set(self.directory.tokens_by_source.get(key, ()))
        return choice_lib.sample_runners(candidates, holders, self.context.rng)

    def links(
        self, service: str, engine: document.EngineConfig, now: float
    ) -> dict[str, fetch_plan_lib.Link]:
        """Returns the links to the sources that runners may fetch from."""
        found = {}
        for entry in self.context.targets.entries.values():
            record = entry.record
            if record.service != service or entry.is_leaving:
                continue
            if self._has_recent_message(record.address, now):
                found[record.address] = fetch_plan_lib.Link(
                    record.address,
                    record.zone,
                    engine.link_bytes_per_s,
                    0.0,  # setup_s
                    False,  # is_store
                )
        for link in self.stores(now):
            found[link.address] = link
        return found

    def stores(self, now: float) -> list[fetch_plan_lib.Link]:
        """Returns the links to stores that sent a message recently."""
        return [
            fetch_plan_lib.Link(
                service.store.address,
                service.store.zone,
                service.store.link_bytes_per_s,
                service.store.setup_s,
                True,  # is_store
            )
            for service in self.context.document.services.values()
            if service.store is not None
            and self._has_recent_message(service.store.address, now)
        ]

    def _has_recent_message(self, address: str, now: float) -> bool:
        source = self.directory.sources.get(address)
        if source is None:
            return False
        return now - source.last_message_at < fetch_plan_lib.SOURCE_TIMEOUT_S

    def record_placed(
        self, call: forwarding.Call, placement: choice_lib.Placement, now: float
    ) -> list[str]:
        """Records the expected effect of a placement on cached parts.

        Returns:
            Address of the store to save each part at; empty for none.
        """
        if placement.fetch_plan is None:
            return []
        for part in call.prompt.parts:
            self.directory.add_expected(
                placement.record.address,
                parts_lib.part_key(placement.salt, part.part_id),
                now + EXPECTED_PART_TTL_S,
            )
        return fetch_plan_lib.plan_storage(
            call.prompt,
            placement.salt,
            directory=self.directory,
            stores=self.stores(now),
            free_tokens=self._store_free_tokens,
            zone=placement.record.zone,
        )

    def _store_free_tokens(self, address: str) -> int:
        for service in self.context.document.services.values():
            store = service.store
            if store is not None and store.address == address:
                # Total of the tokens of all parts that the store holds.
                stored_tokens = self.directory.source(address).total_tokens
                return (
                    int(store.kv_tokens * STORE_MAX_FILL_RATIO) - stored_tokens
                )
        return 0
