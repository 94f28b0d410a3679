// Purpose: tickets and configurations to and from JSON.
//
// Index of sections
//   1. Parts of a ticket
//   2. Tickets
//   3. Configurations
#include "state/ticket_text.hpp"

#include "core/hashing.hpp"
#include "state/config.hpp"
#include "state/json_reader.hpp"
#include "state/state.hpp"
#include "state/ticket_error.hpp"

#include <array>
#include <cstdio>

namespace fescuevane::state
{

using nlohmann::json;

namespace
{

// 1. Parts of a ticket

constexpr std::int64_t max_share = 1'000'000;
constexpr std::size_t  max_key_bytes = 512;
constexpr std::size_t  max_author_bytes = 256;
constexpr std::int64_t max_number = INT64_MAX;
// Sums over all shards of a fleet have to stay within 64 bits.
constexpr std::int64_t max_amount = 1'000'000'000'000;
constexpr std::int64_t max_stop_after_ms = 86'400'000;

enum class ticket_form
{
    filed, // with keys
    stored // with key hashes
};

json parse_json(std::string_view text)
{
    try
    {
        return json::parse(text);
    }
    catch (json::exception const& error)
    {
        throw ticket_error(std::string("ticket: expected JSON: ") +
                           error.what());
    }
}

std::set<std::string> read_key_hashes(json_reader const& team, ticket_form form)
{
    std::set<std::string>  hashes;
    std::string_view const field =
        form == ticket_form::filed ? "keys" : "key_hashes";
    if (!team.has(field))
    {
        return hashes;
    }
    json_reader const keys = team.at(field);
    for (std::size_t i = 0; i < keys.read_size(); ++i)
    {
        json_reader const entry = keys.at(i);
        std::string const text = entry.read_text(max_key_bytes);
        if (text.empty())
        {
            entry.fail("a key that is not empty");
        }
        std::string const hash =
            form == ticket_form::filed ? hash_key(text) : text;
        if (!hashes.insert(hash).second)
        {
            entry.fail("each key once");
        }
    }
    return hashes;
}

resources read_limit(json_reader const& limit)
{
    limit.expect_object({"cpu_millis", "memory_mib", "accelerators"});
    return {limit.at("cpu_millis").read_integer(0, max_amount),
            limit.at("memory_mib").read_integer(0, max_amount),
            limit.at("accelerators").read_integer(0, max_amount)};
}

team_config read_team(json_reader const& team, ticket_form form)
{
    team.expect_object({"id",
                        form == ticket_form::filed ? "keys" : "key_hashes",
                        "share", "limit"});
    return {.team_ = team_id(team.at("id").read_id()),
            .key_hashes_ = read_key_hashes(team, form),
            .share_ = team.has("share")
                          ? team.at("share").read_integer(1, max_share)
                          : 1,
            .limit_ = team.has("limit")
                          ? std::optional(read_limit(team.at("limit")))
                          : std::nullopt};
}

domain_config read_domain(json_reader const& domain, ticket_form /*form*/)
{
    domain.expect_object({"id", "in_service", "on_cut_off", "stop_after_ms"});
    bool serves = true;
    if (domain.has("on_cut_off"))
    {
        std::string const policy = domain.at("on_cut_off").read_text(16);
        if (policy != "serve" && policy != "stop")
        {
            domain.at("on_cut_off").fail("\"serve\" or \"stop\"");
        }
        serves = policy == "serve";
    }
    std::int64_t const stop_after =
        domain.has("stop_after_ms")
            ? domain.at("stop_after_ms").read_integer(0, max_stop_after_ms)
            : 0;
    return {.domain_ = domain_id(domain.at("id").read_id()),
            .in_service_ = domain.at("in_service").read_bool(),
            .serves_when_cut_off_ = serves,
            .stop_after_micros_ = stop_after * 1000};
}

// Ids of an array of strings; each may stand once.
template <typename Id>
std::set<Id> read_ids(json_reader const& owner, std::string_view field)
{
    std::set<Id> ids;
    if (!owner.has(field))
    {
        return ids;
    }
    json_reader const list = owner.at(field);
    for (std::size_t i = 0; i < list.read_size(); ++i)
    {
        if (!ids.insert(Id(list.at(i).read_id())).second)
        {
            list.at(i).fail("each id once");
        }
    }
    return ids;
}

service_config read_service(json_reader const& service, ticket_form /*form*/)
{
    service.expect_object({"id", "open", "teams"});
    return {.service_ = service_id(service.at("id").read_id()),
            .open_ = service.has("open") && service.at("open").read_bool(),
            .teams_ = read_ids<team_id>(service, "teams")};
}

// Entries of `field` by id; an id that stands twice is an error.
template <typename Id, typename Entry>
std::map<Id, Entry> read_entries(json_reader const& ticket,
                                 std::string_view field, ticket_form form,
                                 Entry (*read)(json_reader const&, ticket_form))
{
    std::map<Id, Entry> entries;
    if (!ticket.has(field))
    {
        return entries;
    }
    json_reader const list = ticket.at(field);
    for (std::size_t i = 0; i < list.read_size(); ++i)
    {
        json_reader const entry = list.at(i);
        Entry const       value = read(entry, form);
        Id const          id(entry.at("id").read_id());
        if (!entries.emplace(id, value).second)
        {
            entry.at("id").fail("an id that stands once");
        }
    }
    return entries;
}

// Entries of a ticket over those of its base, without the removed ones.
template <typename Id, typename Entry>
std::map<Id, Entry>
merge_entries(std::map<Id, Entry> const& base, std::map<Id, Entry> changed,
              std::set<Id> const& removed, std::string const& place)
{
    for (Id const& id : removed)
    {
        if (!base.contains(id) || changed.contains(id))
        {
            throw ticket_error(place +
                               ": expected existing ids that the "
                               "ticket doesn't set, not \"" +
                               id.str() + "\"");
        }
    }
    for (auto const& [id, entry] : base)
    {
        if (!removed.contains(id))
        {
            changed.emplace(id, entry); // no change when the ticket has it
        }
    }
    return changed;
}

// 2. Tickets

ticket_number read_number(json_reader const& ticket)
{
    return static_cast<ticket_number>(
        ticket.at("number").read_integer(1, max_number));
}

void expect_ticket(json_reader const& ticket)
{
    ticket.expect_object(
        {"number", "author", "teams", "failure_domains", "services", "remove"});
    if (ticket.has("author"))
    {
        ticket.at("author").read_text(max_author_bytes);
    }
    if (ticket.has("remove"))
    {
        ticket.at("remove").expect_object({"teams", "services"});
    }
}

template <typename Id>
std::set<Id> read_removed(json_reader const& ticket, std::string_view field)
{
    return ticket.has("remove") ? read_ids<Id>(ticket.at("remove"), field)
                                : std::set<Id>{};
}

config apply_text(config const& base, std::string_view text, ticket_form form)
{
    json const        value = parse_json(text);
    json_reader const ticket(value, "");
    expect_ticket(ticket);
    ticket_number const number = read_number(ticket);
    if (number != base.number_ + 1)
    {
        ticket.at("number").fail("number " + std::to_string(base.number_ + 1));
    }
    return {
        .number_ = number,
        .teams_ = merge_entries(
            base.teams_,
            read_entries<team_id>(ticket, "teams", form, &read_team),
            read_removed<team_id>(ticket, "teams"), "remove.teams"),
        .domains_ =
            merge_entries(base.domains_,
                          read_entries<domain_id>(ticket, "failure_domains",
                                                  form, &read_domain),
                          {}, "remove"),
        .services_ = merge_entries(
            base.services_,
            read_entries<service_id>(ticket, "services", form, &read_service),
            read_removed<service_id>(ticket, "services"), "remove.services")};
}

} // namespace

std::string hash_key(std::string_view key)
{
    // Two independent 64-bit functions, so that keys don't collide by chance.
    constexpr std::uint64_t first_seed = 0x6b65792d31ULL;
    constexpr std::uint64_t second_seed = 0x6b65792d32ULL;
    std::array<char, 33>    text{};
    std::snprintf(
        text.data(), text.size(), "%016llx%016llx",
        static_cast<unsigned long long>(compute_stable_hash(key, first_seed)),
        static_cast<unsigned long long>(compute_stable_hash(key, second_seed)));
    return text.data();
}

config apply_ticket(config const& base, std::string_view text)
{
    return apply_text(base, text, ticket_form::filed);
}

config apply_stored_ticket(config const& base, std::string_view text)
{
    return apply_text(base, text, ticket_form::stored);
}

std::string write_stored_ticket(std::string_view filed)
{
    json ticket = parse_json(filed);
    if (auto const teams = ticket.find("teams"); teams != ticket.end())
    {
        for (json& team : *teams)
        {
            json_reader const reader(team, "teams");
            json const hashes = read_key_hashes(reader, ticket_form::filed);
            team.erase("keys");
            team["key_hashes"] = hashes;
        }
    }
    return ticket.dump();
}

ticket_number read_ticket_number(std::string_view text)
{
    json const        value = parse_json(text);
    json_reader const ticket(value, "");
    expect_ticket(ticket);
    return read_number(ticket);
}

// 3. Configurations

namespace
{

json write_team(team_config const& team)
{
    json value = {{"id", team.team_.str()},
                  {"key_hashes", team.key_hashes_},
                  {"share", team.share_}};
    if (team.limit_)
    {
        value["limit"] = {{"cpu_millis", team.limit_->cpu_millis()},
                          {"memory_mib", team.limit_->memory_mib()},
                          {"accelerators", team.limit_->accelerators()}};
    }
    return value;
}

json write_domain(domain_config const& domain)
{
    return {{"id", domain.domain_.str()},
            {"in_service", domain.in_service_},
            {"on_cut_off", domain.serves_when_cut_off_ ? "serve" : "stop"},
            {"stop_after_ms", domain.stop_after_micros_ / 1000}};
}

json write_service(service_config const& service)
{
    json teams = json::array();
    for (team_id const& team : service.teams_)
    {
        teams.push_back(team.str());
    }
    return {{"id", service.service_.str()},
            {"open", service.open_},
            {"teams", std::move(teams)}};
}

template <typename Id, typename Entry>
json write_entries(std::map<Id, Entry> const& entries,
                   json (*write)(Entry const&))
{
    json list = json::array();
    for (auto const& [id, entry] : entries)
    {
        list.push_back(write(entry));
    }
    return list;
}

} // namespace

std::string write_config(config const& value)
{
    return json{
        {"number", value.number_},
        {"teams", write_entries(value.teams_, &write_team)},
        {"failure_domains", write_entries(value.domains_, &write_domain)},
        {"services", write_entries(value.services_, &write_service)}}
        .dump();
}

config read_config(std::string_view text)
{
    json const        value = parse_json(text);
    json_reader const reader(value, "");
    reader.expect_object({"number", "teams", "failure_domains", "services"});
    ticket_form const form = ticket_form::stored;
    return {.number_ = static_cast<ticket_number>(
                reader.at("number").read_integer(0, max_number)),
            .teams_ = read_entries<team_id>(reader, "teams", form, &read_team),
            .domains_ = read_entries<domain_id>(reader, "failure_domains", form,
                                                &read_domain),
            .services_ = read_entries<service_id>(reader, "services", form,
                                                  &read_service)};
}

} // namespace fescuevane::state
