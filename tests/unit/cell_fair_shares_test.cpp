// Purpose: tests of the division of a capacity by demand.
#include "cell/fair_shares.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <algorithm>
#include <numeric>

namespace fescuevane::cell
{
namespace
{

struct fair_shares_fixture
{
    using amounts = std::vector<std::uint32_t>;

    static amounts arbitrary_demands()
    {
        amounts demands = *rc::gen::arbitrary<amounts>();
        for (std::uint32_t& demand : demands)
        {
            demand %= 50;
        }
        return demands;
    }

    static std::uint32_t sum(amounts const& values)
    {
        return std::accumulate(values.begin(), values.end(), 0U);
    }
};

// Guards against shares that stay unused while other demands wait.
TEST_CASE_FIXTURE(fair_shares_fixture,
                  "two of eight want nothing, divided, others get their share")
{
    CHECK(divide_fairly({9, 9, 0, 9, 0, 9, 9, 9}, 32) ==
          amounts{5, 5, 0, 5, 0, 5, 6, 6});
    CHECK(divide_fairly({20, 3, 1}, 12) == amounts{8, 3, 1});
    CHECK(divide_fairly({}, 12).empty());
}

// Guards against a division that exceeds the capacity, wastes it or favours one
// of two unmet demands.
TEST_CASE_FIXTURE(fair_shares_fixture,
                  "arbitrary demands, divided, max-min fair")
{
    rc::check(
        [](std::uint8_t capacity)
        {
            amounts const demands = arbitrary_demands();
            amounts const shares = divide_fairly(demands, capacity);
            RC_ASSERT(sum(shares) ==
                      std::min<std::uint32_t>(capacity, sum(demands)));
            for (std::size_t row = 0; row < shares.size(); ++row)
            {
                RC_ASSERT(shares[row] <= demands[row]);
                RC_ASSERT(shares[row] == demands[row] ||
                          shares[row] + 1 >=
                              *std::max_element(shares.begin(), shares.end()));
            }
        });
}

} // namespace
} // namespace fescuevane::cell
