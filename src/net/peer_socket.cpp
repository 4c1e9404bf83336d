// Asks the kernel's socket table about the other end of a connection.
#include "net/peer_socket.h"

#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstring>

namespace radishford {

namespace {

// A message that asks for one entry of the table.
struct TableQuery {
    nlmsghdr header_{};
    inet_diag_req_v2 entry_{};
};

// Builds the query for the socket of the peer.
TableQuery makeQuery(const tcp::endpoint &peer, const tcp::endpoint &own)
{
    TableQuery query;
    query.header_.nlmsg_len = sizeof(query);
    query.header_.nlmsg_type = SOCK_DIAG_BY_FAMILY;
    query.header_.nlmsg_flags = NLM_F_REQUEST;
    query.entry_.sdiag_family = AF_INET;
    query.entry_.sdiag_protocol = IPPROTO_TCP;
    query.entry_.idiag_states = ~0U;
    query.entry_.id.idiag_sport = htons(peer.port());
    query.entry_.id.idiag_dport = htons(own.port());
    query.entry_.id.idiag_src[0] = htonl(peer.address().to_v4().to_uint());
    query.entry_.id.idiag_dst[0] = htonl(own.address().to_v4().to_uint());
    query.entry_.id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
    query.entry_.id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
    return query;
}

// Sends the query and returns the inode of the socket; zero when no process holds the socket, or there is none.
std::uint32_t findInode(int table, const TableQuery &query)
{
    constexpr std::size_t MaxReplyBytes = 8192;
    alignas(nlmsghdr) std::array<char, MaxReplyBytes> reply{};
    if (send(table, &query, sizeof(query), 0) != static_cast<ssize_t>(sizeof(query))) {
        return 0;
    }
    // The kernel replies within send(), so that this does not block.
    const ssize_t size = recv(table, reply.data(), reply.size(), MSG_DONTWAIT);
    nlmsghdr header{};
    inet_diag_msg entry{};
    if (size < static_cast<ssize_t>(NLMSG_LENGTH(sizeof(entry)))) {
        return 0;
    }
    std::memcpy(&header, reply.data(), sizeof(header));
    std::memcpy(&entry, reply.data() + NLMSG_HDRLEN, sizeof(entry));
    return header.nlmsg_type == SOCK_DIAG_BY_FAMILY ? entry.idiag_inode : 0;
}

} // namespace

bool isPeerSocketOpen(const tcp::socket &socket)
{
    error_code errorCode;
    const tcp::endpoint own = socket.local_endpoint(errorCode);
    const tcp::endpoint peer = errorCode ? tcp::endpoint() : socket.remote_endpoint(errorCode);
    if (errorCode || !own.address().is_v4() || !peer.address().is_v4()) {
        return false;
    }
    const int table = ::socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
    if (table < 0) {
        return false;
    }
    const std::uint32_t inode = findInode(table, makeQuery(peer, own));
    close(table);
    return inode != 0;
}

} // namespace radishford
