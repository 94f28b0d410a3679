// Purpose: finds gRPC messages beyond a size in the bytes of a connection.
#include "io/message_guard.hpp"

#include <algorithm>

namespace fescuevane::io
{
namespace
{

// Types and flags of frames, RFC 9113, section 6.
constexpr std::uint8_t data_type = 0;
constexpr std::uint8_t headers_type = 1;
constexpr std::uint8_t reset_type = 3;
constexpr std::uint8_t end_stream_flag = 1;
constexpr std::uint8_t padded_flag = 8;

// Streams of one connection with a message that isn't complete. Hosts open a
// few; those that the server ended in the middle of a message stay until the
// connection ends.
constexpr std::size_t max_open_messages = 256;

std::uint32_t read_number(std::uint8_t const* bytes, std::size_t size)
{
    std::uint32_t value = 0;
    for (std::size_t at = 0; at < size; ++at)
    {
        value = value << 8U | bytes[at];
    }
    return value;
}

void skip(std::string_view& bytes, std::uint64_t& left)
{
    std::size_t const size = std::min<std::uint64_t>(bytes.size(), left);
    bytes.remove_prefix(size);
    left -= size;
}

} // namespace

void message_guard::begin_frame()
{
    constexpr std::size_t   length_bytes = 3;
    constexpr std::size_t   stream_at = 5;
    constexpr std::size_t   stream_bytes = 4;
    constexpr std::uint32_t reserved_bit = 0x8000'0000;
    header_size_ = 0;
    left_ = read_number(header_.data(), length_bytes);
    padding_ = 0;
    std::uint8_t const type = header_[length_bytes];
    std::uint8_t const flags = header_[length_bytes + 1];
    stream_ =
        read_number(header_.data() + stream_at, stream_bytes) & ~reserved_bit;
    is_data_ = type == data_type;
    pad_expected_ = is_data_ && (flags & padded_flag) != 0;
    if (type == reset_type ||
        (type == headers_type && (flags & end_stream_flag) != 0))
    {
        messages_.erase(stream_);
    }
}

bool message_guard::accept_data(std::string_view data)
{
    while (!data.empty())
    {
        open_message& message = messages_[stream_];
        while (!data.empty() && message.prefix_size_ < prefix_bytes)
        {
            message.prefix_[message.prefix_size_++] =
                static_cast<std::uint8_t>(data.front());
            data.remove_prefix(1);
            if (message.prefix_size_ == prefix_bytes)
            {
                bool const compressed = message.prefix_[0] != 0;
                message.left_ =
                    read_number(message.prefix_.data() + 1, prefix_bytes - 1);
                if (compressed || message.left_ > max_message_bytes_)
                {
                    return false;
                }
            }
        }
        if (message.prefix_size_ < prefix_bytes)
        {
            break;
        }
        skip(data, message.left_);
        if (message.left_ == 0)
        {
            messages_.erase(stream_);
        }
    }
    return messages_.size() <= max_open_messages;
}

bool message_guard::accept(std::string_view bytes)
{
    skip(bytes, preface_left_);
    while (!bytes.empty() && !refused_)
    {
        if (left_ == 0 && padding_ == 0)
        {
            std::size_t const size =
                std::min(bytes.size(), frame_header_bytes - header_size_);
            std::copy_n(bytes.begin(), size, header_.begin() + header_size_);
            bytes.remove_prefix(size);
            header_size_ += size;
            if (header_size_ == frame_header_bytes)
            {
                begin_frame();
            }
            continue;
        }
        if (left_ == 0)
        {
            skip(bytes, padding_);
            continue;
        }
        if (pad_expected_)
        {
            pad_expected_ = false;
            padding_ = static_cast<std::uint8_t>(bytes.front());
            bytes.remove_prefix(1);
            refused_ = padding_ > --left_;
            left_ -= std::min(padding_, left_);
            continue;
        }
        std::string_view const payload =
            bytes.substr(0, std::min<std::uint64_t>(bytes.size(), left_));
        refused_ = is_data_ && !accept_data(payload);
        skip(bytes, left_);
    }
    return !refused_;
}

} // namespace fescuevane::io
