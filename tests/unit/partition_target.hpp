// Purpose: simulated target of tests with partitions: keeps leases by a clock
// of its own, checks epochs and performs orders in the order of their arrival.
#ifndef FESCUEVANE_TESTS_UNIT_PARTITION_TARGET_HPP
#define FESCUEVANE_TESTS_UNIT_PARTITION_TARGET_HPP

#include "cell/cell.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace fescuevane::cell
{

// Times are of the target's clock, in ms.
struct partition_target
{
    // Answers a hold call that waits for an end.
    struct open_hold
    {
        std::int64_t                           due_ms_ = 0;
        hold_target                            hold_;
        std::function<void(hold_reply const&)> answer_;
    };

    struct active_run
    {
        std::int64_t began_ms_ = 0;
        std::int64_t ends_ms_ = 0;
        bool         hangs_ = false; // makes no progress
        std::int64_t stops_ms_ = 0;  // 0: not told to stop
        bool         fails_ = false;
    };

    static constexpr std::int64_t stop_ms = 300;
    static constexpr std::int64_t max_lease_ms = 10'000;

    std::shared_ptr<listed_target const> info_;
    double                               rate_ = 1; // of the clock
    std::int64_t                         offset_ms_ = 0;
    std::int64_t                         born_unix_ms_ = 0;
    bool                                 up_ = true;
    instant                              frozen_until_;
    bool    hangs_ = false;         // so do the runs that begin
    bool    lists_stopping_ = true; // runs that are being stopped, as running
    instant late_until_;            // performs orders late, without an answer

    epoch                         fence_ = 0;
    std::int64_t                  lease_ms_ = 0;
    std::map<run_key, active_run> running_;
    std::list<reported_end>       ends_;
    std::uint64_t                 last_end_ = 0;
    std::map<std::pair<stage_key, std::uint32_t>, std::uint32_t>
                           closed_; // highest run stopped or ended, by task
    std::vector<open_hold> holds_;
    bool                   lapsed_ = false; // the lease, since it was extended
    // Told of each end, of ends that may be forgotten and of lapsed leases.
    std::function<void(reported_end const&)> ended_ = [](auto&&...) {};
    std::function<void(std::uint64_t)>       forgotten_ = [](auto&&...) {};
    std::function<void()>                    lost_ = [] {};

    std::int64_t clock_ms(instant now) const
    {
        return static_cast<std::int64_t>(static_cast<double>(now.micros()) *
                                         rate_ / micros_per_milli) +
               offset_ms_;
    }

    bool accepts(epoch fence)
    {
        bool const accepted = fence >= fence_;
        fence_ = std::max(fence_, fence);
        return accepted;
    }

    void extend_lease(std::int64_t until_ms, std::int64_t clock_ms)
    {
        lease_ms_ =
            std::max(lease_ms_, std::min(until_ms, clock_ms + max_lease_ms));
        lapsed_ = lapsed_ && lease_ms_ < clock_ms;
    }

    void end(run_key const& run, run_end how)
    {
        running_.erase(run);
        std::uint32_t& closed = closed_[{run.stage_, run.index_}];
        closed = std::max(closed, run.run_);
        ends_.push_back({++last_end_, run, how, ""});
        ended_(ends_.back());
    }

    // Lasting runs are at work after a short startup.
    static std::int32_t find_percent(active_run const& run,
                                     std::int64_t      clock_ms)
    {
        constexpr std::int64_t startup_ms = 320;
        constexpr std::int64_t lasting_ms = 100'000'000;
        constexpr std::int64_t percent = 100;
        std::int64_t const     whole = run.ends_ms_ - run.began_ms_;
        if (run.hangs_)
        {
            return 0;
        }
        return static_cast<std::int32_t>(
            std::min(percent, percent * (clock_ms - run.began_ms_) /
                                  (whole > lasting_ms ? startup_ms : whole)));
    }

    hold_reply make_reply(hold_target const& hold, target_outcome outcome,
                          std::int64_t clock_ms) const
    {
        std::vector<reported_run> runs;
        for (auto const& [run, state] : running_)
        {
            if (state.stops_ms_ == 0 || lists_stopping_)
            {
                runs.push_back({run, "", find_percent(state, clock_ms), 0});
            }
        }
        return {.request_ = hold.request_,
                .target_ = hold.target_,
                .outcome_ = outcome,
                .clock_ms_ = clock_ms,
                .born_unix_ms_ = born_unix_ms_,
                .runs_ = std::move(runs),
                .ends_ = {ends_.begin(), ends_.end()}};
    }

    void take_hold(hold_target const& hold, std::int64_t clock_ms,
                   std::function<void(hold_reply const&)> answer)
    {
        if (!accepts(hold.fence_))
        {
            answer(make_reply(hold, target_outcome::superseded, clock_ms));
            return;
        }
        extend_lease(hold.lease_clock_ms_, clock_ms);
        forgotten_(hold.forgotten_);
        std::erase_if(ends_,
                      [&hold](reported_end const& end)
                      {
                          return end.number_ <= hold.forgotten_;
                      });
        holds_.push_back({clock_ms + hold.wait_ms_, hold, std::move(answer)});
    }

    order_reply take_start(send_start const& start, std::int64_t clock_ms,
                           std::int64_t work_ms, bool fails, bool& began)
    {
        run_key const& run = start.start_.run_;
        began = false;
        if (!accepts(start.fence_))
        {
            return {.request_ = start.request_,
                    .outcome_ = target_outcome::superseded,
                    .clock_ms_ = clock_ms};
        }
        if (clock_ms > start.lease_clock_ms_)
        {
            return {.request_ = start.request_,
                    .outcome_ = target_outcome::refused,
                    .reason_ = plan::refusal::late,
                    .clock_ms_ = clock_ms};
        }
        extend_lease(start.lease_clock_ms_, clock_ms);
        if (running_.contains(run))
        {
            return {.request_ = start.request_,
                    .outcome_ = target_outcome::done,
                    .clock_ms_ = clock_ms};
        }
        auto const closed = closed_.find({run.stage_, run.index_});
        if (closed != closed_.end() && closed->second >= run.run_)
        {
            return {.request_ = start.request_,
                    .outcome_ = target_outcome::refused,
                    .reason_ = plan::refusal::outdated,
                    .clock_ms_ = clock_ms};
        }
        constexpr std::int64_t never_ms = 1'000'000'000'000;
        running_[run] = {.began_ms_ = clock_ms,
                         .ends_ms_ = clock_ms + (hangs_ ? never_ms : work_ms),
                         .hangs_ = hangs_,
                         .fails_ = fails};
        began = true;
        return {.request_ = start.request_,
                .outcome_ = target_outcome::done,
                .clock_ms_ = clock_ms};
    }

    order_reply take_stop(send_stop const& stop, std::int64_t clock_ms)
    {
        if (!accepts(stop.fence_))
        {
            return {.request_ = stop.request_,
                    .outcome_ = target_outcome::superseded,
                    .clock_ms_ = clock_ms};
        }
        run_key const& run = stop.stop_.run_;
        auto const     active = running_.find(run);
        if (active != running_.end() && active->second.stops_ms_ == 0)
        {
            active->second.stops_ms_ = clock_ms + stop_ms;
        }
        std::uint32_t& closed = closed_[{run.stage_, run.index_}];
        closed = std::max(closed, run.run_);
        return {.request_ = stop.request_,
                .outcome_ = target_outcome::done,
                .clock_ms_ = clock_ms};
    }

    // Ends what is due and answers hold calls.
    void advance(std::int64_t clock_ms)
    {
        if (clock_ms > lease_ms_ && !std::exchange(lapsed_, true))
        {
            lost_();
        }
        std::map<run_key, active_run> const before = running_;
        for (auto const& [run, state] : before)
        {
            if (clock_ms > lease_ms_)
            {
                end(run, run_end::lapsed);
            }
            else if (state.stops_ms_ != 0 && state.stops_ms_ <= clock_ms)
            {
                end(run, run_end::stopped);
            }
            else if (state.ends_ms_ <= clock_ms)
            {
                end(run, state.fails_ ? run_end::failed : run_end::done);
            }
        }
        std::vector<open_hold> open;
        holds_.swap(open);
        for (open_hold& hold : open)
        {
            if (ends_.empty() && hold.due_ms_ > clock_ms)
            {
                holds_.push_back(std::move(hold));
                continue;
            }
            hold.answer_(
                make_reply(hold.hold_, target_outcome::done, clock_ms));
        }
    }

    // Restarts without its earlier state, under the same id.
    void crash(instant now, std::int64_t unix_ms)
    {
        std::map<run_key, active_run> const before = running_;
        for (auto const& [run, state] : before)
        {
            ended_({.run_ = run, .end_ = run_end::lost});
        }
        lost_();
        running_.clear();
        ends_.clear();
        closed_.clear();
        holds_.clear();
        last_end_ = 0;
        fence_ = 0;
        lease_ms_ = 0;
        offset_ms_ = 0;
        offset_ms_ = -clock_ms(now);
        born_unix_ms_ = unix_ms;
    }
};

} // namespace fescuevane::cell

#endif
