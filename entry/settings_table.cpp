// Purpose: table of the scalar settings.
#include "entry/settings_table.hpp"

#include <array>

namespace fescuevane::entry
{
namespace
{

// In the order in which the sections are printed. Numbers are in the unit that
// the key names; intervals are written in ms and stored in microseconds.
std::array<settings_row, 45> const settings_rows = {{
    {"", "host", &state::settings::host_, 0, 0, 1, text_form::name,
     "unique name of this entry host"},
    {"", "failure_domain", &state::settings::domain_, 0, 0, 1, text_form::name,
     "failure domain of this host"},
    {"", "http_address", &settings::http_address_, 0, 0, 1, text_form::address,
     "IP:port for callers and operators"},
    {"", "peer_address", &settings::peer_address_, 0, 0, 1, text_form::address,
     "IP:port for other entry processes"},
    {"", "platform_address", &settings::platform_address_, 0, 0, 1,
     text_form::address, "IP:port of the platform's services"},
    {"", "operator_key", &settings::operator_key_, 0, 0, 1, text_form::any,
     "of ticket calls; empty: ticket calls are off"},
    {"", "seed", &state::settings::seed_, 0, INT64_MAX, 1, text_form::any,
     "of jitter in the control state"},
    {"bounds", "max_body_bytes", &settings::max_body_bytes_, 1024, 1073741824,
     1, text_form::any, "of one HTTP body"},
    {"bounds", "max_open_calls", &settings::max_open_calls_, 1, 1000000, 1,
     text_form::any, "more are refused"},
    {"intervals", "heartbeat_ms", &settings::heartbeat_micros_, 10, 60000, 1000,
     text_form::any, "to each peer"},
    {"intervals", "host_list_ms", &settings::host_list_micros_, 10, 600000,
     1000, text_form::any, "between reads of the host list"},
    {"intervals", "lease_ms", &settings::lease_micros_, 100, 600000, 1000,
     text_form::any, "of tasks on a target"},
    {"intervals", "lease_renew_ms", &settings::lease_renew_micros_, 10, 600000,
     1000, text_form::any, "between renewals"},
    {"intervals", "store_timeout_ms", &settings::store_timeout_micros_, 10,
     60000, 1000, text_form::any, "of one read or commit"},
    {"intervals", "stop_grace_ms", &settings::stop_grace_micros_, 0, 3600000,
     1000, text_form::any, "of a graceful stop"},
    {"log", "format", &settings::log_format_, 0, 0, 1, text_form::format,
     "text or json"},
    {"log", "level", &settings::log_level_, 0, 0, 1, text_form::level,
     "debug, info, warn or error"},
    {"trace", "file", &settings::trace_file_, 0, 0, 1, text_form::any,
     "JSON lines of spans; empty: none"},
    {"store", "read_interval_ms", &state::settings::read_interval_micros_, 10,
     60000, 1000, text_form::any, "between reads of changes"},
    {"store", "retry_delay_ms", &state::settings::retry_delay_micros_, 1, 60000,
     1000, text_form::any, "first; doubles with jitter"},
    {"store", "retry_delay_max_ms", &state::settings::retry_delay_max_micros_,
     1, 600000, 1000, text_form::any, "bound of the doubling"},
    {"store", "commits_a_second", &state::settings::commits_a_second_, 1, 10000,
     1, text_form::any, "write budget of the process"},
    {"store", "journal_batch_rows", &state::settings::journal_batch_rows_, 1,
     10000, 1, text_form::any, "most rows of one commit"},
    {"store", "journal_linger_ms", &state::settings::journal_linger_micros_, 0,
     1000, 1000, text_form::any, "wait for more rows"},
    {"store", "journal_queue_rows", &state::settings::journal_queue_rows_, 1,
     1000000, 1, text_form::any, "waiting; more are refused"},
    {"store", "journal_give_up_ms", &state::settings::journal_give_up_micros_,
     1, 600000, 1000, text_form::any, "then an unwritten row is refused"},
    {"membership", "suspect_after_ms", &state::settings::suspect_after_micros_,
     50, 600000, 1000, text_form::any, "without a heartbeat"},
    {"membership", "foreign_claim_delay_ms",
     &state::settings::foreign_claim_delay_micros_, 0, 600000, 1000,
     text_form::any, "of other failure domains' hosts"},
    {"membership", "start_delay_ms", &state::settings::start_delay_micros_, 0,
     600000, 1000, text_form::any, "before a first claim"},
    {"allotments", "idle_ms", &state::settings::allotment_idle_micros_, 10,
     3600000, 1000, text_form::any, "then unused parts are returned"},
    {"allotments", "headroom_percent",
     &state::settings::allotment_headroom_percent_, 0, 1000, 1, text_form::any,
     "acquired ahead of demand"},
    {"scheduler", "team_queue_tasks", &decide::settings::team_queue_tasks_, 1,
     10000000, 1, text_form::any, "queued tasks of one team"},
    {"scheduler", "total_queue_tasks", &decide::settings::total_queue_tasks_, 1,
     10000000, 1, text_form::any, "queued tasks of all teams"},
    {"scheduler", "retry_percent", &decide::settings::retry_percent_, 0, 100, 1,
     text_form::any, "retries per fresh start"},
    {"scheduler", "max_attempts", &decide::settings::max_attempts_, 1, 100, 1,
     text_form::any, "of one task"},
    {"scheduler", "retry_delay_ms", &decide::settings::retry_delay_micros_, 1,
     60000, 1000, text_form::any, "first; doubles with jitter"},
    {"scheduler", "share_half_life_ms",
     &decide::settings::share_half_life_micros_, 100, 86400000, 1000,
     text_form::any, "decay of past usage"},
    {"scheduler", "reclaim_grace_ms", &decide::settings::reclaim_grace_micros_,
     0, 600000, 1000, text_form::any, "between the steps of a reclaim"},
    {"scheduler", "gang_age_ms", &decide::settings::gang_age_micros_, 0,
     3600000, 1000, text_form::any, "then a gang may reserve"},
    {"scheduler", "gang_reserve_ms", &decide::settings::gang_reserve_micros_, 1,
     3600000, 1000, text_form::any, "lifetime of a reservation"},
    {"scheduler", "probation_failures", &decide::settings::probation_failures_,
     1, 1000, 1, text_form::any, "in a row, of different jobs"},
    {"scheduler", "probation_ms", &decide::settings::probation_micros_, 0,
     86400000, 1000, text_form::any, "of a failing target"},
    {"scheduler", "result_keep_ms", &decide::settings::result_keep_micros_, 0,
     86400000, 1000, text_form::any, "for repeated submissions"},
    {"scheduler", "ramp_percent_a_second",
     &decide::settings::ramp_percent_a_second_, 1, 100, 1, text_form::any,
     "of returning capacity put to use"},
    {"scheduler", "seed", &decide::settings::seed_, 0, INT64_MAX, 1,
     text_form::any, "of jitter and tie breaks"},
}};

} // namespace

std::span<settings_row const> list_settings_rows()
{
    return settings_rows;
}

} // namespace fescuevane::entry
