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

// Output stream buffer that appends to a string.
class StringOutputBuffer : public std::streambuf
{
public:
    explicit StringOutputBuffer(std::string &target)
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

// Input stream buffer that reads from a string view without a copy.
class ViewInputBuffer : public std::streambuf
{
public:
    explicit ViewInputBuffer(std::string_view bytes)
    {
        char *start = const_cast<char *>(bytes.data());
        setg(start, start, start + bytes.size());
    }

    // Number of bytes that have not been read.
    [[nodiscard]] std::size_t remaining() const
    {
        return static_cast<std::size_t>(egptr() - gptr());
    }
};

// Encodes a message and appends it to a string.
template<typename Message>
void appendEncoded(std::string &target, const Message &message)
{
    StringOutputBuffer buffer(target);
    std::ostream stream(&buffer);
    cereal::PortableBinaryOutputArchive archive(stream);
    // An output archive does not modify the message; serializeField() takes a mutable reference because it also decodes.
    serializeField(archive, const_cast<Message &>(message));
}

// Decodes a message that must take up all the bytes.
template<typename Message>
Message decodeMessage(std::string_view bytes)
{
    ViewInputBuffer buffer(bytes);
    std::istream stream(&buffer);
    Message message;
    try {
        cereal::PortableBinaryInputArchive archive(stream);
        serializeField(archive, message);
    } catch (const cereal::Exception &error) {
        throw Error(ResultCode::MessageMalformed, error.what());
    }
    if (buffer.remaining() != 0) {
        throw Error(ResultCode::MessageMalformed, "trailing bytes after the message");
    }
    return message;
}

} // namespace

std::string encodeFrame(const Frame &frame)
{
    std::string bytes(FrameLengthBytes, '\0');
    appendEncoded(bytes, frame);
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
    return decodeMessage<Frame>(bytes);
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
    appendEncoded(bytes, datagram);
    if (bytes.size() > MaxDatagramBytes) {
        throw Error(ResultCode::MessageOversized, "datagram of " + std::to_string(bytes.size()) + " bytes");
    }
    return bytes;
}

Datagram decodeDatagram(std::string_view bytes)
{
    return decodeMessage<Datagram>(bytes);
}

} // namespace radishford
