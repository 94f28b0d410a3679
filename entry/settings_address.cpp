// Purpose: checks and splits "IP:port" addresses.
#include "entry/settings_address.hpp"

#include <gio/gio.h>
#include <charconv>

namespace fescuevane::entry
{

std::optional<std::pair<std::string, std::uint16_t>>
split_address(std::string const& text)
{
    std::size_t const colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
    {
        return std::nullopt;
    }
    std::string ip = text.substr(0, colon);
    if (ip.front() == '[' && ip.back() == ']')
    {
        ip = ip.substr(1, ip.size() - 2);
    }
    else if (ip.find(':') != std::string::npos)
    {
        return std::nullopt;
    }
    std::uint16_t     port = 0;
    char const* const last = text.data() + text.size();
    auto const [end, error] =
        std::from_chars(text.data() + colon + 1, last, port);
    if (error != std::errc() || end != last ||
        g_hostname_is_ip_address(ip.c_str()) == FALSE)
    {
        return std::nullopt;
    }
    return std::pair(std::move(ip), port);
}

} // namespace fescuevane::entry
