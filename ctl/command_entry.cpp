// Purpose: the table of commands and the set-up of their options.
//
// Index of sections
//   1. Options
//   2. Table
#include "ctl/command_entry.hpp"

#include "ctl/commands.hpp"
#include "ctl/options.hpp"

#include <CLI/CLI.hpp>
#include <array>

namespace fescuevane::ctl
{
namespace
{

// 1. Options

void add_nothing(CLI::App& /*command*/, options& /*values*/) {}

void add_sizes(CLI::App& command, options& values)
{
    command.add_option("--tasks", values.tasks_, "Number of tasks")
        ->check(CLI::PositiveNumber);
    command
        .add_option("--cpu-millis", values.cpu_millis_,
                    "Processors of one task, 1/1000 core")
        ->check(CLI::NonNegativeNumber);
    command
        .add_option("--memory-mib", values.memory_mib_,
                    "Memory of one task, MiB")
        ->check(CLI::NonNegativeNumber);
    command
        .add_option("--accelerators", values.accelerators_,
                    "Accelerators of one task")
        ->check(CLI::NonNegativeNumber);
}

void add_times(CLI::App& command, options& values)
{
    command
        .add_option("--start-within-ms", values.start_within_ms_,
                    "Not run when it can't start within this time")
        ->check(CLI::NonNegativeNumber);
    command.add_option("--run-ms", values.run_ms_, "Declared run time")
        ->check(CLI::NonNegativeNumber);
    command
        .add_option("--wait-ms", values.wait_ms_,
                    "How long the server holds the call open")
        ->check(CLI::NonNegativeNumber);
}

void add_job_options(CLI::App& command, options& values)
{
    command.add_option("--service", values.service_, "Class of work")
        ->required();
    command
        .add_option("--kind", values.kind_,
                    "request (default), service, batch or gang")
        ->check(CLI::IsMember({"request", "service", "batch", "gang"}));
    add_sizes(command, values);
    add_times(command, values);
    command.add_flag("--idempotent,!--non-idempotent", values.idempotent_,
                     "Whether it may run again after it ended; default yes");
    auto* const payload =
        command.add_option("--payload", values.payload_, "Payload, UTF-8");
    command
        .add_option("--payload-file", values.payload_file_,
                    "File with the payload, UTF-8")
        ->excludes(payload);
}

void add_submit_options(CLI::App& command, options& values)
{
    command.add_option("--id", values.ids_, "Id of the job; random by default")
        ->expected(1);
    command.add_flag("--wait", values.wait_,
                     "Wait for the final state until --timeout");
    add_job_options(command, values);
}

void add_load_options(CLI::App& command, options& values)
{
    command.add_option("--rate", values.rate_, "Calls per second")
        ->check(CLI::Range(0.01, 100'000.0));
    command.add_option("--seconds", values.seconds_, "Length of the run")
        ->check(CLI::Range(0.01, 3600.0));
    command.add_option("--concurrency", values.concurrency_, "Open calls")
        ->check(CLI::Range(1, 10'000));
    add_job_options(command, values);
}

void add_job_id(CLI::App& command, options& values)
{
    command.add_option("ID", values.ids_, "Id of the job")
        ->required()
        ->expected(1);
}

void add_job_ids(CLI::App& command, options& values)
{
    command.add_option("ID", values.ids_, "Ids of the jobs")->required();
}

void add_file(CLI::App& command, options& values)
{
    command.add_option("FILE", values.file_, "File to read")->required();
}

void add_number(CLI::App& command, options& values)
{
    command.add_option("N", values.number_, "Number of the ticket")
        ->required()
        ->check(CLI::PositiveNumber);
}

void add_domain(CLI::App& command, options& values)
{
    command.add_option("DOMAIN", values.domain_, "Failure domain")->required();
    command.add_option("--author", values.author_, "Author of the ticket");
    command
        .add_option("--attempts", values.attempts_,
                    "Tickets filed at most when numbers conflict")
        ->check(CLI::Range(1, 100));
}

// 2. Table

constexpr std::array<command_entry, 18> commands = {{
    {"submit", "Submit a job and print it", &add_submit_options, &submit_job},
    {"wait", "Wait for the final state of a job", &add_job_id, &wait_for_job},
    {"lookup", "Print the state of a job", &add_job_id, &look_up_job},
    {"cancel", "Cancel one job, or several at once", &add_job_ids,
     &cancel_jobs},
    {"load", "Send submits at a fixed rate and print waiting times",
     &add_load_options, &send_load},
    {"ticket file", "File a ticket and wait until it is accepted", &add_file,
     &file_ticket},
    {"ticket validate", "Check a ticket without filing it", &add_file,
     &validate_ticket},
    {"ticket diff", "Print what a ticket would change", &add_file,
     &diff_ticket},
    {"ticket show", "Print a ticket and its stage", &add_number, &show_ticket},
    {"drain", "Take a failure domain out of service", &add_domain,
     &drain_domain},
    {"return", "Bring a failure domain back into service", &add_domain,
     &return_domain},
    {"config", "Print the configuration in force", &add_nothing, &show_config},
    {"teams", "List teams with shares and upper limits", &add_nothing,
     &list_teams},
    {"targets", "List targets", &add_nothing, &list_targets},
    {"shards", "List shards and their owners", &add_nothing, &list_shards},
    {"limits", "List allotments of upper limits", &add_nothing, &list_limits},
    {"info", "Print host, failure domain and version of the server",
     &add_nothing, &show_info},
    {"check-settings", "Check a settings file of an entry process", &add_file,
     &check_settings},
}};

} // namespace

std::span<command_entry const> list_commands()
{
    return commands;
}

} // namespace fescuevane::ctl
