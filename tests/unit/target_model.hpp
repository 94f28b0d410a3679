// Purpose: simulated target for tests of the node.
#ifndef FESCUEVANE_TESTS_UNIT_TARGET_MODEL_HPP
#define FESCUEVANE_TESTS_UNIT_TARGET_MODEL_HPP

#include "cell/cell.hpp"

#include <algorithm>
#include <cstdint>
#include <list>
#include <string>
#include <vector>

namespace fescuevane::cell
{

// Runs what it is told to start, ends it when the lease lapses, and lists ends
// until it may discard them.
struct target_model
{
    std::int64_t            born_unix_ms_ = 7;
    std::int64_t            lease_ms_ = 0; // end of the latest lease
    std::list<reported_run> running_;
    std::list<reported_end> ends_;
    std::uint64_t           last_end_ = 0;

    void end(run_key const& run, run_end how, std::string const& saved = "")
    {
        std::erase_if(running_,
                      [&run](reported_run const& entry)
                      {
                          return entry.run_ == run;
                      });
        ends_.push_back({++last_end_, run, how, saved});
    }

    void end_all(run_end how)
    {
        std::list<reported_run> const ended = running_;
        for (reported_run const& run : ended)
        {
            end(run.run_, how);
        }
    }

    void advance(std::int64_t clock_ms)
    {
        if (clock_ms > lease_ms_)
        {
            end_all(run_end::lapsed);
        }
    }

    bool has(run_key const& run) const
    {
        return std::any_of(running_.begin(), running_.end(),
                           [&run](reported_run const& entry)
                           {
                               return entry.run_ == run;
                           });
    }

    // Returns false when the start arrives too late.
    bool take(send_start const& order, std::int64_t clock_ms)
    {
        if (clock_ms > order.lease_clock_ms_)
        {
            return false;
        }
        if (!has(order.start_.run_))
        {
            running_.push_back({order.start_.run_, "", 1, 0});
        }
        lease_ms_ = std::max(lease_ms_, order.lease_clock_ms_);
        return true;
    }

    hold_reply answer(hold_target const& hold, std::int64_t clock_ms)
    {
        std::erase_if(ends_,
                      [&hold](reported_end const& end)
                      {
                          return end.number_ <= hold.forgotten_;
                      });
        lease_ms_ = std::max(lease_ms_, hold.lease_clock_ms_);
        return {.request_ = hold.request_,
                .target_ = hold.target_,
                .outcome_ = target_outcome::done,
                .clock_ms_ = clock_ms,
                .born_unix_ms_ = born_unix_ms_,
                .runs_ = {running_.begin(), running_.end()},
                .ends_ = {ends_.begin(), ends_.end()}};
    }

    // Restarts without its earlier state.
    void crash()
    {
        ++born_unix_ms_;
        running_.clear();
        ends_.clear();
        last_end_ = 0;
        lease_ms_ = 0;
    }
};

} // namespace fescuevane::cell

#endif
