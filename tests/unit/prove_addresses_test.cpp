// Purpose: tests of the addresses of a cell under test.
#include "tests/prove/free_addresses.hpp"

#include <doctest/doctest.h>

#include <fstream>
#include <set>
#include <string>

namespace fescuevane::prove
{
namespace
{

// As many as a cell uses, in its four parts.
struct addresses_fixture
{
    std::vector<std::string> found_;

    addresses_fixture()
    {
        for (std::size_t const part : {14, 12, 15, 3})
        {
            for (std::string const& address : find_addresses(part))
            {
                found_.push_back(address);
            }
        }
    }
};

// Guards against two processes of a cell that are told to listen on one port.
TEST_CASE_FIXTURE(addresses_fixture, "addresses, of several calls, all differ")
{
    CHECK(std::set<std::string>(found_.begin(), found_.end()).size() ==
          found_.size());
}

// Guards against a port that an outgoing connection takes before the process
// that it was chosen for binds it.
TEST_CASE_FIXTURE(addresses_fixture,
                  "addresses, of any call, are none of outgoing connections")
{
    std::ifstream file("/proc/sys/net/ipv4/ip_local_port_range");
    int           first = 0;
    int           last = 0;
    file >> first >> last;
    REQUIRE(first < last);
    for (std::string const& address : found_)
    {
        int const  port = std::stoi(address.substr(address.find(':') + 1));
        bool const outgoing = port >= first && port <= last;
        CHECK_FALSE(outgoing);
    }
}

} // namespace
} // namespace fescuevane::prove
