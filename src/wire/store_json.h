// Requests to the platform's table service as JSON transactions.
#pragma once

#include "store/store_type.h"

#include <string>

namespace radishford {

// Encodes an operation as a transaction. Throws Error with UnknownKey for operations that the table service does not support.
std::string storeRequestToJson(const StoreOperation &operation);

// Decodes the response to the transaction of an operation. Throws Error when it is malformed.
StoreResponse parseStoreResponse(const StoreOperation &operation, const std::string &text);

// Key of a ticket's row. The keys sort by ticket number.
std::string ticketRowKey(TicketNumber number);

} // namespace radishford
