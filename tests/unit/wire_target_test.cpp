// Purpose: tests of the codec between owners and targets.
#include "tests/unit/wire_fixture.hpp"

#include <target.pb.h>

#include <doctest/doctest.h>

#include <functional>
#include <variant>

namespace fescuevane::wire
{
namespace
{

struct target_fixture : wire_fixture
{
    v1::JobSpec make_message() const
    {
        job_spec const spec{.key_ = {team_id("team-1"), job_id("order-1")},
                            .service_ = service_id("orders"),
                            .demand_ = {1000, 512, 0}};
        v1::JobSpec    message;
        encode_job_spec(spec, now_, payload_mode::include, message);
        return message;
    }

    static v1::TaskStatus make_status()
    {
        v1::TaskStatus message;
        encode_status(
            decide::task_started{{{team_id("team-1"), job_id("order-1")}, 0, 1},
                                 {}},
            message);
        return message;
    }

    std::vector<decide::event> decode(v1::TaskStatus const& message) const
    {
        std::vector<decide::event> events;
        append_events(message, target_, now_, events);
        return events;
    }
};

template <typename Message>
struct bad_message
{
    char const*                   field_;
    std::function<void(Message&)> spoil_;
};

template <typename Call>
std::string find_bad_field(Call const& call)
{
    try
    {
        call();
    }
    catch (decode_error const& error)
    {
        return error.field();
    }
    return "none";
}

// Guards against a field that is dropped or swapped on its way to a target.
TEST_CASE_FIXTURE(target_fixture,
                  "job_spec, encoded and decoded, is the same specification")
{
    CHECK(rc::check(
        [this]
        {
            job_spec const spec = make_spec();
            v1::JobSpec    message;
            encode_job_spec(spec, now_, payload_mode::include, message);
            job_spec const copy = decode_job_spec(message, now_);
            RC_ASSERT(copy == spec);
            RC_ASSERT(copy.traceparent_ == spec.traceparent_);
        }));
}

// Guards against deadlines that depend on the clock of the sender.
TEST_CASE_FIXTURE(target_fixture,
                  "job_spec, decoded under another clock, keeps remaining time")
{
    v1::JobSpec    message;
    job_spec const spec{.key_ = {team_id("t"), job_id("j")},
                        .service_ = service_id("s"),
                        .start_deadline_ = now_.after(700)};
    encode_job_spec(spec, now_, payload_mode::include, message);
    instant const other(42);
    CHECK(decode_job_spec(message, other).start_deadline_ == other.after(700));
}

// Guards against an expired deadline that is read as no deadline.
TEST_CASE_FIXTURE(target_fixture,
                  "job_spec, deadline in the past, still has a deadline")
{
    v1::JobSpec    message;
    job_spec const spec{.key_ = {team_id("t"), job_id("j")},
                        .service_ = service_id("s"),
                        .start_deadline_ = instant(1)};
    encode_job_spec(spec, now_, payload_mode::include, message);
    CHECK(message.start_within_micros() == 1);
}

// Guards against snapshots that carry megabytes of payloads.
TEST_CASE_FIXTURE(target_fixture, "job_spec, payload omitted, has no payload")
{
    v1::JobSpec    message;
    job_spec const spec{.key_ = {team_id("t"), job_id("j")},
                        .service_ = service_id("s"),
                        .payload_ =
                            std::make_shared<std::string const>("bytes")};
    encode_job_spec(spec, now_, payload_mode::omit, message);
    CHECK(decode_job_spec(message, now_).payload_ == nullptr);
}

// Guards against a command that reaches a target changed.
TEST_CASE_FIXTURE(target_fixture,
                  "commands, appended to a batch, are decoded as sent")
{
    CHECK(rc::check(
        [this]
        {
            auto const     spec = std::make_shared<job_spec const>(make_spec());
            task_key const task{spec->key_, spec->task_count_ - 1, 2};
            decide::start_task const    start{task, target_, spec,
                                           make_resources()};
            decide::stop_task const     stop{make_task(), target_,
                                         *rc::gen::arbitrary<bool>()};
            decide::throttle_task const throttle{make_task(), target_,
                                                 make_amount(max_amount)};
            v1::OwnerBatch              batch;
            append_command(start, now_, batch);
            append_command(stop, batch);
            append_command(throttle, batch);
            auto const copy = decode_start_task(batch.starts(0), target_, now_);
            RC_ASSERT(copy == start);
            RC_ASSERT(*copy.spec_ == *start.spec_);
            RC_ASSERT(decode_stop_task(batch.stops(0), target_) == stop);
            RC_ASSERT(decode_throttle_task(batch.throttles(0), target_) ==
                      throttle);
        }));
}

// Guards against an answer that is lost or credited to another attempt.
TEST_CASE_FIXTURE(
    target_fixture,
    "TaskStatus, of an ended task, gives task_ended with its body")
{
    CHECK(rc::check(
        [this]
        {
            decide::task_ended const ended{
                make_task(), target_,   make_outcome(),
                make_body(), make_id(), *rc::gen::arbitrary<bool>()};
            v1::TaskStatus message;
            encode_status(ended, message);
            auto const events = decode(message);
            RC_ASSERT(events.size() == 1u);
            auto const& copy = std::get<decide::task_ended>(events[0]);
            RC_ASSERT(copy.task_ == ended.task_);
            RC_ASSERT(copy.target_ == target_);
            RC_ASSERT(copy.outcome_ == ended.outcome_);
            RC_ASSERT((copy.body_ ? *copy.body_ : "") == *ended.body_);
            RC_ASSERT(copy.reason_ == ended.reason_);
            RC_ASSERT(copy.checkpointed_ == ended.checkpointed_);
        }));
}

// Guards against events of the target's life cycle that change their kind.
TEST_CASE_FIXTURE(target_fixture,
                  "TaskStatus, of each other state, gives the same event")
{
    CHECK(rc::check(
        [this]
        {
            decide::task_started const   started{make_task(), target_};
            decide::task_rejected const  rejected{make_task(), target_,
                                                 make_id()};
            decide::usage_reported const usage{make_task(), make_resources()};
            v1::TaskStatus               messages[3];
            encode_status(started, messages[0]);
            encode_status(rejected, messages[1]);
            encode_status(usage, messages[2]);
            RC_ASSERT(decode(messages[0]) ==
                      std::vector<decide::event>{started});
            RC_ASSERT(decode(messages[1]) ==
                      std::vector<decide::event>{rejected});
            RC_ASSERT(decode(messages[2]).back() == decide::event(usage));
        }));
}

// Guards against a new owner that does not know what runs on its targets.
TEST_CASE_FIXTURE(target_fixture,
                  "TaskStatus, in a snapshot, gives task_recovered first")
{
    CHECK(rc::check(
        [this]
        {
            job_spec const spec = make_spec();
            task_key const task{spec.key_, 0, 1};
            v1::TaskStatus message;
            encode_status(decide::task_ended{.task_ = task}, message);
            bool const included = *rc::gen::arbitrary<bool>();
            add_recovery({spec, task, target_, make_resources()}, now_,
                         included ? payload_mode::include : payload_mode::omit,
                         message);
            auto const events = decode(message);
            RC_ASSERT(events.size() == 2u);
            auto const& copy = std::get<decide::task_recovered>(events[0]);
            RC_ASSERT(copy.task_ == task);
            RC_ASSERT(copy.spec_.key_ == spec.key_);
            RC_ASSERT(copy.spec_.start_deadline_ == spec.start_deadline_);
            std::string const sent =
                included && spec.payload_ ? *spec.payload_ : std::string();
            RC_ASSERT((copy.spec_.payload_ ? *copy.spec_.payload_
                                           : std::string()) == sent);
            RC_ASSERT(std::holds_alternative<decide::task_ended>(events[1]));
        }));
}

// Guards against malformed specifications that reach the scheduler.
TEST_CASE_FIXTURE(target_fixture,
                  "job_spec, bad message, names the field in decode_error")
{
    using spec = v1::JobSpec;
    std::vector<bad_message<spec>> const table = {
        {"spec.team",
         [](spec& m)
         {
             m.clear_team();
         }},
        {"spec.team",
         [](spec& m)
         {
             m.set_team("a/b");
         }},
        {"spec.job",
         [](spec& m)
         {
             m.set_job(std::string(257, 'x'));
         }},
        {"spec.job",
         [](spec& m)
         {
             m.set_job("a b");
         }},
        {"spec.job",
         [](spec& m)
         {
             m.set_job("caf\xc3\xa9");
         }},
        {"spec.service",
         [](spec& m)
         {
             m.clear_service();
         }},
        {"spec.kind",
         [](spec& m)
         {
             m.set_kind(static_cast<v1::WorkKind>(4));
         }},
        {"spec.kind",
         [](spec& m)
         {
             m.set_kind(static_cast<v1::WorkKind>(-1));
         }},
        {"spec.task_count",
         [](spec& m)
         {
             m.set_task_count(0);
         }},
        {"spec.task_count",
         [](spec& m)
         {
             m.set_task_count(4'000'000'000);
         }},
        {"spec.demand.cpu_millis",
         [](spec& m)
         {
             m.mutable_demand()->set_cpu_millis(-1);
         }},
        {"spec.demand.memory_mib",
         [](spec& m)
         {
             m.mutable_demand()->set_memory_mib(max_amount + 1);
         }},
        {"spec.demand.accelerators",
         [](spec& m)
         {
             m.mutable_demand()->set_accelerators(-5);
         }},
        {"spec.start_within_micros",
         [](spec& m)
         {
             m.set_start_within_micros(-1);
         }},
        {"spec.declared_run_micros",
         [](spec& m)
         {
             m.set_declared_run_micros(max_span_micros + 1);
         }},
        {"spec.payload",
         [](spec& m)
         {
             m.set_payload(std::string(max_body_bytes + 1, 'x'));
         }},
        {"spec.traceparent",
         [](spec& m)
         {
             m.set_traceparent(std::string(max_text_bytes + 1, 'x'));
         }},
    };
    for (auto const& row : table)
    {
        v1::JobSpec message = make_message();
        row.spoil_(message);
        CHECK(find_bad_field(
                  [&]
                  {
                      decode_job_spec(message, now_);
                  }) == row.field_);
    }
}

// Guards against malformed task states that reach the scheduler.
TEST_CASE_FIXTURE(target_fixture,
                  "TaskStatus, bad message, names the field and adds no event")
{
    using status = v1::TaskStatus;
    std::vector<bad_message<status>> const table = {
        {"task.team",
         [](status& m)
         {
             m.clear_task();
         }},
        {"task.job",
         [](status& m)
         {
             m.mutable_task()->set_job("#");
         }},
        {"task.attempt",
         [](status& m)
         {
             m.mutable_task()->set_attempt(0);
         }},
        {"task.index",
         [](status& m)
         {
             m.mutable_task()->set_index(max_task_count);
         }},
        {"state",
         [](status& m)
         {
             m.set_state(static_cast<v1::TaskState>(3));
         }},
        {"outcome",
         [](status& m)
         {
             m.set_state(v1::TASK_ENDED);
             m.set_outcome(static_cast<v1::Outcome>(9));
         }},
        {"reason",
         [](status& m)
         {
             m.set_reason(std::string(max_text_bytes + 1, 'x'));
         }},
        {"usage.memory_mib",
         [](status& m)
         {
             m.mutable_usage()->set_memory_mib(-1);
         }},
        {"spec.task_count",
         [](status& m)
         {
             m.mutable_spec();
         }},
    };
    for (auto const& row : table)
    {
        v1::TaskStatus message = make_status();
        row.spoil_(message);
        std::vector<decide::event> events;
        auto const                 decode = [&]
        {
            append_events(message, target_, now_, events);
        };
        if (std::string(row.field_) == "task.team")
        {
            message.mutable_task()->set_attempt(1);
        }
        CHECK(find_bad_field(decode) == row.field_);
        CHECK(events.empty());
    }
}

// Guards against work that runs under the key of another team's job.
TEST_CASE_FIXTURE(target_fixture,
                  "start, specification of another job, is a decode_error")
{
    v1::StartTask start;
    *start.mutable_spec() = make_message();
    *start.mutable_task() = make_status().task();
    CHECK(find_bad_field(
              [&]
              {
                  decode_start_task(start, target_, now_);
              }) == "none");
    start.mutable_task()->set_team("team-2");
    CHECK(find_bad_field(
              [&]
              {
                  decode_start_task(start, target_, now_);
              }) == "task");
    start.mutable_task()->set_team("team-1");
    start.mutable_task()->set_index(1);
    CHECK(find_bad_field(
              [&]
              {
                  decode_start_task(start, target_, now_);
              }) == "task.index");
}

// Guards against a start without the work that is to be done.
TEST_CASE_FIXTURE(target_fixture,
                  "commands, bad message, name the field in decode_error")
{
    v1::StartTask start;
    CHECK(find_bad_field(
              [&]
              {
                  decode_start_task(start, target_, now_);
              }) == "spec");
    v1::ThrottleTask throttle;
    throttle.set_cpu_millis(-1);
    CHECK(find_bad_field(
              [&]
              {
                  decode_throttle_task(throttle, target_);
              }) == "cpu_millis");
    CHECK(find_bad_field(
              [&]
              {
                  decode_stop_task({}, target_);
              }) == "task.attempt");
}

} // namespace
} // namespace fescuevane::wire
