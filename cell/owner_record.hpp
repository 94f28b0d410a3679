// Purpose: contents of the stored row of a shard's owner.
#ifndef FESCUEVANE_CELL_OWNER_RECORD_HPP
#define FESCUEVANE_CELL_OWNER_RECORD_HPP

#include "core/ids.hpp"

#include <cstdint>
#include <string>

namespace fescuevane::cell
{

struct owner_record
{
    host_id       host_;
    std::uint64_t incarnation_ = 0;
    std::string   address_;
    epoch         epoch_ = 0;
    bool          released_ = false;
    host_id       successor_;
    // No earlier owner renews leases on targets of the shard. False in rows of
    // earlier versions, which don't tell.
    bool exclusive_ = false;
    // No stop that this or an earlier owner ordered is in progress. False in
    // rows of earlier versions, which don't tell.
    bool stops_over_ = false;

    friend bool operator==(owner_record const&, owner_record const&) = default;
};

} // namespace fescuevane::cell

#endif
