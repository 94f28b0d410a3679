// Purpose: row of a shard that this host owns or takes over.
#ifndef FESCUEVANE_CELL_OWNED_ROW_HPP
#define FESCUEVANE_CELL_OWNED_ROW_HPP

#include "cell/grant_ledger.hpp"
#include "cell/journal_part.hpp"
#include "cell/owned_phase.hpp"
#include "cell/run_time_ledger.hpp"
#include "cell/store_transact.hpp"
#include "core/ids.hpp"
#include "core/instant.hpp"
#include "plan/plan.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace fescuevane::cell
{

struct owned_row
{
    owned_phase   phase_ = owned_phase::claiming;
    epoch         epoch_ = 0;
    host_id       predecessor_;
    std::uint64_t predecessor_incarnation_ = 0;
    // It released the shard, is this host, or its host runs a new process.
    bool    predecessor_stopped_ = false;
    bool    predecessor_exclusive_ = false;      // no owner before it was left
    bool    predecessor_stops_over_ = false;     // see owner_record
    instant exclusive_since_ = instant::never(); // no other owner renews leases
    // When the latest successful write on condition of its row was sent.
    instant                   proven_at_;
    plan::planner_ptr         planner_;
    std::vector<journal_part> parts_;
    std::uint64_t             request_ = 0; // writes the owner row, 0: none
    bool                      plan_needed_ = false;
    instant                   plan_after_; // next tick of the planner
    std::uint32_t advice_limit_ = 0;       // of long requests; 0: not set yet
    std::uint32_t most_requests_ = 0;   // long ones in flight since the count
    std::uint32_t wanted_requests_ = 0; // long ones, at the latest count
    bool          releasing_ = false;
    bool release_unconfirmed_ = false; // without a reply, may take effect

    grant_ledger     grants_;
    run_time_ledger  run_times_;
    bool             targets_known_ = false; // all reached or given up
    std::set<job_id> withdrawn_; // canceled before they were submitted

    // Divided limits
    bool          allotments_loaded_ = false;
    std::string   allotments_from_;       // next key to read
    std::uint64_t allotment_request_ = 0; // in flight, 0: none
    instant       transfer_at_;           // next search for transfers
    std::shared_ptr<store_transact const> transfer_; // open one, null: none
    // Own parts after the open transfer.
    std::map<organisation_id, std::int64_t> remaining_parts_;
    // Limits of organisations that have jobs in the shard and are no longer
    // configured: those under which their latest jobs were accepted.
    std::map<organisation_id, resources> removed_limits_;
};

} // namespace fescuevane::cell

#endif
