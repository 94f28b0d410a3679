// Purpose: tests of a takeover by a host that has records of the same jobs for
// another of its shards.
#include "cell_pair_fixture.hpp"

#include "cell/records.hpp"
#include "core/job_progress.hpp"

#include <doctest/doctest.h>
#include <set>

namespace fescuevane::cell
{
namespace
{

// The node owns east. The owner of west accepts a job, of which the node has an
// open submission, and then hands west over to the node.
struct takeover_fixture : cell_pair_fixture
{
    shard_id const west_shard_{domain_id("west"), 0};
    row_key const  west_row_{"member", "0", "shard/west.0"};
    row_key const  job_row_{"job", "0", "aa01"};

    // Claims west, whose rows get no reply yet. West reports no room, so that
    // submissions go to east.
    void claim_west()
    {
        west_.used_ = west_.capacity_;
        run_cell(500'000);
        reads_lost_ = true;
        rows_[west_row_] = {west_row_,
                            write_owner({host_id("host-2"), 5, "127.0.0.1:7001",
                                         1, true, host_id("host-1")}),
                            ++revision_};
        post(member_row_changed{rows_[west_row_]});
        run(50'000);
        REQUIRE(read_owner(rows_.at(west_row_).value_).host_ ==
                host_id("host-1"));
    }

    void load_west()
    {
        reads_lost_ = false;
        for (store_read const& read : take<store_read>())
        {
            answer_read(read);
        }
        tick();
    }

    void store_job_of_west()
    {
        rows_[job_row_] = {
            job_row_, write_job(west_shard_, write_spec(make_job("aa01")), {}),
            ++revision_};
    }

    // Shards that the row of the job was written for.
    std::set<shard_id> list_written_shards()
    {
        std::set<shard_id> shards = {
            read_job(rows_.at(job_row_).value_).shard_};
        for (store_transact const& call : take<store_transact>())
        {
            for (row_write const& write : call.writes_)
            {
                if (write.key_ == job_row_ && !write.remove_)
                {
                    shards.insert(read_job(write.value_).shard_);
                }
            }
        }
        return shards;
    }

    // The write of the submission gets no reply, so its outcome isn't known.
    std::uint64_t submit_without_reply()
    {
        store_unresponsive_ = true;
        std::uint64_t const call = submit("aa01");
        run(10'000);
        store_unresponsive_ = false;
        return call;
    }
};

// Guards against tasks that run in two shards at once: the row of a job that
// west had accepted was written again as one of east, while west ran it.
TEST_CASE_FIXTURE(takeover_fixture,
                  "submission to east open, west with the job taken over, job "
                  "stays in west")
{
    claim_west();
    store_job_of_west();
    submit_without_reply();
    take<store_transact>();
    load_west();
    run(micros_per_second);
    CHECK(list_written_shards() == std::set<shard_id>{west_shard_});
}

// Guards against a caller without an answer: its call was dropped with the
// record of the other shard.
TEST_CASE_FIXTURE(takeover_fixture,
                  "submission to east open, west with the job taken over, "
                  "caller is told that it is accepted")
{
    claim_west();
    store_job_of_west();
    std::uint64_t const call = submit_without_reply();
    load_west();
    run(200'000);
    REQUIRE(find_answer(call));
    CHECK(find_answer(call)->outcome_ == job_outcome::accepted);
}

// Guards against a shard that can't be released: a job that left it was waited
// for as if it still had to be written.
TEST_CASE_FIXTURE(takeover_fixture,
                  "submission to east open, west with the job taken over, "
                  "both are released on a stop")
{
    claim_west();
    store_job_of_west();
    submit_without_reply();
    load_west();
    post(stop_requested{});
    run(micros_per_second);
    CHECK(is_stopped(*node_));
}

} // namespace
} // namespace fescuevane::cell
