// Purpose: test fixture of a node and the owner of another shard.
#ifndef FESCUEVANE_TESTS_UNIT_CELL_PAIR_FIXTURE_HPP
#define FESCUEVANE_TESTS_UNIT_CELL_PAIR_FIXTURE_HPP

#include "cell_fixture.hpp"

#include "cell/records.hpp"

#include <list>

namespace fescuevane::cell
{

// The node owns east; host-2 owns west and reports its load.
struct cell_pair_fixture : cell_fixture
{
    plan::load_summary        west_{.capacity_ = {4000, 8192, 0}};
    std::vector<reported_run> running_; // on the target of east
    std::list<reported_end>   ends_;    // there

    cell_pair_fixture()
    {
        settings_.domains_ = {domain_id("east"), domain_id("west")};
        start(1);
        post(member_row_changed{
            {{"member", "", "host/host-2"},
             write_host({"127.0.0.1:7001", domain_id("west"), 1, 5}),
             ++revision_}});
        report_west_load();
        serve();
    }

    void report_west_load()
    {
        post(heartbeat_received{{.host_ = host_id("host-2"),
                                 .incarnation_ = 5,
                                 .shards_ = {{.shard_ = {domain_id("west"), 0},
                                              .epoch_ = 1,
                                              .serving_ = true,
                                              .load_ = west_}}}});
    }

    // Runs for some time while the target replies and the other owner sends
    // heartbeats.
    void run_cell(std::int64_t micros)
    {
        constexpr std::int64_t step = 100'000;
        for (std::int64_t passed = 0; passed < micros; passed += step)
        {
            report_west_load();
            run(step);
            for (send_start const& start : take<send_start>())
            {
                post(order_reply{.request_ = start.request_,
                                 .outcome_ = target_outcome::done});
                running_.push_back({start.start_.run_, "", 1, 0});
            }
            for (hold_target const& hold : take<hold_target>())
            {
                std::erase_if(ends_,
                              [&hold](reported_end const& end)
                              {
                                  return end.number_ <= hold.forgotten_;
                              });
                answer_hold(hold, running_, {ends_.begin(), ends_.end()});
            }
        }
    }
};

} // namespace fescuevane::cell

#endif
