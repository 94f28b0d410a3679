// Purpose: addresses in rows of the store as each host sees them.
#ifndef FESCUEVANE_TESTS_SOAK_ADDRESS_VIEWS_HPP
#define FESCUEVANE_TESTS_SOAK_ADDRESS_VIEWS_HPP

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

namespace fescuevane::soak
{

// Replaces addresses of targets and of other hosts below `network` (such as
// "127.16.1.") by those of the host's links to them; no host: by the addresses
// themselves.
std::string view_addresses(std::string const& text, std::string const& network,
                           std::optional<int> host);

// The same for the values, in base64, of a list of rows.
void view_rows(nlohmann::json& rows, std::string const& network,
               std::optional<int> host);

} // namespace fescuevane::soak

#endif
