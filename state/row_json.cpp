// Purpose: values of the platform's rows as JSON.
//
// Index of sections
//   1. Owners and acknowledgements
//   2. Allotments
//   3. Targets with leases
//   4. Bytes
//   5. Jobs
#include "state/row_json.hpp"

#include "core/names.hpp"
#include "state/ack_value.hpp"
#include "state/grant_record.hpp"
#include "state/job_record.hpp"
#include "state/owner_value.hpp"
#include "state/row_error.hpp"

#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace fescuevane::state
{

using nlohmann::json;

namespace
{

// Text from targets may hold bytes that are not UTF-8.
std::string dump_json(json const& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

// Far above what is written here. Other writers may leave any number; sums over
// all shards of a fleet have to stay within 64 bits, and tables grow with
// counts.
constexpr std::int64_t max_amount = std::int64_t{1} << 40;
constexpr std::int64_t max_slots = 1'000'000;
constexpr std::int64_t max_tasks = 100'000; // as callers may ask for

// Epochs only rise and the next one is one higher, so the highest possible one
// would leave a shard without an owner for good.
constexpr std::int64_t max_epoch = 1'000'000'000'000;

// The library's conversions wrap numbers that don't fit.
std::int64_t read_number(json const& value, std::int64_t least,
                         std::int64_t most)
{
    bool const whole =
        value.is_number_integer() &&
        (!value.is_number_unsigned() ||
         std::in_range<std::int64_t>(value.get<std::uint64_t>()));
    if (!whole || value.get<std::int64_t>() < least ||
        value.get<std::int64_t>() > most)
    {
        throw row_error("expected a whole number from " +
                        std::to_string(least) + " to " + std::to_string(most));
    }
    return value.get<std::int64_t>();
}

epoch read_epoch(json const& row)
{
    return static_cast<epoch>(read_number(row.at("epoch"), 0, max_epoch));
}

} // namespace

// 1. Owners and acknowledgements

std::string write_owner(owner_value const& value)
{
    return dump_json({{"host", value.host_.str()},
                      {"domain", value.domain_.str()},
                      {"address", value.address_},
                      {"incarnation", value.incarnation_},
                      {"epoch", value.epoch_}});
}

owner_value read_owner(std::string const& text)
{
    json const value = json::parse(text);
    return {.host_ = host_id(value.at("host").get<std::string>()),
            .domain_ = domain_id(value.at("domain").get<std::string>()),
            .address_ = value.at("address").get<std::string>(),
            .incarnation_ = static_cast<std::uint64_t>(
                read_number(value.at("incarnation"), 0, INT64_MAX)),
            .epoch_ = read_epoch(value)};
}

std::string write_ack(ack_value const& value)
{
    return dump_json({{"number", value.number_}, {"epoch", value.epoch_}});
}

ack_value read_ack(std::string const& text)
{
    json const value = json::parse(text);
    return {.number_ = static_cast<ticket_number>(
                read_number(value.at("number"), 0, INT64_MAX)),
            .epoch_ = read_epoch(value)};
}

// 2. Allotments

namespace
{

json write_resources(resources const& value)
{
    return {value.cpu_millis(), value.memory_mib(), value.accelerators()};
}

resources read_resources(json const& value)
{
    return {read_number(value.at(0), 0, max_amount),
            read_number(value.at(1), 0, max_amount),
            read_number(value.at(2), 0, max_amount)};
}

} // namespace

std::string write_parts(part_map const& parts, std::uint64_t ticket)
{
    json list = json::object();
    for (auto const& [shard, part] : parts)
    {
        json entry = {{"part", write_resources(part.part_)}};
        if (part.cap_)
        {
            entry["cap"] = write_resources(*part.cap_);
        }
        if (!part.want_.is_zero())
        {
            entry["want"] = write_resources(part.want_);
        }
        list[format_key(shard)] = std::move(entry);
    }
    return dump_json({{"limit_ticket", ticket}, {"parts", std::move(list)}});
}

part_map read_parts(std::string const& text)
{
    json const value = json::parse(text);
    part_map   parts;
    for (auto const& [name, entry] : value.at("parts").items())
    {
        auto const shard = parse_shard_id(name);
        if (!shard)
        {
            continue;
        }
        parts.emplace(
            *shard,
            allotment_part{.part_ = read_resources(entry.at("part")),
                           .cap_ = entry.contains("cap")
                                       ? std::optional<resources>(
                                             read_resources(entry.at("cap")))
                                       : std::nullopt,
                           .want_ = entry.contains("want")
                                        ? read_resources(entry.at("want"))
                                        : resources()});
    }
    return parts;
}

// 3. Targets with leases

std::string write_grants(std::vector<granted_target> const& targets)
{
    json list = json::array();
    for (granted_target const& target : targets)
    {
        list.push_back({{"target", target.target_.str()},
                        {"domain", target.domain_.str()},
                        {"rack", target.rack_.str()},
                        {"address", target.address_},
                        {"capacity", write_resources(target.capacity_)},
                        {"slots", target.slots_}});
    }
    return dump_json({{"targets", std::move(list)}});
}

namespace
{

granted_target read_grant(json const& value)
{
    return {.target_ = target_id(value.at("target").get<std::string>()),
            .domain_ = domain_id(value.at("domain").get<std::string>()),
            .rack_ = rack_id(value.at("rack").get<std::string>()),
            .address_ = value.at("address").get<std::string>(),
            .capacity_ = read_resources(value.at("capacity")),
            .slots_ = static_cast<std::uint32_t>(
                read_number(value.at("slots"), 0, max_slots))};
}

// False when the entry can't be read.
bool append_grant(std::vector<granted_target>& targets, json const& value)
{
    try
    {
        targets.push_back(read_grant(value));
        return true;
    }
    catch (json::exception const&)
    {
        return false;
    }
    catch (row_error const&)
    {
        return false;
    }
}

} // namespace

grant_record read_grants(std::string const& text)
{
    std::vector<granted_target> targets;
    json const                  value = json::parse(text, nullptr, false);
    auto const                  list = value.find("targets");
    if (list == value.end() || !list->is_array())
    {
        return {};
    }
    bool complete = true;
    for (json const& entry : *list)
    {
        complete = append_grant(targets, entry) && complete;
    }
    return {std::move(targets), complete};
}

// 4. Bytes

namespace
{

// Payloads and answers are arbitrary bytes, which JSON strings can't hold.
constexpr std::string_view base64_digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encode_base64(std::string const& bytes)
{
    std::string   text;
    std::uint32_t bits = 0;
    int           count = 0;
    for (char const c : bytes)
    {
        bits = (bits << 8) | static_cast<unsigned char>(c);
        for (count += 8; count >= 6; count -= 6)
        {
            text += base64_digits[(bits >> (count - 6)) & 63];
        }
    }
    if (count > 0)
    {
        text += base64_digits[(bits << (6 - count)) & 63];
    }
    return text;
}

std::string decode_base64(std::string const& text)
{
    std::string   bytes;
    std::uint32_t bits = 0;
    int           count = 0;
    for (char const c : text)
    {
        std::size_t const digit = base64_digits.find(c);
        if (digit == std::string_view::npos)
        {
            continue;
        }
        bits = (bits << 6) | static_cast<std::uint32_t>(digit);
        count += 6;
        if (count >= 8)
        {
            count -= 8;
            bytes += static_cast<char>((bits >> count) & 255);
        }
    }
    return bytes;
}

void write_bytes(json& value, char const* field, shared_bytes const& bytes)
{
    if (bytes)
    {
        value[field] = encode_base64(*bytes);
    }
}

shared_bytes read_bytes(json const& value, char const* field)
{
    if (!value.contains(field))
    {
        return nullptr;
    }
    return std::make_shared<std::string const>(
        decode_base64(value.at(field).get<std::string>()));
}

// 5. Jobs

json write_spec(job_spec const& spec, instant now)
{
    json value = {{"team", spec.key_.team_.str()},
                  {"job", spec.key_.job_.str()},
                  {"service", spec.service_.str()},
                  {"kind", format_name(spec.kind_)},
                  {"tasks", spec.task_count_},
                  {"demand", write_resources(spec.demand_)},
                  {"idempotent", spec.idempotent_},
                  {"run_micros", spec.declared_run_micros_},
                  {"traceparent", spec.traceparent_}};
    if (spec.start_deadline_ != instant::never())
    {
        value["start_within_micros"] =
            now.remaining_until(spec.start_deadline_);
    }
    write_bytes(value, "payload", spec.payload_);
    return value;
}

job_spec read_spec(json const& value, instant now)
{
    auto const kind = parse_work_kind(value.at("kind").get<std::string>());
    return {.key_ = {team_id(value.at("team").get<std::string>()),
                     job_id(value.at("job").get<std::string>())},
            .service_ = service_id(value.at("service").get<std::string>()),
            .kind_ = kind.value_or(work_kind::request),
            .task_count_ = static_cast<std::uint32_t>(
                read_number(value.at("tasks"), 1, max_tasks)),
            .demand_ = read_resources(value.at("demand")),
            .idempotent_ = value.at("idempotent").get<bool>(),
            .start_deadline_ =
                value.contains("start_within_micros")
                    ? now.after(read_number(value.at("start_within_micros"), 0,
                                            INT64_MAX))
                    : instant::never(),
            .declared_run_micros_ =
                read_number(value.at("run_micros"), 0, INT64_MAX),
            .payload_ = read_bytes(value, "payload"),
            .traceparent_ = value.at("traceparent").get<std::string>()};
}

json write_result(job_result const& result)
{
    json value = {{"state", format_name(result.state_)},
                  {"outcome", format_name(result.outcome_)},
                  {"attempt", result.attempt_},
                  {"reason", result.reason_},
                  {"retry_after_micros", result.retry_after_micros_},
                  {"target", result.target_.str()},
                  {"owner", result.owner_.str()}};
    write_bytes(value, "body", result.body_);
    return value;
}

job_result read_result(job_key const& key, json const& value)
{
    auto const state = parse_job_state(value.at("state").get<std::string>());
    auto const ended = parse_outcome(value.at("outcome").get<std::string>());
    return {.key_ = key,
            .state_ = state.value_or(job_state::unknown),
            .outcome_ = ended.value_or(outcome::failed),
            .attempt_ = static_cast<std::uint32_t>(
                read_number(value.at("attempt"), 0, UINT32_MAX)),
            .body_ = read_bytes(value, "body"),
            .reason_ = value.at("reason").get<std::string>(),
            .retry_after_micros_ =
                read_number(value.at("retry_after_micros"), 0, INT64_MAX),
            .target_ = target_id(value.at("target").get<std::string>()),
            .owner_ = host_id(value.at("owner").get<std::string>())};
}

} // namespace

std::string write_job(job_record const& record, instant now)
{
    json value = {{"spec", write_spec(*record.spec_, now)}};
    if (record.result_)
    {
        value["result"] = write_result(*record.result_);
    }
    return dump_json(value);
}

job_record read_job(shard_id const& shard, std::string const& text, instant now)
{
    json const value = json::parse(text);
    auto const spec =
        std::make_shared<job_spec const>(read_spec(value.at("spec"), now));
    if (!value.contains("result"))
    {
        return {shard, spec, nullptr};
    }
    return {shard, spec,
            std::make_shared<job_result const>(
                read_result(spec->key_, value.at("result")))};
}

} // namespace fescuevane::state
