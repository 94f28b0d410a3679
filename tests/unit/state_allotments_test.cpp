// Purpose: tests of the parts of upper limits.
#include "state/allotment_table.hpp"
#include "state/row_json.hpp"
#include "state/ticket_text.hpp"
#include "tests/unit/state_fixture.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <algorithm>

namespace fescuevane::state
{
namespace
{

struct allotment_fixture : state_fixture
{
    shard_id const east_{domain_id("east"), 0};
    shard_id const west_{domain_id("west"), 0};
    team_id const  team_{"cafes"};
    ticket_number  number_ = 0;

    // Usage and demand that the schedulers of the shards report.
    std::map<shard_id, resources> used_;
    std::map<shard_id, resources> waiting_;

    allotment_fixture()
    {
        shard_counts_ = {{domain_id("east"), 1}, {domain_id("west"), 1}};
        start("e1", "east");
        start("w1", "west");
        run(3000);
    }

    static std::string write_limit(std::int64_t cpu)
    {
        return R"("limit":{"cpu_millis":)" + std::to_string(cpu) +
               R"(,"memory_mib":1000,"accelerators":0})";
    }

    void file_limit(std::int64_t cpu)
    {
        processes_.at("e1").post(
            ticket_filed{++number_, R"({"number":)" + std::to_string(number_) +
                                        R"(,"teams":[{"id":"cafes",)" +
                                        write_limit(cpu) + "}]}"});
    }

    process_fake& find_server(shard_id const& shard)
    {
        return processes_.at(list_servers(shard).at(0));
    }

    // What the scheduler of the shard may use now.
    std::int64_t find_told(shard_id const& shard)
    {
        auto const& told = find_server(shard).allotments_;
        if (!told.contains(shard) || !told.at(shard).contains(team_))
        {
            return -1;
        }
        return told.at(shard).at(team_).cpu_millis();
    }

    void demand(shard_id const& shard, std::int64_t used, std::int64_t waiting)
    {
        used_[shard] = {used, 0, 0};
        waiting_[shard] = {waiting, 0, 0};
    }

    // Runs and notes the loads every 100 ms.
    void run_loaded(std::int64_t millis)
    {
        for (std::int64_t passed = 0; passed < millis; passed += 100)
        {
            for (auto const& [shard, used] : used_)
            {
                for (std::string const& name : list_servers(shard))
                {
                    processes_.at(name).post(
                        load_noted{shard, {{team_, used, waiting_[shard]}}});
                }
            }
            run(100);
        }
    }

    part_map read_row() const
    {
        auto const found = store_.cells_.find("control/allotment/cafes");
        return found == store_.cells_.end() || found->second.deleted_
                   ? part_map()
                   : read_parts(found->second.value_);
    }

    void accept_limit(std::int64_t cpu)
    {
        demand(east_, 0, 0);
        demand(west_, 0, 0);
        file_limit(cpu);
        run_loaded(2000);
        REQUIRE(find_accepted() == number_);
    }

    ticket_number find_accepted() const
    {
        return accepted_config(*processes_.at("e1").control_)->number_;
    }

    static bool accepts(commit_rows const& commit, ticket_number number)
    {
        row_write const& write = commit.writes_.at(0);
        return write.key_ == "control/accepted" &&
               read_config(write.value_).number_ == number;
    }

