// Purpose: codecs between the values of a front end and JSON.
//
// Index of sections
//   1. Reading of objects
//   2. Parsers
//   3. Status of an answer
//   4. Writers of calls
//   5. Writers of read-backs
#include "entry/http_json.hpp"

#include "core/job_result.hpp"
#include "core/names.hpp"
#include "entry/http_error.hpp"
#include "entry/http_reply.hpp"
#include "entry/http_submission.hpp"
#include "entry/limit_status.hpp"
#include "entry/shard_status.hpp"
#include "entry/target_status.hpp"
#include "state/config.hpp"
#include "state/ticket_progress.hpp"

#include <glib.h>
#include <nlohmann/json.hpp>
#include <algorithm>
#include <array>
#include <limits>
#include <set>

#ifndef FESCUEVANE_VERSION
#    define FESCUEVANE_VERSION "unknown"
#endif

namespace fescuevane::entry
{
namespace
{

using nlohmann::json;

// 1. Reading of objects

[[noreturn]] void fail(std::string const& place, std::string const& expected)
{
    throw http_error(400, place + ": " + expected);
}

// The library's message names line and column.
json parse_object(std::string_view text)
{
    try
    {
        json value = json::parse(text);
        if (!value.is_object())
        {
            fail("body", "expected an object");
        }
        return value;
    }
    catch (json::exception const& error)
    {
        // Starts with the library's name of the error in brackets.
        std::string const message = error.what();
        throw http_error(400, message.substr(message.find(' ') + 1));
    }
}

// Reads fields of one object and remembers their names, to find unknown ones.
class object_reader
{
public:
    explicit object_reader(json const& value) : value_(value) {}

    std::string read_string(std::string const& name, std::size_t max_size)
    {
        json const* const field = find(name);
        if (field == nullptr)
        {
            return {};
        }
        if (!field->is_string())
        {
            fail(name, "expected a string");
        }
        auto text = field->get<std::string>();
        if (text.size() > max_size)
        {
            fail(name, "longer than " + std::to_string(max_size) + " bytes");
        }
        return text;
    }

    std::int64_t read_number(std::string const& name, std::int64_t fallback,
                             std::int64_t min, std::int64_t max)
    {
        json const* const field = find(name);
        if (field == nullptr)
        {
            return fallback;
        }
        bool const whole = field->is_number_integer();
        bool const fits =
            whole &&
            (!field->is_number_unsigned() ||
             field->get<std::uint64_t>() <=
                 std::uint64_t(std::numeric_limits<std::int64_t>::max()));
        if (!fits || field->get<std::int64_t>() < min ||
            field->get<std::int64_t>() > max)
        {
            fail(name, "expected a whole number from " + std::to_string(min) +
                           " to " + std::to_string(max));
        }
        return field->get<std::int64_t>();
    }

    bool read_bool(std::string const& name, bool fallback)
    {
        json const* const field = find(name);
        if (field != nullptr && !field->is_boolean())
        {
            fail(name, "expected true or false");
        }
        return field == nullptr ? fallback : field->get<bool>();
    }

    void check_no_other() const
    {
        for (auto const& [name, unused] : value_.items())
        {
            if (!known_.contains(name))
            {
                fail(name, "unknown field");
            }
        }
    }

private:
    json const* find(std::string const& name)
    {
        known_.insert(name);
        auto const found = value_.find(name);
        return found == value_.end() ? nullptr : &*found;
    }

