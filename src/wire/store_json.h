// Requests to the platform's table service as JSON transactions.
#pragma once

#include "store/store_type.h"

#include <string>

namespace radishford {

// The transaction of an operation.
std::string storeRequestText(const StoreOperation &operation);

// The answer to an operation's transaction. Throws Error when it is malformed.
StoreAnswer parseStoreAnswer(const StoreOperation &operation, const std::string &text);

// Key of a ticket's row; keys sort by number.
std::string ticketRowKey(TicketNumber number);

} // namespace radishford
