// Purpose: all options of the command line; filled by CLI11.
#ifndef FESCUEVANE_CTL_OPTIONS_HPP
#define FESCUEVANE_CTL_OPTIONS_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fescuevane::ctl
{

struct options
{
    // Global
    std::vector<std::string> servers_ = {"127.0.0.1:8080"};
    std::string              team_;
    std::string              key_;
    std::string              operator_key_;
    std::string              output_ = "text"; // or "json"
    double                   timeout_s_ = 60;  // of the whole command
    bool                     verbose_ = false;

    // Jobs
    std::vector<std::string>    ids_;
    std::string                 service_;
    std::string                 kind_;
    std::optional<std::int64_t> tasks_;
    std::optional<std::int64_t> cpu_millis_;
    std::optional<std::int64_t> memory_mib_;
    std::optional<std::int64_t> accelerators_;
    std::optional<std::int64_t> start_within_ms_;
    std::optional<std::int64_t> run_ms_;
    std::optional<std::int64_t> wait_ms_;
    std::string                 payload_;
    std::string                 payload_file_;
    bool                        idempotent_ = true;
    bool                        wait_ = false;

    // Tickets and settings
    std::string   file_;
    std::uint64_t number_ = 0;
    std::string   domain_;
    std::string   author_ = "fescuevanectl";
    std::uint32_t attempts_ = 5; // bounds the retries on a number conflict

    // Load
    double        rate_ = 10;        // calls per second
    double        seconds_ = 10;     //
    std::uint32_t concurrency_ = 64; // open calls; more wait
};

} // namespace fescuevane::ctl

#endif
