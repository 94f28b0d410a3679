// Purpose: reading of fields of replies, which may be absent.
#ifndef FESCUEVANE_CTL_FIELDS_HPP
#define FESCUEVANE_CTL_FIELDS_HPP

#include "ctl/json.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace fescuevane::ctl
{

// The field as text or number; empty, 0 or an empty list when it is absent or
// of another type, so that a malformed reply never ends the program.
std::string              read_text(json const& object, char const* field);
std::uint64_t            read_number(json const& object, char const* field);
std::vector<std::string> read_texts(json const& object, char const* field);

// The list in `field`; an empty one when it is absent.
json read_list(json const& object, char const* field);

// The object in `field`; an empty one when it is absent.
json read_object(json const& object, char const* field);

} // namespace fescuevane::ctl

#endif
