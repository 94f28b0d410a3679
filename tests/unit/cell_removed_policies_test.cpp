// Purpose: tests of jobs whose queue or organisation is removed from the
// configuration before another owner takes their shard over.
#include "cell_fixture.hpp"

#include <doctest/doctest.h>

namespace fescuevane::cell
{
namespace
{

// One host with a job of two tasks of a core each. Its organisation may run one
// of them at a time.
struct removed_policies_fixture : cell_fixture
{
    std::shared_ptr<cell_config const> full_ = make_limited();

    static std::shared_ptr<cell_config const> make_limited()
    {
        auto config = std::make_shared<cell_config>(*make_config());
        config->version_ = 2;
        config->organisations_[0].share_.limit_ = {1500, 0, 0};
        return config;
    }

    removed_policies_fixture()
    {
        post(config_changed{full_});
        serve();
        staged_job const job = make_accepted();
        post(call_opened{.call_ = ++last_call_,
                         .kind_ = call_kind::submit,
                         .id_ = job.id_,
                         .job_ = std::make_shared<staged_job const>(job),
                         .deadline_ = now_.after(3 * micros_per_second)});
        run(100'000);
    }

    staged_job make_accepted() const
    {
        return {.id_ = job_id("aa01"),
                .organisation_ = organisation_id("cafe"),
                .queue_ = queue_id("orders"),
                .service_ = service_id("desk"),
                .payload_ = "work",
                .steps_ = {{.count_ = 2,
                            .demand_ = {1000, 512, 0},
                            .estimate_ms_ = 1000}},
                .accepted_unix_ms_ = unix_ms_,
                .policy_ = accepted_policy{
                    .queue_ = full_->routes_[0].policy_,
                    .limit_ = full_->organisations_[0].share_.limit_}};
    }

    // Starts another process, which never knew the former configuration.
    void restart_without(bool queues, bool organisations)
    {
        auto config = std::make_shared<cell_config>(*full_);
        config->version_ = 3;
        if (queues)
        {
            config->routes_.clear();
        }
        if (organisations)
        {
            config->organisations_.clear();
        }
        commands_.clear();
        start(2);
        post(config_changed{config});
        serve();
    }

    void answer_holds(std::vector<reported_run> const& runs,
                      std::vector<reported_end> const& ends)
    {
        for (hold_target const& hold : take<hold_target>())
        {
            answer_hold(hold, runs, ends);
        }
        run(100'000);
    }
};

// Guards against a job that is failed at its first failed attempt of three: its
// owner didn't know the queue any more.
TEST_CASE_FIXTURE(removed_policies_fixture,
                  "queue removed, next owner, task fails, started again")
{
    auto const first = take<send_start>();
    REQUIRE(first.size() == 1);
    restart_without(true, false);
    take<send_start>();
    answer_holds({}, {{1, first[0].start_.run_, run_end::failed, ""}});
    run(settings_.stop_taken_micros_); // stops of the former owner
    CHECK(take<send_start>().size() == 1);
    std::uint64_t const call = ask(call_kind::lookup, "aa01");
    run(50'000);
    REQUIRE(find_answer(call));
    CHECK(find_answer(call)->phase_ == job_phase::running);
}

// Guards against an organisation that exceeds its limit once it is no longer
// configured and an owner has changed.
TEST_CASE_FIXTURE(removed_policies_fixture,
                  "organisation removed, next owner, its limit still applies")
{
    CHECK(take<send_start>().size() == 1);
    restart_without(false, true);
    run(micros_per_second);
    CHECK(take<send_start>().size() == 1);
}

} // namespace
} // namespace fescuevane::cell
