// Purpose: tests of the checkers of calls: each rejects a history that breaks
// its promise.
#include "tests/unit/soak_fixture.hpp"

#include <doctest/doctest.h>

namespace fescuevane::soak
{
namespace
{

constexpr unsigned gone = 410;
constexpr unsigned unavailable = 503;

// no_loss

TEST_CASE_FIXTURE(soak_fixture, "no_loss, a job unknown at the end, rejects")
{
    add_call(1, call_kind::submit, 200);
    add_call(9, call_kind::look_up, gone, "", true);
    CHECK(check_no_loss(past_).size() == 1);
}

TEST_CASE_FIXTURE(soak_fixture, "no_loss, a last call not answered, rejects")
{
    add_call(1, call_kind::submit, 200);
    add_call(9, call_kind::look_up, 0, "", true);
    CHECK(check_no_loss(past_).size() == 1);
}

TEST_CASE_FIXTURE(soak_fixture, "no_loss, a job unknown on the way, rejects")
{
    add_call(1, call_kind::submit, 200);
    add_call(5, call_kind::look_up, gone);
    add_call(9, call_kind::look_up, 200, "completed", true);
    CHECK(check_no_loss(past_).size() == 1);
}

TEST_CASE_FIXTURE(soak_fixture,
                  "no_loss, unknown before it must be visible, accepts")
{
    add_call(1, call_kind::submit, 200);
    add_call(3, call_kind::look_up, gone);
    add_call(9, call_kind::look_up, 200, "completed", true);
    CHECK(check_no_loss(past_).empty());
}

// no_stall

TEST_CASE_FIXTURE(soak_fixture, "no_stall, a job pending at the end, rejects")
{
    add_call(1, call_kind::submit, 200);
    add_call(9, call_kind::look_up, 200, "pending", true);
    CHECK(check_no_stall(past_).size() == 1);
}

// true_refusal

TEST_CASE_FIXTURE(soak_fixture, "true_refusal, a refused job runs, rejects")
{
    add_call(1, call_kind::submit, unavailable);
    add_run(2, run_event_kind::start, 0);
    CHECK(check_true_refusal(past_).size() == 1);
}

TEST_CASE_FIXTURE(soak_fixture,
                  "true_refusal, one submission without an answer, accepts")
{
    add_call(1, call_kind::submit, unavailable);
    add_call(2, call_kind::submit, 0);
    add_run(3, run_event_kind::start, 0);
    CHECK(check_true_refusal(past_).empty());
}

// true_state

TEST_CASE_FIXTURE(soak_fixture,
                  "true_state, completed before the last task, rejects")
{
    add_run(1, run_event_kind::start, 0);
    add_run(2, run_event_kind::end, 0, "done");
    add_call(3, call_kind::look_up, 200, "completed");
    CHECK(check_true_state(past_).size() == 1);
}

TEST_CASE_FIXTURE(soak_fixture,
                  "true_state, failed by runs that lapsed, rejects")
{
    for (int run = 1; run <= past_.max_attempts_; ++run)
    {
        add_run(run, run_event_kind::start, 0, "", "target-1", run);
        add_run(run + 0.5, run_event_kind::end, 0, "lapsed", "target-1", run);
    }
    add_call(9, call_kind::look_up, 200, "failed");
    CHECK(check_true_state(past_).size() == 1);
}

TEST_CASE_FIXTURE(soak_fixture,
                  "true_state, cancelled without a cancel, rejects")
{
    add_call(1, call_kind::submit, 200);
    add_call(2, call_kind::look_up, 200, "cancelled");
    CHECK(check_true_state(past_).size() == 1);
    add_call(1.5, call_kind::cancel, 0);
    CHECK(check_true_state(past_).empty());
}

// cancel

TEST_CASE_FIXTURE(soak_fixture, "cancel, a start after the bound, rejects")
{
    add_call(10, call_kind::cancel, 200);
    add_run(12, run_event_kind::start, 0);
    CHECK(check_cancel(past_).empty());
    add_run(14, run_event_kind::start, 1);
    CHECK(check_cancel(past_).size() == 1);
}

// graceful_stop

TEST_CASE_FIXTURE(soak_fixture,
                  "graceful_stop, an open call without an answer, rejects")
{
    past_.faults_.push_back(
        {micros(10), micros(18), "terminate_host", "host-1"});
    past_.calls_.push_back(
        {.began_ = micros(12), .ended_ = micros(14), .host_ = "host-1"});
    CHECK(check_graceful_stop(past_).size() == 1);
}

TEST_CASE_FIXTURE(soak_fixture,
                  "graceful_stop, beside another fault or at once, accepts")
{
    past_.faults_.push_back(
        {micros(10), micros(18), "terminate_host", "host-1"});
    past_.calls_.push_back(
        {.began_ = micros(12), .ended_ = micros(12.1), .host_ = "host-1"});
    CHECK(check_graceful_stop(past_).empty());
    past_.calls_.push_back(
        {.began_ = micros(12), .ended_ = micros(14), .host_ = "host-1"});
    past_.faults_.push_back({micros(8), micros(9), "down_store", "store"});
    CHECK(check_graceful_stop(past_).empty());
}

// config_forward

TEST_CASE_FIXTURE(soak_fixture,
                  "config_forward, an older version served later, rejects")
{
    add_probe(1, 7);
    add_probe(2, 5);
    CHECK(check_config_forward(past_).size() == 1);
}

TEST_CASE_FIXTURE(soak_fixture,
                  "config_forward, an older version in a new life, accepts")
{
    add_probe(1, 7);
    add_probe(2, 5, 2);
    CHECK(check_config_forward(past_).empty());
}

// config_in_force

TEST_CASE_FIXTURE(soak_fixture,
                  "config_in_force, a replaced version served late, rejects")
{
    past_.configs_.push_back({micros(1), micros(1), 5});
    past_.configs_.push_back({micros(10), micros(10), 7});
    add_probe(11, 5);
    CHECK(check_config_in_force(past_).empty());
    add_probe(13, 5);
    CHECK(check_config_in_force(past_).size() == 1);
}

TEST_CASE_FIXTURE(soak_fixture,
                  "config_in_force, the newest version not served, rejects")
{
    past_.configs_.push_back({micros(10), micros(10), 7});
    past_.calls_.push_back({.began_ = micros(13),
                            .ended_ = micros(13.1),
                            .kind_ = call_kind::probe,
                            .status_ = 404,
                            .version_ = 7});
    CHECK(check_config_in_force(past_).size() == 1);
    past_.configs_.push_back({micros(13), micros(14), 8});
    CHECK(check_config_in_force(past_).empty());
}

} // namespace
} // namespace fescuevane::soak
