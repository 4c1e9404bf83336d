// Reading and merging the instance table.
#pragma once

#include "fleet/instance_base.h"

namespace radishford {

struct World;

// True when the first record is newer than the second. A total order over records of one instance, so that merging commutes.
bool supersedes(const InstanceRecord &first, const InstanceRecord &second);

// True when the instance's daemon is believed to run.
bool isRunning(const Instance &instance);

// Merges a record from gossip. Returns true when it was news.
bool mergeRecord(World &world, const InstanceRecord &record);

// Changes health by this daemon's own observation, and spreads it.
void setHealth(World &world, InstanceId id, Health health);

// Takes note that the instance answered on the data path: it is not suspected for missed pings meanwhile.
void noteHeard(World &world, InstanceId id);

// The row at an address, or an invalid id.
InstanceId instanceAt(const World &world, const Address &address);

// Region of an address, or the own region when it is unknown.
RegionId regionOf(const World &world, const Address &address);

// Own region.
RegionId ownRegion(const World &world);

// Index of a failure domain by name; -1 when the places do not list it.
int domainIndex(const World &world, const std::string &name);

// Region of a failure domain: the index of the region's first place.
RegionId regionOfDomain(const World &world, FailureDomainId domain);

// Number of daemons believed to run in a region.
std::int64_t runningInRegion(const World &world, RegionId region);

// Name of a region.
const std::string &regionName(const World &world, RegionId region);

// Removes the row of an instance that is gone for good.
void forgetInstance(World &world, InstanceId id);

} // namespace radishford
