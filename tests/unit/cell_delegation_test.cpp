// Purpose: tests of handing tasks from one shard to another.
#include "cell_pair_fixture.hpp"

#include "cell/records.hpp"
#include "core/hashing.hpp"
#include "core/job_progress.hpp"

#include <doctest/doctest.h>
#include <sstream>

namespace fescuevane::cell
{
namespace
{

struct delegation_fixture : cell_pair_fixture
{
    // Jobs that the other owner was asked to accept.
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

// Guards against tasks that move between full shards: each move cost writes and
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

// Guards against tasks that wait while another shard stands empty.
TEST_CASE_FIXTURE(delegation_fixture,
                  "tasks wait, other shard comes free, handed over once each")
{
    west_.used_ = {4000, 1024, 0};
    tell_west();
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

// Guards against owners that spend their time on asking each other about tasks
// that were handed over.
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

// West gave no answer to a submission of tasks whose job was canceled then.
struct canceled_fixture : delegation_fixture
{
    std::vector<job_call> submitted_;

    canceled_fixture()
    {
        west_.used_ = {4000, 1024, 0};
        tell_west();
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

    // Runs while west knows none of the jobs that it is asked about.
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

    // The node is the owner of west from here on.
    void become_west()
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
// accepted after the cancel had found nothing.
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
        store_silent_ = true;
        run_absent(4 * micros_per_second);
        store_silent_ = false;
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
    become_west();
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

// East has no target that may run the tasks. West stands empty, north has work.
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
        tell("north", {.capacity_ = {4000, 8192, 0}, .used_ = {2000, 0, 0}});
        tell("west", {.capacity_ = {4000, 8192, 0}});
        serve();
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

    // The shard that gets the tasks of a job with a name.
    std::string find_receiver(std::string const& name)
    {
        task_alias const alias{.stage_ = {job_id("bb01"), 0, 0},
                               .indices_ = {0},
                               .failures_ = {0},
                               .checkpoints_ = {""}};
        post(peer_called{1,
                         {.kind_ = call_kind::submit,
                          .id_ = job_id(name),
                          .shard_ = {domain_id("east"), 0},
                          .job_ = std::make_shared<staged_job const>(staged_job{
                              .id_ = job_id(name),
                              .organisation_ = organisation_id("cafe"),
                              .queue_ = queue_id("orders"),
                              .service_ = service_id("desk"),
                              .payload_ = "work",
                              .steps_ = {{.count_ = 1,
                                          .demand_ = {1000, 512, 0},
                                          .required_label_ = "fast"}},
                              .alias_ = alias}),
                          .deadline_ = now_.after(micros_per_second)}});
        for (int round = 0; round < 40; ++round)
        {
            tell("north",
                 {.capacity_ = {4000, 8192, 0}, .used_ = {2000, 0, 0}});
            tell("west", {.capacity_ = {4000, 8192, 0}});
            run(100'000);
            for (call_peer const& call : take<call_peer>())
            {
                if (call.call_.kind_ == call_kind::submit)
                {
                    return call.call_.shard_.domain_.str();
                }
            }
            for (hold_target const& hold : take<hold_target>())
            {
                answer_hold(hold);
            }
        }
        return "";
    }
};

// Guards against tasks that two shards hand to and fro though neither may run
// them, while a third one may.
TEST_CASE_FIXTURE(blocked_fixture,
                  "tasks blocked, handed over, to a shard they weren't in")
{
    SUBCASE("the emptiest one wasn't tried")
    {
        CHECK(find_receiver("bb01~1-1") == "west");
    }
    SUBCASE("the emptiest one was tried")
    {
        std::ostringstream mark;
        mark << std::hex << compute_stable_hash("west.0") % 0x10000;
        CHECK(find_receiver("bb01~1-1-" + mark.str()) == "north");
    }
}

// East is half full and holds a gang that another shard has handed over.
struct moved_gang_fixture : delegation_fixture
{
    moved_gang_fixture()
    {
        west_.used_ = {4000, 1024, 0};
        tell_west();
        submit("aa01");
        submit("aa02");
        run_cell(500'000);
        REQUIRE(running_.size() == 2);
        west_.used_ = {};
    }

    void submit_gang(std::string const& name)
    {
        task_alias const alias{.stage_ = {job_id("bb01"), 0, 0},
                               .indices_ = {0, 1, 2},
                               .failures_ = {0, 0, 0},
                               .checkpoints_ = {"", "", ""}};
        post(peer_called{1,
                         {.kind_ = call_kind::submit,
                          .id_ = job_id(name),
                          .shard_ = {domain_id("east"), 0},
                          .job_ = std::make_shared<staged_job const>(staged_job{
                              .id_ = job_id(name),
                              .organisation_ = organisation_id("cafe"),
                              .queue_ = queue_id("orders"),
                              .service_ = service_id("desk"),
                              .payload_ = "work",
                              .steps_ = {{.count_ = 3,
                                          .demand_ = {1000, 512, 0},
                                          .gang_ = true}},
                              .alias_ = alias}),
                          .deadline_ = now_.after(micros_per_second)}});
        run_cell(4 * micros_per_second);
    }
};

// Guards against a gang that has moved once and lacks room for good, while
// other shards stand almost empty.
TEST_CASE_FIXTURE(moved_gang_fixture,
                  "gang moved before, lacks room, moves on to an empty shard")
{
    SUBCASE("an empty shard, handed over")
    {
        submit_gang("bb01~1-1");
        CHECK(list_delegated().size() == 1);
    }
    SUBCASE("a shard with work, stays")
    {
        west_.used_ = {2400, 1024, 0};
        west_.capacity_ = {8000, 8192, 0};
        west_.queued_ = {1800, 512, 0};
        submit_gang("bb01~1-1");
        CHECK(list_delegated().empty());
    }
    SUBCASE("an empty shard that it comes from, stays")
    {
        std::ostringstream mark;
        mark << std::hex << compute_stable_hash("west.0") % 0x10000;
        submit_gang("bb01~1-1-" + mark.str());
        CHECK(list_delegated().empty());
    }
}

// One host owns both shards. A task went from a job of east to west, and from
// there back to east.
struct returned_fixture : cell_fixture
{
    job_id const gone_ = job_id("bb01~1-1");     // stands for it in west
    job_id const back_ = job_id("bb01~1-1~1-2"); // stands for it in east

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

// Guards against a task that runs twice: its end was taken for that of the job
// which stands for it in another shard of the same host, and was forgotten.
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
