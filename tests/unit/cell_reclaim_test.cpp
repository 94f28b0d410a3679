// Purpose: tests of a shard that a process claims again: replies to requests of
// its earlier ownership are ignored.
#include "cell_pair_fixture.hpp"

#include "cell/records.hpp"
#include "core/job_progress.hpp"

#include <doctest/doctest.h>
#include <map>
#include <set>

namespace fescuevane::cell
{
namespace
{

struct reclaim_fixture : cell_fixture
{
    row_key const row_{"member", "0", "shard/east.0"};

    void store_row(row_key const& key, std::string const& value)
    {
        rows_[key] = {key, value, ++revision_};
        if (key.table_ == "member")
        {
            post(member_row_changed{rows_[key]});
        }
    }

    epoch owned_epoch()
    {
        heartbeat const beat = make_heartbeat(*node_);
        return beat.shards_.empty() || !beat.shards_[0].serving_
                   ? 0
                   : beat.shards_[0].epoch_;
    }

    // Another host takes the shard and releases it, the node claims it again.
    void change_owners()
    {
        epoch const former = read_owner(rows_.at(row_).value_).epoch_;
        store_row(row_, write_owner({host_id("host-2"), 5, "127.0.0.1:7001",
                                     former + 1, true, host_id("host-1")}));
        run(50'000);
        REQUIRE(read_owner(rows_.at(row_).value_).host_ == host_id("host-1"));
    }

    void answer_target()
    {
        for (hold_target const& hold : take<hold_target>())
        {
            answer_hold(hold);
        }
        run(20'000);
    }
};

// Guards against an owner that drops its shard because of an order that it sent
// under an earlier epoch.
TEST_CASE_FIXTURE(reclaim_fixture,
                  "order of earlier ownership superseded, shard is kept")
{
    serve();
    submit("aa01");
    run(50'000);
    auto const starts = take<send_start>();
    REQUIRE(starts.size() == 1);
    change_owners();
    answer_target();
    epoch const present = owned_epoch();
    REQUIRE(present == 3);
    post(order_reply{.request_ = starts[0].request_,
                     .outcome_ = target_outcome::superseded});
    run(50'000);
    CHECK(owned_epoch() == present);
}

// Guards against reporting a cancel that isn't stored: the store's reply was
// for a write of an earlier ownership.
TEST_CASE_FIXTURE(reclaim_fixture,
                  "write of earlier ownership answered, cancel isn't stored")
{
    serve();
    store_delayed_ = true;
    submit("aa01");
    run(50'000);
    REQUIRE(held_.size() == 1);
    store_reply const late = held_.front();
    held_.clear();
    store_delayed_ = false;
    change_owners();
    answer_target();
    REQUIRE(owned_epoch() == 3);
    REQUIRE(rows_.contains({"job", "0", "aa01"}));
    run(200'000); // the start is stored
    store_delayed_ = true;
    auto const call = ask(call_kind::cancel, "aa01");
    run(20'000);
    REQUIRE(held_.size() == 1);
    post(late);
    run(20'000);
    CHECK_FALSE(find_answer(call));
    deliver_store_replies();
    run(20'000);
    REQUIRE(find_answer(call));
    CHECK(find_answer(call)->outcome_ == job_outcome::canceled);
}

// Guards against jobs that run again: rows read for an earlier ownership were
// older than what the next owner stored.
TEST_CASE_FIXTURE(reclaim_fixture,
                  "jobs read by earlier ownership, changed since, not taken")
{
    serve();
    submit("aa01");
    run(50'000);
    REQUIRE(take<send_start>().size() == 1);
    row_key const    job{"job", "0", "aa01"};
    stored_row const before = rows_.at(job);
    reads_lost_ = true;
    change_owners();
    std::vector<store_read> reads;
    for (store_read const& read : take<store_read>())
    {
        if (read.table_ == "job" && read.deadline_ > now_)
        {
            reads.push_back(read);
        }
    }
    REQUIRE(reads.size() == 1);
    change_owners();
    job_record const record = read_job(before.value_);
    store_row(job, write_job(record.shard_, record.spec_text_,
                             {.phase_ = job_phase::completed}));
    post(store_reply{.request_ = reads[0].request_,
                     .outcome_ = store_outcome::done,
                     .revision_ = before.revision_,
                     .rows_ = {before}});
    run(20'000);
    reads_lost_ = false;
    for (store_read const& read : take<store_read>())
    {
        answer_read(read);
    }
    run(100'000);
    REQUIRE(owned_epoch() == 5);
    auto const call = ask(call_kind::lookup, "aa01");
    run(20'000);
    REQUIRE(find_answer(call));
    CHECK(find_answer(call)->phase_ == job_phase::completed);
}

// Guards against tasks that run twice: a delegation whose mark an earlier
// ownership hadn't stored continued, beside that of the current one.
TEST_CASE_FIXTURE(cell_pair_fixture,
                  "hand-over of earlier ownership not stored, isn't submitted")
{
    west_.used_ = {4000, 1024, 0};
    report_west_load();
    for (int job = 0; job < 5; ++job)
    {
        submit("aa0" + std::to_string(job)); // four of them fit
    }
    run_cell(200'000);
    west_.used_ = {};
    report_west_load();
    auto const count_handovers = [this]
    {
        return std::count_if(
            commands_.begin(), commands_.end(),
            [](command const& order)
            {
                auto const* const line = std::get_if<log_line>(&order);
                return line != nullptr && line->event_ == "delegate";
            });
    };
    for (int round = 0; round < 300 && count_handovers() == 0; ++round)
    {
        run(10'000);
        for (hold_target const& hold : take<hold_target>())
        {
            answer_hold(hold, running_);
        }
    }
    REQUIRE(count_handovers() == 1);
    tick(); // the planner sets the mark, which is stored 35 ms later
    auto const holds = take<hold_target>();
    REQUIRE(!holds.empty());
    post(hold_reply{.request_ = holds.back().request_,
                    .target_ = holds.back().target_,
                    .outcome_ = target_outcome::superseded});
    run_cell(3 * micros_per_second);
    CHECK(count_handovers() > 1);
    std::map<stage_key, std::set<job_id>> submitted;
    for (call_peer const& call : take<call_peer>())
    {
        if (call.call_.kind_ == call_kind::submit)
        {
            submitted[call.call_.job_->alias_->stage_].insert(call.call_.id_);
        }
    }
    REQUIRE(submitted.size() == 1);
    CHECK(submitted.begin()->second.size() == 1);
}

} // namespace
} // namespace fescuevane::cell
