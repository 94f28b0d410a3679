// Purpose: tests of the journal.
#include "tests/unit/state_fixture.hpp"

#include <doctest/doctest.h>
#include <algorithm>

namespace fescuevane::state
{
namespace
{

struct journal_fixture : state_fixture
{
    shard_id const shard_{domain_id("east"), 0};
    process_fake*  owner_ = nullptr;

    journal_fixture()
    {
        owner_ = &start("e1", "east");
        run(4000);
        owner_->told_.clear();
    }

    void record(int first, int count)
    {
        for (int i = first; i < first + count; ++i)
        {
            owner_->post(make_record(shard_, "job-" + std::to_string(i)));
        }
    }

    std::size_t count_told(bool recorded) const
    {
        auto const told = owner_->list<job_recorded>();
        return static_cast<std::size_t>(
            std::count_if(told.begin(), told.end(),
                          [recorded](job_recorded const& each)
                          {
                              return each.recorded_ == recorded;
                          }));
    }

    std::size_t count_rows() const
    {
        return static_cast<std::size_t>(
            std::count_if(store_.cells_.begin(), store_.cells_.end(),
                          [](auto const& entry)
                          {
                              return entry.first.starts_with("job/") &&
                                     !entry.second.deleted_;
                          }));
    }
};

// Guards against one store write per job.
TEST_CASE_FIXTURE(journal_fixture,
                  "journal, many records at once, shares few commits")
{
    std::size_t const before = store_.commits_;
    record(0, 300);
    run(400);
    CHECK(count_told(true) == 300);
    CHECK(count_rows() == 300);
    CHECK(store_.commits_ - before == 3);
}

// Guards against "not run" for work that is in the journal.
TEST_CASE_FIXTURE(journal_fixture,
                  "journal, reply lost, tells the true outcome")
{
    store_.lost_replies_ = 3;
    record(0, 5);
    run(5000);
    CHECK(count_told(true) == 5);
    CHECK(count_told(false) == 0);
    CHECK(count_rows() == 5);
}

// Guards against callers that wait for a store that is down, and against a
// false refusal of rows that may be written.
TEST_CASE_FIXTURE(journal_fixture,
                  "journal, store down, refuses only what was never sent")
{
    store_.down_ = true;
    record(0, 5);
    run(100);
    record(5, 5);
    run(5000);
    auto const refused = count_told(false);
    CHECK(refused >= 5);
    CHECK(count_told(true) == 0);
    store_.down_ = false;
    run(5000);
    CHECK(count_told(true) + refused == 10);
    CHECK(count_told(false) == refused);
    CHECK(count_rows() == count_told(true));
}

// Guards against unbounded memory while the store is slow.
TEST_CASE_FIXTURE(journal_fixture,
                  "journal, queue full, refuses at once with a reason")
{
    record(0, 4100);
    run(20);
    auto const told = owner_->list<job_recorded>();
    REQUIRE(told.size() == 100);
    CHECK_FALSE(told[0].recorded_);
    CHECK(told[0].reason_ == "the journal queue is full");
}

// Guards against a result that is overwritten by its specification, and
// against rows that are never removed.
TEST_CASE_FIXTURE(journal_fixture,
                  "journal, result and removal, follow in order")
{
    auto const begun = make_record(shard_, "a");
    auto const result = std::make_shared<job_result const>(
        job_result{.key_ = begun.spec_->key_, .state_ = job_state::answered});
    owner_->post(begun);
    owner_->post(job_record{shard_, begun.spec_, result});
    run(200);
    REQUIRE(count_rows() == 1);
    CHECK(store_.cells_.at("job/east/0/cafes/a").value_.find("answered") !=
          std::string::npos);
    owner_->post(job_record{shard_, nullptr, result});
    run(200);
    CHECK(count_rows() == 0);
    CHECK(count_told(true) == 3);
}

// Guards against a lost owner that still reports work as recorded.
TEST_CASE_FIXTURE(journal_fixture,
                  "journal, shard taken over meanwhile, releases the shard")
{
    owner_->cut_ = true;
    owner_->isolated_ = true;
    start("w1", "west");
    run(6000);
    REQUIRE(list_servers(shard_).size() == 2); // the old one can't know yet
    owner_->cut_ = false;
    record(0, 2);
    run(3000);
    CHECK(list_servers(shard_) == std::vector<std::string>{"w1"});
    CHECK(count_told(true) == 0);
    CHECK(count_told(false) == 2);
}

} // namespace
} // namespace fescuevane::state
