// Purpose: encoding of the rows of hosts, layouts, shards, limits and leases.
#include "cell/records.hpp"

#include "cell/record_error.hpp"
#include "cell/row_json.hpp"

#include <algorithm>
#include <charconv>
#include <system_error>

namespace fescuevane::cell
{
namespace
{

using nlohmann::json;

// Upper bounds, far above what is written here. Other writers may store any
// number, and tables are sized by these counts.
constexpr std::uint32_t max_shards = 10'000;
constexpr double        max_cpu_share = 1024; // as in the settings

} // namespace

std::string write_host(host_record const& record)
{
    return json{{"address", record.address_},
                {"domain", record.domain_.str()},
                {"cpu", record.cpu_share_},
                {"incarnation", record.incarnation_}}
        .dump();
}

namespace
{

double read_cpu_share(json const& row)
{
    auto const share = row.at("cpu").get<double>();
    if (!(share >= 0 && share <= max_cpu_share))
    {
        throw record_error("host: processor share out of range");
    }
    return share;
}

} // namespace

host_record read_host(std::string const& text)
{
    return parse_row(text,
                     [](json const& row)
                     {
                         return host_record{
                             row.at("address").get<std::string>(),
                             domain_id(row.at("domain").get<std::string>()),
                             read_cpu_share(row),
                             read_monotonic(row, "incarnation")};
                     });
}

std::string write_owner(owner_record const& record)
{
    return json{{"host", record.host_.str()},
                {"incarnation", record.incarnation_},
                {"address", record.address_},
                {"epoch", record.epoch_},
                {"released", record.released_},
                {"successor", record.successor_.str()},
                {"exclusive", record.exclusive_},
                {"stops_over", record.stops_over_}}
        .dump();
}

owner_record read_owner(std::string const& text)
{
    return parse_row(text,
                     [](json const& row)
                     {
                         return owner_record{
                             host_id(row.at("host").get<std::string>()),
                             read_monotonic(row, "incarnation"),
                             row.at("address").get<std::string>(),
                             read_monotonic(row, "epoch"),
                             row.at("released").get<bool>(),
                             host_id(row.at("successor").get<std::string>()),
                             row.value("exclusive", false),
                             row.value("stops_over", false)};
                     });
}

row_key write_fence_key(shard_id const& shard, std::uint32_t part)
{
    return {"member", std::to_string(part), "shard/" + write_shard_name(shard)};
}

std::string write_shard_name(shard_id const& shard)
{
    return shard.domain_.str() + "." + std::to_string(shard.index_);
}

shard_id read_shard_name(std::string const& text)
{
    std::size_t const dot = text.rfind('.');
    shard_id          shard;
    char const* const end = text.data() + text.size();
    if (dot == std::string::npos)
    {
        throw record_error("malformed shard name: " + text);
    }
    auto const read = std::from_chars(text.data() + dot + 1, end, shard.index_);
    if (read.ec != std::errc() || read.ptr != end || shard.index_ >= max_shards)
    {
        throw record_error("malformed shard name: " + text);
    }
    shard.domain_ = domain_id(text.substr(0, dot));
    return shard;
}

std::string write_layout(layout_record const& record)
{
    json racks = json::object();
    for (auto const& [rack, index] : record.racks_)
    {
        racks[rack.str()] = index;
    }
    return json{{"shards", record.shards_}, {"racks", racks}}.dump();
}

layout_record read_layout(std::string const& text)
{
    return parse_row(
        text,
        [](json const& row)
        {
            layout_record record{.shards_ =
                                     read_count(row, "shards", max_shards)};
            for (auto const& [rack, index] : row.at("racks").items())
            {
                auto const shard = read_number<std::uint32_t>(index);
                if (shard >= record.shards_)
                {
                    throw record_error("layout: rack " + rack +
                                       " refers to no shard");
                }
                record.racks_[rack_id(rack)] = shard;
            }
            if (record.shards_ == 0)
            {
                throw record_error("layout: number of shards is 0");
            }
            return record;
        });
}

std::string write_allotment(allotment_record const& record)
{
    json parts = json::object();
    for (auto const& [shard, part] : record.parts_)
    {
        parts[write_shard_name(shard)] = part;
    }
    return json{{"parts", parts}}.dump();
}

allotment_record read_allotment(std::string const& text)
{
    return parse_row(text,
                     [](json const& row)
                     {
                         allotment_record record;
                         for (auto const& [shard, part] :
                              row.at("parts").items())
                         {
                             record.parts_[read_shard_name(shard)] =
                                 read_number<std::uint32_t>(part);
                         }
                         return record;
                     });
}

std::string write_grants(granted_targets const& targets)
{
    json rows = json::array();
    for (auto const& [id, target] : targets)
    {
        rows.push_back({{"id", id.str()},
                        {"address", target->address_},
                        {"domain", target->domain_.str()},
                        {"service", target->service_.str()},
                        {"rack", target->rack_.str()},
                        {"labels", target->labels_},
                        {"cpu", target->capacity_.cpu_millis()},
                        {"memory", target->capacity_.memory_mib()},
                        {"accelerators", target->capacity_.accelerators()},
                        {"leaving", target->leaving_}});
    }
    return json{{"targets", rows}}.dump(-1, ' ', false,
                                        json::error_handler_t::replace);
}

granted_targets read_grants(std::string const& text)
{
    return parse_row(
        text,
        [](json const& row)
        {
            granted_targets targets;
            for (json const& target : row.at("targets"))
            {
                target_id const id(target.at("id").get<std::string>());
                targets[id] =
                    std::make_shared<listed_target const>(listed_target{
                        .id_ = id,
                        .address_ = target.at("address").get<std::string>(),
                        .domain_ =
                            domain_id(target.at("domain").get<std::string>()),
                        .service_ =
                            service_id(target.at("service").get<std::string>()),
                        .rack_ = rack_id(target.at("rack").get<std::string>()),
                        .labels_ =
                            target.at("labels").get<std::vector<std::string>>(),
                        .capacity_ = {read_amount(target, "cpu"),
                                      read_amount(target, "memory"),
                                      read_amount(target, "accelerators")},
                        .leaving_ = target.value("leaving", false)});
            }
            return targets;
        });
}

} // namespace fescuevane::cell
