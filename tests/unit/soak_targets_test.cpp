// Purpose: tests of the model of targets, by whose clock and lists the soak
// judges the program.
#include "tests/soak/job_codec.hpp"
#include "tests/soak/job_plan.hpp"
#include "tests/soak/target_world.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace fescuevane::soak
{
namespace
{

using nlohmann::json;

class target_world_fixture
{
protected:
    static instant at(std::int64_t millis)
    {
        return instant(millis * micros_per_milli);
    }

    // The payload of a job with one step.
    static std::string make_payload(step_plan const& step)
    {
        return json::parse(encode_submission({"job", "team", {step}}))
            .at("taskSpec")
            .get<std::string>();
    }

    static json make_start(step_plan const& step, int index, std::int64_t run,
                           std::int64_t fence = 1)
    {
        return {{"task", "job.0.0." + std::to_string(index)},
                {"run", run},
                {"taskSpec", make_payload(step)},
                {"deadlineMs", 4000},
                {"fence", fence}};
    }

    json hold(std::int64_t seen, instant now, std::size_t target = 0)
    {
        return take_hold(world_, target, {{"fence", 1}, {"lastSeen", seen}},
                         now, false)
            ->second;
    }

    target_world    world_ = make_world({{"a", "", "domain-1", "rack-1", {}},
                                         {"b", "", "domain-1", "rack-1", {}}},
                                        1, instant(), 0);
    step_plan const short_{.work_ms_ = 500};
};

TEST_CASE_FIXTURE(target_world_fixture, "start, a new run, ends done in time")
{
    CHECK(start_run(world_, 0, make_start(short_, 0, 1), at(100)).first == 200);
    CHECK(hold(0, at(500)).at("running").size() == 1);
    json const lists = hold(0, at(601));
    CHECK(lists.at("running").empty());
    CHECK(lists.at("terminated").at(0) ==
          json::array({1, "job.0.0.0", 1, "done", ""}));
    CHECK(hold(1, at(602)).at("terminated").empty());
}

TEST_CASE_FIXTURE(target_world_fixture,
                  "start, a fence below the highest, is turned down")
{
    start_run(world_, 0, make_start(short_, 0, 1, 5), at(0));
    auto const late = start_run(world_, 0, make_start(short_, 1, 1, 4), at(1));
    CHECK(late.first == 409);
    CHECK(late.second.at("reason") == "fence");
}

TEST_CASE_FIXTURE(target_world_fixture,
                  "start, a run that was stopped before, is turned down")
{
    stop_run(world_, 0, {{"task", "job.0.0.0"}, {"run", 3}, {"fence", 1}},
             at(0));
    auto const late = start_run(world_, 0, make_start(short_, 0, 3), at(1));
    CHECK(late.second.at("reason") == "old");
    CHECK(start_run(world_, 0, make_start(short_, 0, 4), at(2)).first == 200);
}

TEST_CASE_FIXTURE(target_world_fixture,
                  "lease, not extended, ends what runs 2% later than told")
{
    step_plan const lasting{.perpetual_ = true};
    start_run(world_, 0, make_start(lasting, 0, 1), at(0));
    CHECK(hold(0, at(4050)).at("running").size() == 1);
    CHECK(hold(0, at(4090)).at("terminated").at(0).at(3) == "lapsed");
}

// Guards against bounds of leases that are judged by shorter ones.
TEST_CASE_FIXTURE(target_world_fixture,
                  "lease, longer than allowed, is shortened to 10 s")
{
    step_plan const lasting{.perpetual_ = true};
    json            order = make_start(lasting, 0, 1);
    order["deadlineMs"] = 60'000;
    start_run(world_, 0, order, at(0));
    CHECK(hold(0, at(10'200)).at("running").size() == 1);
    CHECK(hold(0, at(10'210)).at("terminated").at(0).at(3) == "lapsed");
}

// The protocol doesn't say whether a run that is being stopped is listed.
TEST_CASE_FIXTURE(target_world_fixture,
                  "stop, under way, is listed or not as the traits say")
{
    step_plan const lasting{.perpetual_ = true};
    for (bool const listed : {true, false})
    {
        target_world world =
            make_world({{"a", "", "domain-1", "rack-1", {}}}, 1, instant(), 0,
                       {.lists_stopping_ = listed});
        auto const list = [&world](char const* name, instant now)
        {
            return take_hold(world, 0, {{"fence", 1}}, now, false)
                ->second.at(name);
        };
        start_run(world, 0, make_start(lasting, 0, 1), at(0));
        stop_run(world, 0, {{"task", "job.0.0.0"}, {"run", 1}, {"fence", 1}},
                 at(0));
        CHECK(list("running", at(0)).size() == (listed ? 1 : 0));
        CHECK(list("terminated", at(0)).empty());
        CHECK(list("terminated", at(900)).at(0).at(3) == "stopped");
    }
}

// Guards against targets whose clocks all run alike.
TEST_CASE_FIXTURE(target_world_fixture, "clock, of a speed, keeps it in a life")
{
    target_spec const exact{.name_ = "a", .clock_permille_ = 1000};
    target_world      world = make_world({exact}, 1, instant(), 0);
    CHECK(read_target_clock(world.targets_[0], at(10'000)) == 10'000);
    begin_new_life(world, 0, true, at(10'000), 10'000, at(11'000));
    CHECK(read_target_clock(world.targets_[0], at(12'000)) == 1000);
    CHECK(world.targets_[0].fence_ == 0);
}

// Guards against a history without tasks that start again after a stop.
TEST_CASE_FIXTURE(target_world_fixture,
                  "stick, runs before and after it, make no progress")
{
    start_run(world_, 0, make_start(short_, 0, 1), at(0));
    stick_runs(world_, 0, at(1000));
    start_run(world_, 0, make_start(short_, 1, 1), at(100));
    json const running = hold(0, at(3000)).at("running");
    REQUIRE(running.size() == 2);
    CHECK(running.at(0).at(3) == 0);
    CHECK(running.at(1).at(3) == 0);
    start_run(world_, 0, make_start(short_, 2, 1), at(3000));
    CHECK(hold(0, at(3500)).at("terminated").at(0).at(3) == "done");
}

// Guards against runs that stand still after they seemed to be done, which no
// owner can tell from runs that are about to end.
TEST_CASE_FIXTURE(target_world_fixture,
                  "run, half of its work done, reports half of its progress")
{
    start_run(world_, 0, make_start(short_, 0, 1), at(0));
    json const running = hold(0, at(short_.work_ms_ / 2)).at("running");
    CHECK(running.at(0).at(3) == 50);
}

// Guards against a drain that hosts don't hear of.
TEST_CASE_FIXTURE(target_world_fixture,
                  "entry, of a target that drains, says it")
{
    target_row target;
    target.drains_until_ = at(3000);
    json const entry = write_entry(world_.specs_[0], target, at(1000));
    CHECK(entry.at("state") == "draining");
    CHECK(entry.at("remainingMs") == 2000);
    CHECK(write_entry(world_.specs_[0], target, at(3000)).at("state") ==
          "ready");
}

TEST_CASE_FIXTURE(target_world_fixture,
                  "gang, present on two targets, ends done together")
{
    step_plan const gang{.count_ = 2, .work_ms_ = 500, .gang_ = true};
    start_run(world_, 0, make_start(gang, 0, 1), at(0));
    start_run(world_, 1, make_start(gang, 1, 1), at(1000));
    CHECK(hold(0, at(1400)).at("running").size() == 1);
    CHECK(hold(0, at(1501)).at("terminated").at(0).at(3) == "done");
    CHECK(hold(0, at(1501), 1).at("terminated").at(0).at(3) == "done");
}

TEST_CASE_FIXTURE(target_world_fixture,
                  "gang, a member stopped, breaks the others")
{
    step_plan const gang{.count_ = 2, .work_ms_ = 2500, .gang_ = true};
    start_run(world_, 0, make_start(gang, 0, 1), at(0));
    start_run(world_, 1, make_start(gang, 1, 1), at(0));
    stop_run(world_, 0, {{"task", "job.0.0.0"}, {"run", 1}, {"fence", 1}},
             at(100));
    CHECK(hold(0, at(1100)).at("terminated").at(0).at(3) == "stopped");
    CHECK(hold(0, at(1100), 1).at("terminated").at(0).at(3) == "broken");
}

TEST_CASE_FIXTURE(target_world_fixture, "gang, a member missing, ends alone")
{
    step_plan const gang{.count_ = 2, .work_ms_ = 500, .gang_ = true};
    start_run(world_, 0, make_start(gang, 0, 1), at(0));
    CHECK(hold(0, at(3001)).at("terminated").at(0).at(3) == "alone");
}

// Guards against a stand-in that hides a second run by turning it down.
TEST_CASE_FIXTURE(target_world_fixture,
                  "start, a higher run beside a lower one, is recorded")
{
    start_run(world_, 0, make_start(short_, 0, 1), at(0));
    start_run(world_, 0, make_start(short_, 0, 2), at(100));
    REQUIRE(world_.events_.size() == 3);
    CHECK(world_.events_[1].kind_ == run_event_kind::start);
    CHECK(world_.events_[2].kind_ == run_event_kind::end);
    CHECK(world_.events_[2].run_ == 1);
}

TEST_CASE_FIXTURE(target_world_fixture,
                  "crash, a new life, has seen no fence and runs nothing")
{
    start_run(world_, 0, make_start(short_, 0, 1, 9), at(0));
    begin_new_life(world_, 0, true, at(100), 100, at(200));
    CHECK(world_.targets_[0].fence_ == 0);
    CHECK(hold(0, at(300)).at("running").empty());
    CHECK(hold(0, at(300)).at("terminated").empty());
    CHECK(world_.events_.back().reason_ == "crashed");
}

} // namespace
} // namespace fescuevane::soak
