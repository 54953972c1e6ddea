"""Identifier types shared by all packages."""

from typing import NewType

__all__ = [
    "CrashId",
    "ExchangeId",
    "Incarnation",
    "IdempotencyKey",
    "Offset",
    "OrganisationId",
    "OriginMark",
    "PromptPartId",
    "PoolName",
    "RegionName",
    "RequestId",
    "RouterId",
    "ServiceName",
    "SoftwareVersion",
    "StreamKey",
    "TrialId",
    "UpstreamId",
    "ZoneName",
]

CrashId = NewType("CrashId", str)
ExchangeId = NewType("ExchangeId", str)
IdempotencyKey = NewType("IdempotencyKey", str)
Incarnation = NewType("Incarnation", int)
Offset = NewType("Offset", int)
OrganisationId = NewType("OrganisationId", str)
OriginMark = NewType("OriginMark", bytes)
PromptPartId = NewType("PromptPartId", bytes)
PoolName = NewType("PoolName", str)
RegionName = NewType("RegionName", str)
RequestId = NewType("RequestId", str)
RouterId = NewType("RouterId", str)
ServiceName = NewType("ServiceName", str)
SoftwareVersion = NewType("SoftwareVersion", str)
StreamKey = NewType("StreamKey", bytes)
TrialId = NewType("TrialId", str)
UpstreamId = NewType("UpstreamId", str)
ZoneName = NewType("ZoneName", str)
