// Purpose: processor time of a node's ticks by system.
#ifndef FESCUEVANE_BENCH_SYSTEM_METER_HPP
#define FESCUEVANE_BENCH_SYSTEM_METER_HPP

#include "bench/statistics.hpp"
#include "cell/tick_observer.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace fescuevane::bench
{

// The time of one reading of the clock is part of each system's.
class system_meter final : public cell::tick_observer
{
public:
    void begin_tick() override
    {
        ++ticks_;
        mark_ = read_processor_micros();
    }
    void end_system(std::string_view name, std::uint64_t /*visited*/) override
    {
        double const now = read_processor_micros();
        micros_[std::string(name)] += now - mark_;
        mark_ = read_processor_micros();
    }
    void judge_hold(cell::hold_timing const& /*timing*/) override {}
    void lapse_lease(target_id const& /*target*/) override { ++lapses_; }

    std::uint64_t                        ticks() const { return ticks_; }
    std::uint64_t                        lapses() const { return lapses_; }
    std::map<std::string, double> const& micros() const { return micros_; }

private:
    std::uint64_t                 ticks_ = 0;
    std::uint64_t                 lapses_ = 0;
    double                        mark_ = 0;
    std::map<std::string, double> micros_; // by system
};

} // namespace fescuevane::bench

#endif
