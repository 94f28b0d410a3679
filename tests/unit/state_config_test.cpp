// Purpose: tests of tickets as text and of configurations.
#include "state/config.hpp"
#include "state/state.hpp"
#include "state/ticket_error.hpp"
#include "state/ticket_text.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace fescuevane::state
{
namespace
{

struct config_fixture
{
    config const empty_{};

    // What `apply_ticket` says about a ticket with these fields.
    std::string find_error(std::string const& fields) const
    {
        try
        {
            apply_ticket(empty_, R"({"number":1,)" + fields + "}");
            return "";
        }
        catch (ticket_error const& error)
        {
            return error.what();
        }
    }

    config apply(config const& base, std::string const& fields) const
    {
        return apply_ticket(base, R"({"number":)" +
                                      std::to_string(base.number_ + 1) + "," +
                                      fields + "}");
    }
};

// Guards against mistakes in a ticket that take effect, and against errors
// that don't tell the operator where they are.
TEST_CASE_FIXTURE(config_fixture, "ticket, malformed, names place and rule")
{
    CHECK(find_error(R"("teams":[{"id":"a","share":0}])") ==
          "teams[0].share: expected an integer from 1 to 1000000");
    CHECK(find_error(R"("teams":[{"id":"a","share":"3"}])") ==
          "teams[0].share: expected an integer from 1 to 1000000");
    CHECK(find_error(R"("teams":[{"id":"a","share":1000001}])") != "");
    CHECK(find_error(R"("teams":[{"id":"a/b"}])") ==
          "teams[0].id: expected 1 to 64 characters of A-Z, a-z, 0-9, \"_\", "
          "\"-\" and \".\"");
    CHECK(find_error(R"("teams":[{"id":""}])") != "");
    CHECK(find_error(R"("teams":[{"id":"a"},{"id":"a"}])") ==
          "teams[1].id: expected an id that stands once");
    CHECK(find_error(R"("teams":[{"id":"a","keyz":[]}])") ==
          "teams[0]: expected no field \"keyz\"");
    CHECK(find_error(R"("teams":[{"id":"a","key_hashes":["x"]}])") != "");
    CHECK(find_error(
              R"("teams":[{"id":"a","limit":{"cpu_millis":-1,"memory_mib":0,
                 "accelerators":0}}])")
              .starts_with("teams[0].limit.cpu_millis: expected"));
    CHECK(find_error(R"("teams":[{"id":"a","limit":{"cpu_millis":1}}])") ==
          "teams[0].limit.memory_mib: expected a value, the field is missing");
    CHECK(find_error(R"("failure_domains":[{"id":"x"}])") ==
          "failure_domains[0].in_service: expected a value, the field is "
          "missing");
    CHECK(find_error(R"("failure_domains":[{"id":"x","in_service":1}])") != "");
    CHECK(find_error(R"("remove":{"teams":["nobody"]})") != "");
    CHECK(find_error(R"("teams":7)") == "teams: expected an array");
    CHECK(find_error(R"("unknown":7)") != "");
    CHECK(find_error(R"("author":"ops")") == "");
    CHECK_THROWS_AS(apply_ticket(empty_, "[1]"), ticket_error);
    CHECK_THROWS_AS(apply_ticket(empty_, "{"), ticket_error);
    CHECK_THROWS_AS(apply_ticket(empty_, R"({"number":2})"), ticket_error);
    CHECK_THROWS_AS(apply_ticket(empty_, R"({"number":-1})"), ticket_error);
}

// Guards against other exceptions than `ticket_error` for arbitrary input.
TEST_CASE_FIXTURE(config_fixture, "ticket, random text, throws ticket_error")
{
    bool const holds = rc::check(
        [this](std::string const& text)
        {
            RC_ASSERT_THROWS_AS(apply_ticket(empty_, text), ticket_error);
        });
    CHECK(holds);
}

