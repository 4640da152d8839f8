"""A member's replies on the control socket: rows of plain values, by column names that operators rely on."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from glenchute.policy.membership.endpoint_sharing import ACTIVE_RANK
from glenchute.policy.membership.replica import RowKind

if TYPE_CHECKING:
    from .node import MemberNode

Rows = list[dict[str, Any]]
MAX_SHOWN_AGE_S = 1e6  # largest age shown: that of a list that was never confirmed is infinite


def show_members(node: MemberNode) -> Rows:
    """Returns a row per member, this process first."""
    now, members = node.loop.time(), node.members
    own_row = {"name": node.name, "state": members.own_state().name.lower(), "for_s": 0.0,
               "incarnation": members.incarnation, "boot": f"{node.boot:x}",
               "conflicts": members.name_conflicts.get(node.name, 0)}  # fmt: skip
    rows = [
        {"name": member.name, "state": member.state.name.lower(),
         "for_s": round(now - member.state_since, 1), "incarnation": member.incarnation,
         "boot": f"{member.boot:x}", "conflicts": members.name_conflicts.get(member.name, 0)}
        for member in members.members.values()
    ]  # fmt: skip
    return [own_row, *rows]


def show_list(node: MemberNode) -> Rows:
    """Returns one row on the shared endpoint list, or none where it is not shared."""
    shared_list = node.endpoint_sync.shared_list
    if shared_list is None:
        return []
    age_s = node.loop.time() - shared_list.confirmed_at
    active_count = sum(row.state == ACTIVE_RANK for row in shared_list.endpoints.values())
    return [{"version": shared_list.version, "confirmed_s": round(min(age_s, MAX_SHOWN_AGE_S), 2),
             "servers": active_count, "asks": shared_list.is_poller(node.present_members())}]  # fmt: skip


def show_state(node: MemberNode) -> Rows:
    """Returns one row on what this process stores, has sent and has received."""
    replica, gossip, messenger = node.replica, node.gossip, node.messenger
    stored = {kind.name.lower(): len(replica.keys_by_age[kind]) for kind in RowKind}
    evicted = {f"evicted_{kind.name.lower()}": replica.evicted_counts[kind] for kind in RowKind}
    drains, usage_audit = node.endpoint_sync.drains, node.audit.usage_audit
    stored["health_rows"] = stored.pop(RowKind.HEALTH.name.lower())  # `health` is this process' local health
    stored |= {"denied": drains.revoked_count, "on_trial": len(drains.provisional),
               "avoided": len(node.reporter.health.peer_reports), "audited": usage_audit.compared_count,
               "use_apart": len(usage_audit.mismatches)}  # fmt: skip
    return [{**stored, **evicted, "known": gossip.is_complete,
             "share": round(node.known_share(messenger.widest_subset), 3),
             "health": node.members.local_health, "sent_bytes": gossip.sent_bytes + messenger.sent_bytes,
             "numbered": bool(messenger.ring.offsets), "use_bytes": messenger.sent_bytes,
             "words_sent": messenger.entries_sent, "words_owed": messenger.pending_count,
             "mail_dropped": messenger.dropped_batches, "rows_sent": gossip.rows_sent,
             "rows_taken": gossip.rows_merged, "datagrams": node.datagram_count,
             **{f"dropped_{why}": count for why, count in sorted(node.dropped_datagrams.items())},
             }]  # fmt: skip


def show_conflicts(node: MemberNode) -> Rows:
    """Returns a row per conflict between replicas, the latest last."""
    return [
        {"kind": conflict.retained.kind.name.lower(), "key": conflict.retained.key,
         "writer": conflict.retained.writer, "version": conflict.retained.version,
         "kept": conflict.retained.value, "other": conflict.discarded.value, "from": conflict.sender}
        for conflict in node.replica.conflicts
    ]  # fmt: skip


def show_digest(node: MemberNode) -> Rows:
    """Returns one hash over all compared rows. It is equal at members whose replicas agree."""
    digest = 0
    for bucket_hash in node.replica.child_hashes(node.loop.time(), None):
        digest ^= bucket_hash
    return [{"digest": f"{digest:016x}", "rows": len(node.replica.rows)}]
