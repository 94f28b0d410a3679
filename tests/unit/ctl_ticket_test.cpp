// Purpose: tests of tickets, and of drain and return.
#include "ctl/ctl_error.hpp"
#include "ctl/domain_ticket.hpp"
#include "tests/unit/ctl_fixture.hpp"

#include <doctest/doctest.h>
#include <unistd.h>
#include <cstdio>
#include <fstream>

namespace fescuevane::ctl
{
namespace
{

constexpr char const* config_text = R"({"accepted":6,"committed":7,"config":{
    "failure_domains":[
        {"id":"amman-a","in_service":true,"on_cut_off":"stop",
         "stop_after_ms":5000},
        {"id":"amman-b","in_service":true,"on_cut_off":"serve",
         "stop_after_ms":0}]}})";
constexpr char const* accepted_text =
    R"({"number":8,"stage":"accepted","missing":[],"reason":""})";
constexpr char const* conflict_text =
    R"({"number":8,"stage":"conflicting","missing":[],"reason":"taken"})";

// Guards against a drain that reuses a number or resets the other fields of
// the failure domain.
TEST_CASE("domain ticket, config in force, changes only in_service")
{
    json const ticket =
        build_domain_ticket(json::parse(config_text), "amman-a", false, "ops");
    CHECK(ticket == json::parse(R"({"number":8,"author":"ops",
        "failure_domains":[{"id":"amman-a","in_service":false,
        "on_cut_off":"stop","stop_after_ms":5000}]})"));
}

// Guards against a misspelt name that adds a new failure domain.
TEST_CASE("domain ticket, unknown failure domain, throws")
{
    CHECK_THROWS_AS(
        build_domain_ticket(json::parse(config_text), "amman-z", false, "ops"),
        ctl_error);
}

// Guards against a return that leaves the domain out of service.
TEST_CASE_FIXTURE(ctl_fixture, "return, accepted, files in_service and number")
{
    replies_ = {{200, config_text}, {200, accepted_text}};
    CHECK(run({"return", "amman-b"}) == 0);
    json const ticket = json::parse(calls_.at(1).body_);
    CHECK(ticket.at("failure_domains")[0].at("in_service") == true);
    CHECK(output_.str().find('8') != std::string::npos);
}

// Guards against a drain that is lost in a race of two operators.
TEST_CASE_FIXTURE(ctl_fixture, "drain, number conflict, files the next number")
{
    std::string later = config_text;
    later.replace(later.find("\"committed\":7"), 13, "\"committed\":8");
    replies_ = {{200, config_text},
                {409, conflict_text},
                {200, later},
                {200, R"({"number":9,"stage":"accepted","missing":[]})"}};
    CHECK(run({"drain", "amman-a"}) == 0);
    REQUIRE(calls_.size() == 4);
    CHECK(json::parse(calls_[1].body_).at("number") == 8);
    CHECK(json::parse(calls_[3].body_).at("number") == 9);
}

// Guards against retries without an upper bound.
TEST_CASE_FIXTURE(ctl_fixture, "drain, conflicts only, stops at its attempts")
{
    replies_ = {{200, config_text},
                {409, conflict_text},
                {200, config_text},
                {409, conflict_text}};
    CHECK(run({"drain", "amman-a", "--attempts", "2"}) == 7);
    CHECK(calls_.size() == 4);
}

struct ticket_file_fixture : ctl_fixture
{
    ticket_file_fixture() { std::ofstream(path_) << R"({"number":8})"; }
    ~ticket_file_fixture() { std::remove(path_.c_str()); }

    std::string const path_ =
        "ctl_ticket_test." + std::to_string(getpid()) + ".json";
};

// Guards against operators who can't see which failure domain is missing.
TEST_CASE_FIXTURE(ticket_file_fixture,
                  "ticket file, domain missing at first, tells it and waits")
{
    replies_ = {
        {202, R"({"number":8,"stage":"committed","missing":["amman-c"]})"},
        {200, accepted_text}};
    CHECK(run({"ticket", "file", path_}) == 0);
    CHECK(errors_.str().find("missing failure domains: amman-c") !=
          std::string::npos);
}

// Guards against a wait for acceptance without an upper bound.
TEST_CASE_FIXTURE(ticket_file_fixture,
                  "ticket file, domain stays missing, times out and tells it")
{
    replies_ = {
        {202, R"({"number":8,"stage":"committed","missing":["amman-c"]})"}};
    CHECK(run({"--timeout", "1.4", "ticket", "file", path_}) == 5);
    CHECK(output_.str().find("amman-c") != std::string::npos);
}

// Guards against a file that isn't JSON and is sent all the same.
TEST_CASE_FIXTURE(ctl_fixture, "ticket file, file is missing, sends nothing")
{
    CHECK(run({"ticket", "file", "no-such-file.json"}) == 2);
    CHECK(calls_.empty());
}

} // namespace
} // namespace fescuevane::ctl
