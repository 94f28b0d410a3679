// Purpose: checks and splits "IP:port" addresses.
#ifndef FESCUEVANE_ENTRY_SETTINGS_ADDRESS_HPP
#define FESCUEVANE_ENTRY_SETTINGS_ADDRESS_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace fescuevane::entry
{

// IP and port of "127.0.0.1:80" or "[::1]:80"; no value for other text. Names
// of hosts are not accepted, because processes connect by IP address.
std::optional<std::pair<std::string, std::uint16_t>>
split_address(std::string const& text);

} // namespace fescuevane::entry

#endif
