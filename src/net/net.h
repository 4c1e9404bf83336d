// Includes of Asio and Beast with namespace aliases, and conversions to their types.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "core/address.h"
#include "core/clock_type.h"

namespace radishford {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;
using udp = asio::ip::udp;

// Return type of a coroutine.
template<typename T = void>
using Task = asio::awaitable<T>;

// Converts an address to an Asio endpoint.
template<typename Protocol>
typename Protocol::endpoint toEndpoint(const Address &address)
{
    return typename Protocol::endpoint(asio::ip::address_v4(address.ip_), address.port_);
}

// Converts an IPv4 Asio endpoint to an address.
template<typename Endpoint>
Address fromEndpoint(const Endpoint &endpoint)
{
    return Address{endpoint.address().to_v4().to_uint(), endpoint.port()};
}

// Converts a duration to the type that Asio's timers take.
inline std::chrono::microseconds toChrono(Millis duration)
{
    return std::chrono::microseconds(duration.micros());
}

} // namespace radishford
