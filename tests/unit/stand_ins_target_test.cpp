// Purpose: tests of the target stand-in's logic.
#include "core/core.hpp"
#include "tests/stand_ins/batch_codec.hpp"
#include "tests/stand_ins/history_log.hpp"
#include "tests/stand_ins/target_context.hpp"
#include "wire/decode_error.hpp"

#include <target.pb.h>

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace fescuevane::stand_ins
{
namespace
{

// One target with two slots, its clock and the output of its last tick.
struct target_fixture
{
    target_context target_{.host_ = {.target_ = target_id("worker-1"),
                                     .domain_ = domain_id("amman-1"),
                                     .capacity_ = {4000, 4096, 0},
                                     .slots_ = 2}};
    instant        now_ = instant(1'000'000);

    static task_key make_key(std::string const& job)
    {
        return {{team_id("team-1"), job_id(job)}, 0, 1};
    }

    static decide::start_task
    make_start(std::string const& job, std::string const& payload,
               resources const& reservation = {1000, 1024, 0})
    {
        task_key const key = make_key(job);
        auto const     spec = std::make_shared<job_spec const>(
            job_spec{.key_ = key.job_,
                         .service_ = service_id("orders"),
                         .payload_ = std::make_shared<std::string const>(payload)});
        return {key, target_id("worker-1"), spec, reservation};
    }

    void tick()
    {
        target_.reports_.clear();
        target_.history_.clear();
        target_.dropped_.clear();
        run_tick(target_, now_);
    }

    void send(owner_batch const& batch)
    {
        post_batch(target_, batch);
        tick();
    }

    void start(std::vector<decide::start_task> starts, epoch term = 1,
               std::uint64_t stream = 1)
    {
        send({.stream_ = stream,
              .epoch_ = term,
              .attachment_ = stream,
              .echo_ = now_,
              .lease_micros_ = 10'000'000,
              .starts_ = std::move(starts)});
    }

    void stop(std::string const& job, bool checkpoint = false)
    {
        send({.stream_ = 1,
              .epoch_ = 1,
              .attachment_ = 1,
              .echo_ = now_,
              .lease_micros_ = 10'000'000,
              .stops_ = {{make_key(job), target_id("worker-1"), checkpoint}}});
    }

    static owner_batch make_batch(std::string const& job, instant echo,
                                  std::int64_t lease, std::uint64_t link)
    {
        return {.stream_ = link,
                .epoch_ = 1,
                .attachment_ = link,
                .echo_ = echo,
                .lease_micros_ = lease,
                .starts_ = {make_start(job, R"({"run_ms": 5000})")}};
    }

    void start_echoing(std::string const& job, instant echo, std::int64_t lease,
                       std::uint64_t link = 1)
    {
        send(make_batch(job, echo, lease, link));
    }

    void advance(std::int64_t micros)
    {
        now_ = now_.after(micros);
        tick();
    }

    // Events of one kind in all reports of the last tick.
    template <typename Event>
    std::vector<Event> list() const
    {
        std::vector<Event> found;
        for (target_report const& report : target_.reports_)
        {
            for (status_entry const& entry : report.tasks_)
            {
                if (auto const* event = std::get_if<Event>(&entry.event_))
                {
                    found.push_back(*event);
                }
            }
        }
        return found;
    }

    std::size_t running() const { return target_.running_.index_.size(); }
};

constexpr char const* long_run = R"({"run_ms": 5000})";

// Guards against an answer that is lost or belongs to another request.
TEST_CASE_FIXTURE(target_fixture,
                  "target, run time over, ends the task with its answer")
{
    start({make_start("a", R"({"run_ms": 5, "echo": "hello"})")});
    CHECK(list<decide::task_started>().size() == 1);
    CHECK(next_deadline(target_) == now_.after(5000));
    advance(4999);
    CHECK(list<decide::task_ended>().empty());
    advance(1);
    auto const ends = list<decide::task_ended>();
    REQUIRE(ends.size() == 1);
    CHECK(ends[0].outcome_ == outcome::succeeded);
    CHECK(*ends[0].body_ == "hello");
}

// Guards against commands of an earlier owner that still take effect.
TEST_CASE_FIXTURE(target_fixture,
                  "target, batch of a lower epoch, is fenced and ignored")
{
    start({}, 2, 2);
    start({make_start("a", long_run)}, 1, 1);
    REQUIRE(target_.reports_.size() == 1);
    CHECK(target_.reports_[0].fenced_);
    CHECK(target_.reports_[0].stream_ == 1);
    CHECK(target_.reports_[0].epoch_ == 2);
    CHECK(running() == 0);
    CHECK(target_.counters_.fenced_ == 1);
    CHECK(target_.history_.at(0).event_ == "fenced");
}

// Guards against an earlier owner that learns of its successor late.
TEST_CASE_FIXTURE(target_fixture,
                  "target, higher epoch, fences the earlier owner's stream")
{
    start({make_start("a", long_run)}, 1, 1);
    start({}, 2, 2);
    REQUIRE(target_.reports_.size() == 3);
    CHECK(target_.reports_[0].stream_ == 1);
    CHECK(target_.reports_[0].fenced_);
    CHECK(target_.reports_[1].stream_ == 2);
    CHECK(target_.reports_[1].snapshot_);
    REQUIRE(target_.reports_[1].tasks_.size() == 1);
    CHECK(target_.reports_[1].tasks_[0].start_->task_ == make_key("a"));
}

// Guards against batches of a replaced stream that arrive late.
TEST_CASE_FIXTURE(target_fixture,
                  "target, same epoch on a later stream, drops the earlier one")
{
    start({}, 1, 1);
    start({}, 1, 2);
    CHECK(target_.dropped_ == std::vector<std::uint64_t>{1});
    start({make_start("a", long_run)}, 1, 1);
    CHECK(running() == 0);
    CHECK(target_.reports_.empty());
}

// Guards against tasks that run on while a new owner may start them elsewhere.
TEST_CASE_FIXTURE(target_fixture, "target, lease not renewed, ends all tasks")
{
    send({.stream_ = 1,
          .epoch_ = 1,
          .attachment_ = 1,
          .echo_ = now_,
          .lease_micros_ = 2000,
          .starts_ = {make_start("a", long_run), make_start("b", long_run)}});
    CHECK(next_deadline(target_) == now_.after(2000));
    advance(1999);
    CHECK(running() == 2);
    advance(1);
    CHECK(running() == 0);
    CHECK(list<decide::task_ended>().size() == 2);
    CHECK(target_.history_.at(0).event_ == "lapse");
    CHECK(target_.history_.at(1).reason_ == "lease expired");
}

// Guards against a late batch that renews a lease after it has expired.
TEST_CASE_FIXTURE(target_fixture,
                  "target, batch after the lease's end, renews no old task")
{
    send({.stream_ = 1,
          .epoch_ = 1,
          .attachment_ = 1,
          .echo_ = now_,
          .lease_micros_ = 2000,
          .starts_ = {make_start("a", long_run)}});
    now_ = now_.after(2500);
    start({});
    CHECK(running() == 0);
    CHECK(target_.counters_.lapses_ == 1);
}

// Guards against a canceled task that starts after its stop was confirmed.
TEST_CASE_FIXTURE(target_fixture,
                  "target, start after a stop of its key, is rejected")
{
    start({});
    stop("a");
    CHECK(list<decide::task_rejected>().size() == 1);
    start({make_start("a", long_run)});
    CHECK(list<decide::task_rejected>().size() == 1);
    CHECK(running() == 0);
}

// Guards against a task that runs twice on one target.
TEST_CASE_FIXTURE(
    target_fixture,
    "target, duplicate start, is ignored before and after the end")
{
    start({make_start("a", R"({"run_ms": 1})")});
    start({make_start("a", R"({"run_ms": 1})")});
    CHECK(target_.counters_.starts_ == 1);
    advance(1000);
    send({.stream_ = 1,
          .epoch_ = 1,
          .attachment_ = 1,
          .echo_ = now_,
          .lease_micros_ = 10'000'000,
          .acknowledged_ends_ = {make_key("a")}});
    start({make_start("a", R"({"run_ms": 1})")});
    CHECK(target_.counters_.starts_ == 1);
    CHECK(running() == 0);
}

// Guards against overcommitted targets that go unnoticed.
TEST_CASE_FIXTURE(target_fixture,
                  "target, start above slots or capacity, is an overcommit")
{
    start({make_start("a", long_run, {3000, 1024, 0}),
           make_start("b", long_run, {1001, 1024, 0})});
    CHECK(target_.counters_.overcommits_ == 1);
    start({make_start("c", long_run)});
    start({make_start("d", long_run, {0, 0, 0})});
    CHECK(target_.counters_.overcommits_ == 2);
    CHECK(running() == 2);
    CHECK(target_.history_.at(0).event_ == "reject");
    CHECK(target_.history_.at(0).reason_ == "overcommit");
}

// Guards against ends that are lost with the stream that carried them.
TEST_CASE_FIXTURE(target_fixture,
                  "target, end not acknowledged, is in the next snapshot")
{
    start({make_start("a", R"({"echo": "x"})")});
    close_stream(target_, 1);
    start({}, 1, 2);
    CHECK(target_.reports_.at(0).snapshot_);
    REQUIRE(list<decide::task_ended>().size() == 1);
    send({.stream_ = 2,
          .epoch_ = 1,
          .attachment_ = 2,
          .echo_ = now_,
          .lease_micros_ = 10'000'000,
          .acknowledged_ends_ = {make_key("a")}});
    close_stream(target_, 2);
    start({}, 1, 3);
    CHECK(target_.reports_.at(0).tasks_.empty());
}

// Guards against a stop whose progress is thrown away.
TEST_CASE_FIXTURE(target_fixture,
                  "target, stop with checkpoint, cancels and keeps progress")
{
    start({make_start("a", long_run)});
    stop("a", true);
    auto const ends = list<decide::task_ended>();
    REQUIRE(ends.size() == 1);
    CHECK(ends[0].outcome_ == outcome::canceled);
    CHECK(ends[0].checkpointed_);
}

// Guards against throttling that has no effect on the run.
TEST_CASE_FIXTURE(target_fixture,
                  "target, throttled to half, takes twice as long")
{
    start({make_start("a", R"({"run_ms": 10})")});
    now_ = now_.after(4000);
    send({.stream_ = 1,
          .epoch_ = 1,
          .attachment_ = 1,
          .echo_ = now_,
          .lease_micros_ = 10'000'000,
          .throttles_ = {{make_key("a"), target_id("worker-1"), 500}}});
    CHECK(next_deadline(target_) == now_.after(12'000));
}

// Guards against usage that is never reported.
TEST_CASE_FIXTURE(target_fixture, "target, usage lag over, reports usage")
{
    start({make_start("a", R"({"run_ms": 5000, "use_cpu_millis": 300})")});
    advance(1'000'000);
    auto const usage = list<decide::usage_reported>();
    REQUIRE(usage.size() == 1);
    CHECK(usage[0].usage_ == resources(300, 1024, 0));
}

// Guards against a frozen target that answers or keeps tasks for ever.
TEST_CASE_FIXTURE(target_fixture,
                  "target, frozen, sends nothing and its lease expires")
{
    start({make_start("a", long_run)});
    set_switches(target_, {.frozen_ = true});
    start({make_start("b", long_run)});
    CHECK(target_.reports_.empty());
    CHECK(running() == 1);
    advance(10'000'000);
    CHECK(target_.reports_.empty());
    CHECK(running() == 0);
}

// Guards against leases that outlast the time at which the owner ends them,
// because the batch that renewed them was delayed.
TEST_CASE_FIXTURE(target_fixture,
                  "lease, batch delayed, ends after the echo, not the receipt")
{
    start_echoing("a", now_.after(-3000), 5000);
    CHECK(running() == 1);
    CHECK(next_deadline(target_) == now_.after(2000));
    advance(2000);
    CHECK(running() == 0);
}

// Guards against a reordered echo that shortens or extends the lease.
TEST_CASE_FIXTURE(target_fixture, "lease, lower echo later, keeps the highest")
{
    instant const first = now_;
    start_echoing("a", first, 5000);
    now_ = now_.after(1000);
    start_echoing("b", first.after(-2000), 5000);
    CHECK(running() == 2);
    CHECK(next_deadline(target_) == first.after(5000));
}

// Guards against the first batch of a link that keeps tasks alive or starts
// some before the owner has heard the target's clock.
TEST_CASE_FIXTURE(target_fixture,
                  "lease, echo 0, renews nothing and rejects starts")
{
    start_echoing("a", now_, 5000);
    instant const end = now_.after(5000);
    now_ = now_.after(1000);
    start_echoing("b", instant(), 10'000'000, 2);
    CHECK(next_deadline(target_) == end);
    REQUIRE(list<decide::task_rejected>().size() == 1);
    CHECK(list<decide::task_rejected>()[0].reason_ == "lease expired");
    CHECK(running() == 1);
}

// Guards against work that starts after its owner has counted it as ended.
TEST_CASE_FIXTURE(target_fixture,
                  "lease, expired in the batch, rejects starts for good")
{
    start_echoing("a", now_.after(-5000), 5000);
    REQUIRE(list<decide::task_rejected>().size() == 1);
    CHECK(list<decide::task_rejected>()[0].reason_ == "lease expired");
    start_echoing("a", now_, 5000);
    CHECK(running() == 0);
}

// Guards against an echo of another clock that grants an endless lease.
TEST_CASE_FIXTURE(target_fixture, "lease, echo ahead of the clock, is refused")
{
    start_echoing("a", now_.after(1), 5000);
    CHECK(list<decide::task_rejected>().size() == 1);
    CHECK(running() == 0);
}

// Guards against a target that continues after a freeze, or a stop of its
// process, and runs what was sent to it meanwhile.
TEST_CASE_FIXTURE(target_fixture,
                  "lease, expired while frozen, ends before waiting batches")
{
    start_echoing("a", now_, 5000);
    post_batch(target_, make_batch("b", now_, 5000, 1));
    now_ = now_.after(5000);
    tick();
    CHECK(running() == 0);
    CHECK(target_.counters_.starts_ == 1);
    CHECK(target_.counters_.lapses_ == 1);
    CHECK(target_.history_.at(0).event_ == "lapse");
    REQUIRE(list<decide::task_rejected>().size() == 1);
    CHECK(list<decide::task_rejected>()[0].task_ == make_key("b"));
}

// Guards against a start, delayed on an earlier link, that follows a snapshot
// which does not list it. The later link's stream may have opened first.
TEST_CASE_FIXTURE(target_fixture,
                  "attachment, lower than the highest, is ignored")
{
    send({.stream_ = 1, .epoch_ = 1, .attachment_ = 2, .lease_micros_ = 5000});
    CHECK(target_.reports_.at(0).snapshot_);
    send({.stream_ = 2,
          .epoch_ = 1,
          .attachment_ = 1,
          .echo_ = now_,
          .lease_micros_ = 5000,
          .starts_ = {make_start("a", long_run)}});
    CHECK(target_.reports_.empty());
    CHECK(target_.counters_.fenced_ == 0);
    CHECK(running() == 0);
}

// Guards against a new link that is ignored because its stream opened early.
TEST_CASE_FIXTURE(target_fixture,
                  "attachment, higher on an earlier stream, takes over")
{
    send({.stream_ = 2, .epoch_ = 1, .attachment_ = 1, .lease_micros_ = 5000});
    send({.stream_ = 1, .epoch_ = 1, .attachment_ = 2, .lease_micros_ = 5000});
    CHECK(target_.dropped_ == std::vector<std::uint64_t>{2});
    CHECK(target_.reports_.at(0).stream_ == 1);
    CHECK(target_.reports_.at(0).snapshot_);
}

// Guards against a new owner that is ignored because it counts from 1.
TEST_CASE_FIXTURE(target_fixture, "attachment, new epoch, starts anew")
{
    send({.stream_ = 1, .epoch_ = 1, .attachment_ = 9, .lease_micros_ = 5000});
    send({.stream_ = 2, .epoch_ = 2, .attachment_ = 1, .lease_micros_ = 5000});
    REQUIRE(target_.reports_.size() == 3);
    CHECK(target_.reports_[1].stream_ == 2);
    CHECK(target_.reports_[1].snapshot_);
}

// Guards against a new owner that can't start idempotent work again.
TEST_CASE_FIXTURE(target_fixture,
                  "snapshot, encoded, has the payloads and the clock")
{
    start({make_start("a", long_run)});
    start({}, 1, 2);
    v1::TargetBatch message;
    encode_report(target_.reports_.at(0), target_.host_, now_, message);
    CHECK(message.clock_micros() == now_.micros());
    REQUIRE(message.tasks_size() == 1);
    CHECK(message.tasks(0).spec().payload() == long_run);
}

// Guards against a snapshot that exceeds the limit of a message.
TEST_CASE_FIXTURE(target_fixture,
                  "snapshot, above 8 MiB, leaves out the largest payloads")
{
    std::string const small(3 * 1024 * 1024, ' ');
    std::string const large(6 * 1024 * 1024, ' ');
    start(
        {make_start("a", large + long_run), make_start("b", small + long_run)});
    start({}, 1, 2);
    v1::TargetBatch message;
    encode_report(target_.reports_.at(0), target_.host_, now_, message);
    CHECK(message.snapshot());
    REQUIRE(message.tasks_size() == 2);
    CHECK(message.tasks(0).spec().payload().empty());
    CHECK(message.tasks(1).spec().payload() == small + long_run);
}

// Guards against fields of a batch that the codec drops.
TEST_CASE_FIXTURE(target_fixture, "batch, decoded, has attachment and echo")
{
    v1::OwnerBatch message;
    message.set_epoch(1);
    message.set_lease_micros(1);
    message.set_attachment(7);
    message.set_echo_micros(8);
    owner_batch const batch = decode_batch(message, target_.host_, 1, now_);
    CHECK(batch.attachment_ == 7);
    CHECK(batch.echo_ == instant(8));
    message.set_echo_micros(-1);
    CHECK_THROWS_AS(decode_batch(message, target_.host_, 1, now_),
                    wire::decode_error);
}

// Guards against a failing worker that hides its failures.
TEST_CASE_FIXTURE(target_fixture,
                  "target, set to fail tasks, fails each start at once")
{
    set_switches(target_, {.fail_tasks_ = true});
    start({make_start("a", long_run)});
    auto const ends = list<decide::task_ended>();
    REQUIRE(ends.size() == 1);
    CHECK(ends[0].outcome_ == outcome::failed);
}

// Guards against tasks that survive the crash of their target, and against
// an old owner that is accepted after it.
TEST_CASE_FIXTURE(target_fixture,
                  "target, crashed, loses tasks and keeps the epoch")
{
    start({make_start("a", long_run)}, 3);
    std::uint64_t const before = target_.incarnation_;
    crash_target(target_, now_);
    CHECK(running() == 0);
    CHECK(target_.history_.back().event_ == "end");
    CHECK(target_.dropped_ == std::vector<std::uint64_t>{1});
    start({}, 3, 2);
    CHECK(target_.reports_.at(0).tasks_.empty());
    CHECK(target_.incarnation_ == before + 1);
    start({}, 2, 4);
    CHECK(target_.reports_.at(0).fenced_);
}

// Guards against an answer that was cut short and passes as whole.
TEST_CASE_FIXTURE(target_fixture, "answer, cut short, is not whole")
{
    auto const answer = make_answer({.answer_bytes_ = 1000, .echo_ = "id-7"});
    CHECK(is_whole_answer(*answer));
    CHECK_FALSE(is_whole_answer(answer->substr(0, answer->size() - 1)));
    CHECK_FALSE(is_whole_answer(""));
}

// Guards against malformed payloads that end the process.
TEST_CASE_FIXTURE(target_fixture, "payload, malformed, fails its task")
{
    for (char const* payload :
         {"{", "[]", R"({"run_ms": "x"})", R"({"answer_bytes": -1})"})
    {
        CAPTURE(payload);
        CHECK_FALSE(parse_work(std::make_shared<std::string const>(payload))
                        .fail_reason_.empty());
    }
    CHECK(parse_work(nullptr).fail_reason_.empty());
}

// Guards against histories that the checkers can't read.
TEST_CASE_FIXTURE(target_fixture, "history, of a start, names task and amounts")
{
    start({make_start("a", long_run)});
    CHECK(format_history(target_.history_.back()) ==
          R"({"t_us":1000000,"event":"start","target":"worker-1",)"
          R"("failure_domain":"amman-1","shard":"","epoch":1,)"
          R"("team":"team-1","job":"a","index":0,"attempt":1,)"
          R"("kind":"request","service":"orders","idempotent":true,)"
          R"("cpu_millis":1000,"memory_mib":1024,"accelerators":0})");
}

} // namespace
} // namespace fescuevane::stand_ins