    // True when all commits that accept the number, at least one, are
    // conditional on the row of the team's parts.
    bool depends_on_parts(ticket_number number) const
    {
        std::size_t accepting = 0;
        std::size_t dependent = 0;
        for (auto const& [name, process] : processes_)
        {
            for (commit_rows const& commit : process.list<commit_rows>())
            {
                if (accepts(commit, number))
                {
                    ++accepting;
                    dependent += static_cast<std::size_t>(std::count_if(
                        commit.conditions_.begin(), commit.conditions_.end(),
                        [](row_condition const& condition)
                        {
                            return condition.key_ == "control/allotment/cafes";
                        }));
                }
            }
        }
        return accepting > 0 && dependent == accepting;
    }
};

// Guards against an owner that has to ask the store before its first start.
TEST_CASE_FIXTURE(allotment_fixture,
                  "allotment, no demand, is the minimum on each shard")
{
    accept_limit(800);
    CHECK(find_told(east_) == 100);
    CHECK(find_told(west_) == 100);
}

// Guards against a part that stays behind demand, or that takes the pool whole.
TEST_CASE_FIXTURE(allotment_fixture,
                  "allotment, demand rises, grows with headroom")
{
    accept_limit(800);
    demand(east_, 100, 300);
    run_loaded(1000);
    CHECK(find_told(east_) == 500);
    demand(east_, 500, 5000);
    run_loaded(1000);
    CHECK(find_told(east_) == 700);
    CHECK(sum_parts(read_row()).cpu_millis() == 800);
}

// Guards against capacity that stays with a shard that no longer uses it.
TEST_CASE_FIXTURE(allotment_fixture,
                  "allotment, unused for the idle time, goes back")
{
    accept_limit(800);
    demand(east_, 100, 300);
    run_loaded(1000);
    demand(east_, 0, 0);
    run_loaded(4000);
    CHECK(find_told(east_) == 500);
    run_loaded(2000);
    CHECK(find_told(east_) == 100);
    CHECK(read_row().at(east_).part_.cpu_millis() == 100);
}

// Guards against a shard that starves while another holds unused parts.
TEST_CASE_FIXTURE(allotment_fixture,
                  "allotment, pool empty and another wants, gives half back")
{
    accept_limit(800);
    demand(east_, 700, 0);
    run_loaded(1000);
    demand(east_, 300, 0);
    demand(west_, 100, 600);
    run_loaded(1500);
    CHECK(find_told(west_) >= 300);
    CHECK(find_told(east_) >= 300);
    CHECK(find_told(east_) + find_told(west_) <= 800);
}

// Guards against an accepted limit that running tasks still exceed, and
// against a scheduler that learns a lower limit late.
TEST_CASE_FIXTURE(allotment_fixture,
                  "limit, lowered while in use, is accepted after shrinking")
{
    accept_limit(800);
    demand(east_, 400, 0);
    demand(west_, 300, 0);
    run_loaded(1000);
    file_limit(400);
    run_loaded(1000);
    CHECK(find_told(east_) + find_told(west_) <= 400);
    CHECK(find_accepted() == 1);
    demand(east_, find_told(east_), 0);
    run_loaded(2000);
    CHECK(find_accepted() == 1); // west still runs too much
    demand(west_, find_told(west_), 0);
    run_loaded(2000);
    CHECK(find_accepted() == 2);
    CHECK(sum_parts(read_row()).cpu_millis() <= 400);
    CHECK(find_told(east_) + find_told(west_) <= 400);
}

// Guards against a limit that is spent twice across a takeover.
TEST_CASE_FIXTURE(allotment_fixture,
                  "allotment, owner dies, new owner inherits the part")
{
    accept_limit(800);
    demand(east_, 400, 0);
    run_loaded(1000);
    std::int64_t const part = find_told(east_);
    kill("e1");
    run(4000);
    REQUIRE(list_servers(east_) == std::vector<std::string>{"w1"});
    CHECK(find_told(east_) == part);
}

// Guards against running tasks that are stopped because their team gets its
// first limit.
TEST_CASE_FIXTURE(allotment_fixture,
                  "limit, new for a running team, keeps what fits")
{
    processes_.at("e1").post(
        ticket_filed{++number_, R"({"number":1,"teams":[{"id":"cafes"}]})"});
    run(1500);
    demand(east_, 300, 0);
    demand(west_, 200, 0);
    run_loaded(200);
    file_limit(800);
    for (int i = 0; i < 20; ++i)
    {
        run_loaded(100);
        CHECK((find_told(east_) == -1 || find_told(east_) >= 300));
        CHECK((find_told(west_) == -1 || find_told(west_) >= 200));
    }
    CHECK(find_accepted() == 2);
}

// Guards against schedulers that set up their policies again at each load.
TEST_CASE_FIXTURE(allotment_fixture,
                  "loads, repeated without a change, tell nothing")
{
    accept_limit(800);
    demand(east_, 100, 300);
    run_loaded(1000);
    std::size_t const writes = store_.commits_;
    process_fake&     owner = find_server(east_);
    owner.told_.clear();
    run_loaded(8000); // longer than the idle time
    CHECK(owner.list<allotments_changed>().empty());
    CHECK(store_.commits_ == writes);
}

// Guards against a load that is taken for an unchanged one because only its
// team went away.
TEST_CASE_FIXTURE(allotment_fixture,
                  "loads, team no longer named, gives its part back")
{
    accept_limit(800);
    demand(east_, 100, 300);
    run_loaded(1000);
    REQUIRE(find_told(east_) == 500);
    used_.clear();
    for (int i = 0; i < 80; ++i)
    {
        find_server(east_).post(load_noted{east_, {}});
        run(100);
    }
    CHECK(find_told(east_) == 100);
}

// Guards against a lower limit that a later ticket lifts on the shards that
// have seen both, while the lower one can still be accepted.
TEST_CASE_FIXTURE(allotment_fixture,
                  "limit, lowered and raised before acceptance, stays lowered")
{
    accept_limit(800);
    processes_.at("w1").cut_ = true;
    file_limit(200);
    run_loaded(500);
    file_limit(900);
    run_loaded(500);
    REQUIRE(committed_number(*processes_.at("e1").control_) == 3);
    demand(east_, 0, 700);
    run_loaded(1000);
    CHECK(find_told(east_) <= 200);
    CHECK(sum_parts(read_row()).cpu_millis() <= 200);
    processes_.at("w1").cut_ = false;
    run_loaded(4000);
    CHECK(find_accepted() == 3);
    CHECK(find_told(east_) == 900 - 900 / 8); // all but the other's minimum
}

// Guards against a part that grows under a limit which a ticket has lowered in
// the meantime.
TEST_CASE_FIXTURE(allotment_fixture,
                  "part, grows while a ticket is committed, gets a conflict")
{
    accept_limit(800);
    demand(west_, 100, 500);
    processes_.at("w1").post(
        load_noted{west_, {{team_, used_[west_], waiting_[west_]}}});
    file_limit(300);
    run(20); // the store decides on the ticket of e1 first
    CHECK(store_.cells_.at("control/head").value_ == "2");
    CHECK(sum_parts(read_row()).cpu_millis() == 200);
    run_loaded(2000);
    CHECK(find_accepted() == 2);
    CHECK(sum_parts(read_row()).cpu_millis() <= 300);
}

// Guards against an acceptance that a part outgrows after it was checked, and
// against one that each change of an unconcerned team delays.
TEST_CASE_FIXTURE(allotment_fixture,
                  "acceptance, limit lowered, depends on the team's parts")
{
    accept_limit(800);
    file_limit(900);
    run_loaded(2000);
    file_limit(300);
    run_loaded(2000);
    REQUIRE(find_accepted() == 3);
    CHECK(depends_on_parts(1)); // the limit is new
    CHECK_FALSE(depends_on_parts(2));
    CHECK(depends_on_parts(3));
}

// Guards against rows of teams that no longer exist.
TEST_CASE_FIXTURE(allotment_fixture,
                  "allotment, team removed, row goes after acceptance")
{
    accept_limit(800);
    CHECK_FALSE(read_row().empty());
    processes_.at("e1").post(
        ticket_filed{9, R"({"number":2,"remove":{"teams":["cafes"]}})"});
    run_loaded(3000);
    CHECK(find_accepted() == 2);
    CHECK(read_row().empty());
}

// Guards against caps that add up to more than the limit, and against parts
// that the scaling overflows.
TEST_CASE_FIXTURE(allotment_fixture,
                  "caps, random parts and limits, fit in the limit")
{
    bool const holds = rc::check(
        [](std::vector<std::uint32_t> const& amounts, std::uint32_t limit)
        {
            constexpr std::int64_t factor = 100;
            part_map               parts;
            std::uint32_t          index = 0;
            for (std::uint32_t const amount : amounts)
            {
                parts.emplace(shard_id{domain_id("x"), index++},
                              allotment_part{.part_ = resources(amount * factor,
                                                                amount, 1)});
            }
            resources const most(limit * factor, limit, 2);
            part_map const  capped = cap_parts(parts, most);
            RC_ASSERT(sum_ceilings(capped).fits_in(most));
            for (auto const& [shard, part] : capped)
            {
                RC_ASSERT(part.part_ == parts.at(shard).part_);
                RC_ASSERT(part.ceiling().fits_in(part.part_));
            }
        });
    CHECK(holds);
}

// One random history: demand, limits, faults of store and processes. The
// schedulers start as much as they are told they may.
struct history_checker : allotment_fixture
{
    std::int64_t  limit_ = 800;
    std::uint64_t steps_ = 0;

