// Objects in force and how this daemon learned them.
#pragma once

#include "core/clock_type.h"
#include "ticket/ticket_type.h"

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace radishford {

// Names an object: its kind, as index of ObjectSpec, and its name.
struct ObjectKey {
    std::size_t kind_ = 0;
    std::string name_;
    auto operator<=>(const ObjectKey &) const = default;
};

// A ticket on its way to the store.
struct Submission {
    // The front end's name of the operator's request.
    std::uint64_t handle_ = 0;
    Ticket ticket_;
    // When the outcome is given up as unknown.
    Millis expiresAt_;
    // Store request, or zero while waiting to send again.
    std::uint64_t request_ = 0;
    Millis nextSendAt_;
    // True once a write was sent whose answer was lost.
    bool mayBeWritten_ = false;
};

// Configuration in force at this daemon.
struct TicketTable {
    std::map<ObjectKey, TicketObject> objects_;
    // Every ticket up to this one is known.
    TicketNumber highest_;
    // Highest number heard of.
    TicketNumber heard_;
    // True once this daemon knows that highest_ is current enough to serve by.
    bool current_ = false;
    // Failure domains in which a daemon with current configuration answered.
    std::set<std::string> currentDomains_;
    // True once the store has confirmed in a transaction that no ticket follows the highest one.
    bool verified_ = false;
    // Running confirmation, or zero.
    std::uint64_t verifyRequest_ = 0;
    // Running pull from a peer: when it is given up; never() when none.
    Millis pullDeadline_ = Millis::never();
    // Who has a higher ticket, and where it is.
    Address pullPeer_;
    // Running read of the store, or zero.
    std::uint64_t readRequest_ = 0;
    Millis nextReadAt_;
    std::vector<Submission> submissions_;
};

} // namespace radishford
