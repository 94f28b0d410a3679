// Purpose: tests of admission. Load: bursts that ask for half again what a
// shard has, and organisations above their rate beside others that aren't.
#include "plan_fixture.hpp"

#include "plan/admission.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

namespace fescuevane::plan
{
namespace
{

// A shard that ends 20 jobs a second, and callers that come back once, when
// they were told to.
struct admission_fixture : plan_fixture
{
    struct caller
    {
        std::string organisation_;
        bool        returning_ = false;
    };

    static constexpr std::int64_t tick_micros = 10'000;
    static constexpr std::int64_t run_micros = 800'000;
    static constexpr double       jobs_per_second = 20;

    std::multimap<instant, start_run>                      ends_;
    std::multimap<instant, std::pair<std::string, caller>> returns_;
    std::map<std::int64_t, int>                            returns_by_second_;
    double                                                 due_jobs_ = 0;
    int                                                    last_job_ = 0;
    int                                                    new_ = 0;
    int                                                    refused_ = 0;
    int                                                    returned_ = 0;
    int taken_in_ = 0; // of those who returned

    explicit admission_fixture(
        admission_level level = admission_level::valuable)
        : plan_fixture({.admission_ = level})
    {
        for (int target = 0; target < 40; ++target)
        {
            set_target("t-" + std::to_string(target), {4000, 65'536, 0});
        }
        tick();
    }

    static std::shared_ptr<staged_job const>
    make_order(std::string const& id, std::string const& organisation = "cafe")
    {
        return std::make_shared<staged_job const>(
            staged_job{.id_ = job_id(id),
                       .organisation_ = organisation_id(organisation),
                       .queue_ = queue_id("orders"),
                       .service_ = service_id("desk"),
                       .steps_ = {{.count_ = 10,
                                   .demand_ = {1000, 512, 0},
                                   .estimate_ms_ = 800}}});
    }

    admission submit(std::string const& id, caller const& from)
    {
        auto const      job = make_order(id, from.organisation_);
        admission const decision = admit_job(*planner_, job, now_, true);
        if (decision.accepted_)
        {
            post(job_added{.job_ = job, .accepted_at_ = now_});
        }
        else if (!from.returning_)
        {
            returns_.emplace(decision.return_at_,
                             std::pair(id, caller{from.organisation_, true}));
        }
        return decision;
    }

    admission submit_until_refused(std::string const& prefix,
                                   std::string const& organisation)
    {
        admission decision;
        for (int number = 0; decision.accepted_ && number < 200; ++number)
        {
            decision = submit(prefix + std::to_string(number), {organisation});
            tick();
        }
        return decision;
    }

    void return_callers()
    {
        while (!returns_.empty() && returns_.begin()->first <= now_)
        {
            auto const [id, from] = returns_.begin()->second;
            returns_.erase(returns_.begin());
            ++returns_by_second_[now_.micros() / micros_per_second];
            ++returned_;
            taken_in_ += submit(id, from).accepted_ ? 1 : 0;
        }
    }

    void work()
    {
        while (!ends_.empty() && ends_.begin()->first <= now_)
        {
            end(ends_.begin()->second, run_end::done);
            ends_.erase(ends_.begin());
        }
        tick();
        confirm_starts();
        for (start_run const& start : list<start_run>())
        {
            ends_.emplace(now_.after(run_micros), start);
        }
    }

    // New jobs arrive at this multiple of what the shard can end.
    void run(std::int64_t micros, double load,
             std::string const& organisation = "cafe")
    {
        for (std::int64_t at = 0; at < micros; at += tick_micros)
        {
            advance(tick_micros);
            return_callers();
            due_jobs_ += load * jobs_per_second * tick_micros /
                         static_cast<double>(micros_per_second);
            for (; due_jobs_ >= 1; due_jobs_ -= 1)
            {
                std::string const id = "job" + std::to_string(++last_job_);
                ++new_;
                refused_ += submit(id, {organisation}).accepted_ ? 0 : 1;
            }
            work();
        }
    }
};

// Guards against work that is taken in when it can only become worthless, and
// against callers who come back all at once or in vain.
TEST_CASE_FIXTURE(admission_fixture,
                  "bursts of half again the room, callers return as told, nine "
                  "in ten taken in without a wave")
{
    run(5 * micros_per_second, 0.9);
    CHECK(refused_ == 0);
    for (int burst = 0; burst < 3; ++burst)
    {
        run(10 * micros_per_second, 1.5);
        run(10 * micros_per_second, 0.6);
    }
    run(15 * micros_per_second, 0.6);
    MESSAGE("new " << new_ << ", refused " << refused_ << ", returned "
                   << returned_ << ", taken in " << taken_in_);
    CHECK(refused_ > 20);
    CHECK(returned_ == refused_);
    CHECK(taken_in_ * 10 >= returned_ * 9);
    for (auto const& [second, count] : returns_by_second_)
    {
        CHECK(count <= jobs_per_second);
    }
}

// Guards against refusals while all work can end on time.
TEST_CASE_FIXTURE(admission_fixture, "load below the room, none refused")
{
    run(20 * micros_per_second, 0.95);
    CHECK(refused_ == 0);
}

// Guards against a refusal before the owner knows what runs on its targets.
TEST_CASE_FIXTURE(admission_fixture, "target attaching, full shard, accepted")
{
    run(9 * micros_per_second, 2.5);
    REQUIRE(refused_ > 0);
    set_target("t-0", {4000, 65'536, 0}, target_phase::attaching);
    tick();
    advance(200'000);
    CHECK(submit("late", {"cafe"}).accepted_);
}

// Guards against an organisation that pays for the flood of another one.
TEST_CASE_FIXTURE(admission_fixture,
                  "flood of one organisation, another within its weight, "
                  "accepted")
{
    post(organisations_set{{{organisation_id("cafe"), 5, {}},
                            {organisation_id("flood"), 10, {}}}});
    run(10 * micros_per_second, 2.5, "flood");
    REQUIRE(refused_ > 0);
    CHECK(submit("modest", {"cafe"}).outlook_ == job_outlook::on_time);
}

// Guards against callers within their weight who return behind a flood.
TEST_CASE_FIXTURE(admission_fixture,
                  "both refused, caller within the weight, returns first")
{
    post(organisations_set{{{organisation_id("flood"), 10, {}}}});
    run(5 * micros_per_second, 1.5);
    submit_until_refused("first", "cafe");
    admission const flood = submit_until_refused("above", "flood");
    admission const modest = submit_until_refused("within", "cafe");
    REQUIRE_FALSE(flood.accepted_);
    REQUIRE_FALSE(modest.accepted_);
    CHECK(modest.return_at_ <= flood.return_at_);
}

// Guards against a place further back for callers who ask too early.
TEST_CASE_FIXTURE(admission_fixture,
                  "refused caller, asks before its time, keeps the time")
{
    run(10 * micros_per_second, 2.5);
    admission const first = submit("asks", {"cafe"});
    REQUIRE_FALSE(first.accepted_);
    advance(300'000);
    admission const second = submit("asks", {"cafe"});
    CHECK_FALSE(second.promise_kept_);
    CHECK((second.accepted_ || second.return_at_ == first.return_at_));
}

// Guards against lasting work that is accepted where it can never run.
TEST_CASE_FIXTURE(admission_fixture,
                  "lasting work above the room, refused; below it, accepted")
{
    auto const make_lasting = [](std::uint32_t count)
    {
        return make_job(
            "lasting",
            {{.count_ = count, .demand_ = {1000, 512, 0}, .perpetual_ = true}});
    };
    run(5 * micros_per_second, 1.5); // ending work leaves in time
    CHECK(admit_job(*planner_, make_lasting(160), now_, true).accepted_);
    admission const refused =
        admit_job(*planner_, make_lasting(161), now_, true);
    CHECK(refused.outlook_ == job_outlook::no_room);
    CHECK(refused.return_at_ > now_);
}

} // namespace
} // namespace fescuevane::plan
