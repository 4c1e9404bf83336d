// Encoding of messages between daemons. The decision library never handles encoded bytes.
#pragma once

#include "fleet/datagram_type.h"
#include "wire/frame_type.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace radishford {

// Maximum size of an encoded frame without its length prefix.
constexpr std::size_t MaxFrameBytes = std::size_t{4} << 20U;
// Maximum size of an encoded datagram.
constexpr std::size_t MaxDatagramBytes = 1400;
// Size of the length prefix of a frame; the length is little-endian.
constexpr std::size_t FrameLengthBytes = 4;

// Encodes a frame with its length prefix. Throws Error with MessageOversized when it exceeds MaxFrameBytes.
std::string encodeFrame(const Frame &frame);

// Decodes a frame without its length prefix. Throws Error with MessageMalformed.
Frame decodeFrame(std::string_view bytes);

// Decodes the length prefix of a frame. Throws Error with MessageOversized when it exceeds MaxFrameBytes.
std::size_t decodeFrameLength(std::string_view bytes);

// Encodes a datagram. Throws Error with MessageOversized when it exceeds MaxDatagramBytes.
std::string encodeDatagram(const Datagram &datagram);

// Decodes a datagram. Throws Error with MessageMalformed.
Datagram decodeDatagram(std::string_view bytes);

} // namespace radishford
