// Dispatch of events and timers through tables of functions.
#include "world/dispatch_func.h"

#include "call/admission_func.h"
#include "call/attempt_func.h"
#include "call/backend_func.h"
#include "call/backend_notice_func.h"
#include "call/backend_speed_func.h"
#include "call/call_func.h"
#include "fleet/gossip_func.h"
#include "store/store_func.h"
#include "ticket/ticket_func.h"
#include "world/shutdown_func.h"
#include "world/world.h"

#include <array>
#include <utility>

namespace radishford {

namespace {

// Handler for one event type.
using EventHandler = void (*)(World &, const Event &);

// Calls the handle() overload for the alternative of Event at the index.
template<std::size_t Index>
void handleAlternative(World &world, const Event &event)
{
    handle(world, std::get<Index>(event));
}

// Creates the table of the handlers for all event types, indexed by alternative of Event.
template<std::size_t... Indexes>
constexpr std::array<EventHandler, sizeof...(Indexes)> makeEventHandlers(std::index_sequence<Indexes...>)
{
    return {handleAlternative<Indexes>...};
}

constexpr auto EventHandlers = makeEventHandlers(std::make_index_sequence<std::variant_size_v<Event>>());

// Handler for one timer kind.
using TimerHandler = void (*)(World &, std::uint64_t);

// Timer handlers, indexed by TimerKind. The order must be that of the enumerators.
constexpr std::array<TimerHandler, static_cast<std::size_t>(TimerKind::Count)> TimerHandlers{
    expireCall, // CallDeadline
    expireOffer, // OfferReply
    expireWithdrawal, // WithdrawReply
    expireAdmission, // AdmissionDeadline
    expireConfirmation, // ConfirmationDue
    startHedge, // Hedge
    expireRetryWait, // CallRetry
};

} // namespace

void runEventDispatch(World &world)
{
    const Inbox inbox = std::exchange(world.inbox_, Inbox());
    for (const Event &event : inbox) {
        EventHandlers[event.index()](world, event);
    }
}

void runTimerDispatch(World &world)
{
    while (world.timers_.nextDue() <= world.now_) {
        const Timer timer = world.timers_.pop();
        TimerHandlers[static_cast<std::size_t>(timer.kind_)](world, timer.rowId_);
    }
}

} // namespace radishford
