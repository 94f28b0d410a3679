// Purpose: row of an offered job: tasks of another shard that may move here.
#ifndef FESCUEVANE_PLAN_OFFER_ROW_HPP
#define FESCUEVANE_PLAN_OFFER_ROW_HPP

#include "core/instant.hpp"
#include "core/stage_key.hpp"

namespace fescuevane::plan
{

struct offer_row
{
    stage_key origin_;    // of the tasks, by its original name
    instant   answer_by_; // with what is known then
    instant   forget_at_; // what was learnt serves later offers until then
    bool      answered_ = false;
};

} // namespace fescuevane::plan

#endif
