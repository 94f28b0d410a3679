// Purpose: tests of the link relay's logic.
#include "tests/stand_ins/delay_queue.hpp"
#include "tests/stand_ins/group_table.hpp"
#include "tests/stand_ins/relay_pipe.hpp"

#include <doctest/doctest.h>
#include <sys/socket.h>
#include <array>

namespace fescuevane::stand_ins
{
namespace
{

struct relay_fixture
{
    delay_queue queue_;
    group_table groups_;
};

// Guards against bytes that overtake earlier ones when the delay is lowered.
TEST_CASE_FIXTURE(relay_fixture,
                  "delay_queue, delay lowered, keeps the order of chunks")
{
    queue_.push("first", instant(1000));
    queue_.push("second", instant(10));
    CHECK(queue_.next_due() == instant(1000));
    queue_.pop_front_bytes(5);
    CHECK(queue_.front() == "second");
    CHECK(queue_.next_due() == instant(1000));
}

// Guards against bytes that are lost or repeated after a partial write.
TEST_CASE_FIXTURE(relay_fixture,
                  "delay_queue, chunk written in part, keeps the rest")
{
    queue_.push("abcdef", instant(1));
    queue_.pop_front_bytes(2);
    CHECK(queue_.front() == "cdef");
    CHECK(queue_.size_bytes() == 4);
    queue_.pop_front_bytes(4);
    CHECK(queue_.empty());
    CHECK(queue_.next_due() == instant::never());
}

// Guards against an end of stream that is lost behind the data.
TEST_CASE_FIXTURE(relay_fixture,
                  "delay_queue, empty chunk, stays as the end of the stream")
{
    queue_.push("a", instant(1));
    queue_.push("", instant(2));
    queue_.pop_front_bytes(1);
    CHECK_FALSE(queue_.empty());
    CHECK(queue_.front().empty());
    queue_.pop_front_bytes(0);
    CHECK(queue_.empty());
}

// Guards against links of one group that end up in two.
TEST_CASE_FIXTURE(relay_fixture, "group_table, same name twice, is one row")
{
    auto const row = find_or_append_group(groups_, "amman-1/amman-2");
    CHECK(find_or_append_group(groups_, "amman-1/platform") != row);
    CHECK(find_or_append_group(groups_, "amman-1/amman-2") == row);
}

// A pipe from one pair of sockets to another one.
class pipe_fixture
{
protected:
    pipe_fixture()
    {
        open_pair(near_);
        open_pair(far_);
        find_or_append_group(groups_, "a>b");
    }
    ~pipe_fixture()
    {
        for (GSocket* const socket : {near_[0], near_[1], far_[0], far_[1]})
        {
            g_object_unref(socket);
        }
    }

    static void open_pair(std::array<GSocket*, 2>& sockets)
    {
        std::array<int, 2> files{};
        REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, files.data()) == 0);
        for (std::size_t end = 0; end < 2; ++end)
        {
            sockets.at(end) = g_socket_new_from_fd(files.at(end), nullptr);
            g_socket_set_blocking(sockets.at(end), FALSE);
        }
    }

    // What arrives in the given number of turns of the main loop.
    std::string relay(std::string const& bytes)
    {
        g_socket_send(near_[0], bytes.data(), bytes.size(), nullptr, nullptr);
        constexpr int         turns = 20;
        std::array<char, 100> buffer{};
        std::string           received;
        for (int turn = 0; turn < turns; ++turn)
        {
            g_main_context_iteration(nullptr, FALSE);
            gssize const count = g_socket_receive(
                far_[1], buffer.data(), buffer.size(), nullptr, nullptr);
            received.append(buffer.data(),
                            count > 0 ? static_cast<std::size_t>(count) : 0);
        }
        return received;
    }

    std::array<GSocket*, 2> near_{};
    std::array<GSocket*, 2> far_{};
    group_table             groups_;
};

// Guards against a cut in one direction that stops both, or none.
TEST_CASE_FIXTURE(pipe_fixture, "relay_pipe, cut the other way, passes bytes")
{
    relay_pipe pipe(near_[1], far_[0], groups_, 0, cut_outward, [](bool) {});
    groups_.cut_[0] = cut_inward;
    pipe.update();
    CHECK(relay("call") == "call");
}

TEST_CASE_FIXTURE(pipe_fixture,
                  "relay_pipe, cut its way, holds bytes until the heal")
{
    relay_pipe pipe(near_[1], far_[0], groups_, 0, cut_outward, [](bool) {});
    groups_.cut_[0] = cut_outward;
    pipe.update();
    CHECK(relay("late").empty());
    groups_.cut_[0] = 0;
    pipe.update();
    CHECK(relay(" call") == "late call");
}

} // namespace
} // namespace fescuevane::stand_ins
