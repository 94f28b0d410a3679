// Purpose: tests of the link relay's logic.
#include "tests/stand_ins/delay_queue.hpp"
#include "tests/stand_ins/group_table.hpp"

#include <doctest/doctest.h>

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

} // namespace
} // namespace fescuevane::stand_ins
