// Purpose: the control state of one process over a table service in memory,
// with peers that send heartbeats.
#ifndef FESCUEVANE_BENCH_CONTROL_RIG_HPP
#define FESCUEVANE_BENCH_CONTROL_RIG_HPP

#include "core/core.hpp"
#include "state/state.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fescuevane::bench
{

class control_rig
{
public:
    // Runs until the process owns the only shard of its domain.
    explicit control_rig(std::uint32_t peers);

    void   post(state::event input);
    double step(std::int64_t micros); // processor time of the tick
    // Ticks of 20 ms with heartbeats each 200 ms.
    double        run(std::int64_t millis);
    void          post_heartbeats();
    void          file_ticket(std::string const& text); // entries, no number
    bool          owns_shard() const { return owned_; }
    std::uint64_t accepted() const { return accepted_; } // tickets
    std::uint64_t recorded() const { return recorded_; } // journal rows

    static shard_id home_shard() { return {domain_id("d0"), 0}; }

private:
    struct cell
    {
        std::string   value_;
        std::uint64_t revision_ = 0;
        bool          removed_ = false;
    };

    void note(state::command const& told);
    void answer(state::read_rows const& request);
    void answer(state::commit_rows const& request);

    instant                     now_ = instant(10 * micros_per_second);
    state::control_ptr          control_;
    std::uint32_t const         peers_;
    std::map<std::string, cell> cells_;
    std::uint64_t               revision_ = 0;
    std::uint64_t               tickets_ = 0; // filed
    std::uint64_t               accepted_ = 0;
    std::uint64_t               recorded_ = 0;
    bool                        owned_ = false;
    std::int64_t                since_heartbeat_ = 0;
};

} // namespace fescuevane::bench

#endif
