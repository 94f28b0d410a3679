// Purpose: tests of exit codes, from ratings and from whole runs.
#include "ctl/exit_code.hpp"
#include "tests/unit/ctl_fixture.hpp"

#include <doctest/doctest.h>

namespace fescuevane::ctl
{
namespace
{

struct run_case
{
    std::vector<std::string> arguments_;
    fake_reply               reply_;
    exit_code                code_;
};

std::vector<std::string> const submit = {"submit", "--service", "s"};
std::vector<std::string> const lookup = {"lookup", "a"};
std::vector<std::string> const cancel = {"cancel", "a"};
std::vector<std::string> const teams = {"teams"};

std::vector<run_case> const run_cases = {
    {submit,
     {200, R"({"state":"answered","outcome":"succeeded"})"},
     exit_code::done},
    {submit, {202, R"({"state":"queued"})"}, exit_code::done},
    {submit,
     {200, R"({"state":"answered","outcome":"failed"})"},
     exit_code::failed},
    {submit,
     {200, R"({"state":"answered","outcome":"canceled"})"},
     exit_code::failed},
    {submit, {503, R"({"state":"not_run"})"}, exit_code::not_run},
    {submit, {422, R"({"state":"not_run"})"}, exit_code::not_run},
    {submit, {410, R"({"state":"not_run"})"}, exit_code::not_run},
    {submit, {409, R"({"state":"not_run"})"}, exit_code::conflict},
    {submit, {504, R"({"state":"unknown"})"}, exit_code::unknown},
    {submit, {400, R"({"error":{"code":"bad_request"}})"}, exit_code::rejected},
    {submit, {401, R"({"error":{"code":"key"}})"}, exit_code::rejected},
    {submit, {403, R"({"error":{"code":"key"}})"}, exit_code::rejected},
    {submit, {503, R"({"error":{"code":"stopping"}})"}, exit_code::not_run},
    {submit, {502, "no JSON"}, exit_code::unknown},
    {submit, {200, "cut o"}, exit_code::unknown},
    {lookup, {404, R"({"error":{"code":"not_found"}})"}, exit_code::rejected},
    {cancel, {410, R"({"state":"not_run"})"}, exit_code::done},
    {cancel, {202, R"({"state":"running"})"}, exit_code::done},
    {cancel,
     {200, R"({"state":"answered","outcome":"succeeded"})"},
     exit_code::failed},
    {{"cancel", "a", "b"}, {200, R"({"accepted":2})"}, exit_code::done},
    {teams, {200, R"({"teams":[]})"}, exit_code::done},
};

// Guards against a script that takes a failure for success, or the reverse.
TEST_CASE_FIXTURE(ctl_fixture, "run, table of replies, returns the exit code")
{
    for (run_case const& each : run_cases)
    {
        CAPTURE(each.arguments_.front());
        CAPTURE(each.reply_.status_);
        CAPTURE(each.reply_.body_);
        replies_ = {each.reply_};
        CHECK(run(each.arguments_) == static_cast<int>(each.code_));
    }
}

// Guards against ticket stages that map to the wrong code.
TEST_CASE("ticket, table of stages, rates each")
{
    auto const rate = [](unsigned status, char const* stage)
    {
        return rate_ticket(status, json{{"stage", stage}});
    };
    CHECK(rate(200, "accepted") == exit_code::done);
    CHECK(rate(202, "committed") == exit_code::no_reply);
    CHECK(rate(409, "conflicting") == exit_code::conflict);
    CHECK(rate(422, "rejected") == exit_code::rejected);
    CHECK(rate(504, "unknown") == exit_code::unknown);
}

// Guards against settings checks that pass for a file that doesn't exist.
TEST_CASE_FIXTURE(ctl_fixture, "check-settings, missing file, is a usage error")
{
    CHECK(run({"check-settings", "no-such-file.yaml"}) == 2);
}

} // namespace
} // namespace fescuevane::ctl
