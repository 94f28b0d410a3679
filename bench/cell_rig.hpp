// Purpose: one node with a store, targets and another owner in memory, in
// simulated time.
#ifndef FESCUEVANE_BENCH_CELL_RIG_HPP
#define FESCUEVANE_BENCH_CELL_RIG_HPP

#include "bench/cell_size.hpp"
#include "bench/system_meter.hpp"
#include "bench/target_model.hpp"
#include "cell/cell.hpp"
#include "cell/row_key.hpp"
#include "cell/stored_row.hpp"
#include "core/instant.hpp"
#include "core/table.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace fescuevane::bench
{

// Ticks follow events as they do in a process: at once, and at most one each
// 4 ms. The node owns the shard of its failure domain; another host owns the
// other shard, whose jobs open calls ask for.
class cell_rig
{
public:
    explicit cell_rig(cell_size const& size);

    void                run(std::int64_t micros);
    system_meter const& meter() const { return meter_; }
    void                clear_meter() { meter_ = system_meter(); }
    std::uint64_t       starts() const { return starts_; }

private:
    void later(std::int64_t micros, std::function<void()> work);
    void post(cell::event input);
    void tick();
    void carry_out(cell::command const& order);
    void list_targets();
    void tell_other_owner();
    void submit_job();
    void look_up(std::uint32_t index);
    void end_run(target_id const& target, run_key const& run);
    void answer_hold(target_id const& target);
    void answer_write(cell::store_transact const& write);
    void answer_read(cell::store_read const& read);

    cell_size const                               size_;
    cell::settings                                settings_;
    instant                                       now_;
    cell::node_ptr                                node_;
    system_meter                                  meter_;
    std::multimap<instant, std::function<void()>> work_;
    instant                                       tick_at_;
    instant                                       ticked_at_;
    std::map<cell::row_key, cell::stored_row>     rows_;
    revision                                      revision_ = 0;
    table<target_id, target_model>                targets_;
    std::map<std::uint64_t, std::uint32_t>        lookups_; // by call
    std::uint64_t                                 last_call_ = 0;
    std::uint64_t                                 last_job_ = 0;
    std::uint64_t                                 starts_ = 0;
};

} // namespace fescuevane::bench

#endif
