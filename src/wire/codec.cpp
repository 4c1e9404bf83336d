// Encoding of messages between daemons with cereal's portable binary archives.
#include "wire/codec.h"

#include "core/error.h"
#include "wire/serialize.h"

#include <istream>
#include <ostream>
#include <streambuf>

namespace radishford {

namespace {

constexpr unsigned ByteBits = 8;

// Appends what a stream writes to a string.
class StringSink : public std::streambuf
{
public:
    explicit StringSink(std::string &target)
        : target_(target)
    {
    }

protected:
    std::streamsize xsputn(const char *bytes, std::streamsize count) override
    {
        target_.append(bytes, static_cast<std::size_t>(count));
        return count;
    }

    int_type overflow(int_type byte) override
    {
        target_.push_back(traits_type::to_char_type(byte));
        return byte;
    }

private:
    std::string &target_;
};

// Lets a stream read bytes in place.
class ViewSource : public std::streambuf
{
public:
    explicit ViewSource(std::string_view bytes)
    {
        char *start = const_cast<char *>(bytes.data());
        setg(start, start, start + bytes.size());
    }

    // Bytes that have not been read.
    [[nodiscard]] std::size_t left() const
    {
        return static_cast<std::size_t>(egptr() - gptr());
    }
};

// Appends the encoded message.
template<typename Message>
void encodeTo(std::string &target, const Message &message)
{
    StringSink sink(target);
    std::ostream stream(&sink);
    cereal::PortableBinaryOutputArchive archive(stream);
    // The archive only reads when it saves; fields() serves both directions.
    field(archive, const_cast<Message &>(message));
}

// Decodes a whole message.
template<typename Message>
Message decode(std::string_view bytes)
{
    ViewSource source(bytes);
    std::istream stream(&source);
    Message message;
    try {
        cereal::PortableBinaryInputArchive archive(stream);
        field(archive, message);
    } catch (const cereal::Exception &problem) {
        throw Error(ResultCode::MessageMalformed, problem.what());
    }
    if (source.left() != 0) {
        throw Error(ResultCode::MessageMalformed, "bytes after the message");
    }
    return message;
}

} // namespace

std::string encodeFrame(const Frame &frame)
{
    std::string bytes(FrameLengthBytes, '\0');
    encodeTo(bytes, frame);
    const std::size_t length = bytes.size() - FrameLengthBytes;
    if (length > MaxFrameBytes) {
        throw Error(ResultCode::MessageOversized, "frame of " + std::to_string(length) + " bytes");
    }
    for (std::size_t index = 0; index < FrameLengthBytes; ++index) {
        bytes[index] = static_cast<char>(length >> (ByteBits * index));
    }
    return bytes;
}

Frame decodeFrame(std::string_view bytes)
{
    return decode<Frame>(bytes);
}

std::size_t decodeFrameLength(std::string_view bytes)
{
    std::size_t length = 0;
    for (std::size_t index = 0; index < FrameLengthBytes; ++index) {
        length |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[index])) << (ByteBits * index);
    }
    if (length > MaxFrameBytes) {
        throw Error(ResultCode::MessageOversized, "frame of " + std::to_string(length) + " bytes");
    }
    return length;
}

std::string encodeDatagram(const Datagram &datagram)
{
    std::string bytes;
    encodeTo(bytes, datagram);
    if (bytes.size() > MaxDatagramBytes) {
        throw Error(ResultCode::MessageOversized, "datagram of " + std::to_string(bytes.size()) + " bytes");
    }
    return bytes;
}

Datagram decodeDatagram(std::string_view bytes)
{
    return decode<Datagram>(bytes);
}

} // namespace radishford
