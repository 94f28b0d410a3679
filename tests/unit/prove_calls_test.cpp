// Purpose: tests of the checkers of calls, stops and read-backs: each rejects a
// history that breaks its rule and accepts a good one.
#include "tests/unit/prove_fixture.hpp"

#include <doctest/doctest.h>

namespace fescuevane::prove
{
namespace
{

// true_refusal

TEST_CASE_FIXTURE(prove_fixture,
                  "true_refusal, a start caused by a later submission, accepts")
{
    add_call(1, 2, "job-1", "not_run");
    add_call(3, 6, "job-1", "answered");
    add_run(4, "start", "job-1");
    CHECK(check_true_refusal(past_).empty());
}

// Guards against blaming a refusal for the run of another submission, whose
// answer was lost.
TEST_CASE_FIXTURE(prove_fixture,
                  "true_refusal, a start caused by a lost call, accepts")
{
    add_call(1, 9, "job-1", "", call_action::submit, call_end::broken);
    add_call(2, 3, "job-1", "not_run");
    add_run(4, "start", "job-1");
    add_call(9, 10, "job-1", "answered", call_action::look_up);
    CHECK(check_true_refusal(past_).empty());
}

// Guards against excusing a refusal by a lost call: the caller heard nothing
// but "not run".
TEST_CASE_FIXTURE(prove_fixture,
                  "true_refusal, a lost call ran and only refusals were told, "
                  "rejects")
{
    add_call(1, 9, "job-1", "", call_action::submit, call_end::broken);
    add_call(2, 3, "job-1", "not_run");
    add_run(4, "start", "job-1");
    CHECK(check_true_refusal(past_).size() == 1);
}

TEST_CASE_FIXTURE(prove_fixture,
                  "true_refusal, a start after the only refusal, rejects")
{
    add_call(1, 2, "job-1", "not_run");
    add_run(3, "start", "job-1");
    CHECK(check_true_refusal(past_).size() == 1);
}

// Guards against a refusal told too early, while the start was on its way.
TEST_CASE_FIXTURE(prove_fixture,
                  "true_refusal, a start between call and refusal, rejects")
{
    add_call(1, 4, "job-1", "not_run");
    add_run(2, "start", "job-1");
    CHECK(check_true_refusal(past_).size() == 1);
}

TEST_CASE_FIXTURE(prove_fixture,
                  "true_refusal, a refused repeat after an answer, accepts")
{
    add_call(1, 3, "job-1", "answered");
    add_run(2, "start", "job-1");
    add_call(4, 5, "job-1", "not_run");
    CHECK(check_true_refusal(past_).empty());
}

TEST_CASE_FIXTURE(prove_fixture,
                  "true_refusal, a look-up denies an earlier start, rejects")
{
    add_call(1, 2, "job-1", "queued");
    add_run(3, "start", "job-1");
    add_call(4, 5, "job-1", "not_run", call_action::look_up);
    CHECK(check_true_refusal(past_).size() == 1);
}

TEST_CASE_FIXTURE(prove_fixture,
                  "true_refusal, a start after a canceled answer, rejects")
{
    add_call(1, 2, "job-1", "queued");
    add_call(3, 4, "job-1", "not_run", call_action::cancel);
    add_run(5, "start", "job-1");
    CHECK(check_true_refusal(past_).size() == 1);
}

// whole_answer

TEST_CASE_FIXTURE(prove_fixture, "whole_answer, own answers, accepts")
{
    add_call(1, 2, "job-1", "answered");
    add_call(1, 2, "job-2", "not_run");
    add_call(1, 2, "job-3", "", call_action::submit, call_end::broken);
    CHECK(check_whole_answer(past_).empty());
}

TEST_CASE_FIXTURE(prove_fixture, "whole_answer, a cut answer, rejects")
{
    past_.calls_.push_back({.team_ = "team-1",
                            .asked_id_ = "job-1",
                            .expected_ = "text",
                            .checks_body_ = true,
                            .id_ = "job-1",
                            .reply_team_ = "team-1",
                            .state_ = "answered",
                            .outcome_ = "succeeded",
                            .body_ = "tex"});
    CHECK(check_whole_answer(past_).size() == 1);
}

TEST_CASE_FIXTURE(prove_fixture,
                  "whole_answer, an answer for another job, rejects")
{
    past_.calls_.push_back({.team_ = "team-1",
                            .asked_id_ = "job-1",
                            .id_ = "job-2",
                            .reply_team_ = "team-1",
                            .state_ = "queued"});
    CHECK(check_whole_answer(past_).size() == 1);
}

TEST_CASE_FIXTURE(prove_fixture,
                  "whole_answer, a call never or twice answered, rejects")
{
    past_.calls_.push_back({.end_ = call_end::open, .completions_ = 0});
    past_.calls_.push_back({.completions_ = 2});
    CHECK(check_whole_answer(past_).size() == 2);
}

// no_loss

TEST_CASE_FIXTURE(prove_fixture,
                  "no_loss, no record of a job that was never told, accepts")
{
    add_call(1, 2, "job-1", "", call_action::submit, call_end::broken);
    past_.calls_.push_back({.began_ = seconds(3),
                            .ended_ = seconds(4),
                            .action_ = call_action::look_up,
                            .team_ = "team-1",
                            .durable_ = true,
                            .asked_id_ = "job-1",
                            .status_ = 404});
    CHECK(check_no_loss(past_).empty());
}

TEST_CASE_FIXTURE(prove_fixture,
                  "no_loss, no record of a job told as queued, rejects")
{
    add_call(1, 2, "job-1", "queued");
    past_.calls_.push_back({.began_ = seconds(3),
                            .ended_ = seconds(4),
                            .action_ = call_action::look_up,
                            .team_ = "team-1",
                            .durable_ = true,
                            .asked_id_ = "job-1",
                            .status_ = 404});
    CHECK(check_no_loss(past_).size() == 1);
}

// team_key

TEST_CASE_FIXTURE(prove_fixture,
                  "team_key, a granted key and a rejected one, accepts")
{
    add_ticket(1, 0, 1000, "key-1");
    add_call(2, 3, "job-1", "answered");
    add_ticket(2, 4, 1000, "key-2");
    add_call(9, 10, "job-2", "answered"); // within the bound
    add_call(11, 12, "job-3", "");
    add_call(11, 12, "job-4", "not_run");
    CHECK(check_team_key(past_).empty());
}

TEST_CASE_FIXTURE(prove_fixture, "team_key, a key never granted, rejects")
{
    add_ticket(1, 0, 1000, "key-2");
    add_call(2, 3, "job-1", "queued");
    CHECK(check_team_key(past_).size() == 1);
}

TEST_CASE_FIXTURE(prove_fixture,
                  "team_key, a withdrawn key after the bound, rejects")
{
    add_ticket(1, 0, 1000, "key-1");
    add_ticket(2, 4, 1000, "key-2");
    add_call(11, 12, "job-1", "answered");
    CHECK(check_team_key(past_).size() == 1);
}

TEST_CASE_FIXTURE(prove_fixture, "team_key, a key granted again, accepts")
{
    add_ticket(1, 0, 1000, "key-1");
    add_ticket(2, 4, 1000, "key-2");
    add_ticket(3, 11, 1000, "key-1");
    add_call(12, 13, "job-1", "answered");
    CHECK(check_team_key(past_).empty());
}

// graceful_stop

TEST_CASE_FIXTURE(prove_fixture,
                  "graceful_stop, open calls answered and code 0, accepts")
{
    past_.stops_.push_back({seconds(5), seconds(7), "entry-1", 1, 0, true});
    add_call(4, 6, "job-1", "answered");
    add_call(6, 6, "job-2", "", call_action::submit, call_end::refused);
    CHECK(check_graceful_stop(past_).empty());
}

TEST_CASE_FIXTURE(prove_fixture,
                  "graceful_stop, an open call without a reply, rejects")
{
    past_.stops_.push_back({seconds(5), seconds(7), "entry-1", 1, 0, true});
    add_call(4, 6, "job-1", "", call_action::submit, call_end::broken);
    CHECK(check_graceful_stop(past_).size() == 1);
}

TEST_CASE_FIXTURE(prove_fixture,
                  "graceful_stop, a failing exit or one by itself, rejects")
{
    past_.stops_.push_back({seconds(5), seconds(7), "entry-1", 1, 1, true});
    past_.stops_.push_back({seconds(8), seconds(8), "entry-1", 2, 0, false});
    CHECK(check_graceful_stop(past_).size() == 2);
}

// config_forward

TEST_CASE_FIXTURE(prove_fixture,
                  "config_forward, numbers that rise in time, accepts")
{
    add_ticket(1, 0, 1000, "key-1");
    add_ticket(2, 3, 1000, "key-1");
    add_read(2, 1);
    add_read(8, 1);
    add_read(10, 2);
    CHECK(check_config_forward(past_).empty());
}

TEST_CASE_FIXTURE(prove_fixture,
                  "config_forward, a number that decreases, rejects")
{
    add_read(2, 2);
    add_read(3, 1);
    CHECK(check_config_forward(past_).size() == 1);
}

// Guards against blaming a new process for what its predecessor had read.
TEST_CASE_FIXTURE(prove_fixture,
                  "config_forward, a lower number of a new process, accepts")
{
    add_read(2, 2);
    add_read(3, 1, 2);
    CHECK(check_config_forward(past_).empty());
}

TEST_CASE_FIXTURE(prove_fixture,
                  "config_forward, an accepted ticket missing after the bound, "
                  "rejects")
{
    add_ticket(1, 0, 1000, "key-1");
    add_read(7, 0);
    CHECK(check_config_forward(past_).size() == 1);
}

TEST_CASE_FIXTURE(prove_fixture,
                  "config_forward, a ticket missing in a cut domain, accepts")
{
    add_ticket(1, 0, 1000, "key-1");
    past_.faults_.push_back({seconds(2), seconds(6), "cut", "zone-a"});
    add_read(7, 0);
    CHECK(check_config_forward(past_).empty());
}

} // namespace
} // namespace fescuevane::prove
