// Purpose: tests of the value types.
#include "core/core.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace fescuevane
{
namespace
{

struct values_fixture
{
    instant start_ = instant(1000);
};

// Guards against deadlines that wrap around and look expired.
TEST_CASE_FIXTURE(values_fixture,
                  "instant, deadline beyond the range, is never")
{
    CHECK(start_.after(instant::never().micros()) == instant::never());
    CHECK(instant::never().after(1) == instant::never());
}

// Guards against rows that stay reachable under a removed key.
TEST_CASE_FIXTURE(values_fixture,
                  "row_index, random appends and removals, finds each key")
{
    bool const holds = rc::check(
        [](std::vector<int> const& keys)
        {
            row_index<int> index;
            column<int>    values;
            for (int const key : keys)
            {
                if (auto const row = index.find(key))
                {
                    index.remove_by_moving_last(*row);
                    values.remove_by_moving_last(*row);
                }
                else
                {
                    index.append(key);
                    values.append(key);
                }
            }
            for (std::size_t row = 0; row < index.size(); ++row)
            {
                RC_ASSERT(index.find(index.key(row)) == row);
                RC_ASSERT(values[row] == index.key(row));
            }
        });
    CHECK(holds);
}

// Guards against a shard key that is read back as another shard.
TEST_CASE_FIXTURE(values_fixture,
                  "shard_id, formatted and parsed, is the same shard")
{
    shard_id const shard{domain_id("amman.east"), 12};
    CHECK(parse_shard_id(format_key(shard)) == shard);
    CHECK_FALSE(parse_shard_id("amman-east").has_value());
    CHECK_FALSE(parse_shard_id(".3").has_value());
    CHECK_FALSE(parse_shard_id("amman.3x").has_value());
}

} // namespace
} // namespace fescuevane
