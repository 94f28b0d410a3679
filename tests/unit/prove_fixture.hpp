// Purpose: builds small histories for the tests of the checkers.
#ifndef FESCUEVANE_TESTS_UNIT_PROVE_FIXTURE_HPP
#define FESCUEVANE_TESTS_UNIT_PROVE_FIXTURE_HPP

#include "tests/prove/checkers.hpp"
#include "tests/prove/history.hpp"

#include <cstdint>
#include <string>

namespace fescuevane::prove
{

// One target with two slots in one failure domain. Times are in seconds; a
// ticket is accepted one second after it was filed.
struct prove_fixture
{
    history past_{.targets_ = {{"target-1", {{4000, 4096, 0}, 2}},
                               {"target-2", {{4000, 4096, 0}, 2}}},
                  .entry_domains_ = {{"entry-1", "zone-a"}}};

    static std::int64_t seconds(std::int64_t count)
    {
        return count * 1'000'000;
    }

    void add_run(std::int64_t time, std::string const& event,
                 std::string const& job, std::string const& target = "target-1",
                 std::int64_t attempt = 1, bool idempotent = true,
                 std::int64_t cpu_millis = 1000)
    {
        past_.runs_.push_back({.time_ = seconds(time),
                               .event_ = event,
                               .target_ = target,
                               .domain_ = "zone-a",
                               .team_ = job.empty() ? "" : "team-1",
                               .job_ = job,
                               .attempt_ = attempt,
                               .idempotent_ = idempotent,
                               .reserved_ = {cpu_millis, 1024, 0},
                               .line_ = event + " " + job});
    }

    void add_call(std::int64_t began, std::int64_t ended,
                  std::string const& job, std::string const& state,
                  call_action action = call_action::submit,
                  call_end    end = call_end::replied)
    {
        past_.calls_.push_back(
            {.began_ = seconds(began),
             .ended_ = seconds(ended),
             .action_ = action,
             .entry_ = "entry-1",
             .incarnation_ = 1,
             .team_ = "team-1",
             .key_ = "key-1",
             .durable_ = true,
             .asked_id_ = job,
             .expected_ = "text",
             .checks_body_ = true,
             .end_ = end,
             .status_ = state.empty() ? 403U : 200U,
             .id_ = state.empty() ? "" : job,
             .reply_team_ = state.empty() ? "" : "team-1",
             .state_ = state,
             .outcome_ = state == "answered" ? "succeeded" : "",
             .body_ = state == "answered" ? "text" : ""});
    }

    void add_ticket(std::int64_t number, std::int64_t began,
                    std::int64_t cpu_limit, std::string const& key,
                    bool in_service = true)
    {
        past_.tickets_.push_back(
            {.number_ = number,
             .began_ = seconds(began),
             .accepted_ = seconds(began + 1),
             .limits_ = {{"team-1", {cpu_limit, 100'000, 0}}},
             .keys_ = {{"team-1", {key}}},
             .domains_ = {{"zone-a", in_service}}});
    }

    void add_read(std::int64_t time, std::int64_t accepted,
                  std::int64_t incarnation = 1)
    {
        past_.reads_.push_back({.began_ = seconds(time),
                                .ended_ = seconds(time) + 1000,
                                .entry_ = "entry-1",
                                .incarnation_ = incarnation,
                                .accepted_ = accepted});
    }
};

} // namespace fescuevane::prove

#endif
