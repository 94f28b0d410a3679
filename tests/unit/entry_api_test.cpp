// Purpose: test of the formal description of the API.
#include "entry/http_routes.hpp"

#include <doctest/doctest.h>
#include <yaml-cpp/yaml.h>
#include <algorithm>
#include <set>

namespace fescuevane::entry
{
namespace
{

struct api_fixture
{
    YAML::Node const paths_ = YAML::LoadFile(API_FILE)["paths"];

    // "GET /v1/jobs/{}" and so on, names of arguments left out.
    std::set<std::string> list_described() const
    {
        std::set<std::string> names;
        for (auto const& path : paths_)
        {
            auto       text = path.first.as<std::string>();
            auto const hole = text.find('{');
            if (hole != std::string::npos)
            {
                text.erase(hole + 1, text.find('}') - hole - 1);
            }
            for (auto const& method : path.second)
            {
                auto verb = method.first.as<std::string>();
                std::transform(verb.begin(), verb.end(), verb.begin(),
                               [](unsigned char c)
                               {
                                   return std::toupper(c);
                               });
                names.insert(verb.append(" ").append(text));
            }
        }
        return names;
    }
};

// Guards against a description that differs from the routes that are served.
TEST_CASE_FIXTURE(api_fixture, "openapi, paths, are those of the route table")
{
    std::set<std::string> served;
    for (route const& each : http_routes::list())
    {
        served.insert(std::string(each.method_) + " " +
                      std::string(each.path_));
    }
    CHECK(served == list_described());
}

} // namespace
} // namespace fescuevane::entry
