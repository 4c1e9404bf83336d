// The measuring budget, and the charge of every outgoing message.
#pragma once

#include "core/units_type.h"
#include "fleet/gossip_type.h"
#include "ticket/ticket_type.h"

namespace radishford {

struct World;

// Puts a budget from a ticket in force.
void applyBudget(World &world, const BudgetSpec &spec);

// Takes bytes of measuring traffic to a region, and a probe if it is one. False when any limit forbids it; then nothing is taken.
bool takeMeasuring(World &world, RegionId toRegion, Bytes bytes, bool isProbe);

// Most bytes that a datagram takes on the network, headers included.
Bytes networkSize(const Datagram &datagram);

// Charges what leaves in this tick, and removes measuring messages that the budget forbids.
void runBudget(World &world);

} // namespace radishford
