// Purpose: how targets are chosen for one kind of work.
#ifndef FESCUEVANE_DECIDE_PLACEMENT_POLICY_HPP
#define FESCUEVANE_DECIDE_PLACEMENT_POLICY_HPP

#include "core/work_kind.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace fescuevane
{
class resources;
struct task_key;
} // namespace fescuevane

namespace fescuevane::decide
{

struct scheduler;

// Strategy of one kind of work. Costs compare targets on which the amount
// fits; the lowest one wins.
struct placement_policy
{
    std::string_view const name_;
    std::uint32_t const    lookahead_ = 1;     // queue entries tried a round
    bool const             whole_job_ = false; // all tasks or none
    bool const             backfills_ = false; // may use held targets
    std::size_t (*const find_origin_)(scheduler const&, task_key const&);
    double (*const compute_cost_)(scheduler const&, std::size_t job,
                                  std::size_t target, resources const& amount);
};

placement_policy const& find_policy(work_kind kind);

} // namespace fescuevane::decide

#endif
