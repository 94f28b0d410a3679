// Purpose: fixture of tests of the command line, with a fake entry process.
#ifndef FESCUEVANE_TESTS_UNIT_CTL_FIXTURE_HPP
#define FESCUEVANE_TESTS_UNIT_CTL_FIXTURE_HPP

#include "ctl/ctl.hpp"

#include <libsoup/soup.h>
#include <algorithm>
#include <cstddef>
#include <cstdlib>
#include <sstream>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace fescuevane::ctl
{

struct fake_call
{
    std::string method_;
    std::string path_;
    std::string body_;
    std::string traceparent_;
    std::string key_;
};

struct fake_reply
{
    unsigned    status_ = 200;
    std::string body_ = "{}";
};

// A server on loopback that records calls and gives prepared replies in order;
// the last one is given again.
struct ctl_fixture
{
    ctl_fixture()
    {
        for (char const* const name :
             {"FESCUEVANE_SERVER", "FESCUEVANE_TEAM", "FESCUEVANE_KEY",
              "FESCUEVANE_OPERATOR_KEY"})
        {
            unsetenv(name);
        }
        soup_server_add_handler(server_, nullptr, &answer, this, nullptr);
        if (!soup_server_listen_local(server_, 0, SOUP_SERVER_LISTEN_IPV4_ONLY,
                                      nullptr))
        {
            throw std::runtime_error("the fake server can't listen");
        }
    }

    ctl_fixture(ctl_fixture const&) = delete;
    ctl_fixture& operator=(ctl_fixture const&) = delete;

    ~ctl_fixture()
    {
        soup_server_disconnect(server_);
        g_object_unref(server_);
    }

    std::string find_address() const
    {
        GSList* const uris = soup_server_get_uris(server_);
        int const     port = g_uri_get_port(static_cast<GUri*>(uris->data));
        g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(g_uri_unref));
        return "127.0.0.1:" + std::to_string(port);
    }

    // An address of loopback on which nothing listens.
    static std::string find_closed_address() { return "127.0.0.1:1"; }

    int run(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.begin(), {"--server", find_address()});
        return run_bare(arguments);
    }

    int run_bare(std::vector<std::string> const& arguments)
    {
        output_.str("");
        errors_.str("");
        return run_program(arguments, output_, errors_);
    }

    static void answer(SoupServer* /*server*/, SoupServerMessage* message,
                       char const* path, GHashTable* /*query*/, gpointer data)
    {
        auto& self = *static_cast<ctl_fixture*>(data);
        self.record(message, path);
        std::size_t const last = self.replies_.size() - 1;
        auto const&       reply =
            self.replies_[std::min(self.calls_.size() - 1, last)];
        soup_server_message_set_status(message, reply.status_, nullptr);
        soup_server_message_set_response(message, "application/json",
                                         SOUP_MEMORY_COPY, reply.body_.data(),
                                         reply.body_.size());
    }

    void record(SoupServerMessage* message, char const* path)
    {
        auto* const headers = soup_server_message_get_request_headers(message);
        auto const  read = [&](char const* name)
        {
            char const* const value =
                soup_message_headers_get_one(headers, name);
            return std::string(value ? value : "");
        };
        SoupMessageBody* const body =
            soup_server_message_get_request_body(message);
        calls_.push_back(
            {.method_ = soup_server_message_get_method(message),
             .path_ = path,
             .body_ = body->length > 0
                          ? std::string(body->data,
                                        static_cast<std::size_t>(body->length))
                          : std::string(),
             .traceparent_ = read("traceparent"),
             .key_ = read("X-Key")});
    }

    SoupServer* const       server_ = soup_server_new(nullptr, nullptr);
    std::vector<fake_call>  calls_;
    std::vector<fake_reply> replies_ = {{}};
    std::ostringstream      output_;
    std::ostringstream      errors_;
};

} // namespace fescuevane::ctl

#endif
