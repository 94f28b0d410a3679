// Purpose: tests of the addresses that each host reads from the store stand-in.
#include "tests/soak/address_views.hpp"
#include "tests/soak/layout.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace fescuevane::soak
{
namespace
{

class address_fixture
{
protected:
    std::string view(std::string const& text, std::optional<int> host) const
    {
        return view_addresses(text, "127.16.8.", host);
    }

    layout const layout_{7}; // 127.16.8.x
};

// Guards against hosts that share a link, which no cut could tell apart.
TEST_CASE_FIXTURE(address_fixture,
                  "view, addresses of others, are links of the host alone")
{
    std::string const text = R"({"a":")" + layout_.target(0) + R"(","b":")" +
                             layout_.peer(1) + "\"}";
    CHECK(view(text, 2) ==
          R"({"a":"127.16.8.100:18082","b":"127.16.8.11:17422"})");
    CHECK(view(text, 3) != view(text, 2));
    CHECK(layout::link_of(2, layout_.target(0)) == "127.16.8.100:18082");
}

// Guards against a host that reaches itself through a relay.
TEST_CASE_FIXTURE(address_fixture, "view, its own address, stays")
{
    CHECK(view(layout_.peer(2), 2) == layout_.peer(2));
}

// Guards against links of one host in rows that another one reads.
TEST_CASE_FIXTURE(address_fixture,
                  "view, a row written with links, has the addresses again")
{
    std::string const text =
        layout_.target(11) + " " + layout_.peer(0) + " 127.16.8.x";
    CHECK(view(view(text, 5), std::nullopt) == text);
    CHECK(view(view(text, 5), 1) == view(text, 1));
}

TEST_CASE_FIXTURE(address_fixture, "view, other text, stays")
{
    for (char const* const text :
         {"", "127.16.8.", "127.16.8.10", "127.16.8.10:", "127.16.9.10:7420",
          "127.16.8.2:8182"})
    {
        CHECK(view(text, 1) == text);
    }
}

TEST_CASE_FIXTURE(address_fixture, "host, its IP as the caller, is found")
{
    CHECK(layout::find_host(layout_.host(5)) == 5);
    CHECK_FALSE(layout::find_host("127.0.0.1"));
    CHECK_FALSE(layout::find_host(""));
}

TEST_CASE_FIXTURE(address_fixture, "view_rows, values in base64, are replaced")
{
    // "127.16.8.100:8080" and a removed row.
    nlohmann::json rows = {{{"value", "MTI3LjE2LjguMTAwOjgwODA="}},
                           {{"tombstone", true}}};
    view_rows(rows, "127.16.8.", 0);
    CHECK(rows[0].at("value") == "MTI3LjE2LjguMTAwOjE4MDgw");
    CHECK(rows[1].size() == 1);
}

} // namespace
} // namespace fescuevane::soak
