// Purpose: reads, checks and prints the settings of an entry process.
//
// Index of sections
//   1. Faults
//   2. Scalars
//   3. Lists
//   4. Contradictions
//   5. Loading
//   6. Printing
#include "entry/settings_file.hpp"

#include "entry/settings_address.hpp"
#include "entry/settings_error.hpp"
#include "entry/settings_table.hpp"

#include <yaml-cpp/yaml.h>
#include <algorithm>
#include <array>
#include <fstream>
#include <set>
#include <sstream>
#include <vector>

namespace fescuevane::entry
{
namespace
{

// 1. Faults

// State of one load: the values so far and every fault found.
struct settings_load
{
    std::string const&       file_;
    settings                 values_;
    std::vector<std::string> faults_;
    std::set<std::string>    seen_; // keys with their section
};

void add_fault(settings_load& load, YAML::Mark const& mark,
               std::string const& key, std::string const& expected)
{
    // Marks count lines from 0; a null mark has line -1.
    load.faults_.push_back(load.file_ + ":" + std::to_string(mark.line + 1) +
                           ": " + key + ": " + expected);
}

std::string join_key(std::string_view section, std::string_view key)
{
    return section.empty() ? std::string(key)
                           : std::string(section) + "." + std::string(key);
}

// 2. Scalars

bool is_name(std::string const& text)
{
    return !text.empty() && text.size() <= 200 &&
           std::all_of(text.begin(), text.end(),
                       [](unsigned char c)
                       {
                           return (std::isalnum(c) != 0 && c < 128) ||
                                  c == '-' || c == '_' || c == '.';
                       });
}

bool is_address(std::string const& text)
{
    return split_address(text).has_value();
}

bool is_log_format(std::string const& text)
{
    return text == "text" || text == "json";
}

bool is_log_level(std::string const& text)
{
    return text == "debug" || text == "info" || text == "warn" ||
           text == "error";
}

bool is_any(std::string const& /*text*/)
{
    return true;
}

// Checks of text, in the order of `text_form`.
struct form_check
{
    bool (*const accepts_)(std::string const&);
    std::string_view const expected_;
};

constexpr std::array<form_check, 5> form_checks = {{
    {&is_any, "expected text"},
    {&is_name, "expected a name of letters, digits, '-', '_' and '.'"},
    {&is_address, "expected IP:port"},
    {&is_log_format, "expected text or json"},
    {&is_log_level, "expected debug, info, warn or error"},
}};

void read_text(settings_load& load, YAML::Node const& node,
               settings_row const& row, std::string& place)
{
    form_check const& check = form_checks.at(static_cast<int>(row.form_));
    if (!node.IsScalar() || !check.accepts_(node.Scalar()))
    {
        add_fault(load, node.Mark(), join_key(row.section_, row.key_),
                  std::string(check.expected_));
        return;
    }
    place = node.Scalar();
}

template <typename Tag>
void read_value(settings_load& load, YAML::Node const& node,
                settings_row const& row, basic_id<Tag>& place)
{
    std::string text;
    read_text(load, node, row, text);
    place = basic_id<Tag>(text);
}

void read_value(settings_load& load, YAML::Node const& node,
                settings_row const& row, std::string& place)
{
    read_text(load, node, row, place);
}

template <typename Number>
void read_value(settings_load& load, YAML::Node const& node,
                settings_row const& row, Number& place)
{
    std::int64_t value = 0;
    if (!node.IsScalar() || !YAML::convert<std::int64_t>::decode(node, value) ||
        value < row.min_ || value > row.max_)
    {
        add_fault(load, node.Mark(), join_key(row.section_, row.key_),
                  "expected a whole number from " + std::to_string(row.min_) +
                      " to " + std::to_string(row.max_));
        return;
    }
    place = static_cast<Number>(value * row.scale_);
}

void read_row(settings_load& load, YAML::Node const& node,
              settings_row const& row)
{
    std::visit(
        [&](auto member)
        {
            read_value(load, node, row, select_member(load.values_, member));
        },
        row.member_);
}

// 3. Lists

// Text of a field of a list item; reports a fault when it has another form.
std::string read_item_field(settings_load& load, YAML::Node const& item,
                            std::string const& key, char const* field,
                            text_form form)
{
    YAML::Node const  node = item[field];
    form_check const& check = form_checks.at(static_cast<int>(form));
    if (!node || !node.IsScalar() || !check.accepts_(node.Scalar()))
    {
        add_fault(load, item.Mark(), key + "." + field,
                  std::string(check.expected_));
        return {};
    }
    return node.Scalar();
}

// False, with a fault, when the item is no map or has other fields.
bool check_item(settings_load& load, YAML::Node const& item,
                std::string const& key, std::set<std::string> const& fields)
{
    if (!item.IsMap())
    {
        add_fault(load, item.Mark(), key, "expected a list of maps");
        return false;
    }
    for (auto const& field : item)
    {
        if (!fields.contains(field.first.as<std::string>("")))
        {
            add_fault(load, field.first.Mark(),
                      key + "." + field.first.as<std::string>("?"),
                      "unknown key");
        }
    }
    return true;
}

void read_failure_domain(settings_load& load, YAML::Node const& item,
                         std::string const& key)
{
    if (!check_item(load, item, key, {"id", "shards"}))
    {
        return;
    }
    domain_id const id(read_item_field(load, item, key, "id", text_form::name));
    auto const      shards = item["shards"].as<std::int64_t>(-1);
    if (shards < 1 || shards > 1024)
    {
        add_fault(load, item.Mark(), key + ".shards",
                  "expected a whole number from 1 to 1024");
        return;
    }
    if (!load.values_.state_.shard_counts_
             .emplace(id, static_cast<std::uint32_t>(shards))
             .second)
    {
        add_fault(load, item.Mark(), key + ".id", "stands twice in the list");
    }
}

void read_seed_peer(settings_load& load, YAML::Node const& item,
                    std::string const& key)
{
    if (!check_item(load, item, key, {"host", "failure_domain", "address"}))
    {
        return;
    }
    auto const read = [&](char const* field, text_form form)
    {
        return read_item_field(load, item, key, field, form);
    };
    load.values_.seed_peers_.push_back(
        {.host_ = host_id(read("host", text_form::name)),
         .domain_ = domain_id(read("failure_domain", text_form::name)),
         .address_ = read("address", text_form::address)});
}

struct list_row
{
    std::string_view const key_;
    void (*const read_item_)(settings_load&, YAML::Node const&,
                             std::string const&);
};

constexpr std::array<list_row, 2> list_rows = {{
    {"failure_domains", &read_failure_domain},
    {"seed_peers", &read_seed_peer},
}};

void read_list(settings_load& load, YAML::Node const& node, list_row const& row)
{
    if (!node.IsSequence())
    {
        add_fault(load, node.Mark(), std::string(row.key_), "expected a list");
        return;
    }
    for (auto const& item : node)
    {
        row.read_item_(load, item, std::string(row.key_));
    }
}

// 4. Contradictions

struct contradiction
{
    std::string_view const key_;
    bool (*const holds_)(settings const&); // true: the settings contradict
    std::string_view const expected_;
};

constexpr std::array<contradiction, 9> contradictions = {{
    {"host",
     [](settings const& v)
     {
         return v.state_.host_.empty();
     },
     "is required"},
    {"platform_address",
     [](settings const& v)
     {
         return v.platform_address_.empty();
     },
     "is required"},
    {"failure_domain",
     [](settings const& v)
     {
         return !v.state_.shard_counts_.contains(v.state_.domain_);
     },
     "is required and has to stand in failure_domains"},
    {"peer_address",
     [](settings const& v)
     {
         return v.peer_address_ == v.http_address_;
     },
     "has to differ from http_address"},
    {"intervals.lease_renew_ms",
     [](settings const& v)
     {
         return v.lease_renew_micros_ * 2 > v.lease_micros_;
     },
     "may be at most half of lease_ms, so that one lost renewal ends no task"},
    {"membership.suspect_after_ms",
     [](settings const& v)
     {
         return v.state_.suspect_after_micros_ < 2 * v.heartbeat_micros_;
     },
     "has to be at least twice heartbeat_ms"},
    {"store.retry_delay_max_ms",
     [](settings const& v)
     {
         return v.state_.retry_delay_max_micros_ < v.state_.retry_delay_micros_;
     },
     "may not be below store.retry_delay_ms"},
    {"store.journal_queue_rows",
     [](settings const& v)
     {
         return v.state_.journal_queue_rows_ < v.state_.journal_batch_rows_;
     },
     "may not be below journal_batch_rows"},
    {"scheduler.total_queue_tasks",
     [](settings const& v)
     {
         return v.decide_.total_queue_tasks_ < v.decide_.team_queue_tasks_;
     },
     "may not be below team_queue_tasks"},
}};

// The node of a key, or the root when the key is absent.
YAML::Mark find_mark(YAML::Node const& root, std::string_view key)
{
    std::size_t const dot = key.find('.');
    std::string const head(key.substr(0, dot));
    if (!root.IsMap() || !root[head])
    {
        return root.Mark();
    }
    return dot == std::string_view::npos
               ? root[head].Mark()
               : find_mark(root[head], key.substr(dot + 1));
}

void check_contradictions(settings_load& load, YAML::Node const& root)
{
    for (contradiction const& each : contradictions)
    {
        if (each.holds_(load.values_))
        {
            add_fault(load, find_mark(root, each.key_), std::string(each.key_),
                      std::string(each.expected_));
        }
    }
}

// 5. Loading

bool is_section(std::string const& key)
{
    auto const rows = list_settings_rows();
    return std::any_of(rows.begin(), rows.end(),
                       [&](settings_row const& row)
                       {
                           return !key.empty() && row.section_ == key;
                       });
}

void read_map(settings_load& load, YAML::Node const& map,
              std::string const& section);

void read_entry(settings_load& load, YAML::Node const& key_node,
                YAML::Node const& node, std::string const& section)
{
    auto const        key = key_node.as<std::string>("?");
    std::string const full = join_key(section, key);
    if (!load.seen_.insert(full).second)
    {
        add_fault(load, key_node.Mark(), full, "stands twice");
        return;
    }
    auto const rows = list_settings_rows();
    auto const row =
        std::find_if(rows.begin(), rows.end(),
                     [&](settings_row const& each)
                     {
                         return each.section_ == section && each.key_ == key;
                     });
    if (row != rows.end())
    {
        read_row(load, node, *row);
        return;
    }
    auto const list = std::find_if(list_rows.begin(), list_rows.end(),
                                   [&](list_row const& each)
                                   {
                                       return each.key_ == full;
                                   });
    if (list != list_rows.end())
    {
        read_list(load, node, *list);
    }
    else if (section.empty() && is_section(key))
    {
        read_map(load, node, key);
    }
    else
    {
        add_fault(load, key_node.Mark(), full, "unknown key");
    }
}

void read_map(settings_load& load, YAML::Node const& map,
              std::string const& section)
{
    if (!map.IsMap())
    {
        add_fault(load, map.Mark(), section.empty() ? "file" : section,
                  "expected a map of keys");
        return;
    }
    for (auto const& entry : map)
    {
        read_entry(load, entry.first, entry.second, section);
    }
}

std::string join_lines(std::vector<std::string> const& lines)
{
    std::string text;
    for (std::string const& line : lines)
    {
        text += (text.empty() ? "" : "\n") + line;
    }
    return text;
}

} // namespace

settings parse_settings(std::string const& text, std::string const& name)
{
    settings_load load{.file_ = name};
    try
    {
        YAML::Node const root = YAML::Load(text);
        read_map(load, root, "");
        check_contradictions(load, root);
    }
    catch (YAML::Exception const& error)
    {
        add_fault(load, error.mark, "file", error.msg);
    }
    if (!load.faults_.empty())
    {
        throw settings_error(join_lines(load.faults_));
    }
    load.values_.state_.address_ = load.values_.peer_address_;
    return load.values_;
}

settings load_settings(std::string const& file)
{
    std::ifstream     input(file, std::ios::binary);
    std::stringstream text;
    text << input.rdbuf();
    if (!input)
    {
        throw settings_error(file + ":0: file: can't be read");
    }
    return parse_settings(text.str(), file);
}

// 6. Printing

namespace
{

std::string print_value(std::string const& value, settings_row const& /*row*/)
{
    YAML::Emitter quoted;
    quoted << YAML::DoubleQuoted << value;
    return quoted.c_str();
}

template <typename Tag>
std::string print_value(basic_id<Tag> const& value, settings_row const& row)
{
    return print_value(value.str(), row);
}

template <typename Number>
std::string print_value(Number value, settings_row const& row)
{
    return std::to_string(static_cast<std::int64_t>(value) / row.scale_);
}

std::string print_row(settings& values, settings_row const& row)
{
    std::string const value = std::visit(
        [&](auto member)
        {
            return print_value(select_member(values, member), row);
        },
        row.member_);
    std::string const bounds = row.max_ == 0
                                   ? ""
                                   : " (" + std::to_string(row.min_) + " to " +
                                         std::to_string(row.max_) + ")";
    return std::string(row.section_.empty() ? "" : "  ") +
           std::string(row.key_) + ": " + value + " # " +
           std::string(row.help_) + bounds + "\n";
}

std::string print_lists(settings const& values)
{
    std::string text = "failure_domains:";
    text += values.state_.shard_counts_.empty() ? " []\n" : "\n";
    for (auto const& [id, shards] : values.state_.shard_counts_)
    {
        text += "  - {id: " + id.str() + ", shards: " + std::to_string(shards) +
                "}\n";
    }
    text += "seed_peers:";
    text += values.seed_peers_.empty() ? " []\n" : "\n";
    for (state::peer_address const& peer : values.seed_peers_)
    {
        text += "  - {host: " + peer.host_.str() +
                ", failure_domain: " + peer.domain_.str() + ", address: \"" +
                peer.address_ + "\"}\n";
    }
    return text;
}

} // namespace

std::string print_settings(settings const& values)
{
    settings         copy = values; // members are selected from mutable parts
    std::string_view section;
    std::string      text;
    for (settings_row const& row : list_settings_rows())
    {
        if (row.section_ != section)
        {
            section = row.section_;
            text += std::string(section) + ":\n";
        }
        text += print_row(copy, row);
    }
    return text + print_lists(values);
}

} // namespace fescuevane::entry
