// Purpose: what an owner reports of a shard in its heartbeat.
#ifndef FESCUEVANE_ENTRY_SHARD_REPORT_HPP
#define FESCUEVANE_ENTRY_SHARD_REPORT_HPP

#include "core/ids.hpp"
#include "core/shard_id.hpp"

#include <cstdint>

namespace fescuevane::entry
{

struct shard_report
{
    shard_id const      shard_;
    epoch const         epoch_ = 0;
    bool const          ready_ = false; // takes work
    std::uint64_t const queued_tasks_ = 0;
    std::uint64_t const free_slots_ = 0;

    friend bool operator==(shard_report const&, shard_report const&) = default;
};

} // namespace fescuevane::entry

#endif
