// Purpose: tests of stored rows with values that this program doesn't write.
#include "cell/allotment_record.hpp"
#include "cell/grant_ledger.hpp"
#include "cell/host_record.hpp"
#include "cell/job_record.hpp"
#include "cell/layout_record.hpp"
#include "cell/owner_record.hpp"
#include "cell/record_error.hpp"
#include "cell/records.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <array>
#include <string>
#include <utility>
#include <vector>

namespace fescuevane::cell
{
namespace
{

using nlohmann::json;

json make_spec()
{
    return {{"id", "aa01"},
            {"organisation", "cafe"},
            {"queue", "orders"},
            {"service", "desk"},
            {"payload", "work"},
            {"steps",
             {{{"count", 2},
               {"cpu", 1000},
               {"memory", 512},
               {"accelerators", 0},
               {"estimate", 1000},
               {"after", json::array()},
               {"checkpointing", false},
               {"gang", false},
               {"same_rack", false},
               {"speculative", false},
               {"perpetual", false},
               {"filler", false},
               {"label", ""},
               {"near", ""},
               {"spread", 0},
               {"image", ""},
               {"latency", 0},
               {"unavailable", 0}}}},
            {"repeat", 0},
            {"due", 0},
            {"interval", 0},
            {"accepted", 5},
            {"alias", nullptr}};
}

json make_job()
{
    return {{"shard", "east.0"},
            {"phase", 1},
            {"delegates", json::array()},
            {"tasks", {{{"o", 0}, {"s", 0}, {"i", 1}, {"r", 3}, {"f", {1}}}}},
            {"spec", make_spec()}};
}

// As written since tasks with the same progress share an entry.
json make_grouped_job()
{
    json spec = make_spec();
    spec["repeat"] = 4;
    spec["policy"] = {{"service", "desk"},
                      {"priority", 1},
                      {"attempts", 3},
                      {"slack", 1.5},
                      {"objective", 250},
                      {"limit", {4000, 0, 0}},
                      {"advice", {10.0, 1.5, 2000}}};
    return {
        {"shard", "east.0"},
        {"phase", 1},
        {"delegates", json::array()},
        {"ended", {{0, {0, 2}}}},
        {"groups", {{{"o", 2}, {"s", 0}, {"n", {1, 1}}, {"r", 3}, {"f", {1}}}}},
        {"checkpoints", {{2, 0, 0, "c-1"}}},
        {"spec", spec}};
}

json make_alias()
{
    return {{"job", "bb01"},      {"occurrence", 0},
            {"step", 0},          {"indices", {0, 1}},
            {"failures", {0, 0}}, {"checkpoints", {"", ""}},
            {"first_run", 1}};
}

json make_grants()
{
    return {{"targets",
             {{{"id", "t-1"},
               {"address", "10.0.0.1:80"},
               {"domain", "east"},
               {"service", "desk"},
               {"rack", "r-1"},
               {"labels", {"a", "r-1"}},
               {"cpu", 4000},
               {"memory", 512},
               {"accelerators", 0}}}}};
}

// A kind of row: a valid example and its reader.
struct row_kind
{
    json valid_;
    void (*const read_)(std::string const&);
};

std::vector<row_kind> list_kinds()
{
    return {
        {{{"address", "10.0.0.1:80"},
          {"domain", "east"},
          {"cpu", 0.5},
          {"incarnation", 7}},
         [](std::string const& text)
         {
             read_host(text);
         }},
        {{{"host", "host-1"},
          {"incarnation", 7},
          {"address", "10.0.0.1:80"},
          {"epoch", 3},
          {"released", false},
          {"successor", ""}},
         [](std::string const& text)
         {
             read_owner(text);
         }},
        {{{"shards", 2}, {"racks", {{"r-1", 0}, {"r-2", 1}}}},
         [](std::string const& text)
         {
             read_layout(text);
         }},
        {{{"parts", {{"east.0", 40}}}},
         [](std::string const& text)
         {
             read_allotment(text);
         }},
        {make_grants(),
         [](std::string const& text)
         {
             read_grants(text);
         }},
        {make_job(),
         [](std::string const& text)
         {
             read_job(text);
         }},
        {make_grouped_job(),
         [](std::string const& text)
         {
             read_job(text);
         }},
    };
}

std::string nest(std::string const& open, std::size_t levels)
{
    std::string text;
    for (std::size_t level = 0; level < levels; ++level)
    {
        text += open;
    }
    return text;
}

TEST_CASE("stored rows, valid, read")
{
    for (row_kind const& kind : list_kinds())
    {
        CAPTURE(kind.valid_.dump());
        CHECK_NOTHROW(kind.read_(kind.valid_.dump()));
    }
    json alias = make_job();
    alias["spec"]["alias"] = make_alias();
    CHECK_NOTHROW(read_job(alias.dump()));
    // A job that was canceled before its submission has nothing but its name.
    json canceled = make_job();
    canceled["phase"] = 4;
    canceled["tasks"] = json::array();
    canceled["spec"]["steps"] = json::array();
    CHECK_NOTHROW(read_job(canceled.dump()));
    job_record const job = read_job(make_job().dump());
    CHECK(job.spec_text_ == write_spec(*job.job_));
}

// Guards against tasks that run twice after an update: a row of an earlier
// version doesn't say whether its owner's stops are over.
TEST_CASE("owner row without the stops, read, they may be open")
{
    owner_record const record{
        .host_ = host_id("host-1"), .epoch_ = 3, .stops_over_ = true};
    CHECK(read_owner(write_owner(record)) == record);
    json row = json::parse(write_owner(record));
    row.erase("stops_over");
    CHECK_FALSE(read_owner(row.dump()).stops_over_);
}

// Guards against parts of a gang that a later owner takes for other tasks, or
// can't read from rows of an earlier version.
TEST_CASE("row of a job, run of a gang's part, kept, and zero in old rows")
{
    json old = make_job();
    old["spec"]["alias"] = make_alias();
    job_record const without = read_job(old.dump());
    CHECK(without.job_->alias_->gang_run_ == 0);
    CHECK(without.progress_.tasks_.at(0).gang_run_ == 0);

    json row = old;
    row["spec"]["alias"]["gang_run"] = 1007;
    row["tasks"][0]["x"] = "cc01";
    row["tasks"][0]["g"] = 1008;
    job_record const part = read_job(row.dump());
    CHECK(part.job_->alias_->gang_run_ == 1007);
    CHECK(part.progress_.tasks_.at(0).gang_run_ == 1008);
    job_record const again =
        read_job(write_job(part.shard_, part.spec_text_, part.progress_));
    CHECK(*again.job_ == *part.job_);
    CHECK(again.progress_ == part.progress_);

    for (char const* const path : {"/spec/alias/gang_run", "/tasks/0/g"})
    {
        for (json const& malformed : {json(-1), json("7"), json(4'294'967'296)})
        {
            json bad = row;
            bad[json::json_pointer(path)] = malformed;
            CAPTURE(bad.dump());
            CHECK_THROWS_AS(read_job(bad.dump()), record_error);
        }
    }
}

// Guards against numbers that a conversion wraps or truncates: an epoch that no
// later one exceeds, 4 billion shards or tasks, task 0 in place of another.
TEST_CASE("stored rows, numbers out of range, refused")
{
    for (row_kind const& kind : list_kinds())
    {
        json const flat = kind.valid_.flatten();
        for (auto const& [path, value] : flat.items())
        {
            if (!value.is_number())
            {
                continue;
            }
            for (char const* const number :
                 {"-1", "1e30", "-1e30", "1e999", "18446744073709551615"})
            {
                json row = kind.valid_;
                row[json::json_pointer(path)] = "@";
                std::string text = row.dump();
                text.replace(text.find("\"@\""), 3, number);
                CAPTURE(text);
                CHECK_THROWS_AS(kind.read_(text), record_error);
            }
        }
    }
}

struct contradictory_value
{
    char const* path_;
    json        value_;
};

// Guards against rows that make a planner or a reply to a caller read beyond
// its tables.
TEST_CASE("row of a job, fields contradict each other, refused")
{
    json other_alias = make_alias();
    other_alias["failures"] = {0};
    json short_alias = make_alias();
    for (char const* const list : {"indices", "failures", "checkpoints"})
    {
        short_alias[list] = {0};
    }
    short_alias["checkpoints"] = {""};
    for (contradictory_value const& entry :
         {contradictory_value{"/phase", 5},
          contradictory_value{"/shard", "east."},
          contradictory_value{"/shard", "east.99999999999"},
          contradictory_value{"/shard", "east.-1"},
          contradictory_value{"/shard", "east"},
          contradictory_value{"/tasks/0/s", 1},
          contradictory_value{"/tasks/0/i", 2},
          contradictory_value{"/tasks/0/o", 1},
          contradictory_value{"/spec/steps/0/after", {0}},
          contradictory_value{"/spec/steps", json::array()},
          contradictory_value{"/spec/steps/0/count", 0},
          contradictory_value{"/spec/steps/0/count", 4'000'000'000U},
          contradictory_value{"/spec/repeat", 4'000'000'000U},
          contradictory_value{"/spec/alias", other_alias},
          contradictory_value{"/spec/alias", short_alias},
          contradictory_value{"/tasks", 7},
          contradictory_value{"/delegates", {7}}})
    {
        json row = make_job();
        row[json::json_pointer(entry.path_)] = entry.value_;
        CAPTURE(row.dump());
        CHECK_THROWS_AS(read_job(row.dump()), record_error);
    }
}

// Guards against a policy that the next owner reads in another way.
TEST_CASE("row of a job, accepted policy, kept, and unknown in old rows")
{
    CHECK_FALSE(read_job(make_job().dump()).job_->policy_);
    job_record const record = read_job(make_grouped_job().dump());
    REQUIRE(record.job_->policy_);
    CHECK(record.job_->policy_->queue_.max_attempts_ == 3);
    CHECK(record.job_->policy_->queue_.advice_->validity_ms_ == 2000);
    CHECK(record.job_->policy_->limit_ == resources(4000, 0, 0));
    CHECK(*read_spec(write_spec(*record.job_)) == *record.job_);
}

TEST_CASE("row of a job, grouped progress of tasks that don't exist, refused")
{
    for (contradictory_value const& entry :
         {contradictory_value{"/groups/0/n", {1, 2}},
          contradictory_value{"/groups/0/n", {3, 1}},
          contradictory_value{"/groups/0/n", {4'294'967'295U, 1}},
          contradictory_value{"/groups/0/n", "04"},
          contradictory_value{"/groups/0/n", "0100"},
          contradictory_value{"/groups/0/n", "0"},
          contradictory_value{"/groups/0/n", "zz"},
          contradictory_value{"/groups/0/s", 1},
          contradictory_value{"/groups/0/o", 4},
          contradictory_value{"/ended/0/0", 1},
          contradictory_value{"/ended/0/1", {0, 5}},
          contradictory_value{"/ended", {7}},
          contradictory_value{"/checkpoints/0", {2, 0, 2, "c-1"}},
          contradictory_value{"/checkpoints/0", {2, 1, 0, "c-1"}},
          contradictory_value{"/checkpoints/0", {4, 0, 0, "c-1"}},
          contradictory_value{"/checkpoints/0", {2, 0, 0}}})
    {
        json row = make_grouped_job();
        row[json::json_pointer(entry.path_)] = entry.value_;
        CAPTURE(row.dump());
        CHECK_THROWS_AS(read_job(row.dump()), record_error);
    }
}

// Guards against a short row that exhausts the memory of each host that loads
// it: an entry may stand for any number of tasks.
TEST_CASE("row of a job, entries for more tasks than a host can hold, refused")
{
    constexpr std::uint32_t tasks = 50'000; // of one occurrence
    json                    row = make_grouped_job();
    row["spec"]["repeat"] = 1'000;
    row["spec"]["steps"][0]["count"] = tasks;
    row["groups"] = json::array();
    row["checkpoints"] = json::array();
    for (std::uint32_t occurrence = 0; occurrence < 3; ++occurrence)
    {
        CAPTURE(occurrence);
        row["groups"].push_back({{"o", occurrence + 2},
                                 {"s", 0},
                                 {"n", {0, tasks}},
                                 {"r", 3},
                                 {"f", {1}}});
        if (occurrence < 2)
        {
            CHECK_NOTHROW(read_job(row.dump()));
        }
        else
        {
            CHECK_THROWS_AS(read_job(row.dump()), record_error);
        }
    }
}

// Guards against a layout that makes each host of a cell create shards until
// its memory is exhausted.
TEST_CASE("row of a layout, too many shards, refused")
{
    for (char const* const text :
         {R"({"shards":4000000000,"racks":{}})", R"({"shards":0,"racks":{}})",
          R"({"shards":1,"racks":{"r-1":1}})"})
    {
        CAPTURE(text);
        CHECK_THROWS_AS(read_layout(text), record_error);
    }
}

// Guards against a reader that overflows the stack by recursion.
TEST_CASE("stored rows, nested deeply, refused")
{
    constexpr std::size_t levels = 1'000'000;
    std::string const     deep = nest("[", levels) + nest("]", levels);
    for (row_kind const& kind : list_kinds())
    {
        CHECK_THROWS_AS(kind.read_(nest("[", levels)), record_error);
        CHECK_THROWS_AS(kind.read_(deep), record_error);
        CHECK_THROWS_AS(kind.read_("{\"a\":\"\xff\"}"), record_error);
        // Fields that aren't read don't matter.
        std::string text = R"({"aaa":)";
        text.append(deep).append(",").append(kind.valid_.dump().substr(1));
        CHECK_NOTHROW(kind.read_(text));
    }
    json row = make_job();
    row["spec"]["later"] = "@";
    std::string text = row.dump();
    text.replace(text.find("\"@\""), 3, deep);
    CHECK_NOTHROW(read_job(text));
}

json make_random(int depth)
{
    switch (*rc::gen::inRange(0, depth > 0 ? 7 : 5))
    {
    case 0:
        return nullptr;
    case 1:
        return *rc::gen::arbitrary<std::int64_t>();
    case 2:
        return *rc::gen::arbitrary<double>();
    case 3:
        return *rc::gen::string<std::string>();
    case 4:
        return *rc::gen::arbitrary<bool>();
    case 5:
        return json::array({make_random(depth - 1), make_random(depth - 1)});
    default:
        return json{{"east.0", make_random(depth - 1)},
                    {"id", make_random(depth - 1)}};
    }
}

// Guards against rows on which the reader throws another error than the one
// that is handled.
TEST_CASE("stored rows, changed fields, read or refused")
{
    std::vector<row_kind> const kinds = list_kinds();
    CHECK(rc::check(
        [&kinds]
        {
            row_kind const& kind =
                kinds[*rc::gen::inRange<std::size_t>(0, kinds.size())];
            json const               flat = kind.valid_.flatten();
            std::vector<std::string> paths;
            for (auto const& [path, value] : flat.items())
            {
                paths.push_back(path);
            }
            json row = kind.valid_;
            row[json::json_pointer(*rc::gen::elementOf(paths))] =
                make_random(2);
            try
            {
                kind.read_(
                    row.dump(-1, ' ', false, json::error_handler_t::replace));
            }
            catch (record_error const&)
            {
                // The row is malformed.
            }
        }));
}

} // namespace
} // namespace fescuevane::cell
