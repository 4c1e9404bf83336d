// Rows by which daemons find each other through the platform's store.
#pragma once

#include "core/address.h"
#include "core/units_type.h"

namespace radishford {

// One daemon's entry.
struct MemberRow {
    InstanceName name_;
    // Where the daemon takes exchanges and datagrams.
    Address address_;
};

} // namespace radishford
