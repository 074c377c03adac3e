"""Granter's side of the credit protocol: grants and recalls credits."""

from __future__ import annotations

import math
import uuid

from wisteriasill.contracts import credit_ledger
from wisteriasill.contracts import slot_credit
from wisteriasill.links import peer_messages
from wisteriasill.zones import site as sites

# Minimum time between two recalls of a target's idle credits. More frequent
# recalls cost more processor time than they gain.
RECALL_SECONDS = 0.1

Outgoing = slot_credit.Outgoing


class CreditGranter:
    """Grants credits for the targets whose granter is this member.

    Each method returns the messages to send. Not thread safe.

    Args:
        site: View of the site, with the targets' slots.
    """

    def __init__(self, site: sites.Site) -> None:
        self._site = site
        self._incarnation = uuid.uuid4().hex
        self._ledger = credit_ledger.CreditLedger()
        self._recalled_at: dict[str, float] = {}

    def handle_request(
        self, member_id: str, message: peer_messages.CreditMessage, now: float
    ) -> Outgoing:
        """Answers a request; a denied member is queued."""
        target_id = message["target_id"]
        self._ledger.record_message(member_id, target_id, now)
        grant = self._ledger.request(
            member_id, target_id, message["count"], self.slots_of(target_id)
        )
        if grant.slots:
            return [self._grant_message(grant)]
        return [self._grant_message(grant), *self._recall(grant, now)]

    def handle_return(
        self, member_id: str, message: peer_messages.CreditMessage, now: float
    ) -> Outgoing:
        """Records returned credits and grants them to queued members."""
        target_id = message["target_id"]
        if message["incarnation"] != self._incarnation:
            return []
        self._ledger.record_message(member_id, target_id, now)
        self._ledger.return_credits(member_id, target_id, message["count"])
        return self._grant_to_waiting([target_id])

    def keep_only(self, member_ids: frozenset[str]) -> Outgoing:
        """Reclaims the credits of lost members."""
        return self._grant_to_waiting(self._ledger.keep_only(member_ids))

    def expire_grants(self, now: float) -> Outgoing:
        """Reclaims credits of members without a recent message."""
        return self._grant_to_waiting(self._ledger.expire_grants(now))

    def _grant_to_waiting(self, target_ids: list[str]) -> Outgoing:
        return [
            self._grant_message(grant)
            for target_id in target_ids
            for grant in self._ledger.grant_to_waiting(
                target_id, self.slots_of(target_id)
            )
        ]

    def _recall(self, denied: credit_ledger.Grant, now: float) -> Outgoing:
        """Recalls idle credits from the other holders of a target's slots.

        A recall is a `credit_request` with the granter's incarnation.
        """
        target_id = denied.target_id
        if now - self._recalled_at.get(target_id, -math.inf) < RECALL_SECONDS:
            return []
        self._recalled_at[target_id] = now
        message = slot_credit.message(
            "credit_request", target_id, 0, self._incarnation
        )
        holders = self._ledger.holders(target_id) - {denied.member_id}
        return [(holder, message) for holder in sorted(holders)]

    def slots_of(self, target_id: str) -> int:
        """Returns a target's slots; 0 for an unknown target."""
        known_host = self._site.snapshot.hosts_by_id.get(target_id)
        return known_host.host.slots if known_host is not None else 0

    def _grant_message(
        self, grant: credit_ledger.Grant
    ) -> tuple[str, peer_messages.CreditMessage]:
        return grant.member_id, slot_credit.message(
            "credit_grant", grant.target_id, grant.slots, self._incarnation
        )
