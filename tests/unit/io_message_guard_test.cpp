// Purpose: tests of the search for messages beyond a size.
#include "io/message_guard.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

namespace fescuevane::io
{
namespace
{

constexpr std::size_t most = 1000;

struct message_guard_fixture
{
    message_guard guard_{most};
    std::string   bytes_ = std::string(24, 'P'); // preface of a connection

    static std::string write_number(std::size_t value, int size)
    {
        std::string text;
        for (int at = size - 1; at >= 0; --at)
        {
            text += static_cast<char>(value >> (8 * at));
        }
        return text;
    }

    void add_frame(char type, char flags, std::size_t stream,
                   std::string const& payload)
    {
        bytes_ += write_number(payload.size(), 3) + type + flags +
                  write_number(stream, 4) + payload;
    }

    static std::string make_message(std::size_t bytes, char compressed = 0)
    {
        return compressed + write_number(bytes, 4) + std::string(bytes, 'x');
    }

    // In pieces of this size.
    bool accepts(message_guard& guard, std::size_t piece) const
    {
        bool accepted = true;
        for (std::size_t at = 0; at < bytes_.size(); at += piece)
        {
            accepted = guard.accept(std::string_view(bytes_).substr(at, piece));
        }
        return accepted;
    }
};

constexpr char data = 0;
constexpr char headers = 1;
constexpr char reset = 3;
constexpr char settings_type = 4;

// Guards against connections of hosts that are closed without a reason.
TEST_CASE_FIXTURE(message_guard_fixture,
                  "messages up to the limit, in any pieces, accepted")
{
    add_frame(settings_type, 0, 0, std::string(36, '\xff'));
    add_frame(headers, 4, 1, std::string(200, '\xff'));
    std::string const message = make_message(most);
    add_frame(data, 0, 1, message.substr(0, 3));
    add_frame(data, 0, 3, make_message(most) + make_message(0) + message);
    add_frame(data, 0, 1, message.substr(3));
    add_frame(data, 8, 5, '\x04' + make_message(7) + std::string(4, '\xff'));
    add_frame(data, 1, 1, "");
    for (std::size_t const piece :
         {std::size_t{1}, std::size_t{7}, std::size_t{100'000}})
    {
        message_guard guard(most);
        CHECK(accepts(guard, piece));
    }
}

// Guards against messages that the library collects as a whole before it
// compares their length with its bound.
TEST_CASE_FIXTURE(message_guard_fixture,
                  "message beyond the limit, refused when its length is read")
{
    add_frame(data, 0, 1, make_message(most).substr(0, 10));
    std::string const start = make_message(most + 1).substr(0, 5);
    SUBCASE("on another stream")
    {
        add_frame(data, 0, 3, start);
    }
    SUBCASE("padded")
    {
        add_frame(data, 8, 3, '\x02' + start + std::string(2, 0));
    }
    SUBCASE("in two frames")
    {
        add_frame(data, 0, 3, start.substr(0, 2));
        add_frame(data, 0, 3, start.substr(2));
    }
    SUBCASE("after another one")
    {
        add_frame(data, 0, 3, make_message(5) + start);
    }
    SUBCASE("compressed, so that its length says nothing")
    {
        add_frame(data, 0, 3, make_message(10, 1));
    }
    CHECK_FALSE(accepts(guard_, 1));
    CHECK_FALSE(guard_.accept("x"));
}

// Guards against memory for streams that begin messages and never end them.
TEST_CASE_FIXTURE(message_guard_fixture,
                  "many messages without an end, refused, ended streams don't "
                  "count")
{
    for (std::size_t stream = 1; stream < 2000; stream += 2)
    {
        add_frame(data, 0, stream, make_message(9).substr(0, 6));
        if (stream % 4 == 1)
        {
            add_frame(reset, 0, stream, std::string(4, 0));
        }
        else
        {
            add_frame(headers, 1, stream, "");
        }
    }
    CHECK(accepts(guard_, 4096));
    bytes_.clear();
    for (std::size_t stream = 1; stream < 2000; stream += 2)
    {
        add_frame(data, 0, stream, make_message(9).substr(0, 6));
    }
    CHECK_FALSE(accepts(guard_, 4096));
}

} // namespace
} // namespace fescuevane::io
