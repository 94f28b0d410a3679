// Purpose: tests of rows that other writers left with values of the wrong type,
// size or depth.
#include "state/ack_value.hpp"
#include "state/grant_record.hpp"
#include "state/job_record.hpp"
#include "state/owner_value.hpp"
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
        grant_record const found = read_grants(std::string(R"({"targets":[)")
                                                   .append(odd)
                                                   .append(",")
                                                   .append(good_grant)
                                                   .append("]}"));
        CHECK_FALSE(found.complete_);
        REQUIRE(found.targets_.size() == 1);
        CHECK(found.targets_[0].target_ == target_id("t-1"));
    }
    grant_record const good =
        read_grants(R"({"targets":[)" + good_grant + "]}");
    CHECK(good.complete_);
    CHECK(read_grants(write_grants(good.targets_)) == good);
}

// Guards against numbers that wrap, amounts whose sums overflow, counts that
// take all memory and an epoch above which no owner can claim.
TEST_CASE("rows, values of the wrong type or out of range, refused")
{
    std::string const deep = nest("[", 100'000) + nest("]", 100'000);
    instant const     now(micros_per_second);
    shard_id const    shard{domain_id("east"), 0};
    std::string const job =
        write_job(state_fixture::make_record(shard, "a"), now);
    CHECK_NOTHROW(read_job(shard, job, now));
    for (std::string const& odd :
         {std::string("-1"), std::string("18446744073709551615"),
          std::string("9223372036854775808"), std::string("1e300"),
          std::string("1.5"), std::string("true"), std::string("null"), deep})
    {
        CAPTURE(odd.substr(0, 100));
        CHECK_THROWS(read_owner(R"({"host":"h","domain":"d","address":"a",)"
                                R"("incarnation":1,"epoch":)" +
                                odd + "}"));
        CHECK_THROWS(read_owner(R"({"host":"h","domain":"d","address":"a",)"
                                R"("epoch":1,"incarnation":)" +
                                odd + "}"));
        CHECK_THROWS(read_ack(R"({"number":1,"epoch":)" + odd + "}"));
        CHECK_THROWS(read_ack(R"({"epoch":1,"number":)" + odd + "}"));
        CHECK_THROWS(
            read_parts(R"({"parts":{"east.0":{"part":[1,1,)" + odd + "]}}}"));
        CHECK_THROWS(
            read_parts(R"({"parts":{"east.0":{"part":)" + odd + "}}}"));
        for (std::string const field : {"tasks", "run_micros", "demand"})
        {
            std::size_t const at = job.find('"' + field + "\":");
            REQUIRE(at != std::string::npos);
            std::size_t const begin = at + field.size() + 3;
            std::size_t const end = job.find_first_of(
                ",}", job[begin] == '[' ? job.find(']', begin) : begin);
            CHECK_THROWS(read_job(
                shard, job.substr(0, begin) + odd + job.substr(end), now));
        }
    }
}

// Guards against rows of other writers that end a process, or leave a shard
// without an owner or the others without service.
TEST_CASE_FIXTURE(state_fixture, "odd rows, in the store, don't stop the cell")
{
    std::string const deep = nest("[", 100'000);
    int               index = 0;
    for (std::string const& text :
         {deep, std::string("7"), std::string("{}"),
          std::string(R"({"host":"h","domain":"d","address":"a",)"
                      R"("incarnation":1,"epoch":18446744073709551615})"),
          std::string(R"({"number":-1,"epoch":1e300})"),
          std::string(R"({"parts":{"east.0":{"part":[9e99,-1,"x"]}}})")})
    {
        std::string const mark = std::to_string(index++);
        for (std::string const& key :
             {"control/ack/east/" + mark, "control/allotment/team-" + mark,
              "control/host/host-" + mark, "control/ticket/" + mark,
              "job/east/0/team/" + mark})
        {
            store_.cells_[key] = {text, ++store_.revision_};
        }
        store_.cells_["control/shard/east/1"] = {text, ++store_.revision_};
        start("e1", "east", static_cast<std::uint64_t>(index));
        start("e2", "east", static_cast<std::uint64_t>(index));
        start("w1", "west", static_cast<std::uint64_t>(index));
        run(6000);
        CHECK(all_served_once());
    }
}

} // namespace
} // namespace fescuevane::state
