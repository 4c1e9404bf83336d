// Applies objects of tickets to the active configuration.
#include "call/suspect_func.h"
#include "fleet/gossip_func.h"
#include "measure/measurement_budget_func.h"
#include "ticket/route_func.h"
#include "ticket/ticket_func.h"
#include "world/world.h"

#include <array>
#include <utility>

namespace radishford {

namespace {

// Returns the key by which the ticket table stores an object.
ObjectKey keyOf(const TicketObject &object)
{
    return ObjectKey{object.spec_.index(), object.name_};
}

// A changed service needs no further action, since each call looks it up.
void applySideEffects(World & /*world*/, const TicketObject & /*object*/, const ServiceSpec & /*spec*/)
{
}

// A changed budget sets the rates of the measurement budget.
void applySideEffects(World &world, const TicketObject & /*object*/, const MeasurementBudgetSpec &spec)
{
    applyMeasurementBudget(world, spec);
}

// A drain of this instance is published in its membership record.
void applySideEffects(World &world, const TicketObject &object, const DrainSpec & /*spec*/)
{
    if (world.settings_.name_.value() == object.name_) {
        publishOwnRecord(world);
    }
}

// A changed quarantine refuses or allows requests with the fingerprint.
void applySideEffects(World &world, const TicketObject &object, const QuarantineSpec &spec)
{
    applyQuarantine(world, object.name_, spec.isQuarantined_);
}

// A changed desired state rebuilds the index by which routes are looked up.
void applySideEffects(World &world, const TicketObject & /*object*/, const RoutingSpec &spec)
{
    rebuildRouteIndex(world.routes_, spec);
}

// Finds an object by name among those of one kind. Index is the kind's index in ObjectSpec.
template<typename Spec, std::size_t Index>
const Spec *findObject(const TicketTable &tickets, const std::string &name)
{
    const auto found = tickets.objects_.find(ObjectKey{Index, name});
    return found == tickets.objects_.end() ? nullptr : &std::get<Index>(found->second.spec_);
}

} // namespace

bool applyObject(World &world, const TicketObject &object)
{
    TicketTable &tickets = world.tickets_;
    const auto known = tickets.objects_.find(keyOf(object));
    if (known != tickets.objects_.end() && known->second.number_ >= object.number_) {
        return false;
    }
    tickets.objects_.insert_or_assign(keyOf(object), object);
    world.counters_.add(Counter::TicketsApplied);
    std::visit([&](const auto &spec) { applySideEffects(world, object, spec); }, object.spec_);
    return true;
}

TicketBatch objectsSetAfter(const World &world, TicketNumber after)
{
    TicketBatch batch;
    batch.after_ = after;
    batch.highestTicket_ = world.tickets_.highestTicket_;
    batch.isCurrent_ = world.tickets_.isCurrent_;
    for (const auto &[key, object] : world.tickets_.objects_) {
        if (object.number_ > after) {
            batch.objects_.push_back(object);
        }
    }
    return batch;
}

ResultCode validateTicket(const World &world, const Ticket &ticket)
{
    if (!world.tickets_.isCurrent_) {
        return ResultCode::NotReady;
    }
    if (ticket.number_.value() <= world.tickets_.highestTicket_.value()) {
        return ResultCode::TicketConflict;
    }
    if (ticket.number_.value() != world.tickets_.highestTicket_.value() + 1) {
        return ResultCode::TicketNotNext;
    }
    return ResultCode::Ok;
}

const ServiceSpec *findService(const World &world, const ServiceName &name)
{
    return findObject<ServiceSpec, 0>(world.tickets_, name.value());
}

bool isDrainedByTicket(const World &world, const InstanceName &name)
{
    const auto *spec = findObject<DrainSpec, 2>(world.tickets_, name.value());
    return spec != nullptr && spec->isDraining_;
}

} // namespace radishford
