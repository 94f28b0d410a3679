// Purpose: tests of the settings file.
#include "entry/settings.hpp"
#include "entry/settings_address.hpp"
#include "entry/settings_error.hpp"
#include "entry/settings_file.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace fescuevane::entry
{
namespace
{

struct settings_fixture
{
    std::string const base_ = "host: entry-a-1\n"
                              "failure_domain: amman-a\n"
                              "platform_address: 127.0.0.1:18120\n"
                              "failure_domains:\n"
                              "  - {id: amman-a, shards: 2}\n";

    // Message of the error that `text` gives after the base; empty: none.
    std::string find_error(std::string const& text) const
    {
        try
        {
            parse_settings(base_ + text, "sample.yaml");
        }
        catch (settings_error const& error)
        {
            return error.what();
        }
        return "";
    }
};

// Guards against a printed form that misses a key or loses its unit.
TEST_CASE_FIXTURE(settings_fixture,
                  "settings, printed and parsed, print the same")
{
    settings const read = parse_settings(
        base_ + "intervals: {heartbeat_ms: 123}\n", "sample.yaml");
    CHECK(read.heartbeat_micros_ == 123'000);
    std::string const text = print_settings(read);
    CHECK(print_settings(parse_settings(text, "printed")) == text);
}

// Guards against a fault in the file that is noticed only in operation, or is
// reported without its place.
TEST_CASE_FIXTURE(settings_fixture,
                  "settings, faulty line, names the line and the key")
{
    struct faulty
    {
        std::string text_;
        std::string message_;
    };
    std::vector<faulty> const cases = {
        {"colour: red\n", "sample.yaml:6: colour: unknown key"},
        {"log: {level: loud}\n", "sample.yaml:6: log.level: expected debug"},
        {"log: 7\n", "sample.yaml:6: log: expected a map"},
        {"bounds: {max_open_calls: -1}\n",
         "6: bounds.max_open_calls: expected"},
        {"bounds: {max_open_calls: many}\n",
         "a whole number from 1 to 1000000"},
        {"bounds: {max_open_calls: 1.5}\n", "bounds.max_open_calls"},
        {"http_address: localhost:80\n", "http_address: expected IP:port"},
        {"host: other\n", "sample.yaml:6: host: stands twice"},
        {"peer_address: 127.0.0.1:8080\n", "has to differ from http_address"},
        {"intervals: {lease_renew_ms: 9000}\n", "6: intervals.lease_renew_ms"},
        {"membership: {suspect_after_ms: 100}\n", "twice heartbeat_ms"},
        {"scheduler: {total_queue_tasks: 5}\n", "scheduler.total_queue_tasks"},
        {"seed_peers: [{host: a, port: 3}]\n", "seed_peers.port: unknown key"},
        {"seed_peers: 5\n", "seed_peers: expected a list"},
        {"log: {level: info\n", "sample.yaml:"},
    };
    for (faulty const& each : cases)
    {
        CAPTURE(each.text_);
        std::string const error = find_error(each.text_);
        CHECK_MESSAGE(error.find(each.message_) != std::string::npos, error);
    }
}

// Guards against a report that stops at the first of several faults.
TEST_CASE_FIXTURE(settings_fixture, "settings, three faults, lists all three")
{
    std::string const error =
        find_error("colour: red\nlog: {level: loud}\nseed: x\n");
    CHECK(std::count(error.begin(), error.end(), '\n') == 2);
}

// Guards against a crash, or an error of a foreign type, on any file.
TEST_CASE_FIXTURE(settings_fixture,
                  "settings, random text, is read or gives a settings error")
{
    CHECK(rc::check(
        [this](std::string const& text)
        {
            std::string const error = find_error(text);
            RC_ASSERT(error.empty() || error.find("sample.yaml:") == 0);
        }));
}

// Guards against samples that the binary would turn down, and shared ports.
TEST_CASE_FIXTURE(settings_fixture,
                  "settings, sample files, load with distinct addresses")
{
    for (std::string const cell : {"siphona", "ingamba"})
    {
        std::set<std::string> addresses;
        for (std::string const host :
             {"a-1", "a-2", "b-1", "b-2", "c-1", "c-2"})
        {
            std::string file = SETTINGS_FOLDER "/";
            file.append(cell).append("/entry-").append(host).append(".yaml");
            settings const read = load_settings(file);
            CHECK(read.state_.host_ == host_id("entry-" + host));
            CHECK(read.state_.address_ == read.peer_address_);
            CHECK(addresses.insert(read.http_address_).second);
            CHECK(addresses.insert(read.peer_address_).second);
        }
    }
    CHECK_THROWS_AS(load_settings("absent.yaml"), settings_error);
}

// Guards against addresses that fail only when a process connects.
TEST_CASE_FIXTURE(settings_fixture, "address, several forms, splits only IPs")
{
    CHECK(split_address("127.0.0.1:80")->second == 80);
    CHECK(split_address("[::1]:80")->first == "::1");
    for (std::string const text : {"", ":80", "127.0.0.1", "127.0.0.1:", "a:1",
                                   "127.0.0.1:65536", "::1:80", "1.2.3.4:8x"})
    {
        CAPTURE(text);
        CHECK_FALSE(split_address(text).has_value());
    }
}

} // namespace
} // namespace fescuevane::entry
