// Purpose: tests of the calls that commands send.
#include "ctl/json.hpp"
#include "tests/unit/ctl_fixture.hpp"

#include <doctest/doctest.h>

namespace fescuevane::ctl
{
namespace
{

constexpr char const* answered =
    R"({"id":"a","state":"answered","outcome":"succeeded"})";

// Guards against a retried submit that runs as a second job.
TEST_CASE_FIXTURE(ctl_fixture, "submit, no id given, sends a random one")
{
    replies_ = {{200, answered}};
    REQUIRE(run({"submit", "--service", "s"}) == 0);
    REQUIRE(run({"submit", "--service", "s"}) == 0);
    auto const first = json::parse(calls_.at(0).body_).at("id");
    auto const second = json::parse(calls_.at(1).body_).at("id");
    CHECK(first.get<std::string>().size() > 16);
    CHECK(first != second);
}

// Guards against a job that can't be looked up after its reply was lost.
TEST_CASE_FIXTURE(ctl_fixture, "submit, reply can't be read, tells the id")
{
    replies_ = {{200, "cut o"}};
    CHECK(run({"submit", "--service", "s"}) == 4);
    auto const id = json::parse(calls_.at(0).body_).at("id");
    CHECK(errors_.str().find(id.get<std::string>()) != std::string::npos);
}

// Guards against job fields that don't reach the server, and against defaults
// that override those of the server.
TEST_CASE_FIXTURE(ctl_fixture, "submit, some fields given, sends only those")
{
    replies_ = {{200, answered}};
    run({"submit", "--service", "s", "--id", "a", "--tasks", "2"});
    CHECK(
        json::parse(calls_.at(0).body_) ==
        json::parse(R"({"id":"a","service":"s","tasks":2,"idempotent":true})"));
}

// Guards against --wait that returns before the job has ended.
TEST_CASE_FIXTURE(ctl_fixture, "submit, wait and a queued job, follows it")
{
    replies_ = {{202, R"({"id":"a","state":"queued"})"},
                {202, R"({"id":"a","state":"running"})"},
                {200, answered}};
    CHECK(run({"submit", "--service", "s", "--id", "a/b", "--wait"}) == 0);
    REQUIRE(calls_.size() == 3);
    CHECK(calls_[2].method_ == "GET");
    CHECK(output_.str().find("answered") != std::string::npos);
}

// Guards against a wait without an upper bound.
TEST_CASE_FIXTURE(ctl_fixture, "wait, job that never ends, times out")
{
    replies_ = {{202, R"({"id":"a","state":"running"})"}};
    CHECK(run({"--timeout", "0.3", "wait", "a"}) == 5);
}

// Guards against an outage of one entry process that stops callers.
TEST_CASE_FIXTURE(ctl_fixture,
                  "submit, first server refuses, goes to the next one")
{
    replies_ = {{200, answered}};
    CHECK(run_bare({"--server", find_closed_address(), "--server",
                    find_address(), "submit", "--service", "s"}) == 0);
    CHECK(calls_.size() == 1);
}

// Guards against a call that isn't safe to repeat and is sent twice.
TEST_CASE_FIXTURE(ctl_fixture, "cancel, first server refuses, gives up")
{
    CHECK(run_bare({"--server", find_closed_address(), "--server",
                    find_address(), "cancel", "a"}) == 5);
    CHECK(calls_.empty());
}

// Guards against calls that can't be found in the trace files.
TEST_CASE_FIXTURE(ctl_fixture, "call, verbose, sends and prints a traceparent")
{
    run({"--verbose", "teams"});
    std::string const trace = calls_.at(0).traceparent_;
    CHECK(trace.size() == 55);
    CHECK(trace.substr(0, 3) == "00-");
    CHECK(errors_.str().find(trace) != std::string::npos);
}

// Guards against tickets that are filed with the key of a team.
TEST_CASE_FIXTURE(ctl_fixture, "call, both keys given, sends the fitting one")
{
    std::vector<std::string> const keys = {"--key", "k", "--operator-key", "o"};
    auto const with = [&](std::vector<std::string> arguments)
    {
        arguments.insert(arguments.begin(), keys.begin(), keys.end());
        run(arguments);
        return calls_.back().key_;
    };
    CHECK(with({"lookup", "a"}) == "k");
    CHECK(with({"config"}) == "o");
    CHECK(with({"teams"}) == "o");
}

// Guards against load that exceeds its bound or loses calls.
TEST_CASE_FIXTURE(ctl_fixture, "load, answering server, counts every call")
{
    replies_ = {{200, answered}};
    CHECK(run({"--output", "json", "load", "--service", "s", "--rate", "100",
               "--seconds", "0.2", "--concurrency", "4"}) == 0);
    json const summary = json::parse(output_.str());
    CHECK(summary.at("planned") == 20);
    CHECK(summary.at("sent") == 20);
    CHECK(summary.at("states").at("answered") == 20);
    CHECK(calls_.size() == 20);
}

// Guards against load that goes to one server only.
TEST_CASE_FIXTURE(ctl_fixture, "load, one of two servers refuses, halves")
{
    replies_ = {{200, answered}};
    CHECK(run({"--output", "json", "--server", find_closed_address(), "load",
               "--service", "s", "--rate", "100", "--seconds", "0.1"}) == 1);
    json const summary = json::parse(output_.str());
    CHECK(summary.at("states").at("answered") == 5);
    CHECK(summary.at("states").at("no connection") == 5);
}

// Guards against load without an upper bound.
TEST_CASE_FIXTURE(ctl_fixture, "load, too many calls, is a usage error")
{
    CHECK(run({"load", "--service", "s", "--rate", "100000", "--seconds",
               "3600"}) == 2);
    CHECK(calls_.empty());
}

} // namespace
} // namespace fescuevane::ctl
