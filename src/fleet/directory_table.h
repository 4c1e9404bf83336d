// How this daemon enters itself into the store's list of daemons and reads it.
#pragma once

#include "core/clock_type.h"
#include "store/member_type.h"

#include <cstdint>
#include <vector>

namespace radishford {

// What is done next.
enum class DirectoryStep : std::uint8_t {
    Enter, // Write the own row.
    Read, // Read all rows.
    Idle, // Nothing, until this daemon is alone.
};

// State of the directory system.
struct DirectoryTable {
    DirectoryStep step_ = DirectoryStep::Enter;
    // Running request, or zero.
    std::uint64_t request_ = 0;
    Millis nextAt_;
    std::int32_t failures_ = 0;
    // Rows as last read; rows of instances that are long gone are removed from the store.
    std::vector<MemberRow> rows_;
};

} // namespace radishford