    void start_tasks(shard_id const& shard)
    {
        std::int64_t most = 0;
        for (std::string const& name : list_servers(shard))
        {
            auto const& told = processes_.at(name).allotments_;
            if (told.contains(shard) && told.at(shard).contains(team_))
            {
                most = std::max(most, told.at(shard).at(team_).cpu_millis());
            }
        }
        std::int64_t const used = used_[shard].cpu_millis();
        std::int64_t const all = used + waiting_[shard].cpu_millis();
        // Tasks beyond the allotment stop late: at every fourth step.
        bool const         stops = ++steps_ % 4 == 0;
        std::int64_t const started =
            std::max(stops ? 0 : used, std::min(all, most));
        demand(shard, started, all - started);
    }

    void apply(int action)
    {
        shard_id const& shard = action % 2 == 0 ? east_ : west_;
        switch (action % 7)
        {
        case 0:
            demand(shard, used_[shard].cpu_millis(), action % 900);
            break;
        case 1:
            demand(shard, used_[shard].cpu_millis() / 2, 0);
            break;
        case 2:
            store_.lost_replies_ = action % 4;
            break;
        case 3:
            store_.down_ = !store_.down_;
            break;
        case 4:
            processes_.at("w1").cut_ = !processes_.at("w1").cut_;
            break;
        case 5:
            if (committed_number(*processes_.at("e1").control_) == number_)
            {
                file_limit(100 + action % 900);
            }
            break;
        default:
            break;
        }
    }

