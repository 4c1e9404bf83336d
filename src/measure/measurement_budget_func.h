// Enforces the measurement budget and counts every outgoing datagram.
#pragma once

#include "core/units_type.h"
#include "fleet/datagram_type.h"
#include "ticket/ticket_type.h"

namespace radishford {

struct World;

// Activates the budget of a ticket: sets the limits of this daemon and of each region pair. Called when a ticket changes the budget.
void applyMeasurementBudget(World &world, const MeasurementBudgetSpec &spec);

// Takes the bytes of a measurement message to a region from the budget, and one probe if it is a probe. Returns false without taking
// anything when this daemon's limit or the limit of the region pair does not allow it.
bool tryTakeMeasurementBudget(World &world, RegionId toRegion, Bytes bytes, bool isProbe);

// Upper bound of a datagram's size on the network in bytes, IP and UDP headers included.
Bytes maxDatagramWireSize(const Datagram &datagram);

// Counts the datagrams in the outbox of this tick by purpose and region, and removes measurement messages that exceed the budget.
void runMeasurementBudget(World &world);

} // namespace radishford