    json const&           value_;
    std::set<std::string> known_;
};

// 2. Parsers

// Bounds far above any real machine or job; larger numbers are mistakes, and
// products of them with task counts must not overflow.
constexpr std::int64_t max_tasks = 100'000;
constexpr std::int64_t max_cpu_millis = 100'000'000;
constexpr std::int64_t max_memory_mib = 1'000'000'000;
constexpr std::int64_t max_accelerators = 100'000;
constexpr std::int64_t max_run_ms = 365LL * 24 * 3600 * 1000;
constexpr std::size_t  max_id_size = 200;
constexpr std::size_t  max_ids = 100'000;

// A job that declares no size is estimated from its service's past usage; this
// is the first guess.
constexpr std::int64_t default_cpu_millis = 100;
constexpr std::int64_t default_memory_mib = 64;

constexpr std::int64_t default_request_wait_ms = 30'000;

work_kind read_kind(object_reader& reader)
{
    std::string const text = reader.read_string("kind", max_id_size);
    auto const        kind = parse_work_kind(text.empty() ? "request" : text);
    if (!kind)
    {
        fail("kind", "expected request, service, batch or gang");
    }
    return *kind;
}

resources read_demand(object_reader& reader)
{
    return {
        reader.read_number("cpu_millis", default_cpu_millis, 0, max_cpu_millis),
        reader.read_number("memory_mib", default_memory_mib, 0, max_memory_mib),
        reader.read_number("accelerators", 0, 0, max_accelerators)};
}

std::string read_id(object_reader& reader, std::string const& name)
{
    std::string text = reader.read_string(name, max_id_size);
    if (!text.empty())
    {
        check_id(text, name);
    }
    return text;
}

shared_bytes read_payload(object_reader& reader)
{
    std::string text =
        reader.read_string("payload", std::numeric_limits<std::size_t>::max());
    return text.empty() ? nullptr
                        : std::make_shared<std::string const>(std::move(text));
}

} // namespace

// Row keys and the forms of compound keys separate their parts by '/' and '#'.
void check_id(std::string_view text, std::string const& place)
{
    bool const plain =
        std::none_of(text.begin(), text.end(),
                     [](unsigned char c)
                     {
                         return c <= ' ' || c == 127 || c == '/' || c == '#';
                     });
    bool const valid =
        g_utf8_validate(text.data(), gssize(text.size()), nullptr) == TRUE;
    if (text.empty() || text.size() > max_id_size || !plain || !valid)
    {
        fail(place, "expected 1 to " + std::to_string(max_id_size) +
                        " bytes of UTF-8 without spaces, '/' and '#'");
    }
}

http_submission parse_job(std::string_view text, team_id const& team,
                          std::string const& traceparent, instant now)
{
    json const         body = parse_object(text);
    object_reader      reader(body);
    std::string const  id = read_id(reader, "id");
    std::string const  service = read_id(reader, "service");
    work_kind const    kind = read_kind(reader);
    bool const         single = kind == work_kind::request;
    std::int64_t const tasks =
        reader.read_number("tasks", 1, 1, single ? 1 : max_tasks);
    resources const    demand = read_demand(reader);
    bool const         idempotent = reader.read_bool("idempotent", true);
    std::int64_t const start_ms =
        reader.read_number("start_within_ms", -1, 0, max_run_ms);
    std::int64_t const run_ms = reader.read_number("run_ms", 0, 0, max_run_ms);
    shared_bytes const payload = read_payload(reader);
    std::int64_t const wait_ms =
        reader.read_number("wait_ms", single ? default_request_wait_ms : 0, 0,
                           max_wait_micros / micros_per_milli);
    reader.check_no_other();
    if (service.empty())
    {
        fail("service", "is required");
    }
    return {.spec_ = {.key_ = {team, job_id(id)},
                      .service_ = service_id(service),
                      .kind_ = kind,
                      .task_count_ = static_cast<std::uint32_t>(tasks),
                      .demand_ = demand,
                      .idempotent_ = idempotent,
                      .start_deadline_ =
                          start_ms < 0 ? instant::never()
                                       : now.after(start_ms * micros_per_milli),
                      .declared_run_micros_ = run_ms * micros_per_milli,
                      .payload_ = payload,
                      .traceparent_ = traceparent},
            .wait_deadline_ = now.after(wait_ms * micros_per_milli)};
}

std::vector<job_id> parse_ids(std::string_view text)
{
    json const body = parse_object(text);
    for (auto const& [name, unused] : body.items())
    {
        if (name != "ids")
        {
            fail(name, "unknown field");
        }
    }
    if (!body.contains("ids") || !body["ids"].is_array() ||
        body["ids"].empty() || body["ids"].size() > max_ids)
    {
        fail("ids",
             "expected a list of 1 to " + std::to_string(max_ids) + " job ids");
    }
    std::vector<job_id> ids;
    for (json const& each : body["ids"])
    {
        std::string const place = "ids[" + std::to_string(ids.size()) + "]";
        if (!each.is_string())
        {
            fail(place, "expected a string");
        }
        check_id(each.get_ref<std::string const&>(), place);
        ids.emplace_back(each.get<std::string>());
    }
    return ids;
}

void check_ticket_syntax(std::string_view text)
{
    parse_object(text);
}

// 3. Status of an answer

namespace
{

std::int64_t round_up_seconds(std::int64_t micros)
{
    return (micros + micros_per_second - 1) / micros_per_second;
}

// Reasons of "not run" that have a status of their own start with these words.
struct reason_status
{
    std::string_view const prefix_;
    unsigned const         status_;
};

constexpr std::array<reason_status, 2> reason_statuses = {{
    {"canceled", 410},
    {"conflicting", 409},
}};

unsigned find_not_run_status(job_result const& result)
{
    if (result.outcome_ == outcome::canceled)
    {
        return 410;
    }
    for (reason_status const& each : reason_statuses)
    {
        if (result.reason_.starts_with(each.prefix_))
        {
            return each.status_;
        }
    }
    return result.retry_after_micros_ > 0 ? 503 : 422;
}

unsigned find_job_status(job_result const& result)
{
    switch (result.state_)
    {
    case job_state::answered:
        return 200;
    case job_state::not_run:
        return find_not_run_status(result);
    case job_state::unknown:
        return 504;
    default:
        return 202;
    }
}

struct error_code
{
    unsigned const         status_;
    std::string_view const code_;
};

constexpr std::array<error_code, 11> error_codes = {{
    {400, "bad_request"},
    {401, "key_missing"},
    {403, "forbidden"},
    {404, "not_found"},
    {405, "method_not_allowed"},
    {413, "body_too_large"},
    {415, "unsupported_media_type"},
    {422, "rejected"},
    {431, "headers_too_large"},
    {503, "not_run"},
    {504, "unknown"},
}};

std::string_view find_error_code(unsigned status)
{
    auto const found = std::find_if(error_codes.begin(), error_codes.end(),
                                    [&](error_code const& e)
                                    {
                                        return e.status_ == status;
                                    });
    return found == error_codes.end() ? "internal" : found->code_;
}

// 4. Writers of calls

// Messages may quote the caller's bytes, so invalid UTF-8 is replaced in all
// texts but the body of an answer.
std::string dump(json const& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

// JSON has no byte strings: an answer that is not UTF-8 goes out as base64, so
// that the caller gets all of its bytes.
void write_body(json& target, std::string const& bytes)
{
    if (g_utf8_validate_len(bytes.data(), bytes.size(), nullptr) == TRUE)
    {
        target["body"] = bytes;
        return;
    }
    char* const encoded = g_base64_encode(
        reinterpret_cast<unsigned char const*>(bytes.data()), bytes.size());
    target["body_base64"] = encoded;
    g_free(encoded);
}

json write_resources(resources const& amount)
{
    return {{"cpu_millis", amount.cpu_millis()},
            {"memory_mib", amount.memory_mib()},
            {"accelerators", amount.accelerators()}};
}

json write_limit(std::optional<resources> const& limit)
{
    return limit ? write_resources(*limit) : json(nullptr);
}

json write_domains(std::vector<domain_id> const& domains)
{
    json list = json::array();
    for (domain_id const& each : domains)
    {
        list.push_back(each.str());
    }
    return list;
}

} // namespace

http_reply write_job(job_result const& result, host_id const& entry)
{
    json body = {
        {"id", result.key_.job_.str()},
        {"team", result.key_.team_.str()},
        {"state", format_name(result.state_)},
        {"attempt", result.attempt_},
        {"reason", result.reason_},
        {"retry_after_ms", result.retry_after_micros_ / micros_per_milli},
        {"target", result.target_.str()},
        {"owner", result.owner_.str()},
        {"entry", entry.str()}};
    body["outcome"] = result.state_ == job_state::answered
                          ? json(format_name(result.outcome_))
                          : json(nullptr);
    write_body(body, result.body_ ? *result.body_ : std::string());
    unsigned const status = find_job_status(result);
    return {.status_ = status,
            .body_ = dump(body),
            .retry_after_s_ = status == 503
                                  ? round_up_seconds(result.retry_after_micros_)
                                  : 0};
}

http_reply write_ticket_progress(state::ticket_progress const& progress)
{
    struct stage_row
    {
        std::string_view const name_;
        unsigned const         status_;
    };
    // In the order of `ticket_stage`.
    static constexpr std::array<stage_row, 5> stages = {{{"rejected", 422},
                                                         {"conflicting", 409},
                                                         {"unknown", 504},
                                                         {"committed", 202},
                                                         {"accepted", 200}}};
    stage_row const&                          stage =
        stages.at(static_cast<std::size_t>(progress.stage_));
    return {.status_ = stage.status_,
            .body_ = dump({{"number", progress.number_},
                           {"stage", stage.name_},
                           {"missing", write_domains(progress.missing_)},
                           {"reason", progress.reason_}})};
}

http_reply write_error(unsigned status, std::string_view message)
{
    json const error = {{"code", find_error_code(status)},
                        {"message", message}};
    return {.status_ = status,
            .body_ = dump({{"error", error}}),
            .retry_after_s_ = status == 503 ? 1 : 0};
}

std::string write_accepted(std::uint64_t accepted)
{
    return dump({{"accepted", accepted}});
}

// 5. Writers of read-backs

std::string write_info(host_id const& host, domain_id const& domain)
{
    return dump({{"host", host.str()},
                 {"failure_domain", domain.str()},
                 {"version", FESCUEVANE_VERSION}});
}

std::string write_teams(state::config const* value)
{
    json list = json::array();
    if (value != nullptr)
    {
        for (auto const& [id, team] : value->teams_)
        {
            list.push_back({{"id", id.str()},
                            {"share", team.share_},
                            {"limit", write_limit(team.limit_)}});
        }
    }
    return dump({{"teams", list}});
}

std::string write_targets(std::vector<target_status> const& targets)
{
    json list = json::array();
    for (target_status const& each : targets)
    {
        list.push_back({{"id", each.target_.str()},
                        {"failure_domain", each.shard_.domain_.str()},
                        {"rack", each.rack_.str()},
                        {"shard", format_key(each.shard_)},
                        {"state", each.state_}});
    }
    return dump({{"targets", list}});
}

std::string write_shards(std::vector<shard_status> const& shards)
{
    json list = json::array();
    for (shard_status const& each : shards)
    {
        list.push_back({{"id", format_key(each.owner_.shard_)},
                        {"owner", each.owner_.host_.str()},
                        {"epoch", each.owner_.epoch_},
                        {"ready", each.ready_},
                        {"queued_tasks", each.queued_tasks_},
                        {"free_slots", each.free_slots_}});
    }
    return dump({{"shards", list}});
}

std::string write_limits(std::vector<limit_status> const& limits)
{
    json list = json::array();
    for (limit_status const& each : limits)
    {
        list.push_back({{"team", each.team_.str()},
                        {"shard", format_key(each.shard_)},
                        {"allotment", write_limit(each.allotment_)},
                        {"used", write_resources(each.used_)}});
    }
    return dump({{"limits", list}});
}

std::string write_config_state(ticket_number accepted, ticket_number committed,
                               std::string_view config)
{
    return dump({{"accepted", accepted},
                 {"committed", committed},
                 {"config", json::parse(config)}});
}

namespace
{

// Appends each leaf that differs; lists are compared as a whole.
void append_changes(json& changes, std::string const& path, json const& before,
                    json const& after)
{
    if (before == after)
    {
        return;
    }
    if (!before.is_object() || !after.is_object())
    {
        changes.push_back(
            {{"path", path}, {"before", before}, {"after", after}});
        return;
    }
    json names = before;
    names.update(after);
    for (auto const& [name, unused] : names.items())
    {
        std::string place = path;
        place.append("/").append(name);
        append_changes(changes, place, before.value(name, json()),
                       after.value(name, json()));
    }
}

void hash_team_keys(
    json& team, std::function<std::string(std::string_view)> const& hash_key)
{
    if (!team.is_object() || !team.contains("keys"))
    {
        return;
    }
    json hashes = json::array();
    for (json const& key : team["keys"])
    {
        hashes.push_back(
            key.is_string() ? hash_key(key.get_ref<std::string const&>()) : "");
    }
    team.erase("keys");
    team["key_hashes"] = hashes;
}

} // namespace

std::string write_diff(std::string_view before, std::string_view after)
{
    json changes = json::array();
    append_changes(changes, "", json::parse(before), json::parse(after));
    return dump({{"changes", changes}});
}

std::string
write_ticket(std::string_view ticket, ticket_number accepted,
             std::vector<domain_id> const&                       missing,
             std::function<std::string(std::string_view)> const& hash_key)
{
    json value = json::parse(ticket);
    if (value.contains("teams"))
    {
        for (json& team : value["teams"])
        {
            hash_team_keys(team, hash_key);
        }
    }
    ticket_number const number = value.value("number", ticket_number(0));
    return dump({{"number", number},
                 {"stage", number <= accepted ? "accepted" : "committed"},
                 {"missing", write_domains(missing)},
                 {"ticket", value}});
}

} // namespace fescuevane::entry
