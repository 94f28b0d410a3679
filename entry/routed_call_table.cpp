// Purpose: rows of the table of open calls.
#include "entry/routed_call_table.hpp"

#include <utility>

namespace fescuevane::entry
{

std::size_t append_routed_call(routed_call_table& table, std::uint64_t call,
                               routed_call_kind kind, job_key const& job,
                               std::shared_ptr<job_spec const> spec,
                               instant opened, instant wait_deadline)
{
    std::size_t const row = table.index_.append(call);
    table.kind_.append(kind);
    table.spec_.append(std::move(spec));
    table.job_.append(job);
    table.order_.append({});
    table.position_.append(0);
    table.sent_to_.append(host_id());
    table.sent_epoch_.append(0);
    table.may_be_known_.append(0);
    table.uncertain_.append(0);
    table.opened_.append(opened);
    table.resend_deadline_.append(instant::never());
    table.wait_deadline_.append(wait_deadline);
    table.last_.append(nullptr);
    return row;
}

void remove_routed_call(routed_call_table& table, std::size_t row)
{
    table.index_.remove_by_moving_last(row);
    table.kind_.remove_by_moving_last(row);
    table.spec_.remove_by_moving_last(row);
    table.job_.remove_by_moving_last(row);
    table.order_.remove_by_moving_last(row);
    table.position_.remove_by_moving_last(row);
    table.sent_to_.remove_by_moving_last(row);
    table.sent_epoch_.remove_by_moving_last(row);
    table.may_be_known_.remove_by_moving_last(row);
    table.uncertain_.remove_by_moving_last(row);
    table.opened_.remove_by_moving_last(row);
    table.resend_deadline_.remove_by_moving_last(row);
    table.wait_deadline_.remove_by_moving_last(row);
    table.last_.remove_by_moving_last(row);
}

} // namespace fescuevane::entry
