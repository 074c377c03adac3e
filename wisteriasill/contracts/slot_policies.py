"""Builds slot policies by name."""

from __future__ import annotations

import random

from wisteriasill import clock as clocks
from wisteriasill import settings as settings_module
from wisteriasill.contracts import slots
from wisteriasill.contracts import slots_by_credit
from wisteriasill.contracts import slots_exchanged
from wisteriasill.links import peer_messages
from wisteriasill.zones import site as sites


def build(
    settings: settings_module.EntrySettings,
    site: sites.Site,
    mesh: peer_messages.PeerMesh,
    clock: clocks.Clock,
) -> slots.SlotPolicy:
    """Builds the slot policy that the settings name.

    Args:
        settings: Settings of this entry host.
        site: View of the site.
        mesh: Links to peers.
        clock: Source of monotonic time.

    Returns:
        The policy, not started.

    Raises:
        ValueError: If the settings name an unknown policy.
    """
    rng = random.Random(settings.member_id)
    if settings.slot_policy == "independent":
        return slots.IndependentSlots(rng)
    if settings.slot_policy == "exchanged":
        return slots_exchanged.ExchangedSlots(mesh, rng, clock)
    if settings.slot_policy == "lent":
        return slots_by_credit.CreditBasedSlots(
            settings, site, mesh, rng, clock
        )
    raise ValueError(f"slot_policy: unknown policy {settings.slot_policy!r}")
