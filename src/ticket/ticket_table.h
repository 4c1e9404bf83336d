// Configuration objects set by change tickets, and the state of reads, pulls and submissions of tickets.
#pragma once

#include "core/clock_type.h"
#include "ticket/ticket_type.h"

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace radishford {

// Key of a configuration object: the index of its alternative in the variant ObjectSpec, and its name.
struct ObjectKey {
    std::size_t kind_ = 0;
    std::string name_;
    auto operator<=>(const ObjectKey &) const = default;
};

// An operator's ticket that is being written to the store.
struct Submission {
    // Identifies the operator's request at the admin server; the result is reported under it.
    std::uint64_t requestHandle_ = 0;
    Ticket ticket_;
    // Time at which the submission ends with an unknown outcome.
    Millis expiresAt_;
    // Id of the pending store request, or zero while waiting to send.
    std::uint64_t storeRequestId_ = 0;
    Millis nextSendAt_;
    // True once the response to a write was lost, so that the ticket may have been written.
    bool mayHaveBeenWritten_ = false;
};

// Active configuration of this daemon and the state of its updates.
struct TicketTable {
    std::map<ObjectKey, TicketObject> objects_;
    // Highest active ticket; all tickets up to this one are known.
    TicketNumber highestTicket_;
    // Highest ticket number seen in any message.
    TicketNumber highestSeen_;
    // True once this daemon knows that its configuration is current enough to serve.
    bool isCurrent_ = false;
    // Failure domains from which a daemon with a current configuration has sent a message. They count towards the quorum that lets this daemon
    // serve without the store.
    std::set<std::string> domainsWithCurrentDaemon_;
    // True when the store has confirmed in its latest response to TicketVerify, in a transaction, that no ticket follows the highest one. In
    // routed deployments: true once a desired state came from the store or from a peer that serves.
    bool isVerified_ = false;
    // Id of the pending TicketVerify request, or zero.
    std::uint64_t verifyRequestId_ = 0;
    // Time at which the running pull is abandoned; never() when none runs.
    Millis pullDeadline_ = Millis::never();
    // Address of a peer with a higher ticket; its port is zero when none is known.
    Address pullPeer_;
    // Id of the pending read request, or zero.
    std::uint64_t readRequestId_ = 0;
    Millis nextReadAt_;
    std::vector<Submission> submissions_;
};

} // namespace radishford
