// Purpose: encoding of the rows that a cell keeps in the store.
#ifndef FESCUEVANE_CELL_RECORDS_HPP
#define FESCUEVANE_CELL_RECORDS_HPP

#include "cell/allotment_record.hpp"
#include "cell/grant_ledger.hpp"
#include "cell/host_record.hpp"
#include "cell/job_record.hpp"
#include "cell/layout_record.hpp"
#include "cell/owner_record.hpp"
#include "cell/row_key.hpp"
#include "plan/run_time_row.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace fescuevane::cell
{

// The read functions throw `record_error` when the text isn't a valid row.
std::string  write_host(host_record const& record);
host_record  read_host(std::string const& text);
std::string  write_owner(owner_record const& record);
owner_record read_owner(std::string const& text);

std::string   write_layout(layout_record const& record);
layout_record read_layout(std::string const& text);

std::string      write_allotment(allotment_record const& record);
allotment_record read_allotment(std::string const& text);

std::string     write_grants(granted_targets const& targets);
granted_targets read_grants(std::string const& text);

// Rows beyond `max_bytes` are left out, those with the oldest samples first.
std::string write_run_times(std::vector<plan::run_time_row> const& rows,
                            std::size_t                            max_bytes);
std::vector<plan::run_time_row> read_run_times(std::string const& text);

// The specification of a job never changes, so its encoded text is kept and
// joined with the progress. Checkpoints that don't fit in `max_bytes` are left
// out; nothing else is, so the text may be longer.
std::string write_spec(staged_job const& job);
std::string write_job(shard_id const& shard, std::string const& spec_text,
                      job_progress const& progress,
                      std::size_t         max_bytes = std::string::npos);
job_record  read_job(std::string const& text);
// False when the text certainly belongs to a job of another shard. Checks only
// the first field, which costs much less than parsing the whole text.
bool may_belong(std::string const& text, shard_id const& shard);
std::shared_ptr<staged_job const> read_spec(std::string const& text);

// Key of the row of a shard in one part; it fences the rows of the shard's jobs
// there.
row_key write_fence_key(shard_id const& shard, std::uint32_t part);

std::string write_shard_name(shard_id const& shard); // domain.index
shard_id    read_shard_name(std::string const& text);

} // namespace fescuevane::cell

#endif
