// Forwards end-to-end header fields and leaves out hop-by-hop ones.
#pragma once

#include "net/net.h"
#include "wire/frame_type.h"

#include <vector>

namespace radishford {

// Returns the fields of a message that are forwarded to the next hop. Leaves out hop-by-hop fields, the fields that Connection lists,
// and Expect and Content-Length, which are written anew.
template<typename Header>
std::vector<HeaderField> forwardedFields(const Header &header)
{
    std::vector<HeaderField> fields;
    http::token_list connectionOptions{header[http::field::connection]};
    for (const auto &field : header) {
        if (connectionOptions.exists(field.name_string())) {
            continue;
        }
        switch (field.name()) {
        case http::field::connection:
        case http::field::keep_alive:
        case http::field::proxy_connection:
        case http::field::transfer_encoding:
        case http::field::te:
        case http::field::trailer:
        case http::field::upgrade:
        case http::field::expect:
        case http::field::content_length:
            break;
        default:
            fields.push_back(HeaderField{std::string(field.name_string()), std::string(field.value())});
        }
    }
    return fields;
}

// Appends fields to a message.
template<typename Message>
void setFields(Message &message, const std::vector<HeaderField> &fields)
{
    for (const HeaderField &field : fields) {
        message.insert(field.name_, field.value_);
    }
}

} // namespace radishford
