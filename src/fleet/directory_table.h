// State of the discovery of other daemons through the platform's store.
#pragma once

#include "core/clock_type.h"
#include "store/member_type.h"

#include <cstdint>
#include <vector>

namespace radishford {

// Next action of the directory system.
enum class DirectoryStep : std::uint8_t {
    WriteOwnRow, // Write this daemon's row.
    ReadMembers, // Read the member list.
    Idle, // No request; pings members that are not known yet, and reads again once no other daemon is known to run.
};

// State of the directory system.
struct DirectoryTable {
    DirectoryStep nextStep_ = DirectoryStep::WriteOwnRow;
    // Id of the pending store request, or zero.
    std::uint64_t pendingRequest_ = 0;
    Millis nextAt_;
    std::int32_t consecutiveFailures_ = 0;
    // Rows of the latest complete read, the latest written first: daemons that have started since the loss of all come before those that are long gone, whose
    // rows nobody removes.
    std::vector<MemberRow> rows_;
    // Rows of the read in progress, and the name from which it goes on.
    std::vector<MemberRow> partialRows_;
    InstanceName readFrom_;
};

} // namespace radishford
