// Purpose: tests of a node that reads unexpected rows of other writers.
#include "cell/layout_record.hpp"
#include "cell/records.hpp"
#include "cell_fixture.hpp"

#include <doctest/doctest.h>
#include <set>
#include <utility>

namespace fescuevane::cell
{
namespace
{

// A node that owns both shards of its failure domain, with one attached target.
struct malformed_rows_fixture : cell_fixture
{
    malformed_rows_fixture()
    {
        row_key const key{"member", "", "layout/east"};
        rows_[key] = {
            key, write_layout({2, {{rack_id("r-1"), 0}, {rack_id("r-2"), 1}}}),
            ++revision_};
        start(2);
        run(3 * micros_per_second);
        serve();
    }

    // Replies to the open hold calls with these runs and ends.
    void answer_holds(std::vector<reported_run> const& runs,
                      std::vector<reported_end> const& ends = {})
    {
        for (hold_target const& hold : take<hold_target>())
        {
            answer_hold(hold, runs, ends);
        }
        run(50'000);
    }

    // Submits several jobs, so that each shard gets some of them.
    std::vector<send_start> start_jobs(std::string const& prefix)
    {
        for (char const digit : {'1', '2', '3', '4'})
        {
            submit(prefix + digit);
        }
        run(100'000);
        return take<send_start>();
    }

    // Another writer changes the row of the target while it runs tasks, which
    // then end. Returns true if all their jobs end.
    bool ends_count_after_row(std::string const& domain,
                              std::string const& rack)
    {
        std::vector<reported_run> runs;
        std::vector<reported_end> ends;
        for (send_start const& start : start_jobs("aa"))
        {
            post(order_reply{.request_ = start.request_,
                             .outcome_ = target_outcome::done});
            runs.push_back({start.start_.run_});
            ends.push_back({ends.size() + 1, start.start_.run_, run_end::done});
        }
        REQUIRE(!runs.empty());
        answer_holds(runs);
        list_in("t-1", domain, rack);
        run(50'000);
        take<log_line>();
        answer_holds({}, ends);
        return count_lines("job_ended") == ends.size();
    }

    void list_in(std::string const& name, std::string const& domain,
                 std::string const& rack, std::int64_t cpu_millis = 4000)
    {
        post(target_listed{{.id_ = target_id(name),
                            .address_ = "127.0.0.1:8000",
                            .domain_ = domain_id(domain),
                            .service_ = service_id("desk"),
                            .rack_ = rack_id(rack),
                            .capacity_ = {cpu_millis, 8192, 0}}});
    }

    std::size_t count_lines(std::string const& event)
    {
        std::size_t found = 0;
        for (log_line const& line : take<log_line>())
        {
            found += line.event_ == event ? 1 : 0;
        }
        return found;
    }

    std::set<target_id> held_targets()
    {
        std::set<target_id> held;
        for (hold_target const& hold : take<hold_target>())
        {
            held.insert(hold.target_);
        }
        return held;
    }
};

// Guards against rows that add failure domains: hosts would write layouts and
// claim shards for any name.
TEST_CASE_FIXTURE(malformed_rows_fixture,
                  "target of an unknown domain, listed, logged once, not used")
{
    auto const before = rows_;
    commands_.clear();
    for (std::int64_t cpu = 1000; cpu < 4000; cpu += 1000)
    {
        list_in("t-odd", "atlantis", "r-1", cpu);
        list_in("t-odder", "atlantis", "r-2", cpu);
        run(3 * micros_per_second);
    }
    CHECK(count_lines("domain_unknown") == 1);
    CHECK_FALSE(held_targets().contains(target_id("t-odd")));
    for (auto const& entry : rows_)
    {
        std::string const& name = entry.first.key_;
        CAPTURE(name);
        CHECK(name.find("atlantis") == std::string::npos);
    }
}

// Guards against ends of runs that reach no owner: the target would be assigned
// to another shard while its session is still open.
TEST_CASE_FIXTURE(malformed_rows_fixture,
                  "row names an unknown domain, task runs, its end counts")
{
    CHECK(ends_count_after_row("atlantis", "r-1"));
}

TEST_CASE_FIXTURE(
    malformed_rows_fixture,
    "row names a rack of another shard, task runs, its end counts")
{
    CHECK(ends_count_after_row("east", "r-2"));
}

// Guards against starts on a target whose row contradicts its session, and
// against a target that stays unused after its row has been corrected.
TEST_CASE_FIXTURE(malformed_rows_fixture,
                  "row moves the target and is corrected, used again only then")
{
    for (auto const& [domain, rack] :
         {std::pair("atlantis", "r-1"), std::pair("east", "r-2")})
    {
        list_in("t-1", domain, rack);
        run(50'000);
        CHECK(start_jobs(rack).empty());
        list_in("t-1", "east", "r-1");
        run(100'000);
        CHECK(!take<send_start>().empty());
    }
}

// Guards against flooding the log with rows of many unknown domains.
TEST_CASE_FIXTURE(malformed_rows_fixture,
                  "10,000 unknown domains, listed, few lines")
{
    commands_.clear();
    for (int row = 0; row < 10'000; ++row)
    {
        list_in("t-" + std::to_string(row), "odd-" + std::to_string(row), "r");
    }
    run(100'000);
    CHECK(count_lines("domain_unknown") <= 20);
}

} // namespace
} // namespace fescuevane::cell