    // The limit in force is that of the accepted ticket in the store.
    void check_sums()
    {
        config const accepted =
            read_config(store_.cells_.at("control/accepted").value_);
        std::int64_t const limit =
            accepted.teams_.at(team_).limit_->cpu_millis();
        RC_ASSERT(sum_parts(read_row()).cpu_millis() <= limit);
        RC_ASSERT(used_[east_].cpu_millis() + used_[west_].cpu_millis() <=
                  limit);
    }

    void run_history(std::vector<int> const& actions)
    {
        accept_limit(limit_);
        for (int const action : actions)
        {
            apply(action);
            for (int i = 0; i < 6; ++i)
            {
                start_tasks(east_);
                start_tasks(west_);
                run_loaded(100);
                check_sums();
            }
        }
    }
};

// Guards against a team that runs more than its limit, whatever the order of
// demand, limits and faults.
TEST_CASE_FIXTURE(
    allotment_fixture,
    "allotments, random events and faults, never exceed the limit")
{
    bool const holds = rc::check(
        []
        {
            auto const actions = *rc::gen::container<std::vector<int>>(
                rc::gen::inRange(0, 10'000));
            history_checker history;
            history.run_history(actions);
        });
    CHECK(holds);
}

} // namespace
} // namespace fescuevane::state
