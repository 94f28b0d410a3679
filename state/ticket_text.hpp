// Purpose: the text forms of tickets and configurations. Internal to the
// package.
#ifndef FESCUEVANE_STATE_TICKET_TEXT_HPP
#define FESCUEVANE_STATE_TICKET_TEXT_HPP

#include "core/ids.hpp"

#include <string>
#include <string_view>

namespace fescuevane::state
{

struct config;

// The form of a row: as filed, with "key_hashes" in place of "keys". Throws
// `ticket_error` when the text isn't a JSON object with a number.
std::string   write_stored_ticket(std::string_view filed);
ticket_number read_ticket_number(std::string_view text);

// Like `apply_ticket`, for the stored form.
config apply_stored_ticket(config const& base, std::string_view text);

// The inverse of `write_config`. Throws `ticket_error`.
config read_config(std::string_view text);

} // namespace fescuevane::state

#endif
