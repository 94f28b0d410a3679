// Purpose: row of an offered job: tasks that another shard may hand over.
#ifndef FESCUEVANE_PLAN_OFFER_ROW_HPP
#define FESCUEVANE_PLAN_OFFER_ROW_HPP

#include "core/instant.hpp"
#include "core/stage_key.hpp"

namespace fescuevane::plan
{

struct offer_row
{
    stage_key origin_;    // key of the stage at its original shard
    instant   answer_by_; // deadline of the reply, complete or not
    instant
         forget_at_; // end of the row; later offers reuse its advice until then
    bool answered_ = false;
};

} // namespace fescuevane::plan

#endif
