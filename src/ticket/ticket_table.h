// Active objects, and the state of reads, pulls and submissions of tickets.
#pragma once

#include "core/clock_type.h"
#include "ticket/ticket_type.h"

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace radishford {

// Key of an object: the index of its kind in ObjectSpec, and its name.
struct ObjectKey {
    std::size_t kind_ = 0;
    std::string name_;
    auto operator<=>(const ObjectKey &) const = default;
};

// An operator's ticket that is being written to the store.
struct Submission {
    // Identifies the operator's request at the front end.
    std::uint64_t requestHandle_ = 0;
    Ticket ticket_;
    // Time at which the submission ends with an unknown outcome.
    Millis expiresAt_;
    // Number of the pending store request, or zero while waiting to send.
    std::uint64_t request_ = 0;
    Millis nextSendAt_;
    // True once the response to a write was lost, so that the write may have taken effect.
    bool mayBeWritten_ = false;
};

// Active configuration of this daemon.
struct TicketTable {
    std::map<ObjectKey, TicketObject> objects_;
    // All tickets up to this one are known.
    TicketNumber highestTicket_;
    // Highest ticket number seen in any message.
    TicketNumber highestSeen_;
    // True once this daemon knows that its configuration is current enough to serve.
    bool isCurrent_ = false;
    // Failure domains from which a daemon with a current configuration has sent a message.
    std::set<std::string> currentDomains_;
    // True once the store has confirmed in a transaction that no ticket follows the highest one, or a desired state came from the store or
    // from a peer that serves.
    bool isVerified_ = false;
    // Number of the pending confirmation request, or zero.
    std::uint64_t verifyRequest_ = 0;
    // Time at which the running pull is abandoned; never() when none runs.
    Millis pullDeadline_ = Millis::never();
    // Address of a peer with a higher ticket; its port is zero when none is known.
    Address pullPeer_;
    // Number of the pending read request, or zero.
    std::uint64_t readRequest_ = 0;
    Millis nextReadAt_;
    std::vector<Submission> submissions_;
};

} // namespace radishford
