"""Chooses a target for a call from load, failures and cache contents.

A runner is a target that runs a model with an engine; targets of a plain
service run no model. A part is a section of a prompt; a source is a runner or
a store that holds the KV cache of parts, completely or up to some token.
"""

from collections.abc import Callable
from collections.abc import Container
from collections.abc import Iterable
import heapq

from chivelb_core import document
from chivelb_core import forwarding
from chivelb_core import targets
from chivelb_core.forwarding import choice as choice_lib
from chivelb_core.forwarding import cold_targets
from chivelb_core.forwarding import fetch_plan as fetch_plan_lib
from chivelb_core.forwarding import headroom as headroom_lib
from chivelb_core.forwarding import shortage
from chivelb_core.forwarding import subset
from chivelb_core.kv_cache import parts as parts_lib

from chivelb_node import context as context_lib
from chivelb_node.forwarding import source_links

FAILURE_COOLDOWN_S = 1.0
# Parts of a prompt are expected at a runner for this long after the prompt was
# placed there: by then a part is cached, or was never computed.
EXPECTED_PART_TTL_S = 2.0
# Targets whose owners are asked for their load before a call is placed.
SHORTLIST_SIZE = 3
# The same where the speed of targets is learned, so that they differ more.
LEARNED_SHORTLIST_SIZE = 4
# Above 0, which would mean that nothing limits the calls.
MIN_COLD_INTERVAL_S = 0.001
# Targets that are looked at to tell what a refused call waited for.
SHORTAGE_SAMPLE_SIZE = 12
# Time for which the number of instances and targets is taken as unchanged.
FLEET_MAX_AGE_S = 0.1
_NO_FLEET = (float("-inf"), None, ())


