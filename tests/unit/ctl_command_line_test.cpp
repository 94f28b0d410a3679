// Purpose: tests of argument parsing and of the table of commands.
#include "ctl/command_entry.hpp"
#include "ctl/command_line.hpp"
#include "tests/unit/ctl_fixture.hpp"

#include <doctest/doctest.h>

namespace fescuevane::ctl
{
namespace
{

struct line_fixture
{
    line_fixture() { unsetenv("FESCUEVANE_SERVER"); }
    ~line_fixture() { unsetenv("FESCUEVANE_SERVER"); }

    parsed_line parse(std::vector<std::string> const& arguments)
    {
        return parse_arguments(arguments, output_, errors_);
    }

    std::ostringstream output_;
    std::ostringstream errors_;
};

struct line_case
{
    std::vector<std::string> arguments_;
    std::string              command_; // empty: none
    exit_code                code_ = exit_code::done;
};

std::vector<line_case> const line_cases = {
    {{"submit", "--service", "refills"}, "submit"},
    {{"submit", "--service", "refills", "--wait", "--id", "a"}, "submit"},
    {{"wait", "a"}, "wait"},
    {{"lookup", "a"}, "lookup"},
    {{"cancel", "a", "b"}, "cancel"},
    {{"ticket", "file", "f.json"}, "ticket file"},
    {{"ticket", "validate", "f.json"}, "ticket validate"},
    {{"ticket", "diff", "f.json"}, "ticket diff"},
    {{"ticket", "show", "3"}, "ticket show"},
    {{"config"}, "config"},
    {{"teams"}, "teams"},
    {{"targets"}, "targets"},
    {{"shards"}, "shards"},
    {{"limits"}, "limits"},
    {{"info"}, "info"},
    {{"drain", "amman-a"}, "drain"},
    {{"return", "amman-a"}, "return"},
    {{"check-settings", "f.yaml"}, "check-settings"},
    {{"load", "--service", "refills", "--rate", "5"}, "load"},
    {{"teams", "--output", "json"}, "teams"},
    {{"--help"}, ""},
    {{"--version"}, ""},
    {{"submit", "--help"}, ""},
    {{}, "", exit_code::usage},
    {{"submit"}, "", exit_code::usage},
    {{"submit", "--service", "s", "--kind", "job"}, "", exit_code::usage},
    {{"submit", "--service", "s", "--tasks", "0"}, "", exit_code::usage},
    {{"submit", "--service", "s", "--payload", "p", "--payload-file", "f"},
     "",
     exit_code::usage},
    {{"wait"}, "", exit_code::usage},
    {{"wait", "a", "b"}, "", exit_code::usage},
    {{"cancel"}, "", exit_code::usage},
    {{"ticket"}, "", exit_code::usage},
    {{"ticket", "show", "0"}, "", exit_code::usage},
    {{"teams", "--output", "xml"}, "", exit_code::usage},
    {{"teams", "--timeout", "0"}, "", exit_code::usage},
    {{"load", "--service", "s", "--seconds", "1e9"}, "", exit_code::usage},
    {{"restart"}, "", exit_code::usage},
};

// Guards against a command that is missing or takes wrong arguments.
TEST_CASE_FIXTURE(line_fixture,
                  "command line, table of arguments, chooses command or code")
{
    for (line_case const& each : line_cases)
    {
        std::string text;
        for (std::string const& argument : each.arguments_)
        {
            text += argument + " ";
        }
        CAPTURE(text);
        parsed_line const line = parse(each.arguments_);
        CHECK((line.command_ ? line.command_->name_ : "") == each.command_);
        CHECK(line.code_ == each.code_);
    }
}

// Guards against help that lacks the exit codes scripts rely on.
TEST_CASE_FIXTURE(line_fixture, "command line, help, lists the exit codes")
{
    parse({"--help"});
    CHECK(output_.str().find("7  conflict") != std::string::npos);
}

// Guards against options that end up in the wrong field.
TEST_CASE_FIXTURE(line_fixture, "command line, submit options, fill fields")
{
    parsed_line const line =
        parse({"submit", "--service",         "s",    "--kind",
               "gang",   "--tasks",           "4",    "--cpu-millis",
               "500",    "--memory-mib",      "256",  "--accelerators",
               "1",      "--start-within-ms", "2000", "--run-ms",
               "300",    "--wait-ms",         "10",   "--payload",
               "p",      "--non-idempotent"});
    options const& values = line.options_;
    CHECK(values.service_ == "s");
    CHECK(values.kind_ == "gang");
    CHECK(values.tasks_ == 4);
    CHECK(values.cpu_millis_ == 500);
    CHECK(values.memory_mib_ == 256);
    CHECK(values.accelerators_ == 1);
    CHECK(values.start_within_ms_ == 2000);
    CHECK(values.run_ms_ == 300);
    CHECK(values.wait_ms_ == 10);
    CHECK(values.payload_ == "p");
    CHECK_FALSE(values.idempotent_);
}

// Guards against a repeated --server that swallows the command.
TEST_CASE_FIXTURE(line_fixture, "command line, several servers, keeps all")
{
    parsed_line const line =
        parse({"--server", "a:1", "--server", "b:2", "teams"});
    REQUIRE(line.command_);
    CHECK(line.options_.servers_ == std::vector<std::string>{"a:1", "b:2"});
}

// Guards against an environment that is ignored.
TEST_CASE_FIXTURE(line_fixture,
                  "command line, server in the environment, uses it")
{
    setenv("FESCUEVANE_SERVER", "a:1,b:2", 1);
    CHECK(parse({"teams"}).options_.servers_ ==
          std::vector<std::string>{"a:1", "b:2"});
    CHECK(parse({"--server", "c:3", "teams"}).options_.servers_ ==
          std::vector<std::string>{"c:3"});
}

} // namespace
} // namespace fescuevane::ctl
