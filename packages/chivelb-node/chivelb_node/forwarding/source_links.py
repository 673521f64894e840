"""Network links to the runners and stores that KV cache is fetched from."""

from collections.abc import Container

from chivelb_core import document
from chivelb_core.forwarding import fetch_plan as fetch_plan_lib
from chivelb_core.kv_cache import parts as parts_lib

from chivelb_node import context as context_lib

STORE_MAX_FILL_RATIO = 0.97


class SourceLinks:
    """Links to sources that sent a message recently.

    Sources in evacuated availability zones are left out.

    Attributes:
        context: Shared state of the instance.
        directory: Prompt parts by the source that holds their KV cache.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        directory: parts_lib.PartDirectory,
    ) -> None:
        """Creates the links of the document in force, once they are used."""
        self.context = context
        self.directory = directory
        self._stores_version = -1
        self._store_links: list[fetch_plan_lib.Link] = []
        self._store_tokens: dict[str, int] = {}

    def runner_links(
        self,
        service: str,
        engine: document.EngineConfig,
        addresses: Container[str],
        now: float,
    ) -> dict[str, fetch_plan_lib.Link]:
        """Returns the links to runners at some addresses."""
        return {
            entry.record.address: fetch_plan_lib.Link(
                entry.record.address,
                entry.record.zone,
                engine.link_bytes_per_s,
                0.0,  # setup_s
                False,  # is_store
            )
            for entry in self.context.targets.entries.values()
            if entry.record.address in addresses
            and entry.record.service == service
            and not entry.is_leaving
            and not self._is_evacuated(entry.record.zone)
            and self._has_recent_message(entry.record.address, now)
        }

    def stores(self, now: float) -> list[fetch_plan_lib.Link]:
        """Returns the links to stores that sent a message recently."""
        return [
            link
            for link in self._configured_stores()
            if not self._is_evacuated(link.zone)
            and self._has_recent_message(link.address, now)
        ]

    def _is_evacuated(self, zone: str) -> bool:
        return zone in self.context.targets.evacuated_zones

    def _configured_stores(self) -> list[fetch_plan_lib.Link]:
        """Returns the links to the stores of the document in force."""
        if self._stores_version != self.context.version:
            stores = [
                service.store
                for service in self.context.document.services.values()
                if service.store is not None
            ]
            self._store_links = [
                fetch_plan_lib.Link(
                    store.address,
                    store.zone,
                    store.link_bytes_per_s,
                    store.setup_s,
                    True,  # is_store
                )
                for store in stores
            ]
            self._store_tokens = {
                store.address: store.kv_tokens for store in stores
            }
            self._stores_version = self.context.version
        return self._store_links

    def _has_recent_message(self, address: str, now: float) -> bool:
        source = self.directory.sources.get(address)
        if source is None:
            return False
        return now - source.last_message_at < fetch_plan_lib.SOURCE_TIMEOUT_S

    def store_free_tokens(self, address: str) -> int:
        """Returns the free capacity of a store, in tokens."""
        # Total of the tokens of all parts that the store holds.
        stored_tokens = self.directory.source(address).total_tokens
        capacity = self._store_tokens[address] * STORE_MAX_FILL_RATIO
        return int(capacity) - stored_tokens


def permitted_addresses(
    context: context_lib.InstanceContext,
    addresses: list[str],
    regions: frozenset[str] | None,
) -> list[str]:
    """Returns addresses with an empty one for each that must not be used.

    These are sources and stores in evacuated zones and, for a request that is
    restricted to regions, all that are not known to be in one of them.

    Args:
        context: Shared state of the instance.
        addresses: Address of a source or store for each part of a prompt;
            empty for none.
        regions: Regions that the request may use; None for all.
    """
    evacuated_zones = context.targets.evacuated_zones
    if not any(addresses) or (regions is None and not evacuated_zones):
        return addresses
    zones = {
        entry.record.address: entry.record.zone
        for entry in context.targets.entries.values()
    }
    zones.update(
        (service.store.address, service.store.zone)
        for service in context.document.services.values()
        if service.store is not None
    )

    def is_permitted(address: str) -> bool:
        zone = zones.get(address)
        if zone is None:
            return regions is None
        return zone not in evacuated_zones and context.allows_zone(
            regions, zone
        )

    return [address if is_permitted(address) else "" for address in addresses]
