// The systems of a tick, in the order in which they run.
#pragma once

#include "call/admission_func.h"
#include "call/backend_func.h"
#include "call/backend_speed_func.h"
#include "call/call_func.h"
#include "call/suspect_func.h"
#include "fleet/directory_func.h"
#include "fleet/gossip_func.h"
#include "measure/measurement_budget_func.h"
#include "measure/probe_func.h"
#include "store/claim_func.h"
#include "store/quarantine_store_func.h"
#include "ticket/routing_watch_func.h"
#include "ticket/ticket_func.h"
#include "world/dispatch_func.h"
#include "world/shutdown_func.h"

#include <array>
#include <string_view>

namespace radishford {

// A system.
struct SystemEntry {
    // Name in traces and documentation.
    std::string_view name_;
    // Runs the system once in a tick.
    void (*run_)(World &);
    // Returns the time at which the system is due even without events; nullptr when timers or other systems determine it.
    Millis (*nextDue_)(const World &);
};

// All systems. To add a system, add an entry here.
inline constexpr std::array Systems{
    SystemEntry{"receive", runEventDispatch, nullptr},
    SystemEntry{"expire", runTimerDispatch, nullptr},
    SystemEntry{"membership", runMembership, nextMembershipDue},
    SystemEntry{"directory", runDirectory, nextDirectoryDue},
    SystemEntry{"ticket", runTickets, nextTicketsDue},
    SystemEntry{"watch", runRoutingWatch, nextRoutingWatchDue},
    SystemEntry{"suspect", runSuspects, nextSuspectsDue},
    SystemEntry{"quarantine", runQuarantineStore, nextQuarantineStoreDue},
    SystemEntry{"claim", runClaims, nextClaimsDue},
    SystemEntry{"gate", runBackendSpeed, nextBackendSpeedDue},
    SystemEntry{"admit", runAdmit, nextAdmitDue},
    SystemEntry{"route", runRoute, nullptr},
    SystemEntry{"probe", runProbes, nextProbesDue},
    SystemEntry{"shutdown", runShutdown, nextShutdownDue},
    SystemEntry{"budget", runMeasurementBudget, nullptr},
};

} // namespace radishford
