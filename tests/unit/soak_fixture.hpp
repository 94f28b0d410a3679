// Purpose: a history in which one job of two steps runs well.
#ifndef FESCUEVANE_TESTS_UNIT_SOAK_FIXTURE_HPP
#define FESCUEVANE_TESTS_UNIT_SOAK_FIXTURE_HPP

#include "tests/soak/checkers.hpp"
#include "tests/soak/history.hpp"

#include <string>

namespace fescuevane::soak
{

// Times are seconds.
class soak_fixture
{
protected:
    soak_fixture()
    {
        past_.capacity_["domain-1"] = resources(2000, 1024, 0);
        past_.limits_["team"] = resources(2000, 0, 0);
        add_plan("job", {.demand_ = {1000, 256, 0}});
    }

    void add_plan(std::string const& job, step_plan const& first,
                  std::string const& organisation = "team")
    {
        past_.plans_.emplace(
            job, job_plan{job,
                          organisation,
                          {first, {.demand_ = {1000, 256, 0}, .after_ = {0}}}});
    }

    void add_run(double time, run_event_kind kind, int step,
                 std::string const& reason = "",
                 std::string const& target = "target-1", std::int64_t run = 1,
                 std::string const& job = "job")
    {
        past_.runs_.push_back({.time_ = micros(time),
                               .kind_ = kind,
                               .target_ = target,
                               .domain_ = "domain-1",
                               .task_ = {job, 0, step, 0},
                               .run_ = run,
                               .reason_ = reason,
                               .organisation_ = "team",
                               .payload_job_ = job,
                               .demand_ = {1000, 256, 0}});
    }

    void add_start(double time, std::string const& host, std::int64_t epoch,
                   std::string const& target, std::int64_t run)
    {
        past_.runs_.push_back({.time_ = micros(time),
                               .kind_ = run_event_kind::start,
                               .target_ = target,
                               .domain_ = "domain-1",
                               .task_ = {"job", 0, 0, 0},
                               .run_ = run,
                               .fence_ = epoch,
                               .host_ = host,
                               .organisation_ = "team",
                               .payload_job_ = "job",
                               .demand_ = {1000, 256, 0}});
    }

    void add_call(double time, call_kind kind, unsigned status,
                  std::string const& state = "", bool final = false)
    {
        past_.calls_.push_back({.began_ = micros(time),
                                .ended_ = micros(time) + 1,
                                .kind_ = kind,
                                .host_ = "host-1",
                                .life_ = 1,
                                .job_ = "job",
                                .status_ = status,
                                .state_ = state,
                                .final_ = final});
    }

    void add_probe(double time, std::int64_t version, int life = 1)
    {
        past_.calls_.push_back({.began_ = micros(time),
                                .ended_ = micros(time) + 1,
                                .kind_ = call_kind::probe,
                                .host_ = "host-1",
                                .life_ = life,
                                .status_ = 200,
                                .version_ = version});
    }

    // The job from its submission to its completion.
    void add_good_job()
    {
        add_call(0, call_kind::submit, 200);
        add_run(1, run_event_kind::start, 0);
        add_run(2, run_event_kind::end, 0, "done");
        add_run(2.1, run_event_kind::noted, 0, "done");
        add_run(3, run_event_kind::start, 1);
        add_run(4, run_event_kind::end, 1, "done");
        add_run(4.1, run_event_kind::noted, 1, "done");
        add_call(5, call_kind::look_up, 200, "completed", true);
    }

    static std::int64_t micros(double seconds)
    {
        return static_cast<std::int64_t>(seconds * 1e6);
    }

    history past_;
};

} // namespace fescuevane::soak

#endif
