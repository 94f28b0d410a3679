// Purpose: addresses of a run of the soak.
#ifndef FESCUEVANE_TESTS_SOAK_LAYOUT_HPP
#define FESCUEVANE_TESTS_SOAK_LAYOUT_HPP

#include <string>

namespace fescuevane::soak
{

// Each run has a network of its own below 127.0.0.0/8, so that runs on one
// machine don't meet.
class layout
{
public:
    explicit layout(int run) : run_(run) {}

    std::string host(int host) const { return make(10 + host); }
    std::string front(int number) const { return host(number) + ":8183"; }
    std::string ready(int number) const { return host(number) + ":8184"; }
    std::string store() const { return make(2) + ":8182"; }
    std::string store_control() const { return make(2) + ":8190"; }
    std::string target(int target) const
    {
        return make(100 + target) + ":8080";
    }
    std::string target_control() const { return make(3) + ":8190"; }
    std::string relay_control() const { return make(4) + ":8190"; }

    // The store as the host reaches it, through the relay.
    std::string store_link(int host) const { return make(50 + host) + ":8182"; }

private:
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
