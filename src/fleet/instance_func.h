// Lookups in the instance table and the merge of gossip records.
#pragma once

#include "fleet/instance_base.h"

namespace radishford {

struct World;

// True when the first record is newer than the second. This is a total order over the records of one instance, so that the result of
// merging does not depend on the order of arrival.
bool supersedes(const InstanceRecord &first, const InstanceRecord &second);

// True when the instance's daemon is believed to run.
bool isRunning(const Instance &instance);

// Merges a record from gossip. Returns true when it changed the table.
bool mergeRecord(World &world, const InstanceRecord &record);

// Changes the health of an instance after an observation of this daemon, and queues the record for gossip.
void setHealth(World &world, InstanceId id, Health health);

// Records that the instance replied on the data path; a ping that it missed before this time does not make it suspect.
void recordDataPathReply(World &world, InstanceId id);

// Instance with the given daemon address, or an invalid id.
InstanceId findInstanceByAddress(const World &world, const Address &address);

// Region of the instance with the given address, or this daemon's region when the address is unknown.
RegionId regionOfAddress(const World &world, const Address &address);

// Region of this daemon.
RegionId ownRegion(const World &world);

// Index of a failure domain by name; -1 when the list of places does not contain it.
int findDomainIndex(const World &world, const std::string &name);

// Region of a failure domain; its id is the index of the first place in that region.
RegionId regionOfDomain(const World &world, FailureDomainId domain);

// Number of daemons believed to run in a region.
std::int64_t countRunningInRegion(const World &world, RegionId region);

// Name of a region as in the settings.
const std::string &regionName(const World &world, RegionId region);

// Removes the row of an instance and its index entries. The id becomes invalid.
void removeInstance(World &world, InstanceId id);

} // namespace radishford
