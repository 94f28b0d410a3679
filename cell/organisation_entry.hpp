// Purpose: an organisation and its API keys.
#ifndef FESCUEVANE_CELL_ORGANISATION_ENTRY_HPP
#define FESCUEVANE_CELL_ORGANISATION_ENTRY_HPP

#include "core/organisation_share.hpp"

#include <string>
#include <vector>

namespace fescuevane::cell
{

struct organisation_entry
{
    organisation_share       share_;
    std::vector<std::string> keys_;

    friend bool operator==(organisation_entry const&,
                           organisation_entry const&) = default;
};

} // namespace fescuevane::cell

#endif
