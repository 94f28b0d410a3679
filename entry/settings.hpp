// Purpose: settings of an entry process, read from a YAML file.
#ifndef FESCUEVANE_ENTRY_SETTINGS_HPP
#define FESCUEVANE_ENTRY_SETTINGS_HPP

#include "decide/settings.hpp"
#include "io/host_budget.hpp"
#include "state/peer_address.hpp"
#include "state/settings.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace fescuevane::entry
{

struct settings
{
    // Addresses, IP and port
    std::string http_address_ = "127.0.0.1:8080"; // callers and operators
    std::string peer_address_ = "127.0.0.1:8090"; // other entry processes
    std::string platform_address_;                // the platform's services
    std::vector<state::peer_address>
        seed_peers_; // asked when the store is down

    // Access
    std::string operator_key_; // of ticket calls; empty: ticket calls are off

    // Bounds
    std::uint64_t max_body_bytes_ = 16 * 1024 * 1024; // of one HTTP body
    std::uint32_t max_open_calls_ = 20'000;           // more are refused
    std::uint64_t memory_mb_ = 160;                   // of this host
    std::uint64_t max_descriptors_ = 4100;            // of this process

    io::host_budget budget() const { return {memory_mb_, max_descriptors_}; }

    // Intervals
    std::int64_t heartbeat_micros_ = 200'000;       // to each peer
    std::int64_t host_list_micros_ = 1'000'000;     // between reads of the list
    std::int64_t lease_micros_ = 10'000'000;        // of tasks on a target
    std::int64_t lease_renew_micros_ = 2'000'000;   // between renewals
    std::int64_t store_timeout_micros_ = 1'000'000; // of one read or commit
    std::int64_t stop_grace_micros_ = 30'000'000;   // of a graceful stop

    // A tick that comes later than this after it was due shows that the process
    // had no processor time. Processor quotas alone cause up to 100 ms.
    std::int64_t late_micros_ = 250'000;
    // Late spans put off the judgement of a target by no more than this, so
    // that a process that is late again and again still notices what is gone.
    std::int64_t late_bound_micros_ = 20'000'000;

    // Logs and traces
    std::string log_format_ = "text"; // or "json"
    std::string log_level_ = "info";  // debug, info, warn, error
    std::string trace_file_;          // JSON lines of spans; empty: none

    // Packages
    state::settings  state_;
    decide::settings decide_;
};

} // namespace fescuevane::entry

#endif
