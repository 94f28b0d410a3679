// Purpose: finds gRPC messages beyond a size in the bytes of a connection.
#ifndef FESCUEVANE_IO_MESSAGE_GUARD_HPP
#define FESCUEVANE_IO_MESSAGE_GUARD_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>

namespace fescuevane::io
{

// The gRPC library compares the length of a message with its bound only once it
// holds the whole message. This reads the length that precedes each message in
// the frames of HTTP/2 (RFC 9113, section 4.1; gRPC over HTTP2,
// Length-Prefixed-Message).
//
// Compressed messages are refused, since their length says nothing about the
// memory that they take. No host sends them.
class message_guard
{
public:
    explicit message_guard(std::size_t max_message_bytes)
        : max_message_bytes_(max_message_bytes)
    {
    }

    // Takes the next bytes that a client sent. False, for good, once they begin
    // a message that is refused.
    [[nodiscard]] bool accept(std::string_view bytes);

private:
    static constexpr std::size_t preface_bytes = 24;
    static constexpr std::size_t frame_header_bytes = 9;
    static constexpr std::size_t prefix_bytes = 5;

    // A message that is being received on a stream.
    struct open_message
    {
        std::array<std::uint8_t, prefix_bytes> prefix_{};
        std::size_t                            prefix_size_ = 0;
        std::uint64_t                          left_ = 0; // after the prefix
    };

    void begin_frame();
    bool accept_data(std::string_view data);

    std::size_t const                            max_message_bytes_;
    bool                                         refused_ = false;
    std::uint64_t                                preface_left_ = preface_bytes;
    std::array<std::uint8_t, frame_header_bytes> header_{};
    std::size_t                                  header_size_ = 0;
    // Of the present frame
    bool          is_data_ = false;
    bool          pad_expected_ = false; // the length of the padding
    std::uint32_t stream_ = 0;
    std::uint64_t left_ = 0;    // of the payload, without the padding
    std::uint64_t padding_ = 0; // after the payload
    std::map<std::uint32_t, open_message> messages_; // by stream
};

} // namespace fescuevane::io

#endif
