// Purpose: tests of delegating tasks from one shard to another.
#include "cell_pair_fixture.hpp"

#include "cell/node.hpp"
#include "cell/records.hpp"
#include "core/job_progress.hpp"

#include <doctest/doctest.h>
#include <set>

namespace fescuevane::cell
{
namespace
{

struct delegation_fixture : cell_pair_fixture
{
    // Jobs submitted to the other owner.
    std::vector<job_call> list_delegated()
    {
        std::vector<job_call> found;
        for (call_peer const& call : take<call_peer>())
        {
            if (call.call_.kind_ == call_kind::submit)
            {
                found.push_back(call.call_);
            }
        }
        return found;
    }
};

// Guards against delegation between full shards: each one cost writes and
// calls, and owners of a full cell had no time left to start work.
TEST_CASE_FIXTURE(delegation_fixture,
                  "tasks wait, other shard has a queue, not handed over")
{
    west_.used_ = {2000, 1024, 0};
    west_.queued_ = {2000, 1024, 0};
    for (int job = 0; job < 8; ++job)
    {
        submit("aa0" + std::to_string(job)); // four of them fit
    }
    run_cell(3 * micros_per_second);
    CHECK(running_.size() == 4);
    CHECK(list_delegated().empty());
}

// Guards against tasks that wait while another shard is idle.
TEST_CASE_FIXTURE(delegation_fixture,
                  "tasks wait, other shard comes free, handed over once each")
{
    west_.used_ = {4000, 1024, 0};
    report_west_load();
    for (int job = 0; job < 12; ++job)
    {
        submit("aa" + std::to_string(10 + job));
    }
    run_cell(200'000);
    CHECK(running_.size() == 4);
    west_.used_ = {};
    run_cell(3 * micros_per_second);
    auto const moved = list_delegated();
    CHECK(!moved.empty());
    CHECK(moved.size() <= 8);
}

// Guards against owners that spend their time polling each other about
// delegated tasks.
TEST_CASE_FIXTURE(delegation_fixture,
                  "delegate at work, looked up, answered at its end")
{
    task_alias const alias{.stage_ = {job_id("bb01"), 0, 0},
                           .indices_ = {3},
                           .failures_ = {0},
                           .checkpoints_ = {""},
                           .first_run_ = 7};
    post(peer_called{1,
                     {.kind_ = call_kind::submit,
                      .id_ = job_id("bb01~1-1"),
                      .shard_ = {domain_id("east"), 0},
                      .job_ = std::make_shared<staged_job const>(staged_job{
                          .id_ = job_id("bb01~1-1"),
                          .organisation_ = organisation_id("cafe"),
                          .queue_ = queue_id("orders"),
                          .service_ = service_id("desk"),
                          .payload_ = "work",
                          .steps_ = {{.count_ = 1, .demand_ = {1000, 512, 0}}},
                          .alias_ = alias}),
                      .deadline_ = now_.after(micros_per_second)}});
    run_cell(200'000);
    REQUIRE(running_.size() == 1);
    CHECK(running_[0].run_.stage_.job_ == job_id("bb01"));
    CHECK(take<reply_peer>().size() == 1);
    post(peer_called{2,
                     {.kind_ = call_kind::lookup,
                      .id_ = job_id("bb01~1-1"),
                      .shard_ = {domain_id("east"), 0},
                      .deadline_ = now_.after(micros_per_second)}});
    SUBCASE("it ends")
    {
        run_cell(200'000);
        CHECK(take<reply_peer>().empty());
        run_key const ended = running_[0].run_;
        running_.clear();
        run(50'000);
        for (hold_target const& hold : take<hold_target>())
        {
            answer_hold(hold, {}, {{1, ended, run_end::done, ""}});
        }
        run(50'000);
        auto const replies = take<reply_peer>();
        REQUIRE(replies.size() == 1);
        CHECK(replies[0].answer_.phase_ == job_phase::completed);
    }
    SUBCASE("the time of the call is up")
    {
        run_cell(1'200'000);
        auto const replies = take<reply_peer>();
        REQUIRE(replies.size() == 1);
        CHECK(replies[0].answer_.outcome_ == job_outcome::known);
        CHECK(replies[0].answer_.phase_ == job_phase::running);
    }
}

// Delegates for tasks of bb01, submitted by another shard.
struct replaced_fixture : delegation_fixture
{
    std::uint64_t ends_ = 0;

    void submit_delegate(std::string const&                id,
                         std::vector<std::uint32_t> const& indices,
                         std::uint32_t first_run, std::int64_t cpu_millis)
    {
        auto const count = static_cast<std::uint32_t>(indices.size());
        post(peer_called{
            ++last_call_,
            {.kind_ = call_kind::submit,
             .id_ = job_id(id),
             .shard_ = {domain_id("east"), 0},
             .job_ = std::make_shared<staged_job const>(staged_job{
                 .id_ = job_id(id),
                 .organisation_ = organisation_id("cafe"),
                 .queue_ = queue_id("orders"),
                 .service_ = service_id("desk"),
                 .payload_ = "work",
                 .steps_ = {{.count_ = count, .demand_ = {cpu_millis, 512, 0}}},
                 .alias_ =
                     task_alias{
                         .stage_ = {job_id("bb01"), 0, 0},
                         .indices_ = indices,
                         .failures_ = {std::vector<std::uint32_t>(count)},
                         .checkpoints_ = std::vector<std::string>(count),
                         .first_run_ = first_run}}),
             .deadline_ = now_.after(micros_per_second)}});
        run_cell(200'000);
    }

    void cancel(std::string const& id)
    {
        post(peer_called{++last_call_,
                         {.kind_ = call_kind::cancel,
                          .id_ = job_id(id),
                          .shard_ = {domain_id("east"), 0},
                          .deadline_ = now_.after(micros_per_second)}});
        run_cell(200'000);
    }

    // Ends the only run of the target.
    void end_run(run_end how)
    {
        REQUIRE(running_.size() == 1);
        run_key const ended = running_[0].run_;
        running_.clear();
        run(50'000);
        for (hold_target const& hold : take<hold_target>())
        {
            answer_hold(hold, {}, {{++ends_, ended, how, ""}});
        }
        run_cell(500'000);
    }
};

// Guards against a task that runs again after it was done: its end was assigned
// to an earlier delegate of the task, which had been returned.
TEST_CASE_FIXTURE(
    replaced_fixture,
    "task sent back and handed in again, run is done, not started again")
{
    constexpr std::int64_t too_large = 8000;
    constexpr std::int64_t small = 1000;
    submit_delegate("bb01~1-1", {2, 3}, 2, too_large);
    cancel("bb01~1-1");
    submit_delegate("bb01~1-2", {3}, 0, small);
    end_run(run_end::failed);
    end_run(run_end::failed);
    REQUIRE(running_.size() == 1);
    CHECK(running_[0].run_.run_ == 3);
    end_run(run_end::done);
    CHECK(running_.empty());
    CHECK(
        read_job(rows_.at({"job", "0", "bb01~1-2"}).value_).progress_.phase_ ==
        job_phase::completed);
}

// Guards against tasks that run again after their end was reported to the
// delegating shard: the end wasn't stored, and was lost with the owner and the
// target that listed it.
TEST_CASE_FIXTURE(replaced_fixture,
                  "tasks done, store away, end told once it is stored")
{
    submit_delegate("bb01~1-1", {3}, 0, 1000);
    take<reply_peer>();
    post(peer_called{++last_call_,
                     {.kind_ = call_kind::lookup,
                      .id_ = job_id("bb01~1-1"),
                      .shard_ = {domain_id("east"), 0},
                      .deadline_ = now_.after(3 * micros_per_second)}});
    store_down_ = true;
    end_run(run_end::done);
    CHECK(take<reply_peer>().empty());
    store_down_ = false;
    run_cell(500'000);
    auto const replies = take<reply_peer>();
    REQUIRE(replies.size() == 1);
    CHECK(replies[0].answer_.phase_ == job_phase::completed);
}

// Guards against an end that is assigned to an ended job: the task was
// delegated to west, and an earlier delegate had been returned from here.
TEST_CASE_FIXTURE(replaced_fixture,
                  "task at another shard, run isn't of the job sent back")
{
    constexpr std::int64_t too_large = 8000;
    west_.used_ = {4000, 1024, 0};
    report_west_load();
    for (int job = 0; job < 4; ++job)
    {
        submit("aa0" + std::to_string(job)); // fills the shard
    }
    run_cell(200'000);
    submit("bb01");
    run_cell(100'000);
    submit_delegate("bb01~1-1", {0}, 1, too_large);
    cancel("bb01~1-1");
    west_.used_ = {};
    run_cell(2 * micros_per_second);
    REQUIRE(list_delegated().size() == 1);
    run_key const run{{job_id("bb01"), 0, 0}, 0, 2};
    CHECK(to_local(*node_, *node_->sessions_.find(target_id("t-1")), run) ==
          run);
}

// West doesn't reply to the submission of a delegate whose parent is then
// canceled.
struct canceled_fixture : delegation_fixture
{
    std::vector<job_call> submitted_;

    canceled_fixture()
    {
        west_.used_ = {4000, 1024, 0};
        report_west_load();
        for (int job = 0; job < 5; ++job)
        {
            submit("aa0" + std::to_string(job)); // four of them fit
        }
        run_cell(200'000);
        west_.used_ = {};
        run_cell(2 * micros_per_second);
        submitted_ = list_delegated();
        REQUIRE(!submitted_.empty());
        ask(call_kind::cancel, submitted_[0].job_->alias_->stage_.job_.str());
    }

    // Advances the time; west replies `absent` to each call.
    void run_absent(std::int64_t micros)
    {
        constexpr std::int64_t step = 100'000;
        for (std::int64_t passed = 0; passed < micros; passed += step)
        {
            run_cell(step);
            for (call_peer const& call : take<call_peer>())
            {
                if (call.call_.kind_ != call_kind::submit)
                {
                    post(peer_replied{call.request_,
                                      {.outcome_ = job_outcome::absent}});
                }
            }
        }
    }

    // From here on the node owns west.
    void claim_west()
    {
        settings_.host_ = host_id("host-2");
        settings_.address_ = "127.0.0.1:7001";
        settings_.domain_ = domain_id("west");
        start(5);
        post(target_listed{{.id_ = target_id("t-west"),
                            .address_ = "127.0.0.1:8001",
                            .domain_ = domain_id("west"),
                            .service_ = service_id("desk"),
                            .rack_ = rack_id("r-2"),
                            .capacity_ = {4000, 8192, 0}}});
        running_.clear();
        commands_.clear();
        for (int round = 0; round < 30; ++round)
        {
            run(100'000);
            for (hold_target const& hold : take<hold_target>())
            {
                answer_hold(hold);
            }
        }
        run(20'000);
    }

    // Starts of west's target after a submission from host-1.
    std::size_t count_starts(job_call const& call)
    {
        post(peer_called{1,
                         {.kind_ = call_kind::submit,
                          .id_ = call.id_,
                          .shard_ = {domain_id("west"), 0},
                          .job_ = call.job_,
                          .deadline_ = now_.after(micros_per_second)}});
        run(100'000);
        auto const replies = take<reply_peer>();
        REQUIRE(replies.size() == 1);
        CHECK(replies[0].answer_.outcome_ == job_outcome::accepted);
        return take<send_start>().size();
    }
};

// Guards against tasks of a canceled job that run: their submission was
// accepted after the cancel had found no job.
TEST_CASE_FIXTURE(canceled_fixture,
                  "cancel finds no job, submitted late, nothing is started")
{
    run_absent(500'000); // the cancel of the job is stored
    SUBCASE("the store answers")
    {
        run_absent(4 * micros_per_second);
    }
    SUBCASE("the store's answers are lost for some time")
    {
        store_unresponsive_ = true;
        run_absent(4 * micros_per_second);
        store_unresponsive_ = false;
        run_absent(500'000);
    }
    SUBCASE("the shard gets a new owner")
    {
        run_absent(4 * micros_per_second);
        start(2);
        list_target("t-1");
        running_.clear();
        run_absent(micros_per_second);
        CHECK(std::none_of(commands_.begin(), commands_.end(),
                           [](command const& order)
                           {
                               auto const* const line =
                                   std::get_if<log_line>(&order);
                               return line != nullptr &&
                                      line->event_ == "row_unreadable";
                           }));
    }
    claim_west();
    job_call const other{.id_ = job_id("bb01"),
                         .job_ = std::make_shared<staged_job const>(staged_job{
                             .id_ = job_id("bb01"),
                             .organisation_ = organisation_id("cafe"),
                             .queue_ = queue_id("orders"),
                             .service_ = service_id("desk"),
                             .payload_ = "work",
                             .steps_ = {{.demand_ = {1000, 512, 0}}}})};
    CHECK(count_starts(other) == 1);
    CHECK(count_starts(submitted_[0]) == 0);
}

// A job of east was delegated to west, which has accepted it.
struct accepted_fixture : delegation_fixture
{
    std::vector<call_peer> lookups_; // of the delegate, not answered yet
    std::string            parent_;  // the job of the delegated task
    std::uint64_t          ends_ = 0;

    accepted_fixture()
    {
        west_.used_ = {4000, 1024, 0};
        report_west_load();
        for (int job = 0; job < 5; ++job)
        {
            submit("aa0" + std::to_string(job)); // four of them fit
        }
        run_cell(200'000);
        west_.used_ = {};
        run_and_accept(2 * micros_per_second);
        REQUIRE(!lookups_.empty());
        parent_ = lookups_[0].call_.id_.str().substr(0, 4);
        REQUIRE(stores_mark());
    }

    // West accepts what it gets and holds look-ups back.
    void accept_calls()
    {
        for (call_peer const& call : take<call_peer>())
        {
            if (call.call_.kind_ == call_kind::lookup)
            {
                lookups_.push_back(call);
                continue;
            }
            post(peer_replied{call.request_,
                              {.outcome_ = job_outcome::accepted}});
        }
    }

    void run_and_accept(std::int64_t micros)
    {
        constexpr std::int64_t step = 100'000;
        for (std::int64_t passed = 0; passed < micros; passed += step)
        {
            run_cell(step);
            accept_calls();
        }
    }

    // One task of east ends, which makes room for the delegated one.
    void make_room()
    {
        run_key const ended = running_.back().run_;
        running_.pop_back();
        run(50'000);
        for (hold_target const& hold : take<hold_target>())
        {
            answer_hold(hold, running_, {{++ends_, ended, run_end::done, ""}});
        }
        run_and_accept(300'000);
    }

    void end_delegate(job_phase phase)
    {
        for (call_peer const& call : lookups_)
        {
            post(peer_replied{
                call.request_,
                {.outcome_ = job_outcome::known, .phase_ = phase}});
        }
        lookups_.clear();
    }

    bool runs_parent() const
    {
        return std::any_of(running_.begin(), running_.end(),
                           [this](reported_run const& run)
                           {
                               return run.run_.stage_.job_ == job_id(parent_);
                           });
    }

    // True when the stored row of the parent says that the task is elsewhere.
    bool stores_mark() const
    {
        auto const tasks =
            read_job(rows_.at({"job", "0", parent_}).value_).progress_.tasks_;
        return std::any_of(tasks.begin(), tasks.end(),
                           [](task_progress const& task)
                           {
                               return !task.delegate_.empty();
                           });
    }
};

// Guards against a task in two runs: it started here before the end of its
// delegate was stored, and the next owner found it still delegated.
TEST_CASE_FIXTURE(accepted_fixture,
                  "delegate returned, store away, task waits for the store")
{
    make_room();
    REQUIRE(running_.size() == 3);
    SUBCASE("the store is down")
    {
        store_down_ = true;
        end_delegate(job_phase::canceled);
        run_and_accept(micros_per_second);
        CHECK(stores_mark());
        CHECK(!runs_parent());
        store_down_ = false;
    }
    SUBCASE("its answer is delayed")
    {
        store_delayed_ = true;
        end_delegate(job_phase::canceled);
        run_and_accept(micros_per_second);
        CHECK(!runs_parent());
        deliver_store_replies();
    }
    run_and_accept(micros_per_second);
    CHECK(!stores_mark());
    CHECK(runs_parent());
}

// Guards against tasks that wait for the batch of the journal, which takes long
// in cells with many shards.
TEST_CASE_FIXTURE(accepted_fixture,
                  "delegate returned, store answers, task starts at once")
{
    settings_.journal_micros_ = 5 * micros_per_second;
    lookups_.clear();
    store_host("host-2", "west");
    start(2); // restores the delegation
    list_target("t-1");
    run_and_accept(2 * micros_per_second);
    make_room();
    REQUIRE(!runs_parent());
    REQUIRE(!lookups_.empty());
    end_delegate(job_phase::canceled);
    run_and_accept(200'000);
    CHECK(runs_parent());
}

// A new owner of east finds a run of the delegated task on t-1 and stops it.
// t-2 is idle and has room for all work of east.
struct rejected_run_fixture : accepted_fixture
{
    std::map<target_id, std::vector<reported_run>> listed_; // by target
    std::vector<send_start>                        starts_; // of the parent
    std::size_t                                    stops_ = 0;
    bool                                           silent_ = false; // t-1
    std::uint64_t                                  born_ = 7;       // of t-1

    rejected_run_fixture()
    {
        lookups_.clear();
        listed_[target_id("t-1")].push_back(
            {{{job_id(parent_), 0, 0}, 0, 1001}, "", 1, 0});
        store_host("host-2", "west");
        start(2);
        list_target("t-1");
        post(target_listed{{.id_ = target_id("t-2"),
                            .address_ = "127.0.0.1:8002",
                            .domain_ = domain_id("east"),
                            .service_ = service_id("desk"),
                            .rack_ = rack_id("r-1"),
                            .capacity_ = {16'000, 65'536, 0}}});
        run_targets(2 * micros_per_second);
        REQUIRE(stops_ > 0);
        REQUIRE(!lookups_.empty());
        listed_.at(target_id("t-1")).clear(); // doesn't list what it stops
        end_delegate(job_phase::canceled);
        run_targets(2 * micros_per_second);
        REQUIRE(!stores_mark());
    }

    void answer_targets()
    {
        for (send_start const& start : take<send_start>())
        {
            post(order_reply{.request_ = start.request_,
                             .outcome_ = target_outcome::done});
            listed_[start.start_.target_].push_back(
                {start.start_.run_, "", 1, 0});
            if (start.start_.run_.stage_.job_ == job_id(parent_))
            {
                starts_.push_back(start);
            }
        }
        for (send_stop const& stop : take<send_stop>())
        {
            post(order_reply{.request_ = stop.request_,
                             .outcome_ = target_outcome::done});
            ++stops_;
        }
        for (hold_target const& hold : take<hold_target>())
        {
            answer_target(hold);
        }
    }

    void answer_target(hold_target const& hold)
    {
        bool const first = hold.target_ == target_id("t-1");
        if (first && silent_)
        {
            fail_hold(hold);
            return;
        }
        post(hold_reply{.request_ = hold.request_,
                        .target_ = hold.target_,
                        .outcome_ = target_outcome::done,
                        .clock_ms_ = unix_ms_,
                        .born_unix_ms_ =
                            static_cast<std::int64_t>(first ? born_ : 7),
                        .runs_ = listed_[hold.target_]});
    }

    void run_targets(std::int64_t micros)
    {
        constexpr std::int64_t step = 100'000;
        for (std::int64_t passed = 0; passed < micros; passed += step)
        {
            report_west_load();
            run(step);
            answer_targets();
            accept_calls();
        }
    }
};

// Guards against a task in two runs, of which one was rejected and is being
// stopped, and against tasks that wait forever for the end of such a run.
TEST_CASE_FIXTURE(rejected_run_fixture,
                  "rejected run is being stopped, returned, starts at its end")
{
    CHECK(starts_.empty());
    SUBCASE("its target is silent")
    {
        silent_ = true;
        run_targets(30 * micros_per_second);
    }
    SUBCASE("its target restarts")
    {
        ++born_;
        run_targets(micros_per_second);
    }
    SUBCASE("its target is silent and leaves the list")
    {
        silent_ = true;
        post(target_unlisted{target_id("t-1")});
        run_targets(30 * micros_per_second);
    }
    REQUIRE(starts_.size() == 1);
    CHECK(starts_[0].start_.target_ == target_id("t-2"));
}

// The node owns east, which has no target with the label. West and north
// are owned by another host.
struct blocked_fixture : cell_fixture
{
    blocked_fixture()
    {
        settings_.domains_ = {domain_id("east"), domain_id("north"),
                              domain_id("west")};
        start(1);
        for (char const* const domain : {"north", "west"})
        {
            post(member_row_changed{
                {{"member", "", std::string("host/") + domain},
                 write_host({"127.0.0.1:7001", domain_id(domain), 1, 5}),
                 ++revision_}});
            post(target_listed{{.id_ = target_id(std::string("t-") + domain),
                                .address_ = "127.0.0.1:8001",
                                .domain_ = domain_id(domain),
                                .service_ = service_id("desk"),
                                .rack_ = rack_id("r-2"),
                                .labels_ = {"fast"},
                                .capacity_ = {4000, 8192, 0}}});
        }
        report_loads();
        serve();
    }

    void report_loads()
    {
        tell("north", {.capacity_ = {4000, 8192, 0}, .used_ = {2000, 0, 0}});
        tell("west", {.capacity_ = {4000, 8192, 0}});
    }

    void tell(std::string const& domain, plan::load_summary const& load)
    {
        post(heartbeat_received{{.host_ = host_id(domain),
                                 .incarnation_ = 5,
                                 .shards_ = {{.shard_ = {domain_id(domain), 0},
                                              .epoch_ = 1,
                                              .serving_ = true,
                                              .load_ = load}}}});
    }

    // Advances the time with healthy other shards. Calls of the node stay in
    // `commands_`.
    void run_with_healthy_peers(std::int64_t micros)
    {
        constexpr std::int64_t step = 100'000;
        for (std::int64_t passed = 0; passed < micros; passed += step)
        {
            report_loads();
            run(step);
            for (hold_target const& hold : take<hold_target>())
            {
                answer_hold(hold);
            }
        }
    }

    std::vector<call_peer> list_calls(call_kind kind)
    {
        std::vector<call_peer> found;
        for (command const& order : commands_)
        {
            auto const* const call = std::get_if<call_peer>(&order);
            if (call != nullptr && call->call_.kind_ == kind)
            {
                found.push_back(*call);
            }
        }
        return found;
    }

    void submit_labelled(std::string const& id, bool long_running = false)
    {
        post(call_opened{.call_ = ++last_call_,
                         .kind_ = call_kind::submit,
                         .id_ = job_id(id),
                         .job_ = std::make_shared<staged_job const>(
                             make_labelled(id, std::nullopt, long_running)),
                         .deadline_ = now_.after(3 * micros_per_second)});
    }

    static staged_job make_labelled(std::string const&        id,
                                    std::optional<task_alias> alias,
                                    bool long_running = false)
    {
        return {.id_ = job_id(id),
                .organisation_ = organisation_id("cafe"),
                .queue_ = queue_id("orders"),
                .service_ = service_id("desk"),
                .payload_ = "work",
                .steps_ = {{.count_ = 1,
                            .demand_ = {1000, 512, 0},
                            .perpetual_ = long_running,
                            .required_label_ = "fast"}},
                .alias_ = std::move(alias)};
    }

    void call_east(std::uint64_t call, call_kind kind, std::string const& id,
                   std::shared_ptr<staged_job const> job = nullptr)
    {
        post(peer_called{call,
                         {.kind_ = kind,
                          .id_ = job_id(id),
                          .shard_ = {domain_id("east"), 0},
                          .job_ = std::move(job),
                          .deadline_ = now_.after(3 * micros_per_second)}});
    }

    // Another shard delegates tasks that east can't run.
    void delegate_to_east(std::string const& id)
    {
        call_east(1, call_kind::submit, id,
                  std::make_shared<staged_job const>(make_labelled(
                      id, task_alias{.stage_ = {job_id("bb01"), 0, 0},
                                     .indices_ = {0},
                                     .failures_ = {0},
                                     .checkpoints_ = {""}})));
        run_with_healthy_peers(200'000);
        REQUIRE(take<reply_peer>().size() == 1);
    }

    std::optional<job_phase> stored_phase(std::string const& id)
    {
        auto const row = rows_.find({"job", "0", id});
        return row == rows_.end()
                   ? std::nullopt
                   : std::optional(
                         read_job(row->second.value_).progress_.phase_);
    }
};

// Guards against tasks that are delegated from shard to shard and stay in the
// last one, though none of these shards could ever run them.
TEST_CASE_FIXTURE(blocked_fixture,
                  "tasks blocked, handed over, go back and no further")
{
    delegate_to_east("bb01~1-1");
    call_east(2, call_kind::lookup, "bb01~1-1");
    run_with_healthy_peers(4 * micros_per_second);
    CHECK(list_calls(call_kind::submit).empty());
    CHECK(list_calls(call_kind::offer).empty());
    CHECK(stored_phase("bb01~1-1") == job_phase::canceled);
    auto const replies = take<reply_peer>();
    REQUIRE(replies.size() == 1);
    CHECK(replies[0].answer_.phase_ == job_phase::canceled);
    // A late submission finds the job ended.
    delegate_to_east("bb01~1-1");
    run_with_healthy_peers(micros_per_second);
    CHECK(take<send_start>().empty());
    CHECK(stored_phase("bb01~1-1") == job_phase::canceled);
}

// Guards against a task that runs twice: its return was reported before it was
// stored, so the next owner found the task still waiting.
TEST_CASE_FIXTURE(blocked_fixture,
                  "tasks go back, store is silent, not told before it answers")
{
    delegate_to_east("bb01~1-1");
    call_east(2, call_kind::lookup, "bb01~1-1");
    store_delayed_ = true;
    run_with_healthy_peers(2'500'000);
    call_east(3, call_kind::lookup, "bb01~1-1");
    run_with_healthy_peers(200'000);
    for (reply_peer const& reply : take<reply_peer>())
    {
        CHECK(!is_final(reply.answer_.phase_));
    }
    deliver_store_replies();
    run_with_healthy_peers(200'000);
    auto const replies = take<reply_peer>();
    REQUIRE(!replies.empty());
    CHECK(replies[0].answer_.phase_ == job_phase::canceled);
}

// Guards against tasks that are delegated before it is known which shard can
// run them.
TEST_CASE_FIXTURE(blocked_fixture,
                  "tasks blocked, others asked, moved to the best answer")
{
    submit_labelled("aa01");
    // Jobs are routed to a shard that can run them; this one stays in east.
    for (int round = 0; round < 5; ++round)
    {
        run_with_healthy_peers(100'000);
        for (call_peer const& call : take<call_peer>())
        {
            if (call.call_.kind_ == call_kind::submit)
            {
                post(peer_replied{call.request_,
                                  {.outcome_ = job_outcome::unavailable}});
            }
        }
    }
    std::vector<call_peer> asked;
    for (int round = 0; round < 30 && asked.empty(); ++round)
    {
        run_with_healthy_peers(100'000);
        asked = list_calls(call_kind::offer);
    }
    REQUIRE(asked.size() == 2);
    CHECK(list_calls(call_kind::submit).empty());
    std::string best;
    auto const  answer = [&](std::string const& now_domain)
    {
        for (call_peer const& call : asked)
        {
            bool const now = call.call_.shard_.domain_.str() == now_domain;
            post(peer_replied{call.request_,
                              {.outcome_ = job_outcome::known,
                               .fit_now_ = now ? 1U : 0U,
                               .fit_later_ = 1}});
        }
        best = now_domain;
    };
    SUBCASE("the emptier one could run them now")
    {
        answer("west");
    }
    SUBCASE("the other one could run them now")
    {
        answer("north");
    }
    SUBCASE("both could later")
    {
        answer("");
        best = "west";
    }
    take<call_peer>();
    run_with_healthy_peers(500'000);
    auto const moved = list_calls(call_kind::submit);
    REQUIRE(!moved.empty());
    CHECK(moved[0].call_.shard_.domain_.str() == best);
}

// Guards against a step that is abandoned after one round of offers: no shard
// could run it when it received the offer.
TEST_CASE_FIXTURE(blocked_fixture,
                  "no shard can run the tasks, asked again after a pause")
{
    submit_labelled("aa01");
    int rounds = 0;
    for (int round = 0; round < 150; ++round)
    {
        run_with_healthy_peers(100'000);
        for (call_peer const& call : take<call_peer>())
        {
            bool const offer = call.call_.kind_ == call_kind::offer;
            rounds += offer && call.call_.shard_.domain_.str() == "west";
            post(peer_replied{call.request_,
                              {.outcome_ = offer ? job_outcome::known
                                                 : job_outcome::unavailable}});
        }
    }
    CHECK(rounds >= 4);
    CHECK(rounds <= 8);
}

// Guards against a step that isn't offered again because newer ones, whose
// first rounds come before its second, never stop arriving.
TEST_CASE_FIXTURE(blocked_fixture,
                  "newer steps are offered all the time, offered again")
{
    submit_labelled("aa01");
    int rounds = 0;
    for (int round = 0; round < 300; ++round)
    {
        run_with_healthy_peers(100'000);
        if (round % 10 == 9)
        {
            submit_labelled("bb" + std::to_string(round));
        }
        for (call_peer const& call : take<call_peer>())
        {
            bool const offer = call.call_.kind_ == call_kind::offer;
            rounds += offer && call.call_.shard_.domain_.str() == "west" &&
                      call.call_.id_.str().starts_with("aa01");
            if (!offer) // offers get no reply before their deadline
            {
                post(peer_replied{call.request_,
                                  {.outcome_ = job_outcome::unavailable}});
            }
        }
    }
    CHECK(rounds >= 2);
}

// Guards against the same because of long-running steps, which come first.
TEST_CASE_FIXTURE(blocked_fixture,
                  "long-running steps are offered all the time, offered, too")
{
    for (int job = 0; job < 3; ++job)
    {
        submit_labelled("cc0" + std::to_string(job), true);
    }
    submit_labelled("aa01");
    int rounds = 0;
    for (int round = 0; round < 300; ++round)
    {
        run_with_healthy_peers(100'000);
        for (call_peer const& call : take<call_peer>())
        {
            bool const offer = call.call_.kind_ == call_kind::offer;
            rounds += offer && call.call_.shard_.domain_.str() == "west" &&
                      call.call_.id_.str().starts_with("aa01");
            if (!offer) // offers get no reply before their deadline
            {
                post(peer_replied{call.request_,
                                  {.outcome_ = job_outcome::unavailable}});
            }
        }
    }
    CHECK(rounds >= 1);
}

// Guards against tasks that stay in a withdrawn failure domain: its stages
// moved one by one, each after a round of offers to all shards.
TEST_CASE_FIXTURE(cell_pair_fixture,
                  "domain taken out, many stages wait, all move soon")
{
    west_.capacity_ = {64000, 81920, 0};
    report_west_load();
    for (int job = 10; job < 26; ++job)
    {
        submit("aa" + std::to_string(job));
        run_cell(100'000);
        for (call_peer const& call : take<call_peer>())
        {
            post(peer_replied{call.request_,
                              {.outcome_ = job_outcome::unavailable}});
        }
    }
    REQUIRE(running_.size() == 4);
    post(domain_withdrawn{domain_id("east"), true});
    std::set<job_id> moved;
    for (int round = 0; round < 60; ++round)
    {
        run_cell(100'000);
        for (call_peer const& call : take<call_peer>())
        {
            if (call.call_.kind_ == call_kind::submit)
            {
                moved.insert(call.call_.id_);
                post(peer_replied{call.request_,
                                  {.outcome_ = job_outcome::accepted}});
            }
        }
    }
    CHECK(moved.size() >= 12);
}

// East is half full and holds a gang that another shard has delegated.
struct delegated_gang_fixture : delegation_fixture
{
    delegated_gang_fixture()
    {
        west_.used_ = {4000, 1024, 0};
        report_west_load();
        submit("aa01");
        submit("aa02");
        run_cell(500'000);
        REQUIRE(running_.size() == 2);
        west_.used_ = {};
        post(peer_called{
            1,
            {.kind_ = call_kind::submit,
             .id_ = job_id("bb01~1-1"),
             .shard_ = {domain_id("east"), 0},
             .job_ = std::make_shared<staged_job const>(staged_job{
                 .id_ = job_id("bb01~1-1"),
                 .organisation_ = organisation_id("cafe"),
                 .queue_ = queue_id("orders"),
                 .service_ = service_id("desk"),
                 .payload_ = "work",
                 .steps_ =
                     {{.count_ = 3, .demand_ = {1000, 512, 0}, .gang_ = true}},
                 .alias_ = task_alias{.stage_ = {job_id("bb01"), 0, 0},
                                      .indices_ = {0, 1, 2},
                                      .failures_ = {0, 0, 0},
                                      .checkpoints_ = {"", "", ""}}}),
             .deadline_ = now_.after(micros_per_second)}});
    }
};

// Guards against a gang that was delegated once and never gets room, while
// other shards are almost idle.
TEST_CASE_FIXTURE(delegated_gang_fixture,
                  "gang moved before, lacks room for long, goes back")
{
    run_cell(4 * micros_per_second);
    CHECK(list_delegated().empty());
    auto const stored = [this]
    {
        return read_job(rows_.at({"job", "0", "bb01~1-1"}).value_)
            .progress_.phase_;
    };
    CHECK(stored() != job_phase::canceled);
    run_cell(6 * micros_per_second);
    CHECK(list_delegated().empty());
    CHECK(stored() == job_phase::canceled);
}

// One host owns both shards. A task of east was delegated to west, and from
// there back to east.
struct returned_fixture : cell_fixture
{
    job_id const gone_ = job_id("bb01~1-1");     // delegate in west
    job_id const back_ = job_id("bb01~1-1~1-2"); // delegate in east

    returned_fixture()
    {
        settings_.domains_ = {domain_id("east"), domain_id("west")};
        store_job(gone_, domain_id("west"), back_);
        store_job(back_, domain_id("east"), job_id());
        for (char const* const domain : {"east", "west"})
        {
            row_key const key{"member", "0",
                              std::string("shard/") + domain + ".0"};
            rows_[key] = {
                key, write_owner({host_id("host-1"), 1, "127.0.0.1:7000", 4}),
                ++revision_};
        }
        start(2);
        list_target("t-1");
        run(micros_per_second);
    }

    void store_job(job_id const& id, domain_id const& domain,
                   job_id const& delegate)
    {
        staged_job const job{
            .id_ = id,
            .organisation_ = organisation_id("cafe"),
            .queue_ = queue_id("orders"),
            .service_ = service_id("desk"),
            .payload_ = "work",
            .steps_ = {{.count_ = 1, .demand_ = {1000, 512, 0}}},
            .accepted_unix_ms_ = unix_ms_,
            .alias_ = task_alias{.stage_ = {job_id("bb01"), 0, 0},
                                 .indices_ = {3},
                                 .failures_ = {0},
                                 .checkpoints_ = {""},
                                 .first_run_ = 7}};
        job_progress progress;
        if (!delegate.empty())
        {
            progress.tasks_.push_back({.delegate_ = delegate});
        }
        row_key const key{"job", "0", id.str()};
        rows_[key] = {key, write_job({domain, 0}, write_spec(job), progress),
                      ++revision_};
    }
};

// Guards against a task that runs twice: its end was assigned to the delegate
// in another shard of the same host, and was dropped.
TEST_CASE_FIXTURE(returned_fixture,
                  "host owns both shards, returned task ends, job completed")
{
    run_key const run_of_task{{job_id("bb01"), 0, 0}, 3, 9};
    auto const    holds = take<hold_target>();
    REQUIRE(!holds.empty());
    answer_hold(holds.back(), {}, {{1, run_of_task, run_end::done, ""}});
    run(micros_per_second);
    CHECK(take<send_start>().empty());
    CHECK(
        read_job(rows_.at({"job", "0", back_.str()}).value_).progress_.phase_ ==
        job_phase::completed);
}

} // namespace
} // namespace fescuevane::cell
