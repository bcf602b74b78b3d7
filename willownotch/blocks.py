"""The blocks of a settings file, each declared by the subsystem that owns it."""

from __future__ import annotations

from typing import Annotated

import msgspec

from willownotch.bodies.settings import BodiesSettings
from willownotch.channel.settings import ChannelSettings
from willownotch.controlplane.settings import FollowSettings, MemberSettings
from willownotch.lease.settings import LeaseSettings
from willownotch.peers.settings import PeersSettings
from willownotch.replica.settings import ReplicaSettings
from willownotch.settings.types import NestedBlock
from willownotch.shared.settings import SharedSettings
from willownotch.usage.settings import UsageSettings


class Blocks(msgspec.Struct, frozen=True):
    """All blocks that a settings file may contain."""

    bodies: Annotated[BodiesSettings, NestedBlock(BodiesSettings)] = BodiesSettings()
    control: Annotated[ChannelSettings, NestedBlock(ChannelSettings)] = ChannelSettings()
    follow: Annotated[FollowSettings, NestedBlock(FollowSettings)] = FollowSettings()
    lease: Annotated[LeaseSettings, NestedBlock(LeaseSettings)] = LeaseSettings()
    member: Annotated[MemberSettings, NestedBlock(MemberSettings)] = MemberSettings()
    peers: Annotated[PeersSettings, NestedBlock(PeersSettings)] = PeersSettings()
    replica: Annotated[ReplicaSettings, NestedBlock(ReplicaSettings)] = ReplicaSettings()
    shared: Annotated[SharedSettings, NestedBlock(SharedSettings)] = SharedSettings()
    usage: Annotated[UsageSettings, NestedBlock(UsageSettings)] = UsageSettings()

    def faults(self) -> list[tuple[str, str]]:
        """Returns settings of different blocks that contradict each other, as field and error text."""
        requirement = "wanted: a 'peers' block with 'listen' and 'keys'"
        found = []
        if self.usage.count and self.peers.listen is None:
            found.append(("usage", f"'count yes' without peers, {requirement}"))
        if self.replica.enabled() and self.peers.listen is None:
            found.append(("replica", f"'acks' without peers, {requirement}"))
        if self.lease.enabled() and self.peers.listen is None:
            found.append(("lease", f"duties without peers, {requirement}"))
        if self.shared.enabled() and self.peers.listen is None:
            found.append(("shared", f"'budgets' or 'judgements' without peers, {requirement}"))
        if self.member.enabled() and self.peers.listen is None:
            found.append(("member", f"'folder' without peers, {requirement}"))
        if self.shared.budgets and self.usage.share_quotas:
            found.append(("shared", "both 'budgets' and 'share-quotas' of usage, allowed: one of them"))
        return found
