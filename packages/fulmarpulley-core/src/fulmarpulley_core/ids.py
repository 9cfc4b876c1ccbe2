"""Define distinct types for the identifiers of the system."""

from typing import NewType

NodeId = NewType("NodeId", str)
ServiceName = NewType("ServiceName", str)
RouteName = NewType("RouteName", str)
StepId = NewType("StepId", str)
ItemId = NewType("ItemId", str)
UpstreamId = NewType("UpstreamId", str)
TrainerId = NewType("TrainerId", str)
TenantId = NewType("TenantId", str)
RequestKey = NewType("RequestKey", str)
WorkId = NewType("WorkId", str)
AttemptId = NewType("AttemptId", str)
OrderId = NewType("OrderId", str)
RecordId = NewType("RecordId", str)
Region = NewType("Region", str)
DataCentre = NewType("DataCentre", str)
ModelName = NewType("ModelName", str)
PrefixId = NewType("PrefixId", str)
RequestDigest = NewType("RequestDigest", str)

Offset = NewType("Offset", int)
Revision = NewType("Revision", int)
Version = NewType("Version", int)
StepNumber = NewType("StepNumber", int)
FenceNumber = NewType("FenceNumber", int)
Partition = NewType("Partition", int)
