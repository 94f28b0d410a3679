// Purpose: addresses of a run of the soak.
#ifndef FESCUEVANE_TESTS_SOAK_LAYOUT_HPP
#define FESCUEVANE_TESTS_SOAK_LAYOUT_HPP

#include <charconv>
#include <cstddef>
#include <optional>
#include <string>

namespace fescuevane::soak
{

// Each run has a network of its own below 127.0.0.0/8, so that runs on one
// machine don't meet.
class layout
{
public:
    static constexpr int peer_port = 7420;
    static constexpr int target_port = 8080;
    static constexpr int max_hosts = 40;
    // Added to a port, with the caller's number: the caller's own link there.
    static constexpr int link_port = 10'000;

    explicit layout(int run) : run_(run) {}

    std::string host(int host) const { return make(first_host + host); }
    std::string front(int number) const { return host(number) + ":8183"; }
    std::string ready(int number) const { return host(number) + ":8184"; }
    std::string store() const { return make(2) + ":8182"; }
    std::string store_control() const { return make(2) + ":8190"; }
    std::string target(int target) const
    {
        return make(100 + target) + ":" + std::to_string(target_port);
    }
    std::string peer(int number) const
    {
        return host(number) + ":" + std::to_string(peer_port);
    }
    std::string target_control() const { return make(3) + ":8190"; }
    std::string relay_control() const { return make(4) + ":8190"; }

    // The store as the host reaches it, through the relay.
    std::string store_link(int host) const { return make(50 + host) + ":8182"; }

    // A target or host, `address`, as the host reaches it through the relay.
    static std::string link_of(int host, std::string const& address)
    {
        std::size_t const colon = address.rfind(':');
        int const         port = std::stoi(address.substr(colon + 1));
        return address.substr(0, colon + 1) +
               std::to_string(port + link_port + host);
    }

    // The host that calls from an IP, as the relay shows it.
    static std::optional<int> find_host(std::string const& caller)
    {
        int         last = 0;
        char const* end = caller.data() + caller.size();
        std::from_chars(caller.data() + caller.rfind('.') + 1, end, last);
        return last >= first_host && last < first_host + max_hosts
                   ? std::optional(last - first_host)
                   : std::nullopt;
    }

private:
    static constexpr int first_host = 10;

    std::string make(int last) const
    {
        constexpr int runs = 250; // of one second octet
        constexpr int first = 16;
        return "127." + std::to_string(first + run_ / runs % 200) + "." +
               std::to_string(1 + run_ % runs) + "." + std::to_string(last);
    }

    int const run_;
};

} // namespace fescuevane::soak

#endif
