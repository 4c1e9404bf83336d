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
    // Revision of the store at which the row was written; zero when the store does not tell.
    StoreRevision revision_{};
};

} // namespace radishford
