// Purpose: tests of listed entries of targets that have restarted since.
#include "cell_cluster_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <utility>

namespace fescuevane::cell
{
namespace
{

// One host and one target, whose incarnations have entries of their own. The
// first one is of kind "a" and has room for four tasks.
struct target_entries_fixture : cell_cluster_fixture
{
    static constexpr std::int64_t second = micros_per_second;
    target_id const               target_{"t-1"};

    target_entries_fixture()
    {
        executes_stops_ = true;
        add_host("host-1");
        list_incarnation("a");
        run(4 * second);
    }

    std::int64_t born() const
    {
        auto const earlier = earlier_incarnations_.find(target_);
        return 7 +
               (earlier == earlier_incarnations_.end() ? 0 : earlier->second);
    }

    // The entry of the present incarnation, as every host reads it.
    void list_incarnation(std::string const& label,
                          resources const&   capacity = {4000, 8192, 0})
    {
        list_entry(label, capacity, born());
    }

    void list_entry(std::string const& label, resources const& capacity,
                    std::int64_t born_unix_ms)
    {
        targets_.clear();
        targets_.push_back({.id_ = target_,
                            .address_ = "127.0.0.1:8000",
                            .domain_ = domain_id("east"),
                            .service_ = service_id("desk"),
                            .rack_ = rack_id("r-1"),
                            .labels_ = {label, "r-1"},
                            .capacity_ = capacity,
                            .born_unix_ms_ = born_unix_ms});
        post_all(target_listed{targets_.back()});
    }

    void restart_target()
    {
        ++earlier_incarnations_[target_];
        running_.clear();
        ended_.clear();
        ends_.clear();
        fences_.clear();
    }

    void submit_labeled(std::string const& id, std::uint32_t tasks = 1)
    {
        submit("host-1", id,
               {{.count_ = tasks,
                 .demand_ = {1000, 512, 0},
                 .estimate_ms_ = 1000,
                 .required_label_ = "a"}});
    }

    std::size_t count_starts(std::string const& id) const
    {
        return static_cast<std::size_t>(
            std::count_if(starts_.begin(), starts_.end(),
                          [&id](auto const& start)
                          {
                              return start.first.stage_.job_ == job_id(id);
                          }));
    }
};

// Guards against starts by the labels of a target's former life: it restarted
// under its id as another kind, and its entry followed by its next heartbeat.
TEST_CASE_FIXTURE(target_entries_fixture,
                  "target restarted, entry of its former life, no starts until "
                  "its own entry is listed")
{
    restart_target();
    run(second);
    submit_labeled("aa01");
    run(2 * second);
    CHECK(count_starts("aa01") == 0);
    SUBCASE("it is of the same kind")
    {
        list_incarnation("a");
        run(second / 4);
        CHECK(count_starts("aa01") == 1);
    }
    SUBCASE("it is of another kind")
    {
        list_incarnation("b");
        run(2 * second);
        CHECK(count_starts("aa01") == 0);
    }
}

// Guards against more work than fits: the incarnation that the target now runs
// has less room than its former entry says.
TEST_CASE_FIXTURE(target_entries_fixture,
                  "target restarted with less capacity, starts fit the entry "
                  "of the present incarnation")
{
    restart_target();
    run(second);
    submit_labeled("aa01", 4);
    run(second);
    CHECK(count_starts("aa01") == 0);
    list_incarnation("a", {1000, 8192, 0});
    run(second);
    CHECK(count_starts("aa01") == 1);
}

// Guards against the same starts by a new owner, which reads the entry before
// the target has replied.
TEST_CASE_FIXTURE(target_entries_fixture,
                  "target restarted, new owner reads the entry of its former "
                  "life, no starts")
{
    kill("host-1");
    restart_target();
    run(second);
    start("host-1");
    run(12 * second);
    submit_labeled("aa01");
    run(2 * second);
    CHECK(count_starts("aa01") == 0);
    list_incarnation("a");
    run(second);
    CHECK(count_starts("aa01") == 1);
}

// Guards against starts by the entry of an incarnation that hasn't replied yet.
TEST_CASE_FIXTURE(target_entries_fixture,
                  "entry of the next incarnation, former one still reached, no "
                  "starts until the next one replies")
{
    list_entry("a", {4000, 8192, 0}, born() + 1);
    run(second / 10);
    submit_labeled("aa01");
    run(second);
    CHECK(count_starts("aa01") == 0);
    restart_target();
    run(second);
    CHECK(count_starts("aa01") == 1);
}

// Guards against targets without work because they don't report their start.
TEST_CASE_FIXTURE(target_entries_fixture,
                  "entry without a start, target restarted, starts go on")
{
    list_entry("a", {4000, 8192, 0}, 0);
    run(second);
    submit_labeled("aa01");
    run(second);
    CHECK(count_starts("aa01") == 1);
    restart_target();
    run(second);
    submit_labeled("aa02");
    run(second);
    CHECK(count_starts("aa02") == 1);
}

} // namespace
} // namespace fescuevane::cell