class PlacementPolicy:
    """Chooses placements from targets, their load and the parts they hold.

    Attributes:
        context: Shared state of the instance.
        directory: Prompt parts by the source that holds their KV cache.
        sources: Network links to sources and stores.
        count_zone_instances: Returns the number of entry instances of this
            zone, including this one.
        count_instances: Returns the number of entry instances of the region.
        headroom: What was observed of calls that were sent, by service.
        prefill_tokens_per_s: Returns the prompt tokens that a runner of a
            service prefills in a second.
        occupancy_s: Returns the time for which a request occupies a runner of
            a service, in seconds.
        first_event_s: Returns the time from a send to the first event of a
            call with nothing to prefill, in seconds.
        estimates: What requests cost, and how fast targets work.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        directory: parts_lib.PartDirectory,
        *,
        count_zone_instances: Callable[[], int] = lambda: 1,
        count_instances: Callable[[], int] = lambda: 1,
    ) -> None:
        """Creates a placement policy."""
        self.context = context
        self.directory = directory
        self.count_zone_instances = count_zone_instances
        self.count_instances = count_instances
        self._preferred_by_service: dict[str, tuple[tuple, frozenset[str]]] = {}
        self.headroom: dict[str, headroom_lib.Headroom] = {}
        # Targets that are kept free, and what they follow from.
        self._kept_by_service: dict[str, tuple[tuple, frozenset[str]]] = {}
        self._fleets: dict[str, tuple] = {}
        self.sources = source_links.SourceLinks(context, directory)
        self.estimates = context.work_estimates
        self.prefill_tokens_per_s: Callable[[str], float] = (
            self.estimates.prefill_tokens_per_s
        )
        self.occupancy_s: Callable[[str], float] = self.estimates.occupancy_s
        self.first_event_s: Callable[[str], float] = (
            self.estimates.first_event_s
        )

    def eligible(
        self, call: forwarding.Call, now: float
    ) -> list[targets.TargetRecord]:
        """Returns the targets that may serve a call.

        Runners with weights that should have been replaced by now are left out
        unless none has newer ones. Targets that failed within
        ``FAILURE_COOLDOWN_S`` are left out unless no other target remains, and
        so are those of a new version for a call that begins a stream.
        """
        table = self.context.targets
        records = [
            record
            for record in self._without_overdue(call, now)
            if record.identity not in call.tried
            and call.may_go_to(table.confirmed_version(record))
        ]
        failing = set(table.recent_failures(now, FAILURE_COOLDOWN_S))
        healthy = [r for r in records if r.identity not in failing]
        if self.context.is_isolated(call.service, now):
            # All paths lead through peers, which may reach any of them.
            failed = set(table.failed_since(now - FAILURE_COOLDOWN_S))
            healthy = [r for r in records if r.identity not in failed]
        if call.route.resumable and call.software_version is None:
            healthy = self._of_confirmed_versions(healthy) or healthy
            # What begins at the others can't be taken up.
            healthy = [r for r in healthy if table.confirmed_version(r)] or (
                healthy
            )
        return healthy or records

    def _of_confirmed_versions(
        self, records: Iterable[targets.TargetRecord]
    ) -> list[targets.TargetRecord]:
        """Returns the targets whose version a majority knows to serve.

        Instances that keep no record of a stream rely on it.
        """
        confirmed = self.context.confirmed_versions
        return [
            record
            for record in records
            if (record.service, record.software_version) in confirmed
        ]

    def _reached_by_peers(
        self, call: forwarding.Call, now: float
    ) -> list[targets.TargetRecord]:
        """Returns targets to which no path leads but through a peer."""
        table = self.context.targets
        failed = set(table.failed_since(now - FAILURE_COOLDOWN_S))
        records = [
            record
            for record in self._without_overdue(call, now)
            if table.is_unreachable(record.identity)
            and table.has_path(record.identity, now)
            and record.identity not in call.tried
            and record.identity not in failed
            and call.may_go_to(table.confirmed_version(record))
        ]
        return self.context.request_limits.partition(records, now)[0]

    def _without_overdue(
        self, call: forwarding.Call, now: float
    ) -> list[targets.TargetRecord]:
        """Returns the eligible targets whose weights need not be newer.

        Targets outside the regions that the call may use are left out.
        """
        records = list(self.context.targets.eligible(call.service, now))
        if call.regions is not None:
            records = [
                record
                for record in records
                if self.context.allows_zone(call.regions, record.zone)
            ]
        if not self.context.requested_versions.learned_at:
            return records
        in_force = [r for r in records if self.context.weights_due_at(r) > now]
        return in_force or records

    def shortlist(self, call: forwarding.Call, now: float) -> list[str]:
        """Returns the targets to ask for their load before a call is placed.

        These are the best by the load that is known. If none is known to have
        capacity, they are some of those whose load was told longest ago.

        Args:
            call: The call.
            now: Monotonic time in seconds.

        Returns:
            Identities of a few targets.
        """
        service = self.context.document.services.get(call.service)
        if service is None:
            return []
        size = SHORTLIST_SIZE
        if self.estimates.is_enabled:
            size = LEARNED_SHORTLIST_SIZE
        self.estimates.advance(now)
        limits = self.context.request_limits
        free, granted, _ = limits.partition(self.eligible(call, now), now)
        records = granted + free
        load = self.context.load
        if service.engine is None or call.prompt is None:
            best = heapq.nsmallest(size, records, key=self._plain_rank(now))
            return [record.identity for record in best]
        priced = self._price_runners(call, records, service.engine, now)
        best = heapq.nsmallest(size, priced, key=_cost_of)
        if best:
            return [placement.record.identity for _, placement in best]
        oldest = heapq.nlargest(
            size,
            records,
            key=lambda record: (
                load.load(record.identity).told_age_s(now),
                self.context.rng.random(),
            ),
        )
        return [record.identity for record in oldest]

    def _plain_rank(
        self, now: float
    ) -> Callable[[targets.TargetRecord], tuple[float, float]]:
        """Returns the sort key of plain targets, the least loaded first."""
        load = self.context.load
        rng = self.context.rng
        slowness = self.estimates.unusual_slowness
        return lambda record: (
            (load.running(record.identity, now) + 1)
            * slowness(record.identity),
            rng.random(),
        )

    def place(
        self,
        call: forwarding.Call,
        now: float,
        *,
        waiting_calls: int = 0,
        among: Container[str] | None = None,
    ) -> choice_lib.Placement | None:
        """Returns the best placement, or None if no target has capacity.

        Args:
            call: The call.
            now: Monotonic time in seconds.
            waiting_calls: Number of calls that wait for the same targets.
            among: Identities of the targets to choose from; all if None.
        """
        service = self.context.document.services.get(call.service)
        if service is None:
            return None
        self.estimates.advance(now)
        limits = self.context.request_limits
        records = self.eligible(call, now)
        if among is not None:
            records = [r for r in records if r.identity in among]
        free, granted, limited = limits.partition(records, now)
        # A grant is used by the next call, since it was wanted by one before.
        for records in (granted, free):
            placement = self._place_on_any(call, records, service, now)
            if placement is not None:
                break
        if self._is_late(call, placement):
            others = self._reached_by_peers(call, now)
            placement = choice_lib.faster(
                placement, self._place_on_any(call, others, service, now)
            )
        if limited and not granted and self._is_late(call, placement):
            limits.want(
                limited,
                calls=max(1, waiting_calls),
                now=now,
                rng=self.context.rng,
            )
        return placement

    def _is_late(
        self, call: forwarding.Call, placement: choice_lib.Placement | None
    ) -> bool:
        """Returns whether a call would miss its latency objective."""
        return (
            placement is None
            or placement.time_to_first_token_s > call.route.target_latency_s
        )

    def _place_on_any(
        self,
        call: forwarding.Call,
        records: list[targets.TargetRecord],
        service: document.Service,
        now: float,
    ) -> choice_lib.Placement | None:
        """Returns the best placement on some targets, or None."""
        if not records:
            return None
        if service.engine is None or call.prompt is None:
            return choice_lib.choose_plain_target(
                records,
                load=self.context.load,
                zone=self.context.settings.instance.zone,
                now=now,
                rng=self.context.rng,
                free_share=self._free_share,
                estimates=self.estimates,
            )
        return self._place_on_runner(call, records, service.engine, now)

    def limited_wait(self, service: str, now: float) -> tuple[float, float]:
        """Returns what limits make calls of a service wait at least.

        Returns:
            Expected time until a call may be sent to any target, and least
            interval between calls to all targets together, in seconds; zeros
            if a target has no limit.
        """
        limits = self.context.request_limits
        if not limits.limits:
            return 0.0, 0.0
        records = self.context.targets.eligible(service, now)
        return limits.expected_wait(
            [record.identity for record in records], now
        )

    def cold_wait(self, service: str, now: float) -> tuple[float, float] | None:
        """Returns what calls wait at least if all targets are cold.

        Returns:
            Time until this instance may send to one of them, or one of them is
            warm, and the mean interval between its requests to all together,
            in seconds; None if a target is warm, or cold ones have no limit.
        """
        rate_per_s = self.context.cold_rate_per_s(service)
        if not rate_per_s:
            return None
        table = self.context.targets
        cold = table.cold_entries(service, now)
        if not cold:
            return None
        opening = [table.opens_at(entry, now) for entry in cold]
        first_s = max(0.0, min(opening) - now)
        warm_s = min(entry.cold_until for entry in cold) - now
        count = sum(
            at < entry.cold_until
            for at, entry in zip(opening, cold, strict=True)
        )
        interval_s = cold_targets.send_interval_s(rate_per_s) / max(1, count)
        return first_s, min(interval_s, max(warm_s, MIN_COLD_INTERVAL_S))

    def _place_on_runner(
        self,
        call: forwarding.Call,
        records: list[targets.TargetRecord],
        engine: document.EngineConfig,
        now: float,
    ) -> choice_lib.Placement | None:
        priced = self._price_runners(call, records, engine, now)
        return min(priced, key=_cost_of, default=(0.0, None))[1]

    def _price_runners(
        self,
        call: forwarding.Call,
        records: list[targets.TargetRecord],
        engine: document.EngineConfig,
        now: float,
    ) -> list[tuple[float, choice_lib.Placement]]:
        """Returns placements on sampled runners with capacity, each with cost.

        The cost is in seconds.
        """
        candidates = self._sample_candidates(call, records, engine, now)
        if not candidates:
            return []
        links = self._links_to_holders(call, candidates, engine, now)
        rankings: fetch_plan_lib.Rankings = {}
        placements = [
            self._plan_placement(call, candidate, engine, links, rankings, now)
            for candidate in candidates
        ]
        return [(self._cost(p, engine), p) for p in placements]

    def _cost(
        self, placement: choice_lib.Placement, engine: document.EngineConfig
    ) -> float:
        """Returns the cost by the configured policy; the lowest wins."""
        settings = self.context.settings
        cost = choice_lib.placement_cost(
            placement,
            zone=settings.instance.zone,
            engine=engine,
            estimates=self.estimates,
        )
        match settings.decisions.placement:
            case "least_loaded":
                return placement.candidate.running
            case "random":
                return self.context.rng.random()
        return cost

    def shortage(self, call: forwarding.Call, now: float) -> str:
        """Returns what most of some targets lack for a call."""
        service = self.context.document.services.get(call.service)
        records = self.eligible(call, now)
        if len(records) > SHORTAGE_SAMPLE_SIZE:
            records = self.context.rng.sample(records, SHORTAGE_SAMPLE_SIZE)
        reserve = self._reserve(call, now)
        kept = self._kept_targets(call.service, reserve.kept_share, now)
        return shortage.main_shortage(
            call,
            (self._snapshot_load(record, now) for record in records),
            None if service is None else service.engine,
            reserve=reserve,
            kept=kept,
            estimates=self.estimates,
        )

    def roomiest_runner(
        self, call: forwarding.Call, now: float, *, without: Container[str]
    ) -> str | None:
        """Returns the runner that is expected to have room for a call first.

        Args:
            call: The call.
            now: Monotonic time in seconds.
            without: Identities of runners to leave out.

        Returns:
            Identity of the runner of which running requests occupy least; None
            for plain services, and if none is left.
        """
        service = self.context.document.services.get(call.service)
        if service is None or service.engine is None or call.prompt is None:
            return None
        load = self.context.load
        return min(
            (
                record.identity
                for record in self.eligible(call, now)
                if record.identity not in without
            ),
            key=lambda identity: (
                load.used_kv_tokens(identity, now) + load.pending(identity, now)
            ),
            default=None,
        )

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
            self._free_share(record, now),
        )

    def _free_share(
        self, record: targets.TargetRecord, now: float
    ) -> int | None:
        """Returns how many more requests a careful target may get from here.

        Returns:
            The number, or None if the target need not be careful.
        """
        table = self.context.targets
        if not table.needs_room(record.identity, now):
            return None
        share = choice_lib.careful_share(
            record.slots,
            instance_count=self.count_instances(),
            target_count=sum(1 for _ in table.eligible(record.service, now)),
        )
        return share - self.context.load.own_load(record.identity)[0]

    def _scope(self, weight_version: str, call: forwarding.Call) -> str:
        """Returns the sharing scope of a call that is sent now."""
        return forwarding.sharing_scope(
            weight_version,
            call,
            self.context.document_state,
            may_share=self.context.may_share(),
        )

    def _plan_placement(
        self,
        call: forwarding.Call,
        candidate: choice_lib.TargetCandidate,
        engine: document.EngineConfig,
        links: dict[str, fetch_plan_lib.Link],
        rankings: fetch_plan_lib.Rankings,
        now: float,
    ) -> choice_lib.Placement:
        record = candidate.record
        salt = self._scope(record.weight_version, call)
        plan = fetch_plan_lib.plan_fetches(
            call.prompt,
            salt,
            address=record.address,
            zone=record.zone,
            engine=engine,
            directory=self.directory,
            links=links,
            now=now,
            rankings=rankings,
        )
        return choice_lib.Placement(candidate, plan, salt)

    def _sample_candidates(
        self,
        call: forwarding.Call,
        records: list[targets.TargetRecord],
        engine: document.EngineConfig,
        now: float,
    ) -> list[choice_lib.TargetCandidate]:
        """Returns the runners to compare, all with capacity for the call.

        These are a random sample and the runners that hold the largest
        shared part of the prompt.
        """
        reserve = self._reserve(call, now)
        if reserve.kept_share:
            kept = self._kept_targets(call.service, reserve.kept_share, now)
            records = [r for r in records if r.identity not in kept]

        def candidate_with_capacity(record):
            candidate = self._snapshot_load(record, now)
            if not choice_lib.has_capacity(
                call, candidate, engine, estimates=self.estimates
            ):
                return None
            if not headroom_lib.has_headroom(call, candidate, engine, reserve):
                return None
            return candidate

        return choice_lib.sample_runners(
            records,
            preferred=self._preferred_runners(call.service, records),
            holders=self._largest_part_holders(call, records),
            candidate_with_capacity=candidate_with_capacity,
            rng=self.context.rng,
        )

    def _reserve(
        self, call: forwarding.Call, now: float
    ) -> headroom_lib.Reserve:
        """Returns what a call leaves to more urgent ones at the runners."""
        observed = self.headroom.get(call.service)
        if observed is None or call.is_overdue:
            return headroom_lib.NOTHING
        if not self.context.settings.decisions.headroom:
            return headroom_lib.NOTHING
        fleet, _ = self._fleet(call.service, now)
        return observed.reserve(call, fleet, now)

    def _fleet(
        self, service: str, now: float
    ) -> tuple[headroom_lib.Fleet, tuple[str, ...]]:
        """Returns the size of a service and the identities of its targets."""
        at, fleet, identities = self._fleets.get(service, _NO_FLEET)
        if now - at < FLEET_MAX_AGE_S:
            return fleet, identities
        eligible = self.context.targets.eligible(service, now)
        found = tuple(sorted(record.identity for record in eligible))
        if found != identities:
            identities = found
        fleet = headroom_lib.Fleet(
            self.count_instances(),
            len(identities),
            prefill_tokens_per_s=self.prefill_tokens_per_s(service),
            occupancy_s=self.occupancy_s(service),
            first_event_s=self.first_event_s(service),
        )
        self._fleets[service] = now, fleet, identities
        return fleet, identities

    def _kept_targets(
        self, service: str, share: float, now: float
    ) -> frozenset[str]:
        """Returns the runners that long prompts of a service leave free."""
        _, identities = self._fleet(service, now)
        key = identities, int(share * len(identities))
        cached = self._kept_by_service.get(service)
        if cached is None or cached[0] != key:
            kept = headroom_lib.kept_targets(service, identities, share)
            cached = self._kept_by_service[service] = (key, kept)
        return cached[1]

    def _preferred_runners(
        self, service: str, records: list[targets.TargetRecord]
    ) -> frozenset[str]:
        if not self.context.settings.decisions.runner_subsets:
            return frozenset(record.identity for record in records)
        instance = self.context.settings.instance
        key = (
            tuple(record.identity for record in records),
            self.count_zone_instances(),
        )
        cached = self._preferred_by_service.get(service)
        if cached is None or cached[0] != key:
            preferred = subset.preferred_targets(
                records,
                instance=instance.name,
                zone=instance.zone,
                instance_count=key[1],
            )
            cached = self._preferred_by_service[service] = (key, preferred)
        return cached[1]

    def _largest_part_holders(
        self, call: forwarding.Call, records: list[targets.TargetRecord]
    ) -> Container[str]:
        """Returns the addresses of the holders of the largest shared part."""
        if len(call.prompt.parts) < 2 or not records:
            return ()
        if not self.context.settings.decisions.prefix_affinity:
            return ()
        # All parts but the last may be shared with other prompts. The largest
        # of them saves most prefill where it is cached, so its holders are
        # compared in addition to the sample.
        part = max(call.prompt.parts[:-1], key=lambda part: part.tokens)
        version = records[0].weight_version
        key = parts_lib.part_key(self._scope(version, call), part.part_id)
        return self.directory.tokens_by_source.get(key, {})

    def _links_to_holders(
        self,
        call: forwarding.Call,
        candidates: list[choice_lib.TargetCandidate],
        engine: document.EngineConfig,
        now: float,
    ) -> dict[str, fetch_plan_lib.Link]:
        """Returns the links to the sources that hold parts of a prompt."""
        if not self.context.settings.decisions.cache_fetches:
            return {}
        versions = {c.record.weight_version for c in candidates}
        scopes = [self._scope(v, call) for v in versions]
        addresses = {
            address
            for scope in scopes
            for part in call.prompt.parts
            for address in self.directory.tokens_by_source.get(
                parts_lib.part_key(scope, part.part_id), ()
            )
        }
        if not addresses:
            return {}
        links = self.sources.runner_links(call.service, engine, addresses, now)
        for link in self.sources.stores(now):
            links[link.address] = link
        return {
            address: link
            for address, link in links.items()
            if self.context.allows_zone(call.regions, link.zone)
        }

    def record_placed(
        self, call: forwarding.Call, placement: choice_lib.Placement, now: float
    ) -> list[str]:
        """Records the expected effect of a placement on cached parts.

        Returns:
            Address of the store to save each part at; empty for none.
        """
        if placement.fetch_plan is None:
            return []
        observed = self.headroom.get(call.service)
        if observed is None:
            observed = self.headroom[call.service] = headroom_lib.Headroom()
        observed.record_start(call, placement.tokens_to_prefill, now)
        for part in call.prompt.parts:
            self.directory.add_expected(
                placement.record.address,
                parts_lib.part_key(placement.salt, part.part_id),
                now + EXPECTED_PART_TTL_S,
            )
        if not self.context.settings.decisions.cache_fetches:
            return []
        return fetch_plan_lib.plan_storage(
            call.prompt,
            placement.salt,
            directory=self.directory,
            stores=[
                store
                for store in self.sources.stores(now)
                if self.context.allows_zone(call.regions, store.zone)
            ],
            free_tokens=self.sources.store_free_tokens,
            zone=placement.record.zone,
        )


def _cost_of(priced: tuple[float, choice_lib.Placement]) -> float:
    return priced[0]
