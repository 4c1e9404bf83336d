// Rows in the platform's store by which daemons find each other.
#pragma once

#include "core/address.h"
#include "core/units_type.h"

namespace radishford {

// Row of one daemon.
struct MemberRow {
    InstanceName name_;
    // Address at which the daemon accepts exchanges and datagrams.
    Address address_;
};

} // namespace radishford