// Guards against a configuration that changes on its way through a row.
TEST_CASE_FIXTURE(config_fixture, "config, written and read, is the same")
{
    config const value = apply(
        empty_,
        R"("teams":[{"id":"a","keys":["k"],"share":5,"limit":{"cpu_millis":1,
           "memory_mib":2,"accelerators":3}},{"id":"b"}],
           "failure_domains":[{"id":"x","in_service":false,
           "on_cut_off":"stop","stop_after_ms":7}],
           "services":[{"id":"s","open":true,"teams":["a"]}])");
    CHECK(read_config(write_config(value)) == value);
}

// Guards against a stored ticket that means something else than the filed one.
TEST_CASE_FIXTURE(config_fixture, "ticket, stored form, applies alike")
{
    std::string const text =
        R"({"number":1,"teams":[{"id":"a","keys":["k1","k2"]}]})";
    CHECK(apply_stored_ticket(empty_, write_stored_ticket(text)) ==
          apply_ticket(empty_, text));
}

// Guards against permissions that apply before acceptance.
TEST_CASE_FIXTURE(config_fixture,
                  "restriction, mixed changes, takes only what forbids")
{
    config const before =
        apply(empty_,
              R"("teams":[{"id":"a","keys":["k1","k2"],"share":2,"limit":
           {"cpu_millis":10,"memory_mib":10,"accelerators":0}},
           {"id":"gone","keys":["g"]}],
           "failure_domains":[{"id":"x","in_service":false}],
           "services":[{"id":"s","teams":["a","gone"]},{"id":"o","open":true}])");
    config const after =
        apply(before,
              R"("teams":[{"id":"a","keys":["k2","k3"],"share":9,"limit":
           {"cpu_millis":5,"memory_mib":20,"accelerators":0}},
           {"id":"new","keys":["n"]}],"remove":{"teams":["gone"]},
           "failure_domains":[{"id":"x","in_service":true},
           {"id":"y","in_service":false}],
           "services":[{"id":"s","teams":["new"]},{"id":"o","open":false}])");
    config const       value = restrict_config(before, after);
    team_config const& team = value.teams_.at(team_id("a"));
    CHECK(team.key_hashes_ == std::set<std::string>{hash_key("k2")});
    CHECK(team.limit_ == resources(5, 10, 0));
    CHECK(team.share_ == 2);
    CHECK(value.teams_.at(team_id("gone")).key_hashes_.empty());
    CHECK_FALSE(value.teams_.contains(team_id("new")));
    CHECK_FALSE(value.domains_.at(domain_id("x")).in_service_);
    CHECK_FALSE(value.domains_.at(domain_id("y")).in_service_);
    // No team is left on it: an empty set would admit all teams.
    CHECK_FALSE(value.services_.contains(service_id("s")));
    CHECK_FALSE(value.services_.at(service_id("o")).open_);
    CHECK(restrict_config(after, after) == after);
}

// Guards against a key that admits another team or to another service.
TEST_CASE_FIXTURE(config_fixture, "key, of another team, is not accepted")
{
    config const value = apply(
        empty_, R"("teams":[{"id":"a","keys":["ka"]},{"id":"b","keys":["kb"]}],
                   "services":[{"id":"s","teams":["a"]},{"id":"all"},
                   {"id":"open","open":true}])");
    team_id const    a("a");
    team_id const    b("b");
    service_id const s("s");
    CHECK(accepts_key(value, a, s, "ka"));
    CHECK_FALSE(accepts_key(value, a, s, "kb"));
    CHECK_FALSE(accepts_key(value, b, s, "kb"));
    CHECK(accepts_key(value, b, service_id("all"), "kb"));
    CHECK_FALSE(accepts_key(value, b, service_id("all"), ""));
    CHECK(accepts_key(value, b, service_id("open"), ""));
    CHECK_FALSE(accepts_key(value, a, service_id("none"), "ka"));
}

} // namespace
} // namespace fescuevane::state
