// Purpose: addresses in rows of the store as each host sees them. All hosts
// read the same rows, and each has links of its own to targets and hosts.
#include "tests/soak/address_views.hpp"

#include "tests/soak/layout.hpp"

#include <glib.h>
#include <nlohmann/json.hpp>
#include <algorithm>
#include <cstdlib>

namespace fescuevane::soak
{
namespace
{

int find_own_port(int port)
{
    for (int const own : {layout::peer_port, layout::target_port})
    {
        int const first = own + layout::link_port;
        if (first <= port && port < first + layout::max_hosts)
        {
            return own;
        }
    }
    return port;
}

std::string view_address(std::string const& ip, int port,
                         std::optional<int> host)
{
    int const         own = find_own_port(port);
    std::string const address = ip + ":" + std::to_string(own);
    bool const        is_linked =
        own == layout::target_port ||
        (own == layout::peer_port && layout::find_host(ip) != host);
    return host && is_linked ? layout::link_of(*host, address) : address;
}

} // namespace

std::string view_addresses(std::string const& text, std::string const& network,
                           std::optional<int> host)
{
    constexpr char const* digits = "0123456789";
    std::string           result;
    std::size_t           done = 0;
    for (std::size_t at = text.find(network); at != std::string::npos;
         at = text.find(network, done))
    {
        std::size_t const colon =
            text.find_first_not_of(digits, at + network.size());
        result.append(text, done, at - done);
        if (colon == std::string::npos || text[colon] != ':' ||
            text.find_first_of(digits, colon) != colon + 1)
        {
            result += network;
            done = at + network.size();
            continue;
        }
        std::size_t const end =
            std::min(text.find_first_not_of(digits, colon + 1), text.size());
        result += view_address(
            text.substr(at, colon - at),
            std::atoi(text.substr(colon + 1, end - colon - 1).c_str()), host);
        done = end;
    }
    return result.append(text, done);
}

void view_rows(nlohmann::json& rows, std::string const& network,
               std::optional<int> host)
{
    for (nlohmann::json& row : rows)
    {
        if (!row.contains("value"))
        {
            continue;
        }
        gsize         size = 0;
        guchar* const bytes = g_base64_decode(
            row.at("value").get_ref<std::string const&>().c_str(), &size);
        std::string const text(reinterpret_cast<char const*>(bytes), size);
        g_free(bytes);
        std::string const view = view_addresses(text, network, host);
        if (view != text)
        {
            gchar* const value = g_base64_encode(
                reinterpret_cast<guchar const*>(view.data()), view.size());
            row["value"] = value;
            g_free(value);
        }
    }
}

} // namespace fescuevane::soak
