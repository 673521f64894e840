"""All messages that instances exchange, in schema order."""

from chivelb_core.claims import messages as claim_messages
from chivelb_core.consensus import messages as consensus_messages
from chivelb_core.kv_cache import messages as kv_cache_messages
from chivelb_core.membership import messages as membership_messages
import msgspec

from chivelb_node.wire import messages
from chivelb_node.wire import relay_messages

# The position determines the field's ordinal in the schema: append new
# messages at the end, never reorder or remove any.
MESSAGES: tuple[type[msgspec.Struct], ...] = (
    membership_messages.Ping,
    membership_messages.PingRequest,
    membership_messages.Ack,
    consensus_messages.VoteRequest,
    consensus_messages.VoteReply,
    consensus_messages.Append,
    consensus_messages.AppendReply,
    consensus_messages.SnapshotPart,
    consensus_messages.SnapshotReply,
    consensus_messages.Disown,
    claim_messages.ClaimRequest,
    claim_messages.ClaimReply,
    claim_messages.ClaimRelease,
    claim_messages.ClaimSettle,
    claim_messages.ClaimAck,
    claim_messages.ListingRequest,
    claim_messages.ListingReply,
    claim_messages.KeeperHello,
    kv_cache_messages.CacheUpdates,
    kv_cache_messages.CacheListing,
    kv_cache_messages.Lookup,
    kv_cache_messages.LookupReply,
    kv_cache_messages.LeaseBlocks,
    kv_cache_messages.ReleaseBlocks,
    kv_cache_messages.ReserveBlocks,
    kv_cache_messages.SealBlocks,
    kv_cache_messages.TouchBlocks,
    kv_cache_messages.BlockRefs,
    messages.VersionAnnouncement,
    messages.Pull,
    messages.Deltas,
    messages.FullDocument,
    messages.ChangeRequest,
    messages.ChangeReply,
    messages.LeaseRequest,
    messages.LeaseReply,
    messages.ReadRequest,
    messages.ReadReply,
    messages.TargetUpdates,
    messages.TargetLeaving,
    messages.LoadUpdate,
    messages.CrashObservations,
    messages.StatusRequest,
    messages.StatusReply,
    messages.VoterHello,
    messages.VoterState,
    messages.JoinRequest,
    messages.JoinReply,
    messages.Refusal,
    messages.CommandRequest,
    messages.CommandReply,
    messages.TargetDigest,
    messages.TargetHold,
    messages.Confirmation,
    messages.PartUpdates,
    messages.PartPull,
    messages.SourceUnreachable,
    messages.PartUpdateBatch,
    messages.LoadReport,
    messages.StreamStarts,
    messages.StreamOriginRequest,
    messages.StreamOriginReply,
    messages.PartEvidence,
    messages.SuspectsDigest,
    messages.SuspectsReply,
    messages.LimitNotice,
    messages.GrantRequest,
    messages.GrantReply,
    relay_messages.RelayRequest,
    relay_messages.RelayData,
    relay_messages.RelayHead,
    relay_messages.RelayEnd,
    relay_messages.RelayRefusal,
    relay_messages.RelayFailure,
    messages.TargetFull,
    messages.LoadQuery,
    messages.SharingLeaseRequest,
    messages.SharingEndRequest,
    messages.VoterAgreement,
    messages.TargetCold,
)


def schema_name(struct: type) -> str:
    """Returns a struct's name in the schema: ``SCHEMA_NAME`` or its own."""
    return getattr(struct, "SCHEMA_NAME", struct.__name__)


def field_name(message_type: type) -> str:
    """Returns the name of a message's field in the envelope's union."""
    name = schema_name(message_type)
    return name[0].lower() + name[1:]
