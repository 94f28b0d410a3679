// Purpose: observer that records its calls, for tests.
#ifndef FESCUEVANE_TESTS_UNIT_RECORDING_OBSERVER_HPP
#define FESCUEVANE_TESTS_UNIT_RECORDING_OBSERVER_HPP

#include "cell/hold_timing.hpp"
#include "cell/tick_observer.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace fescuevane::cell
{

struct recording_observer final : tick_observer
{
    std::vector<std::string>             systems_; // of the latest tick
    std::map<std::string, std::uint64_t> visited_; // rows, by system
    std::vector<hold_timing>             timings_;
    std::vector<target_id>               lapsed_;

    void begin_tick() override { systems_.clear(); }
    void end_system(std::string_view name, std::uint64_t visited) override
    {
        systems_.emplace_back(name);
        visited_[std::string(name)] += visited;
    }
    void judge_hold(hold_timing const& timing) override
    {
        timings_.push_back(timing);
    }
    void lapse_lease(target_id const& target) override
    {
        lapsed_.push_back(target);
    }
};

} // namespace fescuevane::cell

#endif
