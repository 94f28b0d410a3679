// Purpose: tests of rows that other writers left with values of the wrong type,
// size or depth.
#include "state/grant_record.hpp"
#include "state/row_json.hpp"
#include "tests/unit/state_fixture.hpp"

#include <doctest/doctest.h>

namespace fescuevane::state
{
namespace
{

std::string nest(std::string const& open, std::size_t bytes)
{
    std::string text;
    while (text.size() < bytes)
    {
        text += open;
    }
    return text;
}

std::string const good_grant =
    R"({"target":"t-1","domain":"east","rack":"r-1","address":"127.0.0.1:80",)"
    R"("capacity":[4000,8192,0],"slots":8})";

// Guards against one odd entry that costs the others, or that makes a row count
// as complete.
TEST_CASE("row of leases, an odd entry, costs only itself")
{
    std::string const deep = nest("[", 100'000) + nest("]", 100'000);
    for (std::string const& odd :
         {std::string("7"), std::string("{}"), deep,
          std::string(R"({"target":7})"), R"({"target":)" + deep + "}",
          std::string(
              R"({"target":"t-2","domain":"east","rack":"r","address":"a",)"
              R"("capacity":[9223372036854775807,0,0],"slots":8})"),
          std::string(
              R"({"target":"t-2","domain":"east","rack":"r","address":"a",)"
              R"("capacity":[1,1,-1],"slots":8})"),
          std::string(
              R"({"target":"t-2","domain":"east","rack":"r","address":"a",)"
              R"("capacity":[1e300,1,1],"slots":8})"),
          std::string(
              R"({"target":"t-2","domain":"east","rack":"r","address":"a",)"
              R"("capacity":[1,1,1],"slots":4294967297})")})
    {
        CAPTURE(odd.substr(0, 100));
        grant_record const found =
            read_grants(R"({"targets":[)" + odd + "," + good_grant + "]}");
        CHECK_FALSE(found.complete_);
        REQUIRE(found.targets_.size() == 1);
        CHECK(found.targets_[0].target_ == target_id("t-1"));
    }
    grant_record const good =
        read_grants(R"({"targets":[)" + good_grant + "]}");
    CHECK(good.complete_);
    CHECK(read_grants(write_grants(good.targets_)) == good);
}

} // namespace
} // namespace fescuevane::state
