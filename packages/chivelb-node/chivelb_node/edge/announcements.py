"""HTTP handlers for targets: announcements and KV cache events."""

import hashlib
import hmac

from aiohttp import web
from chivelb_core import codes
from chivelb_core import targets
from chivelb_core.kv_cache import directory as directory_lib
import msgspec

from chivelb_node import context as context_lib
from chivelb_node.edge import request_bodies
from chivelb_node.edge import responses
from chivelb_node.links import announcement_forwarding
from chivelb_node.links import cache as cache_lib

MAX_ANNOUNCEMENT_BYTES = 8_388_608
LISTING_INTERVAL_S = 60.0


class Announcement(msgspec.Struct, rename="camel", forbid_unknown_fields=True):
    """Body of ``POST /targets/announce``.

    Attributes:
        record: Description of the target.
        events: KV cache events since the last announcement.
        listing: All cached blocks, if the previous response asked for them.
    """

    record: targets.TargetRecord
    events: list[directory_lib.CacheEvent] = []
    listing: directory_lib.Listing | None = None


class AnnouncementHandlers:
    """Handlers of the routes for targets.

    Attributes:
        context: Shared state of the instance.
        announcement_forwarder: Distributes announcements to peers.
        cache: Distributes KV cache events to directory shards.
        feeds: Cache event feed of each target, by identity.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        announcement_forwarder: announcement_forwarding.AnnouncementForwarder,
        cache: cache_lib.CacheService,
    ) -> None:
        """Creates the handlers."""
        self.context = context
        self.announcement_forwarder = announcement_forwarder
        self.cache = cache
        self.feeds: dict[str, directory_lib.EventFeed] = {}
        self._known_members: list[str] = []
        self._listed_at: dict[str, float] = {}

    def add_routes(self, app: web.Application) -> None:
        """Adds the routes for targets."""
        app.router.add_post("/targets/announce", self.announce)

    async def announce(self, request: web.Request) -> web.Response:
        """Serves ``POST /targets/announce``."""
        try:
            self._authenticate(request)
            with self.context.buffers.open() as charge:
                body = await request_bodies.read_body(
                    request,
                    max_bytes=MAX_ANNOUNCEMENT_BYTES,
                    timeout_s=self.context.settings.http.body_timeout_s,
                    charge=charge,
                )
                announcement = decode_announcement(body)
        except responses.RequestError as error:
            return responses.error_response(
                error.error_detail, "", self.context.rng
            )
        self.announcement_forwarder.apply_announcement(announcement.record)
        listing_wanted = self._apply_cache_state(announcement)
        return web.Response(
            body=msgspec.json.encode(
                {"listing": listing_wanted, "draining": self.context.draining}
            ),
            content_type="application/json",
        )

    def _authenticate(self, request: web.Request) -> None:
        expected_hash = self.context.settings.operators.target_key_hash
        if not expected_hash:
            return
        key = request.headers.get("X-Target-Key", "")
        key_hash = hashlib.sha256(key.encode()).hexdigest()
        if not hmac.compare_digest(key_hash, expected_hash):
            raise responses.RequestError(
                codes.UNAUTHORIZED, "X-Target-Key is missing or invalid"
            )

    def _apply_cache_state(self, announcement: Announcement) -> bool:
        """Applies cache events and returns whether a listing is needed."""
        record = announcement.record
        if record.role == "plain":
            return False
        feed = self.feeds.get(record.identity)
        if feed is None or feed.incarnation != record.incarnation:
            feed = directory_lib.EventFeed(record.incarnation)
            self.feeds[record.identity] = feed
        now = context_lib.monotonic()
        self._reset_listings_on_membership_change(now)
        listing = announcement.listing
        if listing is not None and feed.apply_listing(listing):
            self._listed_at[record.identity] = now
            self.cache.forward_listing(
                record.identity, record.incarnation, listing
            )
        new_events = feed.accept_events(announcement.events)
        if new_events:
            self.cache.forward_events(
                record.identity, record.incarnation, new_events
            )
        listed_at = self._listed_at.get(record.identity, 0.0)
        return feed.needs_listing or now - listed_at > LISTING_INTERVAL_S

    def _reset_listings_on_membership_change(self, now: float) -> None:
        """Requests listings from all targets if the membership changed.

        A membership change moves directory shards to other instances, which
        need the complete contents.
        """
        members = self.announcement_forwarder.gossip.region_members()
        if members != self._known_members:
            self._known_members = members
            self._listed_at.clear()


def decode_announcement(body: bytes) -> Announcement:
    """Decodes and validates an announcement.

    Raises:
        responses.RequestError: The body is not JSON or a field is invalid.
    """
    try:
        announcement = msgspec.json.decode(body, type=Announcement)
    except msgspec.ValidationError as error:
        raise responses.RequestError(codes.BAD_FIELD, str(error)) from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise responses.RequestError(codes.BAD_JSON, str(error)) from None
    errors = targets.validate_record(announcement.record)
    if errors:
        raise responses.RequestError(codes.BAD_FIELD, "; ".join(errors))
    return announcement
