// Purpose: tests of the division of a gang over several shards.
#include "cell/gang_share.hpp"
#include "cell/gang_shares.hpp"
#include "cell/shard_offer.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace fescuevane::cell
{
namespace
{

struct shares_fixture
{
    std::vector<shard_offer> offers_;

    void offer(std::uint32_t free, std::uint32_t later)
    {
        auto const index = static_cast<std::uint32_t>(offers_.size());
        offers_.push_back({.shard_ = {domain_id("east"), index},
                           .fit_later_ = later,
                           .fit_free_ = free});
    }

    // Tasks of each shard, in the order of the offers.
    std::vector<std::uint32_t> divide(std::uint32_t count) const
    {
        std::vector<std::uint32_t> tasks(offers_.size());
        for (gang_share const& share : divide_gang(offers_, count))
        {
            tasks.at(share.shard_.index_) += share.tasks_;
        }
        return tasks;
    }
};

using numbers = std::vector<std::uint32_t>;

// Guards against parts that exceed the room of their shard.
TEST_CASE_FIXTURE(shares_fixture,
                  "gang, shards could run too little, undivided")
{
    offer(2, 4);
    offer(0, 3);
    CHECK(divide_gang(offers_, 8).empty());
    CHECK(divide_gang({}, 1).empty());
    CHECK(divide(7) == numbers{4, 3});
}

// Guards against a gang that waits in its shard although another one has free
// room for all of it, where the organisation is above its allotment: such a
// shard tells that no task could start, and room for all is never divided.
TEST_CASE_FIXTURE(shares_fixture,
                  "gang, free room for all in another shard, moves there")
{
    offer(2, 4);
    offer(3, 4);
    offer(3, 6);
    shard_id const own = offers_[0].shard_;
    CHECK(find_room_for_all(offers_, own, 3) == offers_[2].shard_);
    CHECK(find_room_for_all(offers_, own, 4) == std::nullopt);
    CHECK(find_room_for_all(offers_, offers_[1].shard_, 3) == std::nullopt);
}

// Guards against a gang that waits in one shard while others have room for it.
TEST_CASE_FIXTURE(shares_fixture, "gang, room is free, taken first")
{
    offer(1, 20);
    offer(6, 6);
    offer(5, 8);
    CHECK(divide(11) == numbers{0, 6, 5});
    CHECK(divide(12) == numbers{1, 6, 5});
}

// Guards against more parts than needed; each part may delay the gang.
TEST_CASE_FIXTURE(shares_fixture,
                  "gang, a few shards have room, others left out")
{
    offer(2, 4);
    offer(9, 9);
    offer(3, 4);
    CHECK(divide(8) == numbers{0, 8, 0});
    CHECK(divide(11) == numbers{0, 9, 2});
}

// Guards against a part that needs all that its shard could run, while another
// shard could take more.
TEST_CASE_FIXTURE(shares_fixture, "gang, room is taken, divided by later room")
{
    offer(0, 10);
    offer(0, 20);
    offer(0, 10);
    CHECK(divide(20) == numbers{5, 10, 5});
}

// Guards against a shard that reports more free room than total capacity.
TEST_CASE_FIXTURE(shares_fixture,
                  "gang, free room above later room, counted once")
{
    offer(5, 3);
    offer(0, 2);
    CHECK(sum_free(offers_) == 5);
    CHECK(sum_later(offers_) == 7);
    CHECK(divide(7) == numbers{5, 2});
}

// Guards against tasks in no part or in two, parts that exceed what a shard
// could run, and gangs that wait although they fit.
TEST_CASE("gang, any offers, divided as a whole or not at all")
{
    CHECK(rc::check(
        []
        {
            shares_fixture shares;
            auto const     offers = *rc::gen::inRange(0, 9);
            std::uint64_t  room = 0;
            for (int index = 0; index < offers; ++index)
            {
                auto const later = *rc::gen::inRange<std::uint32_t>(0, 30);
                shares.offer(*rc::gen::inRange<std::uint32_t>(0, later + 1),
                             later);
                room += later;
            }
            auto const    count = *rc::gen::inRange<std::uint32_t>(1, 80);
            auto const    tasks = shares.divide(count);
            std::uint64_t sum = 0;
            for (std::size_t index = 0; index < tasks.size(); ++index)
            {
                RC_ASSERT(tasks[index] <= shares.offers_[index].fit_later_);
                sum += tasks[index];
            }
            RC_ASSERT(sum == (room < count ? 0 : count));
        }));
}

} // namespace
} // namespace fescuevane::cell
